"""The own target's side of a call: admission, at most once, deadline."""

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from mimosaloom_model import (
    MAX_DEPTH,
    Answered,
    CallContext,
    Failed,
    Kind,
    Outcome,
    Refused,
    RequestClass,
    Service,
    digest_bytes,
)
from mimosaloom_policy import (
    Arrival,
    EpochRule,
    Refuse,
    ResolveState,
    RunTable,
    Stamp,
    format_stamp,
    parse_stamp,
    rank_request,
)

from .caller import Caller
from .gate import AdmissionGate, Withdrawn
from .messages import HopAnswer, Request, kind_of
from .once import OnceRunner
from .resolution import ResolveAnswer, ResolveRequest
from .scopes import CallScope, scope_key

__all__ = ["Execute", "Execution", "TargetHop"]


class Execution(NamedTuple):
    """An admitted call.

    Attributes:
        scope: The call in progress, of which sub-calls may be made.
        context: Context that came with the call.
        request: What the caller sent.
        left: Time for the call.
        is_idempotent: Whether the class may run more than once.
    """

    scope: CallScope
    context: CallContext
    request: Request
    left: timedelta
    is_idempotent: bool


Execute = Callable[[Execution], Awaitable[Outcome]]


# Kinds after which the target may have run the call, or may run it still.
_UNRESOLVED = frozenset(
    {Kind.CONNECTION_LOST, Kind.ANSWER_TRUNCATED, Kind.ANSWER_MISMATCH}
)


class _Ended(NamedTuple):
    outcome: Outcome
    retries_unused: int = 0
    is_withdrawn: bool = False


