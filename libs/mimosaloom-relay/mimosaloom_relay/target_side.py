"""Handles a hop at its target: admission in front of the target, then the call."""

import asyncio
import itertools
import math
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from mimosaloom_mesh import AdmissionGate
from mimosaloom_mesh.messages import Request
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import ERROR_ANSWERS, Clock, ErrorKind, Ran
from mimosaloom_policy import (
    Admission,
    Arrival,
    CallCountEstimate,
    FinishEstimate,
    Refuse,
)

from .answer_checks import OWN_FAILURE_STATUSES, find_answer_problem
from .decision_log import DecisionLog, Importance
from .end_detector import EndDetector, TargetConnections
from .hop_messages import (
    HOP_HEADER,
    HeaderNames,
    HopContext,
    HopResult,
    forwarded_headers,
)
from .http_client import Answer, HttpClient
from .http_server import Incoming
from .metrics import RelayMetrics
from .organisations import CALL_SEPARATOR
from .own_target import OwnTarget
from .quarantine_exchange import QuarantineExchange
from .request_account import RequestAccount
from .root_rank import effective_rank
from .target_signals import SignalMonitor
from .target_work import TargetWork

__all__ = ["HopReply", "TargetSide"]

# Share of the declared slots that admission uses. Targets slow down when nearly full.
USED_SLOTS_RATIO = 0.94
# The target itself answers by the deadline. The node waits this much longer for that
# answer to arrive.
DEADLINE_SLACK_S = 0.05
RETRY_AFTER_S = 0.5
# A health check waits for a slot, and a slow target answers late.
HEALTH_TIMEOUT_S = 2.0
# A line with the keys of all lost calls could be longer than a line may be.
MAX_LOGGED_KEYS = 16


class HopReply(NamedTuple):
    """Outcome of one attempt.

    Attributes:
        answer: The target's own answer; None if there is none.
        result: Result that the node beside the target reports.
    """

    answer: Answer | None
    result: HopResult


class _Refusal(NamedTuple):
    """Why a request is not sent to the target.

    Attributes:
        kind: The reason.
        retry_after_s: Delay before a retry in seconds; 0 if not known.
    """

    kind: ErrorKind
    retry_after_s: float = 0.0


