"""Records which work ran at the targets and which outcomes the clients saw."""

from collections import defaultdict

from .scenarios import Request

__all__ = ["Record"]


class Record:
    """Runs at targets and outcomes at clients during one run of the bench.

    Attributes:
        answered_s: Time of the first whole answer by request id.
        runs: Number of runs by request id and service.
        held_s: Time for which runs held slots, by request id.
        repeated_s: The part of `held_s` that belongs to repeated runs.
        retries: Number of retries inside the mesh by request id and client attempt.
        not_run_violations: Number of false "not run" statements to clients.
        refusals: Number of client attempts without a whole answer, by reason.
    """

    def __init__(self):
        self.answered_s: dict[str, float] = {}
        self.lost: set[str] = set()
        self.runs: dict[tuple[str, str], int] = defaultdict(int)
        self.held_s: dict[str, float] = defaultdict(float)
        self.repeated_s: dict[str, float] = defaultdict(float)
        self.retries: dict[tuple[str, int], int] = defaultdict(int)
        self.not_run_violations = 0
        self.refusals: dict[str, int] = defaultdict(int)
        self._attempts_that_ran: set[tuple[str, int]] = set()

    def record_run_start(
        self, request: Request, client_attempt: int, service: str
    ) -> bool:
        """Record that a service starts to run a request.

        Args:
            request: The request.
            client_attempt: Number of the client's attempt.
            service: Service that runs it.

        Returns:
            Whether the service had already run the request.
        """
        key = (request.request_id, service)
        self.runs[key] += 1
        self._attempts_that_ran.add((request.request_id, client_attempt))
        return self.runs[key] > 1

    def record_run_end(
        self, request: Request, held_s: float, is_repeated: bool
    ) -> None:
        """Record how long a run held its slot."""
        self.held_s[request.request_id] += held_s
        if is_repeated:
            self.repeated_s[request.request_id] += held_s

    def count_retry(self, request: Request, client_attempt: int) -> None:
        """Count one retry inside the mesh."""
        self.retries[(request.request_id, client_attempt)] += 1

    def record_answer(self, request: Request, at_s: float) -> None:
        """Record that the client received its whole answer."""
        self.answered_s.setdefault(request.request_id, at_s)

    def record_not_run_claim(self, request: Request, client_attempt: int) -> None:
        """Record a statement to the client that no part of its attempt ran.

        A statement is a violation if a service did run the attempt.
        """
        if (request.request_id, client_attempt) in self._attempts_that_ran:
            self.not_run_violations += 1

    def count_refusal(self, reason: str) -> None:
        """Count an attempt of a client that ended without a whole answer."""
        self.refusals[reason] += 1
