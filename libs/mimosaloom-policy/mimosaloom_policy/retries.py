"""Decision after a failed attempt: retry, resolve first, or give up.

To resolve an attempt is to ask the node that received it whether the call ran.
"""

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from mimosaloom_model import ERROR_ANSWERS, ErrorKind, Ran

from .allowance import RetryLedger
from .budget import RetryBudget

__all__ = [
    "FailedAttempt",
    "GiveUp",
    "ResolveFirst",
    "ResolveState",
    "Retry",
    "RetryDecision",
    "RetryReason",
    "StopReason",
    "UseStored",
    "decide_retry",
]

MAX_ATTEMPTS = 64
BASE_DELAY_S = 0.025
MAX_DELAY_S = 1.0
MIN_RETRY_AFTER_S = 1.0
# Minimum time before the deadline at which a resolution is still started.
MIN_RESOLVE_S = 0.02
# Lower bound of the delay between two resolutions of a call that is still running.
RUNNING_POLL_S = 0.05


class RetryReason(StrEnum):
    """Why a call is sent again; a label of the retry counter."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    RESOLVED_NOT_RUN = "resolved_not_run"
    IDEMPOTENT = "idempotent"


class StopReason(StrEnum):
    """Why a call is not sent again; a label of the counter of final failures."""

    NOT_RETRYABLE = "not_retryable"
    MAY_HAVE_RUN = "may_have_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    ATTEMPTS_SPENT = "attempts_spent"
    ALLOWANCE_SPENT = "allowance_spent"
    BUDGET_EMPTY = "budget_empty"


class ResolveState(StrEnum):
    """Result of resolving an attempt that may have run.

    Attributes:
        UNRESOLVED: The attempt has not been resolved.
        DONE: The call has ended, and the node returned its result.
        RUNNING: The call is still running.
        NOT_RUN: The call has not run on the node and never will.
        OTHER_INCARNATION: The node has restarted since the attempt.
        NO_ANSWER: The node did not answer or does not know the state.
    """

    UNRESOLVED = "not_asked"
    DONE = "done"
    RUNNING = "running"
    NOT_RUN = "not_run"
    OTHER_INCARNATION = "other_incarnation"
    NO_ANSWER = "no_answer"


class FailedAttempt(NamedTuple):
    """A failed attempt and what the sender knows about its call.

    Attributes:
        call_key: Key of the parent call's account in the retry ledger.
        kind: Error kind of the attempt.
        attempt: Number of the attempt, from 1.
        is_idempotent: Whether the request class is idempotent.
        time_left_s: Time until the deadline of the call.
        min_attempt_s: Minimum time that another attempt needs to succeed.
        retry_after_s: Hint that came with a refusal; 0 without one.
        resolved: Result of resolving the attempt.
    """

    call_key: str
    kind: ErrorKind
    attempt: int
    is_idempotent: bool
    time_left_s: float
    min_attempt_s: float
    retry_after_s: float = 0.0
    resolved: ResolveState = ResolveState.UNRESOLVED


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the call again after the delay.

    The retry has already been spent from the retry ledger and the budget.
    """

    reason: RetryReason
    delay_s: float


