"""Client side of a call: routing, admission levels, deadlines and retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from eliot import log_message

from mimosaloom_model import (
    MAX_DEPTH,
    Answered,
    CallContext,
    Clock,
    ErrorKind,
    Failed,
    Outcome,
    Refused,
    RequestClass,
    RetryAllowance,
    new_request_id,
)
from mimosaloom_policy import (
    Candidate,
    LevelTable,
    RetryBudget,
    Stamp,
    rank_request,
)

from .directory import Directory
from .messages import HopAnswer, Request, error_kind
from .metrics import MeshMetrics
from .remote import RemoteHop
from .resolution import Resolved
from .retrying import RetryHandler, combine_attempts
from .routes import RouterTable
from .scopes import CallScope, ScopeTable, current_scope
from .transport import Transport

__all__ = ["Caller", "LocalTarget"]

RETRY_AFTER_S = 1.0
# The largest attempt number that `CallContext` allows.
MAX_ATTEMPTS = 64


class LocalTarget(NamedTuple):
    """The target of this process, which is called without a connection.

    Attributes:
        upstream: Upstream name of the target.
        service: Service of the target.
        run: Runs a call on the target.
        is_draining: Returns whether the target is draining.
    """

    upstream: str
    service: str
    run: Callable[[CallContext, Request], Awaitable[HopAnswer]]
    is_draining: Callable[[], bool]


class _Call(NamedTuple):
    """A call and what all of its attempts share.

    Attributes:
        service: Called service.
        request: Request to send.
        scope: Scope in which the call is made.
        request_class: Request class of the root request.
        call_id: Id that all attempts of the call carry.
        rank: Rank of the root request; see `rank_request`.
    """

    service: str
    request: Request
    scope: CallScope
    request_class: RequestClass
    call_id: str
    rank: float


class Caller:
    """Makes calls to services.

    Args:
        name: Name of the caller; selects its subset of upstreams.
        failure_domain: Failure domain of the caller.
        directory: Provides the resources in force and the upstreams.
        own_service: Service of the target that makes the calls; empty if the calling
            program is not a target.
        clock: Source of time.
        rng: Source of ids and of random choices.
        transport: Sends requests.
        metrics: Counts outcomes and retries.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        directory: Directory,
        *,
        own_service: str = "",
        clock: Clock,
        rng: random.Random,
        transport: Transport,
        metrics: MeshMetrics,
    ):
        self.scopes = ScopeTable()
        self.levels = LevelTable(rng, own_service)
        self.local: LocalTarget | None = None
        self.clock = clock
        self.directory = directory
        self.rng = rng
        self.metrics = metrics
        self._routes = RouterTable(
            name, failure_domain, directory, self.levels, clock=clock, rng=rng
        )
        self._remote = RemoteHop(clock, transport)
        self._budgets: dict[tuple[str, str], tuple[RetryAllowance, RetryBudget]] = {}

    def open_root(
        self, class_name: str, timeout: timedelta | None = None
    ) -> CallScope | Refused:
        """Start a root request and open its scope.

        Args:
            class_name: Request class.
            timeout: Timeout of the whole request; the timeout of the class if None.

        Returns:
            The scope, which must be closed with `scopes.close`; or a refusal if the
            class is not declared.
        """
        catalog = self.directory.catalog()
        request_class = catalog.classes.get(class_name)
        if request_class is None:
            return Refused(
                ErrorKind.UNKNOWN_CLASS, f"class {class_name!r} is not declared"
            )
        timeout_s = timeout.total_seconds() if timeout else request_class.timeout_s
        request_id = new_request_id(self.rng)
        deadline_s = self.clock.monotonic_s() + timeout_s
        scope = CallScope(f"root/{request_id}", request_id, class_name, 0, deadline_s)
        self.scopes.open(
            scope, catalog.get_retry_allowance(class_name).retries_per_request
        )
        return scope

    async def call(
        self,
        service: str,
        request: Request,
        *,
        class_name: str = "",
        timeout: timedelta | None = None,
        scope: CallScope | None = None,
    ) -> Outcome:
        """Call a service and return the final outcome.

        The call is a sub-call of `scope`, or of the call that the current task runs.
        If there is neither, it starts a root request, and `class_name` is required.

        Args:
            service: Service to call.
            request: Request to send to one of its targets.
            class_name: Request class of a new root request.
            timeout: Timeout of a new root request; the timeout of the class if None.
            scope: Scope of the parent call; the scope of the current task if None.
        """
        scope = scope or current_scope.get()
        if scope is not None:
            return await self._call_in_scope(service, request, scope)
        root = self.open_root(class_name, timeout)
        if isinstance(root, Refused):
            self.metrics.count_refusal(root.kind)
            return root
        try:
            return await self._call_in_scope(service, request, root)
        finally:
            self.scopes.close(root)

    async def _call_in_scope(
        self, service: str, request: Request, scope: CallScope
    ) -> Outcome:
        scope.sub_calls += 1
        outcome = self._check_call(service, request, scope)
        if outcome is None:
            classes = self.directory.catalog().classes
            call_id = new_request_id(self.rng)
            request_class = classes[scope.class_name]
            rank = rank_request(scope.request_id, request_class.priority)
            call = _Call(service, request, scope, request_class, call_id, rank)
            outcome = await self._attempt_until_final(call)
        kind = error_kind(outcome)
        if kind is None:
            self.metrics.count_answer(service)
            return outcome
        self.metrics.count_refusal(kind)
        scope.failed_kind = kind
        scope.retry_after_s = outcome.retry_after_s
        if isinstance(outcome, Failed):
            log_message(
                message_type="call_failed",
                request_id=scope.request_id,
                service=service,
                kind=kind.value,
                detail=outcome.detail,
            )
        return outcome

    def _check_call(
        self, service: str, request: Request, scope: CallScope
    ) -> Refused | None:
        catalog = self.directory.catalog()
        request_class = catalog.classes.get(scope.class_name)
        if request_class is None:
            return Refused(ErrorKind.UNKNOWN_CLASS)
        if service not in catalog.services:
            return Refused(ErrorKind.UNKNOWN_SERVICE, f"{service!r} is not declared")
        if scope.depth > MAX_DEPTH:
            return Refused(
                ErrorKind.DEPTH_EXCEEDED, f"the call depth limit is {MAX_DEPTH} hops"
            )
        limit_bytes = catalog.services[service].max_body_bytes
        if len(request.body) > limit_bytes:
            detail = f"the request body limit of {service} is {limit_bytes} bytes"
            return Refused(ErrorKind.BODY_TOO_LARGE, detail)
        return self._check_deadline_and_level(service, scope, request_class)

    def _check_deadline_and_level(
        self, service: str, scope: CallScope, request_class: RequestClass
    ) -> Refused | None:
        now_s = self.clock.monotonic_s()
        if scope.deadline_s <= now_s:
            return Refused(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed")
        if self.local is not None and self.local.service == service:
            # The admission of the local target checks the call against its current
            # level. The level that callers learn from answers is older.
            return None
        rank = rank_request(scope.request_id, request_class.priority)
        is_admitted = self.levels.admits(
            service, scope.class_name, rank, now_s, depth=scope.depth
        )
        if not is_admitted:
            detail = f"{service} admits no requests of this rank now"
            return Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
        return None

    async def _attempt_until_final(self, call: _Call) -> Outcome:
        tried: set[str] = set()
        combined: Outcome = Refused(ErrorKind.NO_UPSTREAM, "", RETRY_AFTER_S)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            candidate = self._pick_candidate(call, frozenset(tried))
            if candidate is None:
                break
            tried.add(candidate.name)
            stamp = await self._fetch_stamp(call, candidate)
            outcome = await self._make_attempt(call, candidate, attempt, stamp)
            if isinstance(outcome, Answered):
                return outcome
            has_next = self._pick_candidate(call, frozenset(tried)) is not None
            handler = self._retry_handler(call, candidate, attempt, has_next, stamp)
            outcome, delay_s = await handler.resolve_and_decide(outcome)
            combined = combine_attempts(combined, outcome)
            if delay_s is None:
                break
            await asyncio.sleep(delay_s)
        return combined

    async def _fetch_stamp(self, call: _Call, candidate: Candidate) -> Stamp | None:
        if call.request_class.is_idempotent or self._is_local_target(candidate):
            return None
        return await self._remote.fetch_stamp(candidate)

    def _is_local_target(self, candidate: Candidate) -> bool:
        return self.local is not None and candidate.name == self.local.upstream

    def _retry_handler(
        self,
        call: _Call,
        candidate: Candidate,
        attempt: int,
        has_next: bool,
        stamp: Stamp | None,
    ) -> RetryHandler:
        def query_state() -> Awaitable[Resolved]:
            return self._remote.query_state(candidate, call.call_id, stamp)

        return RetryHandler(
            call.scope,
            attempt,
            is_idempotent=call.request_class.is_idempotent,
            has_next=has_next,
            query_state=query_state,
            ledger=self.scopes.ledger,
            budget=self._budget(call.service, call.request_class.name),
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
        )

    def _pick_candidate(self, call: _Call, tried: frozenset[str]) -> Candidate | None:
        local = self._local_candidate(call, tried)
        if local is not None and call.scope.depth == 0 and not self.local.is_draining():
            return local
        router = self._routes.router(call.service)
        now_s = self.clock.monotonic_s()
        refusing = self.levels.refusing_upstreams(
            call.service, call.request_class.name, call.rank, now_s
        )
        candidate = router.pick(now_s, tried | refusing) or router.pick(now_s, tried)
        candidate = candidate or local
        if candidate is None and tried and call.request_class.is_idempotent:
            # All upstreams have been tried; an idempotent call may go to one again.
            candidate = router.pick(now_s)
        return candidate

    def _local_candidate(self, call: _Call, tried: frozenset[str]) -> Candidate | None:
        local = self.local
        if local is None or local.service != call.service or local.upstream in tried:
            return None
        candidates = self.directory.candidates(call.service)
        return next((c for c in candidates if c.name == local.upstream), None)

    async def _make_attempt(
        self,
        call: _Call,
        candidate: Candidate,
        attempt: int,
        stamp: Stamp | None,
    ) -> Outcome:
        router = self._routes.router(call.service)
        start_s = self.clock.monotonic_s()
        ledger = self.scopes.ledger
        loan_key = f"{call.call_id}/{attempt}"
        lent = ledger.lend(call.scope.key, loan_key)
        context = CallContext(
            request_id=call.scope.request_id,
            call_id=call.call_id,
            class_name=call.scope.class_name,
            remaining_ms=max(0, int(1000 * (call.scope.deadline_s - start_s))),
            attempt=attempt,
            depth=call.scope.depth,
            retries=lent,
        )
        router.start(candidate.name, start_s)
        answer = HopAnswer(Failed(ErrorKind.CANCELLED))
        try:
            answer = await self._send_attempt(call, candidate, context, stamp)
        finally:
            now_s = self.clock.monotonic_s()
            ledger.give_back(call.scope.key, lent, answer.retries_unused, loan_key)
            router.finish(
                candidate.name,
                now_s,
                elapsed_s=now_s - start_s,
                kind=error_kind(answer.outcome),
            )
        self._record_answer(call, candidate, answer, now_s)
        return answer.outcome

    async def _send_attempt(
        self,
        call: _Call,
        candidate: Candidate,
        context: CallContext,
        stamp: Stamp | None,
    ) -> HopAnswer:
        if self._is_local_target(candidate):
            return await self.local.run(context, call.request)
        if stamp is None and not call.request_class.is_idempotent:
            detail = f"{candidate.name} did not return a stamp"
            return HopAnswer(Refused(ErrorKind.CONNECT_FAILED, detail, RETRY_AFTER_S))
        connections = self._routes.max_connections_per_upstream(call.service)
        return await self._remote.run(
            candidate._replace(max_connections=connections),
            context,
            call.request,
            deadline_s=call.scope.deadline_s,
            stamp=stamp,
        )

    def _record_answer(
        self, call: _Call, candidate: Candidate, answer: HopAnswer, now_s: float
    ) -> None:
        if answer.level is not None:
            self.levels.record_levels(
                call.service,
                call.request_class.name,
                candidate.name,
                answer.level,
                now_s,
            )
        if isinstance(answer.outcome, Answered):
            budget = self._budget(call.service, call.request_class.name)
            budget.record_success(now_s)
        if answer.is_draining:
            self._routes.mark_draining(call.service, answer.incarnation)

    def _budget(self, service: str, class_name: str) -> RetryBudget:
        allowance = self.directory.catalog().get_retry_allowance(class_name)
        cached = self._budgets.get((service, class_name))
        # A changed allowance takes effect with the next call.
        if cached is not None and cached[0] == allowance:
            return cached[1]
        budget = RetryBudget(
            allowance.budget_ratio,
            allowance.min_retries_per_s,
            self.clock.monotonic_s(),
        )
        self._budgets[service, class_name] = (allowance, budget)
        return budget
