"""Simulated client that retries aggressively."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from .loop import Loop
from .meshes import MeshSpec
from .record import Record
from .scenarios import Request

__all__ = ["Client", "Result", "SimulatedMesh"]

MAX_RETRIES = 3
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.15


class Result(NamedTuple):
    """Outcome of one attempt, as the mesh reports it to the client.

    Attributes:
        reason: Why the attempt failed; empty if the client got the whole answer.
        is_not_run: Whether the mesh states that no part of the attempt ran.
        may_retry: Whether the client may send the request again.
    """

    reason: str = ""
    is_not_run: bool = False
    may_retry: bool = False


class SimulatedMesh(Protocol):
    """Interface of a simulated mesh towards its clients."""

    def receive_request(
        self, request: Request, client_attempt: int, on_result: Callable[[Result], None]
    ) -> None:
        """Receive a request at the entry service.

        Args:
            request: The request.
            client_attempt: Number of the client's attempt, from 0.
            on_result: Called with the outcome.
        """

    def timeout_result(self, request: Request) -> Result:
        """Return the outcome that a client assumes when an attempt times out."""


@dataclass
class _Attempt:
    request: Request
    client_attempt: int
    is_over: bool = False


class Client:
    """Sends each request and, if the outcome allows it, up to three retries.

    It ignores Retry-After and retries after 50 to 150 ms.

    Args:
        loop: The virtual clock.
        mesh: Provides the latency to clients and the request timeout.
        simulated_mesh: Receives the requests.
        record: Records the outcomes.
        rng: Random generator for the backoff.
    """

    def __init__(
        self,
        loop: Loop,
        mesh: MeshSpec,
        simulated_mesh: SimulatedMesh,
        record: Record,
        rng: random.Random,
    ):
        self._loop = loop
        self._mesh = mesh
        self._simulated_mesh = simulated_mesh
        self._record = record
        self._rng = rng
        self._pending: deque[tuple[float, _Attempt]] = deque()

    def send_all(self, requests: list[Request], index: int = 0) -> None:
        """Schedule the requests, sorted by arrival time, from an index onwards."""
        if index < len(requests):
            at_s = requests[index].at_s
            self._loop.call_at(at_s, self._send_next, requests, index)

    def _send_next(self, requests: list[Request], index: int) -> None:
        self.send(requests[index])
        self.send_all(requests, index + 1)

    def send(self, request: Request, client_attempt: int = 0) -> None:
        """Send one attempt of a request."""
        attempt = _Attempt(request, client_attempt)

        def deliver(result: Result) -> None:
            self._loop.call_later(
                self._mesh.client_latency_s, self._finish_attempt, attempt, result
            )

        self._loop.call_later(
            self._mesh.client_latency_s,
            self._simulated_mesh.receive_request,
            request,
            client_attempt,
            deliver,
        )
        # All attempts have the same timeout and expire in the order of sending, so one
        # timer for the oldest attempt is enough.
        self._pending.append((self._loop.now_s + self._mesh.timeout_s, attempt))
        if len(self._pending) == 1:
            self._loop.call_at(self._pending[0][0], self._expire_attempts)

    def _expire_attempts(self) -> None:
        while self._pending:
            expires_s, attempt = self._pending[0]
            if not attempt.is_over and expires_s > self._loop.now_s:
                self._loop.call_at(expires_s, self._expire_attempts)
                return
            if not attempt.is_over:
                self._finish_attempt(
                    attempt, self._simulated_mesh.timeout_result(attempt.request)
                )
            self._pending.popleft()

    def _finish_attempt(self, attempt: _Attempt, result: Result) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        request = attempt.request
        if not result.reason:
            self._record.record_answer(request, self._loop.now_s)
            return
        self._record.count_refusal(result.reason)
        if result.is_not_run:
            self._record.record_not_run_claim(request, attempt.client_attempt)
        if result.may_retry and attempt.client_attempt < MAX_RETRIES:
            backoff_s = self._rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
            self._loop.call_later(
                backoff_s, self.send, request, attempt.client_attempt + 1
            )