@dataclass(frozen=True, slots=True)
class ResolveFirst:
    """Ask the same incarnation after the delay whether the attempt ran."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class UseStored:
    """Use the stored answer that the resolution returned as the outcome."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller at once with a final failure.

    Attributes:
        reason: Why the call is not sent again.
        kind: Error kind of the final outcome.
        retry_after_s: Time after which the caller may retry; 0 if a retry is useless.
    """

    reason: StopReason
    kind: ErrorKind
    retry_after_s: float


RetryDecision = Retry | ResolveFirst | UseStored | GiveUp

_UNREACHABLE = frozenset(
    {ErrorKind.NO_UPSTREAM, ErrorKind.CONNECT_FAILED, ErrorKind.CONNECTION_LIMIT}
)


def decide_retry(
    attempt: FailedAttempt,
    ledger: RetryLedger,
    budget: RetryBudget,
    rng: random.Random,
    now_s: float,
) -> RetryDecision:
    """Decide what follows a failed attempt.

    If the call is sent again, one retry is spent from both the retry ledger and the
    budget, otherwise none from either. An attempt that may have run is retried
    only if the class is idempotent or the attempt was resolved as not run.

    Args:
        attempt: The failed attempt.
        ledger: Retry ledger with the account `attempt.call_key`.
        budget: Budget of the called service and the class.
        rng: Source of the jitter.
        now_s: Current time on the monotonic clock.
    """
    if attempt.resolved is ResolveState.DONE:
        return UseStored()
    reason = _retry_reason(attempt)
    if reason is None:
        return _resolve_or_give_up(attempt, rng)
    stop = _check_and_spend_budget(attempt, ledger, budget, now_s)
    if stop is not None:
        return GiveUp(stop, _final_kind(attempt), _retry_after_s(attempt, rng))
    ledger.spend(attempt.call_key)
    slack_s = attempt.time_left_s - attempt.min_attempt_s
    return Retry(reason, min(_backoff_delay_s(attempt.attempt, rng), slack_s))


def _retry_reason(attempt: FailedAttempt) -> RetryReason | None:
    """Return why another attempt is safe and useful; None if it is not."""
    answer = ERROR_ANSWERS[attempt.kind]
    if not answer.is_retryable:
        return None
    if answer.ran is Ran.NO:
        is_unreachable = attempt.kind in _UNREACHABLE
        return RetryReason.UNREACHABLE if is_unreachable else RetryReason.REFUSED
    if answer.ran is Ran.MAYBE and attempt.resolved is ResolveState.NOT_RUN:
        return RetryReason.RESOLVED_NOT_RUN
    return RetryReason.IDEMPOTENT if attempt.is_idempotent else None


def _resolve_or_give_up(attempt: FailedAttempt, rng: random.Random) -> RetryDecision:
    """Resolve an attempt that may have run, or give up."""
    answer = ERROR_ANSWERS[attempt.kind]
    if not answer.is_retryable:
        kind = attempt.kind
        is_unknown = kind is ErrorKind.OUTCOME_UNKNOWN
        stop = StopReason.OUTCOME_UNKNOWN if is_unknown else StopReason.NOT_RETRYABLE
        return GiveUp(stop, kind, 0.0)
    if answer.ran is Ran.YES:
        return GiveUp(StopReason.MAY_HAVE_RUN, attempt.kind, 0.0)
    if attempt.resolved in (ResolveState.NO_ANSWER, ResolveState.OTHER_INCARNATION):
        return GiveUp(StopReason.OUTCOME_UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, 0.0)
    if attempt.time_left_s < MIN_RESOLVE_S:
        return GiveUp(StopReason.MAY_HAVE_RUN, attempt.kind, 0.0)
    is_running = attempt.resolved is ResolveState.RUNNING
    delay_s = RUNNING_POLL_S * (1.0 + rng.random()) if is_running else 0.0
    return ResolveFirst(min(delay_s, attempt.time_left_s - MIN_RESOLVE_S))


def _check_and_spend_budget(
    attempt: FailedAttempt, ledger: RetryLedger, budget: RetryBudget, now_s: float
) -> StopReason | None:
    """Return what forbids a safe retry; if nothing does, spend one from the budget."""
    if attempt.time_left_s <= attempt.min_attempt_s:
        return StopReason.DEADLINE_TOO_SHORT
    if attempt.attempt >= MAX_ATTEMPTS:
        return StopReason.ATTEMPTS_SPENT
    if ledger.balance(attempt.call_key) < 1:
        return StopReason.ALLOWANCE_SPENT
    if not budget.try_spend(now_s):
        return StopReason.BUDGET_EMPTY
    return None


def _final_kind(attempt: FailedAttempt) -> ErrorKind:
    # An attempt that was resolved as not run must not be reported as possibly run.
    is_resolved = attempt.resolved is ResolveState.NOT_RUN
    if is_resolved and ERROR_ANSWERS[attempt.kind].ran is Ran.MAYBE:
        return ErrorKind.NO_UPSTREAM
    return attempt.kind


def _retry_after_s(attempt: FailedAttempt, rng: random.Random) -> float:
    """Return a random hint of one to two times the base, to spread the retries."""
    return max(MIN_RETRY_AFTER_S, attempt.retry_after_s) * (1.0 + rng.random())


def _backoff_delay_s(attempt: int, rng: random.Random) -> float:
    """Return an exponential backoff with full jitter.

    It ignores the `Retry-After` of a refusal, because the next attempt goes to another
    upstream.
    """
    ceiling_s = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** min(attempt - 1, 10))
    return rng.random() * ceiling_s
