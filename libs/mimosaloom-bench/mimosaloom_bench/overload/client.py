"""The client: sends requests and retries hard."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from .loop import Loop
from .meshes import MeshSpec
from .record import Record
from .scenarios import Request

__all__ = ["Client", "Result", "System"]

MAX_RETRIES = 3
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.15


class Result(NamedTuple):
    """What the client is told about one attempt.

    Attributes:
        reason: Empty for the whole answer.
        is_not_run: Whether the client is told that no part ran.
        may_retry: Whether the client may send the request again.
    """

    reason: str = ""
    is_not_run: bool = False
    may_retry: bool = False


class System(Protocol):
    """The mesh as its clients see it."""

    def receive_root(
        self, request: Request, root: int, done: Callable[[Result], None]
    ) -> None:
        """Take in attempt number `root` of a client at an entry node."""

    def timed_out(self, request: Request) -> Result:
        """Return what a client makes of an attempt without any answer."""


@dataclass
class _Attempt:
    request: Request
    root: int
    is_over: bool = False


class Client:
    """Sends each request and, when it may, up to three retries.

    It ignores Retry-After and comes back after 50 to 150 ms.

    Args:
        loop: The virtual clock.
        mesh: Latency and deadline.
        system: The mesh that serves it.
        record: Where results are written down.
        rng: Draws the backoff.
    """

    def __init__(
        self,
        loop: Loop,
        mesh: MeshSpec,
        system: System,
        record: Record,
        rng: random.Random,
    ):
        self._loop = loop
        self._mesh = mesh
        self._system = system
        self._record = record
        self._rng = rng
        self._open: deque[tuple[float, _Attempt]] = deque()

    def send_all(self, requests: list[Request], index: int = 0) -> None:
        """Send requests, which are in order of time, each at its time."""
        if index < len(requests):
            at_s = requests[index].at_s
            self._loop.call_at(at_s, self._send_next, requests, index)

    def _send_next(self, requests: list[Request], index: int) -> None:
        self.send(requests[index])
        self.send_all(requests, index + 1)

    def send(self, request: Request, root: int = 0) -> None:
        """Send one attempt."""
        attempt = _Attempt(request, root)

        def reply(result: Result) -> None:
            self._loop.call_later(self._mesh.client_s, self._end, attempt, result)

        self._loop.call_later(
            self._mesh.client_s, self._system.receive_root, request, root, reply
        )
        # All attempts have the same timeout, so they expire in the order of sending
        # and one event for the first of them is enough.
        self._open.append((self._loop.now_s + self._mesh.timeout_s, attempt))
        if len(self._open) == 1:
            self._loop.call_at(self._open[0][0], self._expire)

    def _expire(self) -> None:
        while self._open:
            expires_s, attempt = self._open[0]
            if not attempt.is_over and expires_s > self._loop.now_s:
                self._loop.call_at(expires_s, self._expire)
                return
            if not attempt.is_over:
                self._end(attempt, self._system.timed_out(attempt.request))
            self._open.popleft()

    def _end(self, attempt: _Attempt, result: Result) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        request = attempt.request
        if not result.reason:
            self._record.answer(request, self._loop.now_s)
            return
        self._record.refuse(result.reason)
        if result.is_not_run:
            self._record.claim_not_run(request, attempt.root)
        if result.may_retry and attempt.root < MAX_RETRIES:
            backoff_s = self._rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
            self._loop.call_later(backoff_s, self.send, request, attempt.root + 1)
