"""Server side of a call: admission, at-most-once execution and deadline.

Calls that must run at most once carry a stamp; see `mimosaloom_policy.stamps`.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from mimosaloom_model import (
    MAX_DEPTH,
    Answered,
    CallContext,
    ErrorKind,
    Failed,
    Outcome,
    Refused,
    RequestClass,
    Service,
    digest_bytes,
)
from mimosaloom_policy import (
    Arrival,
    Refuse,
    ResolveState,
    RetentionRule,
    RunTable,
    Stamp,
    format_stamp,
    parse_stamp,
    rank_request,
)

from .at_most_once import AtMostOnceRunner
from .caller import Caller
from .gate import AdmissionGate, Withdrawn
from .messages import HopAnswer, Request, error_kind
from .resolution import ResolveAnswer, ResolveRequest
from .scopes import CallScope, scope_key

__all__ = ["Execute", "Execution", "TargetHop"]


class Execution(NamedTuple):
    """An admitted call.

    Attributes:
        scope: Scope in which the target makes its sub-calls.
        context: Context that the call carried.
        request: Request that the caller sent.
        remaining: Time that remains until the deadline.
        is_idempotent: Whether calls of the request class may run more than once.
    """

    scope: CallScope
    context: CallContext
    request: Request
    remaining: timedelta
    is_idempotent: bool


Execute = Callable[[Execution], Awaitable[Outcome]]


# Failures after which the target may have run the call or may still be running it.
_MAY_HAVE_RUN_KINDS = frozenset(
    {ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_TRUNCATED, ErrorKind.ANSWER_MISMATCH}
)


class _AttemptResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        outcome: Outcome of the attempt.
        retries_unused: Retries that came with the attempt and were not used.
        is_withdrawn: Whether the call left the queue before any part of it ran.
    """

    outcome: Outcome
    retries_unused: int = 0
    is_withdrawn: bool = False