class TargetSide:
    """Runs requests on the target beside this node.

    Args:
        own_target: State of the target.
        incarnation: Incarnation of this process.
        names: Header names that the target uses.
        client: Sends requests to the target.
        quarantine: Requests that are held back because targets end under them.
        clock: Source of time.
        log: Receives the log lines of refusals and answers.
        metrics: Counts outcomes.

    Attributes:
        is_stopping: Whether hops are refused because the node is stopping.
        latest_deadline_s: Latest deadline of new hops, on the monotonic clock. The end
            of the process would cut off those that still run.
        account: Counts the hops that end here.
        on_unreachable: Called when the target has become unreachable.
        on_leaving: Called when the target has said in an answer that it leaves.
        level_below: Returns the lowest admission level of the services that a request
            class calls.
        recent_pause_s: Returns for how many seconds a request that is read now may have
            waited for this process to run.
        find_missing_service: Returns a service that a request class calls and that has
            no upstream; None if there is none.
        work: Own work of requests on the target.
    """

    def __init__(
        self,
        own_target: OwnTarget,
        incarnation: str,
        names: HeaderNames,
        client: HttpClient,
        quarantine: QuarantineExchange,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        self.own_target = own_target
        self.incarnation = incarnation
        self.is_stopping = False
        self.latest_deadline_s = math.inf
        self.account = RequestAccount(clock)
        self.on_unreachable = lambda: None
        self.on_leaving = lambda: None
        self.level_below: Callable[[str], float] = lambda class_name: 1.0
        self.recent_pause_s: Callable[[], float] = lambda: 0.0
        self.find_missing_service: Callable[[str], str | None] = lambda class_name: None
        self.work = TargetWork(clock, metrics)
        self._names = names
        self._client = client
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._gate: AdmissionGate | None = None
        self._used_slots = 1
        self._tick_task: asyncio.Task | None = None
        self._detached_runs: set[asyncio.Task] = set()
        self._attempt_numbers = itertools.count()
        self._running: dict[str, HopContext] = {}
        self._completed_calls: Counter[str] = Counter()
        self._call_counts = CallCountEstimate()
        self._parents_with_failed_call: set[str] = set()
        self._rejected_until_s: dict[str, float] = {}
        self._signals = SignalMonitor(
            own_target,
            names,
            lambda: self.on_leaving(),
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self._end_detector = EndDetector(
            own_target,
            TargetConnections(
                lambda: client.has_open_connection(own_target.address),
                lambda: client.can_connect(own_target.address),
            ),
            self._handle_end,
            clock=clock,
        )
        # The target must see only the values that this node sets.
        self._replaced = frozenset(
            {
                names.timeout_ms.lower(),
                names.expected_target.lower(),
                names.caller_service.lower(),
                HOP_HEADER.lower(),
            }
        )

    @property
    def detached_runs(self) -> set[asyncio.Task]:
        """Tasks of requests that continue on the target if their client leaves."""
        return self._detached_runs

    @property
    def admission(self) -> Admission | None:
        """Admission of the current target; None before the first target starts."""
        return None if self._gate is None else self._gate.admission

    def find_parent(self, request_id: str) -> HopContext | None:
        """Return the request on the target that makes a call; None if none does.

        For each call, a target appends a separator and a suffix to the id of the
        request that it works on.
        """
        return self._running.get(request_id.rpartition(CALL_SEPARATOR)[0])

    def record_call_result(self, parent_id: str, *, is_success: bool) -> None:
        """Record whether a call of a running request was answered or failed."""
        if parent_id not in self._running:
            return
        if is_success:
            self._completed_calls[parent_id] += 1
        else:
            self._parents_with_failed_call.add(parent_id)

    def estimate_remaining_calls(self, parent: HopContext) -> int:
        """Return how many calls a running request is expected to make still."""
        completed = self._completed_calls.get(parent.request_id, 0)
        return self._call_counts.remaining_calls(parent.route, completed)

    def reset_admission(self, slots: int) -> None:
        """Start a new admission for a target that was announced or resumed."""
        self._used_slots = max(1, math.floor(slots * USED_SLOTS_RATIO))
        self.work.reset(self._used_slots)
        admission = Admission(self._used_slots, self._clock.monotonic_s())
        self._gate = AdmissionGate(admission, self._clock, self._metrics)
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._tick_task = asyncio.ensure_future(self._gate.run_ticks())

    def close(self) -> None:
        """Cancel the periodic admission task."""
        if self._tick_task is not None:
            self._tick_task.cancel()

    @property
    def used_slots(self) -> int:
        """Number of slots of the target that admission uses at most."""
        return self._used_slots

    async def accepts_connections(self) -> bool:
        """Return whether the target has an open connection or accepts a new one."""
        address = self.own_target.address
        return self._client.has_open_connection(
            address
        ) or await self._client.can_connect(address)

    async def is_serving(self, health_path: str, target_id: str) -> bool:
        """Send a health check; return whether the expected target answers it with 200.

        Args:
            health_path: Path of the health check.
            target_id: Id of the target that has to answer.
        """
        address = self.own_target.address
        request = Request("GET", health_path, (("Host", f"{address.host}"),))
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                # The answer names no request. On a connection that goes on to be used,
                # a late copy of it could answer one.
                outcome = await self._client.send(
                    address, request, expected_id=(self._names.request_id, "")
                )
        except TimeoutError:
            return False
        if isinstance(outcome, FailedSend):
            return False
        if outcome.streamed_body is not None:
            outcome.streamed_body.abort()
        response = outcome.response
        is_expected = response.header(self._names.target_id) == target_id
        return response.status == 200 and is_expected

    async def run(
        self,
        context: HopContext,
        incoming: Incoming,
        on_write: Callable[[], None] = lambda: None,
    ) -> HopReply:
        """Run one attempt on the target.

        Cancelling the awaiting task removes a queued request. A running request is
        cancelled only if it is idempotent.

        Args:
            context: Context of the attempt.
            incoming: The request as received.
            on_write: Called before the request is written to the target, or as soon as
                cancelling no longer prevents that.
        """
        gate = self._gate
        refusal = self._find_refusal(context, gate)
        if refusal is not None:
            return self._refuse(context, refusal)
        now_s = self._clock.monotonic_s()
        if context.rate_limit_per_s:
            gate.admission.rate_limit.assume(context.rate_limit_per_s, now_s)
        deadline_s = now_s + context.remaining_ms / 1000 - self.recent_pause_s()
        deadline_s = min(deadline_s, self.latest_deadline_s)
        key = f"{context.request_id}/{next(self._attempt_numbers)}"
        try:
            decision = await gate.wait_for_admission(
                _build_arrival(key, context, deadline_s)
            )
        except asyncio.CancelledError:
            wait_s = self._clock.monotonic_s() - now_s
            self.account.count_cancelled_hop(context, wait_s)
            raise
        wait_s = self._clock.monotonic_s() - now_s
        if isinstance(decision, Refuse):
            refusal = _Refusal(decision.kind, decision.retry_after_s)
            return self._refuse(context, refusal, wait_s)
        # The state may have changed while the request was queued.
        refusal = self._find_refusal(context, gate)
        if refusal is not None:
            gate.finish(key, is_success=False)
            return self._refuse(context, refusal, wait_s)
        if not context.is_idempotent:
            on_write()
        sending = self._send_and_release(
            gate, key, context, incoming, deadline_s, on_write
        )
        sending = self._count_run(context, wait_s, sending)
        if context.is_idempotent:
            return await sending
        # A request that must not run twice also runs to its end if its client leaves.
        task = asyncio.ensure_future(sending)
        self._detached_runs.add(task)
        task.add_done_callback(self._detached_runs.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abort_unread_answer)
            raise

    def _find_refusal(
        self, context: HopContext, gate: AdmissionGate | None
    ) -> _Refusal | None:
        """Return why a request must not go to the target; None if it may.

        Args:
            context: Context of the request.
            gate: Gate of the start of the target that the request is for.
        """
        own = self.own_target
        if context.service != own.service:
            return _Refusal(ErrorKind.MISDIRECTED)
        if self.is_stopping or own.is_leaving:
            return _Refusal(ErrorKind.DRAINING)
        if not own.is_available or gate is None:
            return _Refusal(ErrorKind.TARGET_UNAVAILABLE)
        if self.find_missing_service(context.route) is not None:
            return _Refusal(ErrorKind.NO_UPSTREAM)
        if gate is not self._gate:
            return _Refusal(ErrorKind.TARGET_UNAVAILABLE)
        if not context.is_trial:
            now_s = self._clock.monotonic_s()
            hold_s = self._quarantine.table.find_hold_s(context.request_key, now_s)
            if hold_s:
                return _Refusal(ErrorKind.QUARANTINED, hold_s)
        return None

    def _refuse(
        self, context: HopContext, refusal: _Refusal, wait_s: float = 0.0
    ) -> HopReply:
        kind = refusal.kind
        self._metrics.count_refusal(kind)
        self.account.count_refused_hop(context, kind, wait_s)
        gate = self._gate
        self._log.failure(
            "hop_refused",
            request_id=context.request_id,
            attempt=context.attempt,
            route=context.route,
            kind=kind.value,
            detail="",
            origin=context.origin,
            priority=context.priority,
            remaining_ms=context.remaining_ms,
            in_flight=gate.admission.in_flight if gate else 0,
            queued=gate.admission.queued if gate else 0,
            limit=gate.admission.limit if gate else 0,
            level=gate.admission.level if gate else 0.0,
            rate_limit_per_s=self._rate_limit_per_s(),
        )
        result = self._build_result(context, kind, retry_after_s=refusal.retry_after_s)
        return HopReply(None, result)

    def _build_result(
        self,
        context: HopContext,
        kind: ErrorKind | None = None,
        detail: str = "",
        retry_after_s: float = 0.0,
        *,
        was_sent: bool = False,
    ) -> HopResult:
        level, load, pause_s = 1.0, 0.0, 0.0
        estimate = FinishEstimate()
        if self._gate is not None:
            admission = self._gate.admission
            level = admission.level
            load = (admission.in_flight + admission.queued) / self._used_slots
            now_s = self._clock.monotonic_s()
            pause_s = admission.rate_limit.reserve_pause_s(now_s)
            estimate = self.work.estimate(context.route, admission.queued)
        return HopResult(
            kind="" if kind is None else kind.value,
            detail=detail,
            retry_after_s=retry_after_s,
            was_sent=was_sent,
            incarnation=self.incarnation,
            level=level,
            level_below=self.level_below(context.route),
            load=load,
            rate_limit_per_s=self._rate_limit_per_s(),
            pause_s=pause_s,
            wait_s=estimate.wait_s,
            service_s=estimate.service_s,
        )

    def _rate_limit_per_s(self) -> float:
        """Return the rate limit of the target in requests/s; 0 for none."""
        if self._gate is None:
            return 0.0
        return self._gate.admission.rate_limit.named_per_s or 0.0

    async def _count_run(
        self, context: HopContext, wait_s: float, sending: Awaitable[HopReply]
    ) -> HopReply:
        start_s = self._clock.monotonic_s()
        status, kind = None, ""
        try:
            reply = await sending
            status = None if reply.answer is None else reply.answer.response.status
            kind = reply.result.kind
            return reply
        finally:
            busy_s = self._clock.monotonic_s() - start_s
            self.account.count_run(context, status, kind, wait_s, busy_s)

    async def _send_and_release(
        self,
        gate: AdmissionGate,
        key: str,
        context: HopContext,
        incoming: Incoming,
        deadline_s: float,
        on_write: Callable[[], None],
    ) -> HopReply:
        is_success = False
        self._running[context.request_id] = context
        self.work.record_start(context)
        try:
            reply = await self._send_to_target(
                gate, context, incoming, deadline_s, on_write
            )
            is_success = reply.answer is not None
            return reply
        finally:
            # Another attempt of the same request may run here at the same time, and may
            # already have removed these entries.
            self._running.pop(context.request_id, None)
            self.work.record_end(context)
            has_failed_call = context.request_id in self._parents_with_failed_call
            completed = self._completed_calls.pop(context.request_id, 0)
            if is_success and not has_failed_call:
                self._call_counts.record(context.route, completed)
            self._parents_with_failed_call.discard(context.request_id)
            gate.finish(key, is_success=is_success)

    async def _send_to_target(
        self,
        gate: AdmissionGate,
        context: HopContext,
        incoming: Incoming,
        deadline_s: float,
        on_write: Callable[[], None],
    ) -> HopReply:
        start_s = self._clock.monotonic_s()
        start_key = self.own_target.start_key
        remaining_s = deadline_s - start_s
        outcome = await self._exchange(
            context, incoming, start_key, remaining_s, on_write
        )
        if isinstance(outcome, FailedSend):
            reply = self._build_failed_reply(context, outcome, start_s)
            if outcome.kind is ErrorKind.CONNECTION_LOST:
                reply = await self._add_end(reply, start_key, context.request_key)
            return reply
        self._end_detector.note_answer(start_key)
        signals = self._signals.apply(
            outcome.response.headers, start_key, gate.admission.rate_limit
        )
        if gate is self._gate:
            is_success = outcome.response.status < 400
            self.work.record_answer(context, signals.pace, is_success=is_success)
        reply = self._build_answered_reply(context, outcome, start_s)
        if reply.answer is not None:
            self._quarantine.report_answer(context.request_key, reply.answer)
        if signals.is_leaving:
            result = msgspec.structs.replace(reply.result, left_start=start_key)
            reply = reply._replace(result=result)
        if reply.result.kind == ErrorKind.TARGET_REJECTED:
            self._remember_rejection(context.request_id, deadline_s)
        return reply

    async def _exchange(
        self,
        context: HopContext,
        incoming: Incoming,
        start_key: str,
        remaining_s: float,
        on_write: Callable[[], None],
    ) -> Answer | FailedSend:
        """Send a request to the target and wait for its answer until the deadline."""
        was_rejected = context.request_id in self._rejected_until_s
        request = self._build_request(context, incoming.request, remaining_s)
        address = self.own_target.address
        start_s = self._clock.monotonic_s()
        is_written = False

        def note_write() -> None:
            nonlocal is_written
            is_written = True
            on_write()

        try:
            async with asyncio.timeout(max(0.0, remaining_s) + DEADLINE_SLACK_S):
                outcome = await self._client.send(
                    address,
                    request,
                    incoming.streamed_body,
                    needs_fresh_connection=not context.is_idempotent,
                    # All attempts of a request have its id, so on the same connection a
                    # second copy of the rejection would answer this attempt.
                    needs_new_connection=was_rejected,
                    expected_id=(self._names.request_id, context.request_id),
                    on_write=note_write,
                )
            if isinstance(outcome, Answer) and outcome.streamed_body is not None:
                left_s = start_s + remaining_s - self._clock.monotonic_s()
                outcome.streamed_body.limit_time(left_s + DEADLINE_SLACK_S)
            return outcome
        except asyncio.CancelledError:
            if is_written:
                self._end_detector.note_lost_call(start_key, context.request_key)
            raise
        except TimeoutError:
            if not is_written:
                detail = f"no connection in {remaining_s:.3f} s"
                return FailedSend(ErrorKind.DEADLINE_TOO_SHORT, detail)
            self._end_detector.note_lost_call(start_key, context.request_key)
            # The idle connections to the target may have become silent as well.
            self._client.drop_idle(address)
            detail = f"no answer in {remaining_s:.3f} s"
            return FailedSend(ErrorKind.DEADLINE_EXCEEDED, detail)

    async def _add_end(
        self, reply: HopReply, start_key: str, request_key: str
    ) -> HopReply:
        """Add to a reply whether the target has ended."""
        if not await self._end_detector.has_ended(start_key, request_key):
            return reply
        result = msgspec.structs.replace(reply.result, ended_start=start_key)
        return reply._replace(result=result)

    def note_new_start(self) -> None:
        """Note that another start of the target has replaced one that did not leave."""
        self._end_detector.note_new_start()

    def _handle_end(self, start_key: str, request_keys: set[str]) -> None:
        self._metrics.lost_calls.inc(len(request_keys))
        self._log.change(
            "target_ended",
            start=start_key,
            lost_calls=len(request_keys),
            request_keys=sorted(request_keys)[:MAX_LOGGED_KEYS],
        )
        # Nodes of older releases name no key.
        self._quarantine.report_own_end(start_key, request_keys - {""})

    def _remember_rejection(self, request_id: str, deadline_s: float) -> None:
        """Remember until its deadline that the target has rejected a request."""
        now_s = self._clock.monotonic_s()
        rejected = self._rejected_until_s
        while rejected and next(iter(rejected.values())) < now_s:
            del rejected[next(iter(rejected))]
        rejected[request_id] = deadline_s

    def _build_request(
        self, context: HopContext, received: Request, remaining_s: float
    ) -> Request:
        headers = (
            *forwarded_headers(received.headers, without=self._replaced),
            (self._names.timeout_ms, str(max(1, int(1000 * remaining_s)))),
            (self._names.expected_target, self.own_target.target_id),
            (self._names.caller_service, context.caller_service),
        )
        if context.organisation:
            headers += ((self._names.organisation, context.organisation),)
        return received._replace(headers=headers)

    def _build_failed_reply(
        self, context: HopContext, broken: FailedSend, start_s: float
    ) -> HopReply:
        was_sent = ERROR_ANSWERS[broken.kind].ran is not Ran.NO
        if broken.kind is ErrorKind.CONNECT_FAILED:
            self._mark_unreachable(broken.detail)
        self._metrics.count_refusal(broken.kind)
        self._log_failed_attempt(context, start_s, broken.kind.value, broken.detail)
        result = self._build_result(
            context, broken.kind, broken.detail, was_sent=was_sent
        )
        return HopReply(None, result)

    def _mark_unreachable(self, detail: str) -> None:
        """Exclude the target until its next heartbeat, unless a connection is open.

        A target under load resets some connections and refuses new ones, and it may
        close an idle one at any time; it still serves on the others.
        """
        if self._client.has_open_connection(self.own_target.address):
            return
        self._end_detector.note_refused_connection()
        if self.own_target.mark_unreachable():
            self._log.change("target_unreachable", detail=detail)
            self.on_unreachable()

    def _build_answered_reply(
        self, context: HopContext, answer: Answer, start_s: float
    ) -> HopReply:
        response = answer.response
        problem = find_answer_problem(response, self._names)
        if problem is None:
            self._metrics.count_answer(context.service)
            has_failed = response.status >= 500
            importance = Importance.FAILURE if has_failed else Importance.SUCCESS
            if self._log.has_room(importance):
                write = self._log.failure if has_failed else self._log.success
                write(
                    "target_answered",
                    request_id=context.request_id,
                    attempt=context.attempt,
                    route=context.route,
                    status=response.status,
                    elapsed_ms=self._elapsed_ms(start_s),
                )
            result = self._build_result(context, was_sent=True)
            may_be_own_failure = response.status in OWN_FAILURE_STATUSES
            if (
                may_be_own_failure
                and context.request_id not in self._parents_with_failed_call
            ):
                result = msgspec.structs.replace(result, is_own_failure=True)
            return HopReply(answer, result)
        if answer.streamed_body is not None:
            answer.streamed_body.abort()
        kind, detail = problem
        self._metrics.count_refusal(kind)
        self._log_failed_attempt(context, start_s, kind.value, detail)
        after_s = RETRY_AFTER_S if kind is ErrorKind.TARGET_REJECTED else 0.0
        result = self._build_result(context, kind, detail, after_s, was_sent=True)
        return HopReply(None, result)

    def _log_failed_attempt(
        self, context: HopContext, start_s: float, kind: str, detail: str
    ) -> None:
        self._log.failure(
            "target_gave_no_answer",
            request_id=context.request_id,
            attempt=context.attempt,
            route=context.route,
            kind=kind,
            detail=detail,
            origin=context.origin,
            target_id=self.own_target.target_id,
            request_key=context.request_key,
            remaining_ms=context.remaining_ms,
            elapsed_ms=self._elapsed_ms(start_s),
        )

    def _elapsed_ms(self, start_s: float) -> int:
        return round(1000 * (self._clock.monotonic_s() - start_s))


def _abort_unread_answer(task: asyncio.Task) -> None:
    """Close the connection of a streamed answer that nobody waits for."""
    if task.cancelled() or task.exception() is not None:
        return
    answer = task.result().answer
    if answer is not None and answer.streamed_body is not None:
        answer.streamed_body.abort()


def _build_arrival(key: str, context: HopContext, deadline_s: float) -> Arrival:
    priority = context.priority
    return Arrival(
        call_key=key,
        class_name=context.route,
        priority=priority,
        is_protected=priority == 0,
        rank=effective_rank(context.rank, context.root_id, priority),
        deadline_s=deadline_s,
        depth=context.depth,
    )
