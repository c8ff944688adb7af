"""What really ran and what callers saw, as written down by the fakes."""

from collections import defaultdict

from .scenarios import Request

__all__ = ["Record"]


class Record:
    """Runs at targets and results at clients of one run of the bench."""

    def __init__(self):
        self.answered_s: dict[str, float] = {}
        self.lost: set[str] = set()
        self.runs: dict[tuple[str, str], int] = defaultdict(int)
        self.held_s: dict[str, float] = defaultdict(float)
        self.repeated_s: dict[str, float] = defaultdict(float)
        self.retries: dict[tuple[str, int], int] = defaultdict(int)
        self.not_run_violations = 0
        self.refusals: dict[str, int] = defaultdict(int)
        self._root_runs: set[tuple[str, int]] = set()

    def start_run(self, request: Request, root: int, service: str) -> bool:
        """Record that a service starts work; True if it did so before.

        Args:
            request: The request.
            root: Number of the client's attempt.
            service: Where the work starts.
        """
        key = (request.request_id, service)
        self.runs[key] += 1
        self._root_runs.add((request.request_id, root))
        return self.runs[key] > 1

    def end_run(self, request: Request, held_s: float, is_repeated: bool) -> None:
        """Record how long a slot was held."""
        self.held_s[request.request_id] += held_s
        if is_repeated:
            self.repeated_s[request.request_id] += held_s

    def retry(self, request: Request, root: int) -> None:
        """Record one retry inside the mesh."""
        self.retries[(request.request_id, root)] += 1

    def answer(self, request: Request, at_s: float) -> None:
        """Record that the client has its whole answer."""
        self.answered_s.setdefault(request.request_id, at_s)

    def claim_not_run(self, request: Request, root: int) -> None:
        """Record that the client was told that no part of its attempt ran."""
        if (request.request_id, root) in self._root_runs:
            self.not_run_violations += 1

    def refuse(self, reason: str) -> None:
        """Count an attempt of a client that ended without its answer."""
        self.refusals[reason] += 1
