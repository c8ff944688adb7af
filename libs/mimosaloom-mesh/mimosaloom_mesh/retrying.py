"""Decides after an attempt: query its state, retry, or return the final outcome."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from mimosaloom_model import (
    ERROR_ANSWERS,
    Answered,
    Clock,
    ErrorKind,
    Failed,
    Outcome,
    Ran,
    Refused,
)
from mimosaloom_policy import (
    FailedAttempt,
    GiveUp,
    ResolveFirst,
    ResolveState,
    Retry,
    RetryBudget,
    RetryDecision,
    RetryLedger,
    UseStored,
    decide_retry,
)

from .messages import error_kind
from .metrics import MeshMetrics
from .resolution import Resolved
from .scopes import CallScope

__all__ = ["RetryHandler", "combine_attempts"]

# Shortest remaining time in which another attempt can succeed.
MIN_ATTEMPT_S = 0.005


class RetryHandler:
    """Decides what follows one attempt of a call.

    Args:
        scope: Scope in which the call is made; its key is that of its account in
            `ledger`.
        attempt: Number of the attempt, from 1.
        is_idempotent: Whether the request class may run more than once.
        has_next: Whether there is an upstream for another attempt.
        query_state: Queries the state of the attempt at the node that received it.
        ledger: Holds an account of the remaining retries for each scope.
        budget: Retry budget of the called service and the request class.
        clock: Source of time.
        rng: Source of jitter.
        metrics: Counts retries by reason.
    """

    def __init__(
        self,
        scope: CallScope,
        attempt: int,
        *,
        is_idempotent: bool,
        has_next: bool,
        query_state: Callable[[], Awaitable[Resolved]],
        ledger: RetryLedger,
        budget: RetryBudget,
        clock: Clock,
        rng: random.Random,
        metrics: MeshMetrics,
    ):
        self._scope = scope
        self._attempt = attempt
        self._is_idempotent = is_idempotent
        self._has_next = has_next
        self._query_state = query_state
        self._ledger = ledger
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def resolve_and_decide(
        self, outcome: Outcome
    ) -> tuple[Outcome, float | None]:
        """Resolve an unknown outcome if needed and decide whether to retry.

        Args:
            outcome: Outcome of the attempt.

        Returns:
            The resolved outcome, and the delay in seconds before the next attempt, or
            None if there is no next attempt.
        """
        resolved = Resolved(ResolveState.UNRESOLVED)
        while True:
            if isinstance(outcome, Answered):
                return outcome, None
            if isinstance(outcome, Refused) and not self._has_next:
                return outcome, None
            match self._decide(outcome, resolved.state):
                case Retry(reason, delay_s):
                    self._metrics.count_retry(reason.value)
                    return _apply_resolution(outcome, resolved.state), delay_s
                case GiveUp(reason, kind, retry_after_s):
                    self._metrics.count_stopped_retry(reason.value)
                    return _final_outcome(outcome, kind, retry_after_s), None
                case UseStored():
                    self._metrics.count_resolution(resolved.state)
                    return resolved.result, None
                case ResolveFirst(delay_s):
                    await asyncio.sleep(delay_s)
                    resolved = await self._query_state()
                    if resolved.state != ResolveState.RUNNING:
                        self._metrics.count_resolution(resolved.state)

    def _decide(
        self, outcome: Refused | Failed, resolved: ResolveState
    ) -> RetryDecision:
        now_s = self._clock.monotonic_s()
        attempt = FailedAttempt(
            call_key=self._scope.key,
            kind=outcome.kind,
            attempt=self._attempt,
            is_idempotent=self._is_idempotent,
            time_left_s=self._scope.deadline_s - now_s,
            min_attempt_s=MIN_ATTEMPT_S,
            retry_after_s=outcome.retry_after_s,
            resolved=resolved,
        )
        return decide_retry(attempt, self._ledger, self._budget, self._rng, now_s)


def combine_attempts(earlier: Outcome, later: Outcome) -> Outcome:
    """Return the outcome of a call, given its outcome so far and one more attempt.

    A refusal means that no part of the call ran. It is therefore returned only if no
    earlier attempt may have run.
    """
    if isinstance(later, Refused) and isinstance(earlier, Failed):
        return earlier
    return later


def _apply_resolution(outcome: Refused | Failed, state: ResolveState) -> Outcome:
    """Turn a failure into a refusal if the call was resolved to "not run"."""
    if state is not ResolveState.NOT_RUN or isinstance(outcome, Refused):
        return outcome
    return Refused(
        ErrorKind.CONNECT_FAILED, "the node reports that the call did not run"
    )


def _final_outcome(
    outcome: Refused | Failed, kind: ErrorKind, retry_after_s: float
) -> Outcome:
    detail = outcome.detail
    if error_kind(outcome) is not kind:
        detail = f"{outcome.kind}: {detail}"
    if ERROR_ANSWERS[kind].ran is not Ran.NO:
        return Failed(kind, detail, retry_after_s)
    return Refused(kind, detail, retry_after_s)
