"""Naive mesh: round robin, a fixed timeout and three retries at each hop."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .client import Result
from .loop import Loop
from .meshes import MeshSpec
from .record import Record
from .scenarios import Request
from .simulated_targets import Links, Target, list_connection_pairs, one_way_latency_s

__all__ = ["NaiveMesh"]

HOP_TIMEOUT_S = 1.0
RETRIES_PER_HOP = 3

Reply = Callable[[bool], None]


@dataclass
class _HopAttempt:
    caller: Target
    request: Request
    client_attempt: int
    hop: int
    reply: Reply
    retry_number: int = 0
    is_over: bool = False


class NaiveMesh:
    """Passes calls on without admission control; targets queue in order of arrival.

    Args:
        loop: The virtual clock.
        mesh: Sizes and latencies.
        targets: Targets by service.
        links: Connections between callers and targets.
        record: Records runs and retries.
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
        self._round_robin: dict[tuple[str, str], int] = defaultdict(int)

    def connection_pairs(self) -> list[tuple[str, str]]:
        """Return the pairs of caller and target that hold connections."""
        return list_connection_pairs(self._targets)

    def silence_connections(self, pairs: list[tuple[str, str]]) -> None:
        """Make the open connections of the given pairs silent."""
        self._links.silence(pairs)

    def replace_targets(self, service: str, new: list[Target]) -> None:
        """Replace the first targets of a service, which still finish their calls."""
        self._targets[service] = new + self._targets[service][len(new) :]

    def receive_request(
        self, request: Request, client_attempt: int, on_result: Callable[[Result], None]
    ) -> None:
        """Receive an attempt of a client at a target of the entry service."""

        def reply(is_success: bool) -> None:
            on_result(Result() if is_success else Result("error", may_retry=True))

        entry = self._targets[self._path(request)[0]]
        target = entry[(request.entry_index + client_attempt) % len(entry)]
        self._receive_call(target, request, client_attempt, 0, reply)

    def timeout_result(self, request: Request) -> Result:
        """Return a timeout, after which the client may always retry."""
        return Result("timeout", may_retry=True)

    def _path(self, request: Request) -> tuple[str, ...]:
        return self._mesh.classes[request.class_name].path

    def _receive_call(self, target, request, client_attempt, hop, reply) -> None:
        if target.accepted_calls >= target.service.connections:
            reply(False)
            return
        target.acquire(
            lambda: self._run_call(target, request, client_attempt, hop, reply)
        )

    def _run_call(self, target, request, client_attempt, hop, reply) -> None:
        start_s = self._loop.now_s
        is_repeated = self._record.record_run_start(
            request, client_attempt, target.service.name
        )
        half_s = target.mean_work_s(start_s) * request.work_factors[hop] / 2

        def end(is_success: bool) -> None:
            held_s = self._loop.now_s - start_s
            self._record.record_run_end(request, held_s, is_repeated)
            target.release()
            reply(is_success)

        def resume(is_success: bool) -> None:
            if is_success:
                self._loop.call_later(half_s, end, True)
            else:
                end(False)

        if hop + 1 == len(request.work_factors):
            self._loop.call_later(2 * half_s, end, True)
        else:
            attempt = _HopAttempt(target, request, client_attempt, hop + 1, resume)
            self._loop.call_later(half_s, self._send_attempt, attempt)

    def _send_attempt(self, attempt: _HopAttempt) -> None:
        service = self._path(attempt.request)[attempt.hop]
        upstreams = self._targets[service]
        route = (attempt.caller.name, service)
        self._round_robin[route] += 1
        target = upstreams[self._round_robin[route] % len(upstreams)]
        pair = (attempt.caller.name, target.name)
        delay_s = one_way_latency_s(self._mesh, attempt.caller.domain, target.domain)

        def reply(is_success: bool) -> None:
            if not self._links.is_silent(pair):
                self._loop.call_later(
                    delay_s, self._finish_attempt, attempt, is_success
                )

        if not self._links.is_silent(pair):
            self._loop.call_later(
                delay_s,
                self._receive_call,
                target,
                attempt.request,
                attempt.client_attempt,
                attempt.hop,
                reply,
            )
        self._loop.call_later(HOP_TIMEOUT_S, self._expire_attempt, attempt, pair)

    def _expire_attempt(self, attempt: _HopAttempt, pair: tuple[str, str]) -> None:
        if not attempt.is_over:
            self._links.close_one(pair)
            self._finish_attempt(attempt, False)

    def _finish_attempt(self, attempt: _HopAttempt, is_success: bool) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if is_success or attempt.retry_number == RETRIES_PER_HOP:
            attempt.reply(is_success)
            return
        self._record.count_retry(attempt.request, attempt.client_attempt)
        retry = _HopAttempt(
            attempt.caller,
            attempt.request,
            attempt.client_attempt,
            attempt.hop,
            attempt.reply,
            attempt.retry_number + 1,
        )
        self._send_attempt(retry)
