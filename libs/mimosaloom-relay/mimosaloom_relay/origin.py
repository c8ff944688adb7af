"""The origin's side of a request: route, placement, repeats and the final answer."""

import asyncio
from collections.abc import Callable

from mimosaloom_model import ANSWERS, Clock, Kind, Ran, new_request_id
from mimosaloom_policy import Candidate, rank_request

from .calls import Call, Progress
from .decision_log import DecisionLog
from .hop_messages import HeaderNames, HopContext, HopResult, read_kind
from .hops import HopSender
from .http_client import Answer
from .http_server import Incoming
from .metrics import RelayMetrics
from .refusals import build_refusal
from .repeats import Repeats
from .retry_after import choose_retry_after
from .routes import Configuration, Route, ShareRotation, match_route
from .target_side import HopReply, TargetSide
from .upstreams import Upstreams

__all__ = ["Origin"]

RETRY_AFTER_S = 0.5
# The last hop answers at the deadline; its answer is waited for this much longer.
DEADLINE_SLACK_S = 0.1
# Refusals of a node whose record says that its target takes new calls: it is outdated.
_OUTDATED = frozenset({Kind.DRAINING, Kind.TARGET_UNAVAILABLE, Kind.MISDIRECTED})


class Origin:
    """Serves requests of the clients and of the target on this instance.

    Args:
        own_name: Name of this node.
        own_service: Service of the target on this instance.
        own_address: Returns the address where this node takes hops, as HOST:PORT.
        names: Header names that callers use.
        upstreams: Upstreams of all services.
        target_side: The own target.
        hops: Sends attempts to other nodes.
        repeats: Decides on attempts after the first.
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
        hops: HopSender,
        repeats: Repeats,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        self.configuration: Configuration | None = None
        self.is_closing = False
        self.on_version_heard: Callable[[int, Candidate], None] = lambda v, c: None
        self.on_record_outdated: Callable[[Candidate], None] = lambda c: None
        self._own_name = own_name
        self._own_service = own_service
        self._own_address = own_address
        self._names = names
        self._upstreams = upstreams
        self._target_side = target_side
        self._hops = hops
        self._repeats = repeats
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rotation = ShareRotation()

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
        if self.is_closing and call.parent is None:
            return self._refuse_early(Kind.DRAINING, request_id, "the node is stopping")
        return await self._answer_call(call)

    def _open_call(self, incoming: Incoming, request_id: str, route: Route) -> Call:
        now_s = self._clock.monotonic_s()
        timeout_s = route.request_class.timeout_s
        given = incoming.request.header(self._names.timeout_ms) or ""
        patience_s = int(given) / 1000 if given.isdecimal() else timeout_s
        timeout_s = min(timeout_s, patience_s)
        service = self._rotation.pick(route)
        parent = self._target_side.find_parent(request_id)
        deadline_s = now_s + timeout_s
        return Call(
            incoming, request_id, route, service, parent, now_s, deadline_s, patience_s
        )

    async def _answer_call(self, call: Call) -> Answer:
        self._repeats.record(call)
        progress = Progress()
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
                self._hops.lose(progress.waits_for)
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

    def _is_admitted(self, call: Call) -> bool:
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
        self, call: Call, progress: Progress
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
                failure = reply.answer
                if self._repeats.may_repeat_failure(call, progress, reply):
                    continue
                return reply.answer
            progress.last = reply.result
            progress.retry_after_s = max(
                progress.retry_after_s, reply.result.retry_after_s
            )
            progress.arrivals += reply.result.was_sent
            if not reply.result.was_sent:
                progress.reached.discard(candidate.name)
            if not self._repeats.may_try_again(call, progress, reply.result):
                return failure

    def _pick(self, call: Call, progress: Progress) -> Candidate | None:
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

    def _count_call(self, call: Call, *, is_success: bool) -> None:
        if call.parent is not None:
            parent_id = call.parent.request_id
            self._target_side.count_call(parent_id, is_success=is_success)

    async def _attempt(
        self, call: Call, candidate: Candidate, progress: Progress
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
                reply = await self._hops.send(candidate, context, call.incoming)
                progress.waits_for = None
            kind = read_kind(reply.result)
            if reply.result.is_own_failure:
                kind = Kind.TARGET_FAILED
        finally:
            now_s = self._clock.monotonic_s()
            router.finish(candidate.name, now_s, elapsed_s=now_s - start_s, kind=kind)
        if kind is not None and ANSWERS[kind].ran is Ran.NO:
            progress.may_have_run = had_run
        self._learn(call, candidate, reply.result, now_s)
        return reply

    def _learn(
        self, call: Call, candidate: Candidate, result: HopResult, now_s: float
    ) -> None:
        if not result.incarnation:
            return
        if result.version > self.configuration.version:
            self.on_version_heard(result.version, candidate)
        if read_kind(result) in _OUTDATED:
            self.on_record_outdated(candidate)
            return
        router = self._upstreams.router(call.service)
        if candidate.name not in router.subset:
            # The open level of a target that takes no calls would hide the others.
            return
        router.suggest(candidate.name, result.load, now_s)
        self._upstreams.levels.observe(
            call.service,
            call.route.request_class.name,
            candidate.name,
            result.level,
            now_s,
            level_below=result.level_below,
        )

    def _give_up(self, call: Call, progress: Progress) -> Answer:
        """Return the final answer to a request without an answer of a target."""
        last = progress.last or HopResult(Kind.NO_UPSTREAM.value)
        kind = read_kind(last)
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
        call: Call,
        progress: Progress,
        outcome: str,
        kind: str,
        detail: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        now_s = self._clock.monotonic_s()
        route_class = call.route.request_class
        self._metrics.count_outcome(route_class.name, outcome, now_s - call.start_s)
        has_failed = outcome != "answered" or kind.startswith("5")
        write = self._log.failure if has_failed else self._log.success
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
