"""The origin's side of a request: route, placement, repeats and the final answer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from mimosaloom_mesh.messages import Response, find_header
from mimosaloom_mesh.transport import Broken
from mimosaloom_model import ANSWERS, Address, Clock, Kind, Ran, new_request_id
from mimosaloom_policy import Candidate, rank_request

from .decision_log import DecisionLog
from .hop_messages import (
    HOP_HEADER,
    HOP_RESULT_HEADER,
    HeaderNames,
    HopContext,
    HopResult,
    decode_header,
    encode_header,
    forwarded_headers,
)
from .http_client import Answer, HttpClient
from .http_server import Incoming
from .metrics import RelayMetrics
from .retry_after import choose_retry_after
from .retry_share import RepeatBound, RepeatShare
from .routes import Configuration, Route, ShareRotation, match_route
from .target_side import HopReply, TargetSide
from .upstreams import Upstreams

__all__ = ["Origin", "build_refusal"]

# Upstreams that may refuse a request unsent before it is given up here.
MAX_REFUSED_HOPS = 3
# Times that targets may reject one request before it is given up.
MAX_ARRIVALS = 4
RETRY_AFTER_S = 0.5
# Callers must not write what nodes tell each other.
_REPLACED = frozenset({HOP_HEADER.lower()})
# The last hop answers at the deadline; its answer is waited for this much longer.
DEADLINE_SLACK_S = 0.1


class _Call(NamedTuple):
    """A request that began here.

    Attributes:
        incoming: What arrived.
        request_id: Its id.
        route: Its route.
        service: The service that is to run it.
        parent: The request on the own target that makes this call; None for a
            request of a client.
        start_s: When it arrived, on the monotonic clock.
        deadline_s: When its final answer is due, on the monotonic clock.
        patience_s: How long its client waits in all.
    """

    incoming: Incoming
    request_id: str
    route: Route
    service: str
    parent: HopContext | None
    start_s: float
    deadline_s: float
    patience_s: float

    @property
    def is_repeat(self) -> bool:
        """Whether it is a call of a run that was a repeat."""
        return self.parent is not None and self.parent.is_repeat

    @property
    def priority(self) -> int:
        """A call is as important as the request that needs it."""
        if self.parent is not None:
            return self.parent.priority
        return self.route.request_class.priority


class _Progress:
    """What has been tried for one request."""

    def __init__(self):
        self.attempts = 0
        self.arrivals = 0
        self.may_have_run = False
        self.tried: set[str] = set()
        self.reached: set[str] = set()
        self.waits_for: Candidate | None = None
        self.last: HopResult | None = None
        self.retry_after_s = 0.0


class Origin:
    """Serves requests of the clients and of the target on this instance.

    Args:
        own_name: Name of this node.
        own_service: Service of the target on this instance.
        own_address: Returns the address where this node takes hops, as HOST:PORT.
        names: Header names that callers use.
        upstreams: Upstreams of all services.
        target_side: The own target.
        client: Sends hops to other nodes.
        repeat_bound: Bound on repeated sends over all nodes.
        clock: Source of time.
        log: Takes decisions.
        metrics: Counts outcomes.
    """

    def __init__(
        self,
        own_name: str,
        own_service: str,
        own_address: Callable[[], str],
        names: HeaderNames,
        upstreams: Upstreams,
        target_side: TargetSide,
        client: HttpClient,
        repeat_bound: RepeatBound,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        self.configuration: Configuration | None = None
        self.on_version_heard: Callable[[int, Candidate], None] = lambda v, c: None
        self.on_peer_lost: Callable[[Candidate], None] = lambda candidate: None
        self._own_name = own_name
        self._own_service = own_service
        self._own_address = own_address
        self._names = names
        self._upstreams = upstreams
        self._target_side = target_side
        self._client = client
        self._repeat_bound = repeat_bound
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rotation = ShareRotation()
        self._shares: dict[str, RepeatShare] = {}

    def put_in_force(self, configuration: Configuration) -> None:
        """Serve by a configuration from now on."""
        self.configuration = configuration
        self._rotation.forget_old(configuration)

    async def handle(self, incoming: Incoming) -> Answer:
        """Answer a request of a client or of the target on this instance."""
        request = incoming.request
        request_id = request.header(self._names.request_id) or ""
        configuration = self.configuration
        if configuration is None:
            return self._refuse_early(Kind.NOT_CONFIGURED, request_id)
        host = request.header("Host") or ""
        route = match_route(configuration, host, request.path)
        if route is None:
            detail = (
                f"{host}{request.path.partition('?')[0]} at {configuration.version}"
            )
            return self._refuse_early(Kind.UNKNOWN_ROUTE, request_id, detail)
        if len(request.body) > configuration.limits.max_body_bytes:
            return self._refuse_early(Kind.BODY_TOO_LARGE, request_id)
        if not request_id:
            # The id also proves below that an answer belongs to its request.
            request_id = new_request_id(self._upstreams.rng)
        call = self._open_call(incoming, request_id, route)
        return await self._answer_call(call)

    def _open_call(self, incoming: Incoming, request_id: str, route: Route) -> _Call:
        now_s = self._clock.monotonic_s()
        timeout_s = route.request_class.timeout_s
        given = incoming.request.header(self._names.timeout_ms) or ""
        patience_s = int(given) / 1000 if given.isdecimal() else timeout_s
        timeout_s = min(timeout_s, patience_s)
        service = self._rotation.pick(route)
        parent = self._target_side.find_parent(request_id)
        deadline_s = now_s + timeout_s
        return _Call(
            incoming, request_id, route, service, parent, now_s, deadline_s, patience_s
        )

    async def _answer_call(self, call: _Call) -> Answer:
        share = self._share(call.service)
        if call.is_repeat:
            share.record_repeat(call.start_s)
        else:
            share.record_request(call.start_s)
        progress = _Progress()
        if not self._is_admitted(call):
            progress.last = HopResult(
                Kind.OVERLOADED.value, "the level of the path is below its rank"
            )
            return self._give_up(call, progress)
        left_s = call.deadline_s - self._clock.monotonic_s() + DEADLINE_SLACK_S
        answer = None
        try:
            async with asyncio.timeout(left_s):
                answer = await self._attempt_until_final(call, progress)
        except TimeoutError:
            if progress.waits_for is not None:
                # A node that lives answers at the deadline itself.
                self._lose(progress.waits_for)
            progress.last = HopResult(
                kind=Kind.DEADLINE_EXCEEDED.value,
                detail="no upstream answered in time",
                was_sent=progress.may_have_run,
            )
        except asyncio.CancelledError:
            self._finish(call, progress, "cancelled", "")
            raise
        if answer is not None:
            self._count_call(call, is_success=answer.response.status < 500)
            self._finish(call, progress, "answered", str(answer.response.status))
            return answer
        self._count_call(call, is_success=False)
        return self._give_up(call, progress)

    def _is_admitted(self, call: _Call) -> bool:
        """Tell whether the path has room; the calls of a running request pass.

        This answers overload of a deep service: the root is the one place where a
        refusal costs no work.
        """
        parent = call.parent
        if parent is not None:
            self._upstreams.calls.record_call(
                parent.route, call.service, call.route.request_class.name, call.start_s
            )
            return True
        return self._upstreams.levels.admits(
            call.service,
            call.route.request_class.name,
            rank_request(call.request_id, call.route.request_class.priority),
            call.start_s,
        )

    async def _attempt_until_final(
        self, call: _Call, progress: _Progress
    ) -> Answer | None:
        """Send the request until it has an answer or no attempt is left."""
        failure: Answer | None = None
        while True:
            candidate = self._pick(call, progress)
            if candidate is None:
                return failure
            progress.attempts += 1
            progress.tried.add(candidate.name)
            progress.reached.add(candidate.name)
            reply = await self._attempt(call, candidate, progress)
            if reply.answer is not None:
                if not reply.result.is_own_failure or not self._may_repeat_failure(
                    call, progress, reply
                ):
                    return reply.answer
                failure = reply.answer
                continue
            progress.last = reply.result
            progress.retry_after_s = max(
                progress.retry_after_s, reply.result.retry_after_s
            )
            progress.arrivals += reply.result.was_sent
            if not reply.result.was_sent:
                progress.reached.discard(candidate.name)
            if not self._may_try_again(call, progress, reply.result):
                return failure

    def _pick(self, call: _Call, progress: _Progress) -> Candidate | None:
        """Return the upstream for the next attempt; None if there is none.

        A request goes to a limited number of targets. Where those only rejected it,
        one of them may get it once more.
        """
        if len(progress.reached) < call.route.max_targets:
            candidate = self._upstreams.pick(call.service, frozenset(progress.tried))
            if candidate is not None:
                return candidate
        if not progress.reached:
            return None
        names = self._upstreams.router(call.service).subset
        others = frozenset(name for name in names if name not in progress.reached)
        return self._upstreams.pick(call.service, others)

    def _may_try_again(
        self, call: _Call, progress: _Progress, result: HopResult
    ) -> bool:
        """Decide whether another upstream gets the request.

        A request that no target has seen moves on freely, a few times. One that has
        arrived at a target counts against the bound on repeats, and a class that must
        not run twice moves on only if it has not run.
        """
        if progress.attempts - progress.arrivals > MAX_REFUSED_HOPS:
            return False
        if not result.was_sent:
            return True
        has_run = ANSWERS[Kind(result.kind)].ran is not Ran.NO
        if has_run and not call.route.request_class.is_idempotent:
            return False
        if has_run and len(progress.reached) >= call.route.max_targets:
            return False
        if progress.arrivals >= MAX_ARRIVALS:
            return False
        return self._spend_repeat(call, result.kind)

    def _may_repeat_failure(
        self, call: _Call, progress: _Progress, reply: HopReply
    ) -> bool:
        """Decide whether a request that a target failed on its own goes to another.

        This answers targets that fail part of their requests. A failure that comes from
        a failed call is not repeated, as it would repeat all work below as well.
        """
        progress.arrivals += 1
        elapsed_s = self._clock.monotonic_s() - call.start_s
        return (
            call.route.request_class.is_idempotent
            and reply.answer.rest is None
            and len(progress.reached) < call.route.max_targets
            and 2 * elapsed_s < call.deadline_s - call.start_s
            and self._spend_repeat(call, Kind.TARGET_FAILED.value)
        )

    def _spend_repeat(self, call: _Call, reason: str) -> bool:
        nodes = len(self._upstreams.peers)
        now_s = self._clock.monotonic_s()
        is_allowed = self._share(call.service).try_spend(
            now_s,
            nodes=nodes,
            is_important=call.priority == 0,
            calls_done=self._count_calls_done(call),
        )
        if is_allowed:
            self._metrics.count_retry(reason)
        else:
            self._metrics.count_stopped_retry("budget")
        return is_allowed

    def _count_call(self, call: _Call, *, is_success: bool) -> None:
        if call.parent is not None:
            parent_id = call.parent.request_id
            self._target_side.count_call(parent_id, is_success=is_success)

    def _count_calls_done(self, call: _Call) -> int:
        if call.parent is None:
            return 0
        return self._target_side.calls_done(call.parent.request_id)

    async def _attempt(
        self, call: _Call, candidate: Candidate, progress: _Progress
    ) -> HopReply:
        router = self._upstreams.router(call.service)
        start_s = self._clock.monotonic_s()
        remaining_ms = max(1, int(1000 * (call.deadline_s - start_s)))
        request_class = call.route.request_class
        parent = call.parent
        context = HopContext(
            request_id=call.request_id,
            service=call.service,
            route=request_class.name,
            priority=call.priority,
            is_idempotent=request_class.is_idempotent,
            remaining_ms=remaining_ms,
            caller_service=self._own_service,
            root_id=call.request_id if parent is None else parent.root_id,
            depth=0 if parent is None else parent.depth + 1,
            attempt=progress.attempts,
            is_repeat=progress.arrivals > 0 or call.is_repeat,
            origin=self._own_address(),
            version=self.configuration.version,
        )
        router.start(candidate.name, start_s)
        kind: Kind | None = Kind.CANCELLED
        had_run = progress.may_have_run
        progress.may_have_run = True
        try:
            if candidate.name == self._own_name:
                reply = await self._target_side.run(context, call.incoming)
            else:
                progress.waits_for = candidate
                reply = await self._send_hop(candidate, context, call.incoming)
                progress.waits_for = None
            kind = Kind(reply.result.kind) if reply.result.kind else None
            if reply.result.is_own_failure:
                kind = Kind.TARGET_FAILED
        finally:
            now_s = self._clock.monotonic_s()
            router.finish(candidate.name, now_s, elapsed_s=now_s - start_s, kind=kind)
        if kind is not None and ANSWERS[kind].ran is Ran.NO:
            progress.may_have_run = had_run
        self._learn(call, candidate, reply.result, now_s)
        return reply

    async def _send_hop(
        self, candidate: Candidate, context: HopContext, incoming: Incoming
    ) -> HopReply:
        received = incoming.request
        headers = (
            *forwarded_headers(received.headers, without=_REPLACED),
            (HOP_HEADER, encode_header(context)),
        )
        outcome = await self._client.send(
            Address(candidate.host, candidate.port),
            received._replace(headers=headers),
            incoming.rest,
            must_not_repeat=not context.is_idempotent,
            is_own=lambda found: (
                find_header(found, self._names.request_id) in (None, context.request_id)
            ),
        )
        if isinstance(outcome, Broken):
            return self._read_broken_hop(candidate, context, outcome)
        result = decode_header(outcome.response.header(HOP_RESULT_HEADER), HopResult)
        if result is None:
            detail = f"node {candidate.name} sent no hop result"
            result = HopResult(Kind.ANSWER_MISMATCH.value, detail, was_sent=True)
            return HopReply(None, result)
        if result.kind:
            return HopReply(None, result)
        headers = tuple(
            item for item in outcome.response.headers if item[0] != HOP_RESULT_HEADER
        )
        response = outcome.response._replace(headers=headers)
        return HopReply(outcome._replace(response=response), result)

    def _read_broken_hop(
        self, candidate: Candidate, context: HopContext, broken: Broken
    ) -> HopReply:
        was_sent = ANSWERS[broken.kind].ran is not Ran.NO
        if broken.kind in (Kind.CONNECT_FAILED, Kind.CONNECTION_LOST):
            self._lose(candidate)
        self._log.failure(
            "hop_broken",
            request_id=context.request_id,
            attempt=context.attempt,
            upstream=candidate.name,
            kind=broken.kind.value,
            detail=broken.detail,
        )
        return HopReply(
            None, HopResult(broken.kind.value, broken.detail, 0.0, was_sent)
        )

    def _lose(self, candidate: Candidate) -> None:
        """Leave a node out until it answers a question on a new connection."""
        # Its other connections may have gone silent as well.
        self._client.drop_idle(Address(candidate.host, candidate.port))
        self.on_peer_lost(candidate)

    def _learn(
        self, call: _Call, candidate: Candidate, result: HopResult, now_s: float
    ) -> None:
        if not result.incarnation:
            return
        router = self._upstreams.router(call.service)
        router.suggest(candidate.name, result.load, now_s)
        self._upstreams.levels.observe(
            call.service,
            call.route.request_class.name,
            candidate.name,
            result.level,
            now_s,
        )
        if result.version > self.configuration.version:
            self.on_version_heard(result.version, candidate)

    def _give_up(self, call: _Call, progress: _Progress) -> Answer:
        """Return the final answer to a request without an answer of a target."""
        last = progress.last or HopResult(Kind.NO_UPSTREAM.value)
        kind = Kind(last.kind)
        if progress.may_have_run and ANSWERS[kind].ran is Ran.NO:
            kind = Kind.CONNECTION_LOST
        elif not progress.may_have_run and ANSWERS[kind].ran is not Ran.NO:
            kind = Kind.NO_UPSTREAM
        left_s = call.start_s + call.patience_s - self._clock.monotonic_s()
        after_s = choose_retry_after(
            left_s, progress.retry_after_s, call.priority, self._upstreams.rng
        )
        self._finish(call, progress, "gave_up", kind.value, last.detail, after_s)
        self._metrics.count_refusal(kind)
        response = build_refusal(
            self._names, kind, call.request_id, last.detail, retry_after_s=after_s
        )
        return Answer(response)

    def _finish(
        self,
        call: _Call,
        progress: _Progress,
        outcome: str,
        kind: str,
        detail: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        now_s = self._clock.monotonic_s()
        route_class = call.route.request_class
        self._metrics.count_outcome(route_class.name, outcome, now_s - call.start_s)
        write = self._log.success if outcome == "answered" else self._log.failure
        write(
            "request_finished",
            request_id=call.request_id,
            route=route_class.name,
            service=call.service,
            priority=route_class.priority,
            outcome=outcome,
            kind=kind,
            detail=detail,
            attempts=progress.attempts,
            arrivals=progress.arrivals,
            tried=sorted(progress.tried),
            elapsed_ms=round(1000 * (now_s - call.start_s)),
            timeout_ms=round(1000 * (call.deadline_s - call.start_s)),
            retry_after_s=retry_after_s,
            version=self.configuration.version,
        )

    def _refuse_early(self, kind: Kind, request_id: str, detail: str = "") -> Answer:
        self._metrics.count_refusal(kind)
        self._log.failure(
            "request_refused", request_id=request_id, kind=kind.value, detail=detail
        )
        response = build_refusal(
            self._names, kind, request_id, detail, retry_after_s=RETRY_AFTER_S
        )
        return Answer(response)

    def _share(self, service: str) -> RepeatShare:
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = RepeatShare(self._repeat_bound)
        return share


def build_refusal(
    names: HeaderNames,
    kind: Kind,
    request_id: str,
    detail: str = "",
    *,
    retry_after_s: float = 0.0,
) -> Response:
    """Return the answer to a request that has no answer of a target."""
    entry = ANSWERS[kind]
    headers = [("Content-Type", "application/json")]
    if request_id:
        headers.append((names.request_id, request_id))
    if entry.is_retryable and entry.ran is Ran.NO and retry_after_s:
        headers.append(("Retry-After", f"{retry_after_s:.3g}"))
    body = msgspec.json.encode(
        {
            "kind": kind.value,
            "ran": entry.ran.value,
            "detail": detail or entry.summary,
            "request_id": request_id,
        }
    )
    return Response(entry.http_status, tuple(headers), body)
