"""Handles a request at its origin, the node where it enters the platform.

The origin matches the route, picks the upstreams, decides on retries and returns the
final answer.
"""

import asyncio
import math
from collections.abc import Callable

from mimosaloom_mesh.messages import Request, Response, parse_decimal
from mimosaloom_model import (
    ERROR_ANSWERS,
    Address,
    Clock,
    ErrorKind,
    Ran,
    RequestClass,
    new_request_id,
)
from mimosaloom_policy import Candidate, FinishEstimate

from .answer_sizes import AnswerSizes
from .bodies import MAX_BUFFERED_BYTES
from .calls import Call, Progress
from .decision_log import DecisionLog, Importance
from .hop_messages import HeaderNames, HopContext, HopResult, read_kind
from .hops import HopSender
from .http_client import Answer
from .http_server import Incoming
from .metrics import RelayMetrics
from .organisations import (
    CREDENTIALS_HEADER,
    Organisation,
    explain_missing_organisation,
    remove_headers,
)
from .quarantine_exchange import QuarantineExchange
from .quota_exchange import QuotaExchange
from .read_progress import ReadProgress
from .refusals import build_refusal
from .request_account import RequestAccount
from .request_key import build_request_key
from .retry_after import choose_retry_after
from .retry_policy import RetryPolicy
from .root_rank import RootRank, effective_rank
from .routes import Configuration, Route, ShareRotation, match_route
from .store_era import StoreEra
from .target_side import HopReply, TargetSide
from .upstreams import Upstreams

__all__ = ["Origin"]

RETRY_AFTER_S = 0.5
# The node beside the target answers at the deadline. The origin waits this much longer
# for that answer to arrive.
DEADLINE_SLACK_S = 0.1
# A node is picked only while its record says that its target takes new calls. One of
# these refusals shows that the record is outdated.
_OUTDATED_RECORD_KINDS = frozenset(
    {ErrorKind.DRAINING, ErrorKind.TARGET_UNAVAILABLE, ErrorKind.MISDIRECTED}
)


