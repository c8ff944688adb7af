"""The caller's side of a call: routing, levels, deadline and retries."""

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
    Failed,
    Kind,
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
from .messages import HopAnswer, Request, kind_of
from .metrics import MeshMetrics
from .remote import RemoteHop
from .resolution import Resolved
from .retrying import FollowUp, combine_attempts
from .routes import Routes
from .scopes import CallScope, ScopeTable, current_scope
from .transport import Transport

__all__ = ["Caller", "LocalHop"]

RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 64


class LocalHop(NamedTuple):
    """The own target, which is reached without a connection.

    Attributes:
        upstream: Name of the own target.
        service: Its service.
        run: Runs a call on it.
        is_draining: Tells whether it is leaving.
    """

    upstream: str
    service: str
    run: Callable[[CallContext, Request], Awaitable[HopAnswer]]
    is_draining: Callable[[], bool]


class _Call(NamedTuple):
    service: str
    request: Request
    scope: CallScope
    request_class: RequestClass
    call_id: str
    rank: float


class Caller:
    """Makes calls to services.

    Args:
        name: Name of the caller, for the choice of its subset of upstreams.
        failure_domain: Failure domain of the caller.
        directory: Resources in force and upstreams.
        own_service: Service of the target that makes the calls; empty for a program
            that is no target.
        clock: Source of time.
        rng: Source of ids and of choices.
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
        self.local: LocalHop | None = None
        self.clock = clock
        self.directory = directory
        self.rng = rng
        self.metrics = metrics
        self._routes = Routes(
            name, failure_domain, directory, self.levels, clock=clock, rng=rng
        )
        self._remote = RemoteHop(clock, transport)
        self._budgets: dict[tuple[str, str], tuple[RetryAllowance, RetryBudget]] = {}

    def open_root(
        self, class_name: str, timeout: timedelta | None = None
    ) -> CallScope | Refused:
        """Begin a request.

        Args:
            class_name: Its request class.
            timeout: Time for the whole request; that of the class if None.
        """
        catalog = self.directory.catalog()
        request_class = catalog.classes.get(class_name)
        if request_class is None:
            return Refused(Kind.UNKNOWN_CLASS, f"class {class_name!r} is not declared")
        timeout_s = timeout.total_seconds() if timeout else request_class.timeout_s
        request_id = new_request_id(self.rng)
        deadline_s = self.clock.monotonic_s() + timeout_s
        scope = CallScope(f"root/{request_id}", request_id, class_name, 0, deadline_s)
        self.scopes.open(scope, catalog.allowance_of(class_name).retries_per_request)
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

        Args:
            service: The service.
            request: What is sent to one of its targets.
            class_name: Class of the request that begins with this call.
            timeout: Time for that request; that of the class if None.
            scope: The call in progress of which this is a sub-call; the one that
                the current task runs if None. Without any, a request begins, and
                `class_name` is needed.
        """
        scope = scope or current_scope.get()
        if scope is not None:
            return await self._call_in(service, request, scope)
        root = self.open_root(class_name, timeout)
        if isinstance(root, Refused):
            self.metrics.count_refusal(root.kind)
            return root
        try:
            return await self._call_in(service, request, root)
        finally:
            self.scopes.close(root)

    async def _call_in(
        self, service: str, request: Request, scope: CallScope
    ) -> Outcome:
        scope.sub_calls += 1
        outcome = self._check(service, request, scope)
        if outcome is None:
            classes = self.directory.catalog().classes
            call_id = new_request_id(self.rng)
            request_class = classes[scope.class_name]
            rank = rank_request(scope.request_id, request_class.priority)
            call = _Call(service, request, scope, request_class, call_id, rank)
            outcome = await self._attempt_until_final(call)
        kind = kind_of(outcome)
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

    def _check(
        self, service: str, request: Request, scope: CallScope
    ) -> Refused | None:
        catalog = self.directory.catalog()
        request_class = catalog.classes.get(scope.class_name)
        if request_class is None:
            return Refused(Kind.UNKNOWN_CLASS)
        if service not in catalog.services:
            return Refused(Kind.UNKNOWN_SERVICE, f"{service!r} is not declared")
        if scope.depth > MAX_DEPTH:
            return Refused(Kind.DEPTH_EXCEEDED, f"the limit is {MAX_DEPTH} hops")
        limit_bytes = catalog.services[service].max_body_bytes
        if len(request.body) > limit_bytes:
            detail = f"the limit of {service} is {limit_bytes} bytes"
            return Refused(Kind.BODY_TOO_LARGE, detail)
        return self._check_level(service, scope, request_class)

    def _check_level(
        self, service: str, scope: CallScope, request_class: RequestClass
    ) -> Refused | None:
        now_s = self.clock.monotonic_s()
        if scope.deadline_s <= now_s:
            return Refused(Kind.DEADLINE_TOO_SHORT, "the deadline has passed")
        if self.local is not None and self.local.service == service:
            # The own admission knows its level now; the learned one lags behind.
            return None
        rank = rank_request(scope.request_id, request_class.priority)
        is_admitted = self.levels.admits(
            service, scope.class_name, rank, now_s, depth=scope.depth
        )
        if not is_admitted:
            detail = f"{service} refuses requests of this rank now"
            return Refused(Kind.OVERLOADED, detail, RETRY_AFTER_S)
        return None

    async def _attempt_until_final(self, call: _Call) -> Outcome:
        tried: set[str] = set()
        last: Outcome = Refused(Kind.NO_UPSTREAM, "", RETRY_AFTER_S)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            candidate = self._pick(call, frozenset(tried))
            if candidate is None:
                break
            tried.add(candidate.name)
            stamp = await self._find_stamp(call, candidate)
            outcome = await self._attempt(call, candidate, attempt, stamp)
            if isinstance(outcome, Answered):
                return outcome
            has_next = self._pick(call, frozenset(tried)) is not None
            follow = self._follow_up(call, candidate, attempt, has_next, stamp)
            outcome, delay_s = await follow.settle(outcome)
            last = combine_attempts(last, outcome)
            if delay_s is None:
                break
            await asyncio.sleep(delay_s)
        return last

    async def _find_stamp(self, call: _Call, candidate: Candidate) -> Stamp | None:
        if call.request_class.is_idempotent or self._is_local(candidate):
            return None
        return await self._remote.find_stamp(candidate)

    def _is_local(self, candidate: Candidate) -> bool:
        return self.local is not None and candidate.name == self.local.upstream

    def _follow_up(
        self,
        call: _Call,
        candidate: Candidate,
        attempt: int,
        has_next: bool,
        stamp: Stamp | None,
    ) -> FollowUp:
        def ask() -> Awaitable[Resolved]:
            return self._remote.ask(candidate, call.call_id, stamp)

        return FollowUp(
            call.scope,
            attempt,
            is_idempotent=call.request_class.is_idempotent,
            has_next=has_next,
            ask=ask,
            ledger=self.scopes.ledger,
            budget=self._budget(call.service, call.request_class.name),
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
        )

    def _pick(self, call: _Call, tried: frozenset[str]) -> Candidate | None:
        own = self._own_candidate(call, tried)
        if own is not None and call.scope.depth == 0 and not self.local.is_draining():
            return own
        router = self._routes.router(call.service)
        now_s = self.clock.monotonic_s()
        refusing = self.levels.refusing(
            call.service, call.request_class.name, call.rank, now_s
        )
        candidate = router.pick(now_s, tried | refusing) or router.pick(now_s, tried)
        candidate = candidate or own
        if candidate is None and tried and call.request_class.is_idempotent:
            # All have been tried; an idempotent call may go to one of them again.
            candidate = router.pick(now_s)
        return candidate

    def _own_candidate(self, call: _Call, tried: frozenset[str]) -> Candidate | None:
        local = self.local
        if local is None or local.service != call.service or local.upstream in tried:
            return None
        candidates = self.directory.candidates(call.service)
        return next((c for c in candidates if c.name == local.upstream), None)

    async def _attempt(
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
        answer = HopAnswer(Failed(Kind.CANCELLED))
        try:
            answer = await self._send(call, candidate, context, stamp)
        finally:
            now_s = self.clock.monotonic_s()
            ledger.give_back(call.scope.key, lent, answer.retries_unused, loan_key)
            router.finish(
                candidate.name,
                now_s,
                elapsed_s=now_s - start_s,
                kind=kind_of(answer.outcome),
            )
        self._learn(call, candidate, answer, now_s)
        return answer.outcome

    async def _send(
        self,
        call: _Call,
        candidate: Candidate,
        context: CallContext,
        stamp: Stamp | None,
    ) -> HopAnswer:
        if self._is_local(candidate):
            return await self.local.run(context, call.request)
        if stamp is None and not call.request_class.is_idempotent:
            detail = f"{candidate.name} tells no stamp"
            return HopAnswer(Refused(Kind.CONNECT_FAILED, detail, RETRY_AFTER_S))
        connections = self._routes.connections_to(call.service)
        return await self._remote.run(
            candidate._replace(max_connections=connections),
            context,
            call.request,
            deadline_s=call.scope.deadline_s,
            stamp=stamp,
        )

    def _learn(
        self, call: _Call, candidate: Candidate, answer: HopAnswer, now_s: float
    ) -> None:
        if answer.level is not None:
            self.levels.observe(
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
        allowance = self.directory.catalog().allowance_of(class_name)
        known = self._budgets.get((service, class_name))
        # A changed allowance holds from the next call on.
        if known is not None and known[0] == allowance:
            return known[1]
        budget = RetryBudget(
            allowance.budget_ratio,
            allowance.min_retries_per_s,
            self.clock.monotonic_s(),
        )
        self._budgets[service, class_name] = (allowance, budget)
        return budget