class TargetHop:
    """Runs calls on the own target.

    Args:
        service: Service of the target.
        incarnation: Incarnation of this process.
        caller: Makes the sub-calls; holds the calls in progress.
        gate: Decides which calls run, and when.
        execute: Runs one admitted call on the target within its time.
    """

    def __init__(
        self,
        service: str,
        incarnation: str,
        caller: Caller,
        gate: AdmissionGate,
        execute: Execute,
    ):
        self.rule = EpochRule(incarnation, caller.clock.monotonic_s())
        self.service = service
        self.incarnation = incarnation
        self.gate = gate
        self.once = OnceRunner(RunTable(self.rule), caller.clock)
        self._caller = caller
        self._clock = caller.clock
        self._execute = execute
        self._active: Counter[str] = Counter()

    async def run(
        self, context: CallContext, request: Request, stamp: Stamp | None
    ) -> HopAnswer:
        """Run one attempt of a call.

        Cancelling the awaiting task takes a waiting call out of the queue and
        cancels a running one, unless its class must run at most once.

        Args:
            context: Context of the attempt.
            request: What the caller sent.
            stamp: Stamp that the attempt carries; needed for classes that run at
                most once.
        """
        self._active[context.call_id] += 1
        try:
            ended = await self._run(context, request, stamp)
        finally:
            self._active[context.call_id] -= 1
            if not self._active[context.call_id]:
                del self._active[context.call_id]
        now_s = self._clock.monotonic_s()
        deeper_level = self._caller.levels.lowest(context.class_name, now_s)
        return HopAnswer(
            ended.outcome,
            ended.retries_unused,
            min(self.gate.admission.level, deeper_level),
            self.incarnation,
            self.gate.is_draining,
            self._stamp_text(),
        )

    async def run_local(self, context: CallContext, request: Request) -> HopAnswer:
        """Run a call that is made in this process."""
        return await self.run(context, request, self.once.stamp())

    def resolve(self, question: ResolveRequest) -> ResolveAnswer:
        """Tell what became of a call; one that never came is forbidden for good."""
        state, result = ResolveState.OTHER_INCARNATION, None
        if question.incarnation == self.incarnation:
            if question.call_id in self._active:
                state = ResolveState.RUNNING
            else:
                stamp = parse_stamp(question.stamp)
                state, result = self.once.resolve(question.call_id, stamp)
        return ResolveAnswer(question.call_id, state, self.incarnation, result)

    def _stamp_text(self) -> str:
        stamp = self.once.stamp()
        return "" if stamp is None else format_stamp(stamp)

    def ping(self) -> HopAnswer:
        """Return an answer that carries the stamp and the state of this node."""
        return HopAnswer(
            Answered(204),
            level=self.gate.admission.level,
            incarnation=self.incarnation,
            is_draining=self.gate.is_draining,
            stamp=self._stamp_text(),
        )

    async def _run(
        self, context: CallContext, request: Request, stamp: Stamp | None
    ) -> _Ended:
        request_class = self._caller.directory.catalog().classes.get(context.class_name)
        if request_class is None:
            detail = f"class {context.class_name!r} is not declared"
            return _Ended(Refused(Kind.UNKNOWN_CLASS, detail))
        if context.depth > MAX_DEPTH:
            detail = f"the limit is {MAX_DEPTH} hops"
            return _Ended(Refused(Kind.DEPTH_EXCEEDED, detail))
        limit_bytes = self._max_body_bytes()
        if len(request.body) > limit_bytes:
            detail = f"the limit of {self.service} is {limit_bytes} bytes"
            return _Ended(Refused(Kind.BODY_TOO_LARGE, detail))
        scope = CallScope(
            scope_key(context),
            context.request_id,
            context.class_name,
            context.depth + 1,
            self._clock.monotonic_s() + context.remaining_ms / 1000,
        )
        if request_class.is_idempotent:
            return await self._admit(scope, context, request, request_class)
        return await self._run_once(scope, context, request, request_class, stamp)

    async def _run_once(
        self,
        scope: CallScope,
        context: CallContext,
        request: Request,
        request_class: RequestClass,
        stamp: Stamp | None,
    ) -> _Ended:
        unused = 0

        async def start() -> Outcome | None:
            nonlocal unused
            ended = await self._admit(scope, context, request, request_class)
            unused = ended.retries_unused
            return None if ended.is_withdrawn else ended.outcome

        digest = digest_bytes(
            f"{request.method} {request.path}\n".encode() + request.body
        )
        outcome = await self.once.run(
            context.call_id,
            digest,
            start,
            lambda: self.gate.withdraw(scope.key),
            stamp=stamp,
            attempt=context.attempt,
        )
        return _Ended(outcome, unused)

    async def _admit(
        self,
        scope: CallScope,
        context: CallContext,
        request: Request,
        request_class: RequestClass,
    ) -> _Ended:
        arrival = Arrival(
            call_key=scope.key,
            class_name=request_class.name,
            priority=request_class.priority,
            is_protected=request_class.is_protected,
            rank=rank_request(scope.request_id, request_class.priority),
            deadline_s=scope.deadline_s,
            depth=context.depth,
        )
        if not self._caller.scopes.open(scope, context.retries):
            # libcurl has sent the request again on its own.
            detail = "an earlier copy of this attempt has not ended"
            return _Ended(Failed(Kind.CONNECTION_LOST, detail))
        unused = context.retries
        outcome: Outcome = Failed(Kind.CANCELLED)
        try:
            decision = await self.gate.enter(arrival)
            match decision:
                case Withdrawn():
                    return _Ended(Failed(Kind.CANCELLED), unused, is_withdrawn=True)
                case Refuse(_, kind, retry_after_s):
                    return _Ended(Refused(kind, "", retry_after_s), unused)
            try:
                outcome = await self._execute_started(
                    scope, context, request, request_class.is_idempotent
                )
            finally:
                is_success = isinstance(outcome, Answered)
                self.gate.leave(scope.key, is_success=is_success)
        finally:
            unused = self._caller.scopes.close(scope)
        return _Ended(outcome, unused)

    async def _execute_started(
        self,
        scope: CallScope,
        context: CallContext,
        request: Request,
        is_idempotent: bool,
    ) -> Outcome:
        left_s = scope.deadline_s - self._clock.monotonic_s()
        left = timedelta(seconds=max(0.0, left_s))
        outcome = await self._execute(
            Execution(scope, context, request, left, is_idempotent)
        )
        if isinstance(outcome, Answered):
            return self._check_size(outcome)
        if scope.sub_calls:
            outcome = _blame_downstream(scope, outcome)
        if not is_idempotent and kind_of(outcome) in _UNRESOLVED:
            # The target keeps no record that could be asked.
            return Failed(Kind.OUTCOME_UNKNOWN, f"{outcome.kind}: {outcome.detail}")
        return outcome

    def _check_size(self, answered: Answered) -> Outcome:
        limit_bytes = self._max_body_bytes()
        if len(answered.body) <= limit_bytes:
            return answered
        detail = f"{len(answered.body)} bytes are over the limit of {limit_bytes}"
        return Failed(Kind.ANSWER_TOO_LARGE, detail)

    def _max_body_bytes(self) -> int:
        services = self._caller.directory.catalog().services
        return services.get(self.service, Service(self.service)).max_body_bytes


def _blame_downstream(scope: CallScope, outcome: Outcome) -> Outcome:
    """Name the deeper call that failed as the cause of the target's failure.

    The target has run, so the refusal of a deeper hop never reads as "not run" here.
    """
    if isinstance(outcome, Refused):
        return Failed(Kind.FAILED_DOWNSTREAM, "the target refused after a sub-call")
    if scope.failed_kind is None or outcome.kind is not Kind.TARGET_FAILED:
        return outcome
    # A doubt about a deeper call stays one for the whole request.
    is_unknown = scope.failed_kind is Kind.OUTCOME_UNKNOWN
    kind = Kind.OUTCOME_UNKNOWN if is_unknown else Kind.FAILED_DOWNSTREAM
    detail = f"a deeper call ended with {scope.failed_kind.value}"
    return Failed(kind, detail, scope.retry_after_s)