class Origin:
    """Serves requests of clients and of the target on this instance.

    A request of a client is a root request. A request of the target is a call that it
    makes while it works on another request, the parent.

    Args:
        own_name: Name of this node.
        own_service: Service of the target on this instance.
        own_address: Returns the address where this node accepts hops, as HOST:PORT.
        names: Header names that callers use.
        upstreams: Upstreams of all services.
        target_side: Runs attempts on the target of this node.
        hops: Sends attempts to other nodes.
        store_era: Era of the store; other nodes are told of it, and tell theirs.
        records_progress: How far the records of nodes have been read; likewise.
        quarantine: Requests that are held back; likewise.
        retry_policy: Decides whether a request gets another attempt.
        quotas: Keeps the quotas of organisations together with the other nodes.
        clock: Source of time.
        log: Receives the log lines of refusals and outcomes.
        metrics: Counts outcomes.

    Attributes:
        configuration: Configuration in force; None before the first.
        is_closing: Whether new root requests are refused because the node is stopping.
        latest_deadline_s: Latest deadline of new requests, on the monotonic clock. The
            end of the process would cut off those that still run.
        recent_pause_s: Returns for how many seconds a request that is read now may have
            waited for this process to run.
        account: Counts the requests that end here.
        answer_sizes: Sizes of the answers to the requests that began here.
        on_newer_version: Called with the version and the node when a node answers with
            a newer configuration version than the one in force here.
        on_record_outdated: Called with a node whose record is outdated.
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
        store_era: StoreEra,
        records_progress: ReadProgress,
        quarantine: QuarantineExchange,
        retry_policy: RetryPolicy,
        quotas: QuotaExchange,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        self.configuration: Configuration | None = None
        self.is_closing = False
        self.latest_deadline_s = math.inf
        self.recent_pause_s: Callable[[], float] = lambda: 0.0
        self.account = RequestAccount(clock)
        self.answer_sizes = AnswerSizes()
        self.on_newer_version: Callable[[int, Candidate], None] = lambda v, c: None
        self.on_record_outdated: Callable[[Candidate], None] = lambda c: None
        self._own_name = own_name
        self._own_service = own_service
        self._own_address = own_address
        self._names = names
        self._upstreams = upstreams
        self._target_side = target_side
        self._hops = hops
        self._store_era = store_era
        self._records_progress = records_progress
        self._quarantine = quarantine
        self._retry_policy = retry_policy
        self._quotas = quotas
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rotation = ShareRotation()
        # Targets get neither keys nor an organisation that the caller has named.
        self._organisation_headers = frozenset(
            {CREDENTIALS_HEADER.lower(), names.organisation.lower()}
        )
        self._root_rank = RootRank(clock, metrics)
        # Rate limits that targets have named in answers, by the name of the upstream.
        self._rate_limits_per_s: dict[str, float] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration to all requests from now on."""
        self.configuration = configuration
        self._rotation.drop_unused(configuration)
        self.answer_sizes.drop_unused(
            {
                route.request_class.name
                for routes in configuration.routes.values()
                for route in routes
            }
        )
        self._root_rank.apply_organisations(configuration.organisations)

    def may_overlap(self, request: Request) -> bool:
        """Return whether a request may run while others of its connection run.

        An answer that is streamed can break off midway, which closes the connection.
        Requests behind it would have run without an answer, so none is started.
        """
        request_class = self._find_class(request)
        return (
            request_class is not None
            and request_class.is_idempotent
            and self.answer_sizes.expect(request_class.name) <= MAX_BUFFERED_BYTES
        )

    def expect_answer_bytes(self, request: Request) -> int:
        """Return how many bytes the answer to a request may have."""
        request_class = self._find_class(request)
        return (
            0 if request_class is None else self.answer_sizes.expect(request_class.name)
        )

    def _find_class(self, request: Request) -> RequestClass | None:
        if self.configuration is None:
            return None
        host = request.header("Host") or ""
        route = match_route(self.configuration, host, request.path)
        return None if route is None else route.request_class

    async def handle(self, incoming: Incoming) -> Answer:
        """Answer a request of a client or of the target on this instance."""
        request = incoming.request
        request_id = request.header(self._names.request_id) or ""
        configuration = self.configuration
        if configuration is None:
            return self._refuse_early(ErrorKind.NOT_CONFIGURED, request_id)
        host = request.header("Host") or ""
        route = match_route(configuration, host, request.path)
        if route is None:
            detail = (
                f"{host}{request.path.partition('?')[0]} "
                f"matches no route in configuration {configuration.version}"
            )
            return self._refuse_early(ErrorKind.UNKNOWN_ROUTE, request_id, detail)
        if len(request.body) > configuration.limits.max_body_bytes:
            return self._refuse_early(ErrorKind.BODY_TOO_LARGE, request_id)
        parent = self._target_side.find_parent(request_id)
        organisation = None
        if configuration.organisations is not None:
            credential = configuration.organisations.find(request.headers)
            organisation = credential.organisation if parent is None else None
            if parent is None and organisation is None and not route.is_public:
                kind = explain_missing_organisation(credential, request_id)
                return self._refuse_early(kind, request_id)
        if not request_id:
            # The id is also used to check that an answer belongs to its request.
            request_id = new_request_id(self._upstreams.rng)
        call = self._build_call(incoming, request_id, route, parent, organisation)
        if self.is_closing and call.parent is None:
            return self._refuse_early(
                ErrorKind.DRAINING, request_id, "the node is stopping"
            )
        with self._target_side.work.record_call(call.parent):
            return await self._answer_call(call)

    def refuse_for_memory(self, request: Request) -> Response:
        """Return the answer to a request that is not started for lack of memory."""
        request_id = request.header(self._names.request_id) or ""
        detail = "the requests of all clients take the memory for them"
        return self._refuse_early(ErrorKind.OVERLOADED, request_id, detail).response

    def _build_call(
        self,
        incoming: Incoming,
        request_id: str,
        route: Route,
        parent: HopContext | None,
        organisation: Organisation | None,
    ) -> Call:
        read_at_s = incoming.read_at_s
        if read_at_s is None:
            read_at_s = self._clock.monotonic_s()
        start_s = read_at_s - self.recent_pause_s()
        timeout_s = route.request_class.timeout_s
        timeout_ms = parse_decimal(incoming.request.header(self._names.timeout_ms))
        caller_timeout_s = timeout_s if timeout_ms is None else timeout_ms / 1000
        timeout_s = min(timeout_s, caller_timeout_s)
        service = self._rotation.pick(route)
        deadline_s = min(start_s + timeout_s, self.latest_deadline_s)
        request_key = build_request_key(incoming.request, incoming.streamed_body)
        if self.configuration.organisations is not None:
            incoming = incoming._replace(
                request=remove_headers(incoming.request, self._organisation_headers)
            )
        return Call(
            incoming,
            request_id,
            request_key,
            route,
            service,
            parent,
            start_s,
            deadline_s,
            caller_timeout_s,
            organisation,
        )

    async def _answer_call(self, call: Call) -> Answer:
        self._retry_policy.record_request(call)
        progress = Progress()
        permission = self._quarantine.table.try_send(call.request_key, call.start_s)
        if permission.hold_s:
            ends = self._quarantine.table.count_ends(call.request_key)
            progress.last_result = HopResult(
                ErrorKind.QUARANTINED.value,
                f"{ends} targets have ended while they ran this request",
                permission.hold_s,
            )
            return self._finish_with_refusal(call, progress)
        progress.is_trial = permission.is_trial
        if call.deadline_s <= self._clock.monotonic_s():
            progress.last_result = HopResult(
                ErrorKind.DEADLINE_TOO_SHORT.value,
                "the time of the request ran out while this process was paused, or "
                "the process ends before it",
            )
            return self._finish_with_refusal(call, progress)
        if not await self._has_quota(call, progress):
            return self._finish_with_refusal(call, progress)
        progress.rank = self._root_rank.record_and_rank(call)
        if not self._is_admitted(call, progress.rank):
            progress.last_result = HopResult(
                ErrorKind.OVERLOADED.value,
                "the admission level of the path is below the rank of the request",
            )
            return self._finish_with_refusal(call, progress)
        remaining_s = call.deadline_s - self._clock.monotonic_s() + DEADLINE_SLACK_S
        answer = None
        try:
            async with asyncio.timeout(remaining_s):
                answer = await self._send_until_answered(call, progress)
        except TimeoutError:
            if progress.awaited_node is not None:
                # A node that is alive would have answered at the deadline.
                self._hops.mark_unreachable(progress.awaited_node)
            progress.last_result = HopResult(
                kind=ErrorKind.DEADLINE_EXCEEDED.value,
                detail="no upstream answered in time",
                was_sent=progress.may_have_run,
            )
        except asyncio.CancelledError:
            self._record_outcome(call, progress, "cancelled", "")
            raise
        if answer is not None:
            self._record_call_result(call, is_success=answer.response.status < 500)
            if answer.streamed_body is not None:
                left_s = call.deadline_s - self._clock.monotonic_s()
                answer.streamed_body.limit_time(left_s + DEADLINE_SLACK_S)
            self.answer_sizes.record(
                call.route.request_class.name,
                len(answer.response.body)
                if answer.streamed_body is None
                else MAX_BUFFERED_BYTES + 1,
            )
            self._record_outcome(
                call, progress, "answered", str(answer.response.status)
            )
            return answer
        self._record_call_result(call, is_success=False)
        return self._finish_with_refusal(call, progress)

    async def _has_quota(self, call: Call, progress: Progress) -> bool:
        """Take a token for a request of an organisation; return False if it gets none.

        This protects the organisations that stay within their quota from one that sends
        several times as much. Calls belong to a request that has its token.
        """
        if call.organisation is None or call.organisation.quota is None:
            return True
        pause_s = await self._quotas.acquire(call.organisation.name)
        if not pause_s:
            progress.token_expires_s = self._quotas.taken_expires_s
            return True
        progress.last_result = HopResult(
            ErrorKind.OVER_QUOTA.value,
            f"{call.organisation.name} has used up its quota",
            pause_s,
        )
        return False

    def _return_token(self, call: Call, progress: Progress) -> None:
        """Return the token of a request that has not run."""
        if progress.token_expires_s is not None and not progress.may_have_run:
            name = call.organisation.name
            self._quotas.put_back(name, progress.token_expires_s)

    def _is_admitted(self, call: Call, rank: float) -> bool:
        """Return whether the path has capacity; calls of a running request always pass.

        This protects against overload of a service deep in the call graph: only at the
        root does a refusal waste no work.
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
            effective_rank(rank, call.request_id, call.priority),
            call.start_s,
        )

    async def _send_until_answered(
        self, call: Call, progress: Progress
    ) -> Answer | None:
        """Send attempts until one is answered or no further attempt is allowed.

        Returns:
            The final answer, which may be a failure of the target; None if no target
            has answered.
        """
        failure: Answer | None = None
        while True:
            candidate = self._pick_upstream(call, progress)
            if candidate is None:
                return failure
            progress.attempts += 1
            progress.expected_s = self._upstreams.expected_s(
                call.service, candidate.name, call.route.request_class.name
            )
            progress.tried.add(candidate.name)
            progress.reached.add(candidate.name)
            reply = await self._send_attempt(call, candidate, progress)
            if reply.answer is not None:
                self._quarantine.report_answer(call.request_key, reply.answer)
                failure = reply.answer
                if self._retry_policy.may_retry_failure(call, progress, reply):
                    continue
                return reply.answer
            progress.last_result = reply.result
            progress.retry_after_s = max(
                progress.retry_after_s, reply.result.retry_after_s
            )
            progress.arrivals += reply.result.was_sent
            if not reply.result.was_sent:
                progress.reached.discard(candidate.name)
            if not self._retry_policy.may_try_another_upstream(
                call, progress, reply.result
            ):
                return failure

    def _pick_upstream(self, call: Call, progress: Progress) -> Candidate | None:
        """Return the upstream for the next attempt; None if there is none.

        A request is sent to a limited number of targets. At that limit, or if no
        untried upstream is left, a target that the request has already reached is
        picked again; at the limit, the retry policy allows this only after a rejection.
        """
        objective_s = call.route.objective_s
        class_name = call.route.request_class.name
        if len(progress.reached) < call.route.max_targets:
            tried = frozenset(progress.tried)
            candidate = self._upstreams.pick(
                call.service, tried, objective_s, class_name
            )
            if candidate is not None:
                return candidate
        if not progress.reached:
            return None
        names = self._upstreams.router(call.service).subset
        excluded = frozenset(name for name in names if name not in progress.reached)
        return self._upstreams.pick(call.service, excluded, objective_s, class_name)

    def _record_call_result(self, call: Call, *, is_success: bool) -> None:
        if call.parent is not None:
            parent_id = call.parent.request_id
            self._target_side.record_call_result(parent_id, is_success=is_success)

    async def _send_attempt(
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
            store_era=self._store_era.number,
            records_offset=self._records_progress.offset_in(self._store_era.number),
            rate_limit_per_s=self._rate_limits_per_s.get(candidate.name, 0.0),
            request_key=call.request_key,
            is_trial=progress.is_trial,
            quarantine_digest=self._quarantine.table.digest,
            organisation=call.organisation_name,
            rank=progress.rank,
        )
        router.start(candidate.name, start_s)
        progress.last_upstream = candidate.name
        kind: ErrorKind | None = ErrorKind.CANCELLED
        may_have_run_before = progress.may_have_run
        try:
            if candidate.name == self._own_name:
                reply = await self._target_side.run(
                    context, call.incoming, progress.record_write
                )
            else:
                progress.awaited_node = candidate
                reply = await self._hops.send(
                    candidate, context, call.incoming, progress.record_write
                )
                progress.awaited_node = None
            kind = read_kind(reply.result)
            progress.kinds.append("answered" if kind is None else kind.value)
            if reply.result.was_sent and progress.first_target_s is None:
                progress.first_target_s = start_s
            if reply.result.is_own_failure:
                kind = ErrorKind.TARGET_FAILED
        finally:
            now_s = self._clock.monotonic_s()
            router.finish(candidate.name, now_s, elapsed_s=now_s - start_s, kind=kind)
        if kind is not None and ERROR_ANSWERS[kind].ran is Ran.NO:
            progress.may_have_run = may_have_run_before
        self._apply_hop_result(call, candidate, reply.result, now_s)
        return reply

    def _apply_hop_result(
        self, call: Call, candidate: Candidate, result: HopResult, now_s: float
    ) -> None:
        if not result.incarnation:
            return
        if result.was_sent:
            self._rate_limits_per_s.pop(candidate.name, None)
            if result.left_start:
                self._upstreams.mark_left(candidate.name, result.left_start)
            if result.rate_limit_per_s:
                self._rate_limits_per_s[candidate.name] = result.rate_limit_per_s
        if result.ended_start and call.request_key:
            self._quarantine.record_end(result.ended_start, call.request_key)
        self._apply_node_state(candidate, result)
        if read_kind(result) in _OUTDATED_RECORD_KINDS:
            self.on_record_outdated(candidate)
            return
        router = self._upstreams.router(call.service)
        if candidate.name not in router.subset:
            # A target that takes no calls reports a level that admits all calls, which
            # would hide the lower levels of the targets that do.
            return
        router.record_load(candidate.name, result.load, now_s)
        router.record_estimate(
            candidate.name,
            result.incarnation,
            call.route.request_class.name,
            FinishEstimate(result.wait_s, result.service_s),
            now_s,
        )
        if result.pause_s:
            router.pause(candidate.name, now_s + result.pause_s)
        self._upstreams.levels.record_levels(
            call.service,
            call.route.request_class.name,
            candidate.name,
            result.level,
            now_s,
            level_below=result.level_below,
        )

    def _apply_node_state(self, candidate: Candidate, result: HopResult) -> None:
        """Catch up where the state of another node is newer than that of this one."""
        self._store_era.hint(result.store_era)
        self._records_progress.hint(result.store_era, result.records_offset)
        if result.quarantine_digest:
            address = Address(candidate.host, candidate.port)
            self._quarantine.compare_digest(result.quarantine_digest, address)
        if result.version > self.configuration.version:
            self.on_newer_version(result.version, candidate)

    def _finish_with_refusal(self, call: Call, progress: Progress) -> Answer:
        """Record that no target answered, and return the refusal for the caller."""
        last_result = progress.last_result or HopResult(ErrorKind.NO_UPSTREAM.value)
        kind = read_kind(last_result)
        if progress.may_have_run and ERROR_ANSWERS[kind].ran is Ran.NO:
            kind = ErrorKind.CONNECTION_LOST
        elif not progress.may_have_run and ERROR_ANSWERS[kind].ran is not Ran.NO:
            kind = ErrorKind.NO_UPSTREAM
        remaining_s = call.start_s + call.caller_timeout_s - self._clock.monotonic_s()
        self._return_token(call, progress)
        if kind in (ErrorKind.QUARANTINED, ErrorKind.OVER_QUOTA):
            retry_after_s = last_result.retry_after_s
        else:
            retry_after_s = choose_retry_after(
                remaining_s, progress.retry_after_s, call.priority, self._upstreams.rng
            )
        self._record_outcome(
            call, progress, "gave_up", kind.value, last_result.detail, retry_after_s
        )
        self._metrics.count_refusal(kind)
        response = build_refusal(
            self._names,
            kind,
            call.request_id,
            last_result.detail,
            retry_after_s=retry_after_s,
        )
        return Answer(response)

    def _record_outcome(
        self,
        call: Call,
        progress: Progress,
        outcome: str,
        kind: str,
        detail: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        now_s = self._clock.monotonic_s()
        request_class = call.route.request_class
        elapsed_s = now_s - call.start_s
        self._metrics.count_outcome(request_class.name, outcome, elapsed_s)
        self.account.count_call(
            call, progress, outcome, kind, elapsed_s, call.organisation_name
        )
        has_failed = outcome != "answered" or kind.startswith("5")
        importance = Importance.FAILURE if has_failed else Importance.SUCCESS
        if not self._log.has_room(importance):
            return
        write = self._log.failure if has_failed else self._log.success
        root_id = call.parent.root_id if call.parent else call.request_id
        write(
            "request_finished",
            request_id=call.request_id,
            request_key=call.request_key,
            route=request_class.name,
            service=call.service,
            priority=request_class.priority,
            outcome=outcome,
            kind=kind,
            detail=detail,
            attempts=progress.attempts,
            attempt_kinds=progress.kinds,
            arrivals=progress.arrivals,
            tried=sorted(progress.tried),
            elapsed_ms=round(1000 * elapsed_s),
            expected_ms=progress.expected_ms,
            timeout_ms=round(1000 * (call.deadline_s - call.start_s)),
            retry_after_s=retry_after_s,
            version=self.configuration.version,
            organisation=call.organisation_name,
            rank=round(effective_rank(progress.rank, root_id, call.priority), 4),
        )

    def _refuse_early(
        self, kind: ErrorKind, request_id: str, detail: str = ""
    ) -> Answer:
        self._metrics.count_refusal(kind)
        self.account.count_early_refusal(kind)
        self._log.failure(
            "request_refused", request_id=request_id, kind=kind.value, detail=detail
        )
        response = build_refusal(
            self._names, kind, request_id, detail, retry_after_s=RETRY_AFTER_S
        )
        return Answer(response)
