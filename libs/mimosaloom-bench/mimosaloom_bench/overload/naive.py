"""The naive mesh: round robin, fixed timeout, three retries at each hop."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .client import Result
from .fakes import Links, Target, caller_pairs, latency_s
from .loop import Loop
from .meshes import MeshSpec
from .record import Record
from .scenarios import Request

__all__ = ["NaiveMesh"]

HOP_TIMEOUT_S = 1.0
RETRIES_PER_HOP = 3

Reply = Callable[[bool], None]


@dataclass
class _Try:
    caller: Target
    request: Request
    root: int
    hop: int
    reply: Reply
    number: int = 0
    is_over: bool = False


class NaiveMesh:
    """Calls without admission control; targets queue in order of arrival.

    Args:
        loop: The virtual clock.
        mesh: Sizes and latencies.
        targets: Targets by service.
        links: Connections that have gone silent.
        record: Where runs and retries are written down.
    """

    def __init__(
        self,
        loop: Loop,
        mesh: MeshSpec,
        targets: dict[str, list[Target]],
        links: Links,
        record: Record,
    ):
        self._loop = loop
        self._mesh = mesh
        self._targets = targets
        self._links = links
        self._record = record
        self._turn: dict[tuple[str, str], int] = defaultdict(int)

    def pairs(self) -> list[tuple[str, str]]:
        """Return the pairs of caller and target that hold connections."""
        return caller_pairs(self._targets)

    def silence(self, pairs: list[tuple[str, str]]) -> None:
        """Make the open connections of some pairs silent."""
        self._links.silence(pairs)

    def replace_targets(self, service: str, new: list[Target]) -> None:
        """Put new targets in the place of the first ones; these finish their calls."""
        self._targets[service] = new + self._targets[service][len(new) :]

    def receive_root(
        self, request: Request, root: int, done: Callable[[Result], None]
    ) -> None:
        """Take in an attempt of a client."""

        def reply(is_success: bool) -> None:
            done(Result() if is_success else Result("error", may_retry=True))

        entry = self._targets[self._path(request)[0]]
        target = entry[(request.entry + root) % len(entry)]
        self._serve(target, request, root, 0, reply)

    def timed_out(self, request: Request) -> Result:
        """Let the client retry after a timeout."""
        return Result("timeout", may_retry=True)

    def _path(self, request: Request) -> tuple[str, ...]:
        return self._mesh.classes[request.class_name].path

    def _serve(self, target, request, root, hop, reply) -> None:
        if target.accepted >= target.service.connections:
            reply(False)
            return
        target.acquire(lambda: self._run(target, request, root, hop, reply))

    def _run(self, target, request, root, hop, reply) -> None:
        start_s = self._loop.now_s
        is_repeated = self._record.start_run(request, root, target.service.name)
        half_s = target.mean_work_s(start_s) * request.work[hop] / 2

        def end(is_success: bool) -> None:
            held_s = self._loop.now_s - start_s
            self._record.end_run(request, held_s, is_repeated)
            target.release()
            reply(is_success)

        def resume(is_success: bool) -> None:
            if is_success:
                self._loop.call_later(half_s, end, True)
            else:
                end(False)

        if hop + 1 == len(request.work):
            self._loop.call_later(2 * half_s, end, True)
        else:
            attempt = _Try(target, request, root, hop + 1, resume)
            self._loop.call_later(half_s, self._send, attempt)

    def _send(self, attempt: _Try) -> None:
        service = self._path(attempt.request)[attempt.hop]
        upstreams = self._targets[service]
        turn = (attempt.caller.name, service)
        self._turn[turn] += 1
        target = upstreams[self._turn[turn] % len(upstreams)]
        pair = (attempt.caller.name, target.name)
        delay_s = latency_s(self._mesh, attempt.caller.domain, target.domain)

        def reply(is_success: bool) -> None:
            if not self._links.is_silent(pair):
                self._loop.call_later(delay_s, self._end, attempt, is_success)

        if not self._links.is_silent(pair):
            self._loop.call_later(
                delay_s,
                self._serve,
                target,
                attempt.request,
                attempt.root,
                attempt.hop,
                reply,
            )
        self._loop.call_later(HOP_TIMEOUT_S, self._expire, attempt, pair)

    def _expire(self, attempt: _Try, pair: tuple[str, str]) -> None:
        if not attempt.is_over:
            self._links.close_one(pair)
            self._end(attempt, False)

    def _end(self, attempt: _Try, is_success: bool) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if is_success or attempt.number == RETRIES_PER_HOP:
            attempt.reply(is_success)
            return
        self._record.retry(attempt.request, attempt.root)
        again = _Try(
            attempt.caller,
            attempt.request,
            attempt.root,
            attempt.hop,
            attempt.reply,
            attempt.number + 1,
        )
        self._send(again)