class TargetHop:
    """Runs incoming calls on the target of this process.

    Args:
        service: Service of the target.
        incarnation: Incarnation of this process.
        caller: Makes the sub-calls; holds the scopes of the calls in progress.
        gate: Decides which calls run and when.
        execute: Runs one admitted call on the target before its deadline.
    """

    def __init__(
        self,
        service: str,
        incarnation: str,
        caller: Caller,
        gate: AdmissionGate,
        execute: Execute,
    ):
        self.retention_rule = RetentionRule(incarnation, caller.clock.monotonic_s())
        self.service = service
        self.incarnation = incarnation
        self.gate = gate
        self.once_runner = AtMostOnceRunner(RunTable(self.retention_rule), caller.clock)
        self._caller = caller
        self._clock = caller.clock
        self._execute = execute
        self._attempts_in_progress: Counter[str] = Counter()

    async def run(
        self, context: CallContext, request: Request, stamp: Stamp | None
    ) -> HopAnswer:
        """Run one attempt of a call.

        Cancelling the awaiting task removes a waiting call from the queue. It also
        cancels a running call, unless its class must run at most once.

        Args:
            context: Context of the attempt.
            request: Request that the caller sent.
            stamp: Stamp that the attempt carries; required for classes that must
                run at most once.
        """
        self._attempts_in_progress[context.call_id] += 1
        try:
            result = await self._run_attempt(context, request, stamp)
        finally:
            self._attempts_in_progress[context.call_id] -= 1
            if not self._attempts_in_progress[context.call_id]:
                del self._attempts_in_progress[context.call_id]
        now_s = self._clock.monotonic_s()
        downstream_level = self._caller.levels.lowest_level(context.class_name, now_s)
        return HopAnswer(
            result.outcome,
            result.retries_unused,
            min(self.gate.admission.level, downstream_level),
            self.incarnation,
            self.gate.is_draining,
            self._stamp_text(),
        )

    async def run_local(self, context: CallContext, request: Request) -> HopAnswer:
        """Run a call that this process makes to its own target."""
        return await self.run(context, request, self.once_runner.stamp())

    def resolve(self, query: ResolveRequest) -> ResolveAnswer:
        """Return the state of a call.

        A call that has not arrived is recorded as forbidden, so that it never runs
        here.
        """
        state, result = ResolveState.OTHER_INCARNATION, None
        if query.incarnation == self.incarnation:
            if query.call_id in self._attempts_in_progress:
                state = ResolveState.RUNNING
            else:
                stamp = parse_stamp(query.stamp)
                state, result = self.once_runner.resolve(query.call_id, stamp)
        return ResolveAnswer(query.call_id, state, self.incarnation, result)

    def _stamp_text(self) -> str:
        stamp = self.once_runner.stamp()
        return "" if stamp is None else format_stamp(stamp)

    def ping(self) -> HopAnswer:
        """Return an answer with the stamp, level and drain state of this node."""
        return HopAnswer(
            Answered(204),
            level=self.gate.admission.level,
            incarnation=self.incarnation,
            is_draining=self.gate.is_draining,
            stamp=self._stamp_text(),
        )

    async def _run_attempt(
        self, context: CallContext, request: Request, stamp: Stamp | None
    ) -> _AttemptResult:
        request_class = self._caller.directory.catalog().classes.get(context.class_name)
        if request_class is None:
            detail = f"class {context.class_name!r} is not declared"
            return _AttemptResult(Refused(ErrorKind.UNKNOWN_CLASS, detail))
        if context.depth > MAX_DEPTH:
            detail = f"the call depth limit is {MAX_DEPTH} hops"
            return _AttemptResult(Refused(ErrorKind.DEPTH_EXCEEDED, detail))
        limit_bytes = self._max_body_bytes()
        if len(request.body) > limit_bytes:
            detail = f"the request body limit of {self.service} is {limit_bytes} bytes"
            return _AttemptResult(Refused(ErrorKind.BODY_TOO_LARGE, detail))
        scope = CallScope(
            scope_key(context),
            context.request_id,
            context.class_name,
            context.depth + 1,
            self._clock.monotonic_s() + context.remaining_ms / 1000,
        )
        if request_class.is_idempotent:
            return await self._admit_and_execute(scope, context, request, request_class)
        return await self._run_at_most_once(
            scope, context, request, request_class, stamp
        )

    async def _run_at_most_once(
        self,
        scope: CallScope,
        context: CallContext,
        request: Request,
        request_class: RequestClass,
        stamp: Stamp | None,
    ) -> _AttemptResult:
        retries_unused = 0

        async def start() -> Outcome | None:
            nonlocal retries_unused
            result = await self._admit_and_execute(
                scope, context, request, request_class
            )
            retries_unused = result.retries_unused
            return None if result.is_withdrawn else result.outcome

        digest = digest_bytes(
            f"{request.method} {request.path}\n".encode() + request.body
        )
        outcome = await self.once_runner.run(
            context.call_id,
            digest,
            start,
            lambda: self.gate.withdraw(scope.key),
            stamp=stamp,
            attempt=context.attempt,
        )
        return _AttemptResult(outcome, retries_unused)

    async def _admit_and_execute(
        self,
        scope: CallScope,
        context: CallContext,
        request: Request,
        request_class: RequestClass,
    ) -> _AttemptResult:
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
            # libcurl resent the request by itself while the first copy still ran.
            detail = "an earlier copy of this attempt is still in progress"
            return _AttemptResult(Failed(ErrorKind.CONNECTION_LOST, detail))
        retries_unused = context.retries
        outcome: Outcome = Failed(ErrorKind.CANCELLED)
        try:
            decision = await self.gate.wait_for_admission(arrival)
            match decision:
                case Withdrawn():
                    return _AttemptResult(
                        Failed(ErrorKind.CANCELLED), retries_unused, is_withdrawn=True
                    )
                case Refuse(_, kind, retry_after_s):
                    return _AttemptResult(
                        Refused(kind, "", retry_after_s), retries_unused
                    )
            try:
                outcome = await self._execute_admitted(
                    scope, context, request, request_class.is_idempotent
                )
            finally:
                is_success = isinstance(outcome, Answered)
                self.gate.finish(scope.key, is_success=is_success)
        finally:
            retries_unused = self._caller.scopes.close(scope)
        return _AttemptResult(outcome, retries_unused)

    async def _execute_admitted(
        self,
        scope: CallScope,
        context: CallContext,
        request: Request,
        is_idempotent: bool,
    ) -> Outcome:
        remaining_s = scope.deadline_s - self._clock.monotonic_s()
        remaining = timedelta(seconds=max(0.0, remaining_s))
        outcome = await self._execute(
            Execution(scope, context, request, remaining, is_idempotent)
        )
        if isinstance(outcome, Answered):
            return self._check_answer_size(outcome)
        if scope.sub_calls:
            outcome = _attribute_to_downstream(scope, outcome)
        if not is_idempotent and error_kind(outcome) in _MAY_HAVE_RUN_KINDS:
            # The target keeps no record of its runs, so it can't be queried for the
            # state of the call.
            return Failed(
                ErrorKind.OUTCOME_UNKNOWN, f"{outcome.kind}: {outcome.detail}"
            )
        return outcome

    def _check_answer_size(self, answered: Answered) -> Outcome:
        limit_bytes = self._max_body_bytes()
        if len(answered.body) <= limit_bytes:
            return answered
        detail = f"{len(answered.body)} answer bytes exceed the limit of {limit_bytes}"
        return Failed(ErrorKind.ANSWER_TOO_LARGE, detail)

    def _max_body_bytes(self) -> int:
        services = self._caller.directory.catalog().services
        return services.get(self.service, Service(self.service)).max_body_bytes


def _attribute_to_downstream(scope: CallScope, outcome: Outcome) -> Outcome:
    """Return the outcome of a target that made sub-calls and failed.

    A failed sub-call is reported as the cause. The target has run, so the refusal of
    a sub-call is never reported as "not run" for the call itself.
    """
    if isinstance(outcome, Refused):
        return Failed(
            ErrorKind.FAILED_DOWNSTREAM,
            "the target refused the call after making a sub-call",
        )
    if scope.failed_kind is None or outcome.kind is not ErrorKind.TARGET_FAILED:
        return outcome
    # If it is unknown whether a sub-call ran, this is unknown for the call as well.
    is_unknown = scope.failed_kind is ErrorKind.OUTCOME_UNKNOWN
    kind = ErrorKind.OUTCOME_UNKNOWN if is_unknown else ErrorKind.FAILED_DOWNSTREAM
    detail = f"a sub-call ended with {scope.failed_kind.value}"
    return Failed(kind, detail, scope.retry_after_s)
