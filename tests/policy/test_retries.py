"""Tests of the decision that follows a failed attempt."""

import random

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import ERROR_ANSWERS, ErrorKind, Ran
from mimosaloom_policy import (
    FailedAttempt,
    GiveUp,
    ResolveFirst,
    ResolveState,
    Retry,
    RetryBudget,
    RetryLedger,
    StopReason,
    decide_retry,
)

ATTEMPTS = st.builds(
    FailedAttempt,
    call_key=st.just("call"),
    kind=st.sampled_from(ErrorKind),
    attempt=st.integers(1, 64),
    is_idempotent=st.booleans(),
    time_left_s=st.floats(-1.0, 10.0),
    min_attempt_s=st.floats(0.001, 2.0),
    retry_after_s=st.sampled_from([0.0, 0.5, 4.0]),
    resolved=st.sampled_from(ResolveState),
)


def decide(attempt, retries=4, has_budget=True):
    """Return the decision, and the retry ledger and budget after it."""
    ledger, budget = RetryLedger(), RetryBudget(0.0, 0.0, 0.0)
    ledger.open("call", retries)
    if not has_budget:
        budget.try_spend(0.0)
    decision = decide_retry(attempt, ledger, budget, random.Random(1), 0.0)
    return decision, ledger, budget


@given(ATTEMPTS, st.integers(0, 4), st.booleans())
def test_a_retry_is_safe_and_spends_allowance_and_budget(attempt, retries, has_budget):
    """Guards against a retry of a call that may have run.

    Such a retry could, for example, issue a fee twice.
    """
    decision, ledger, budget = decide(attempt, retries, has_budget)
    answer = ERROR_ANSWERS[attempt.kind]
    is_retry = isinstance(decision, Retry)
    assert ledger.balance("call") == retries - is_retry
    assert budget.try_spend(0.0) == (has_budget and not is_retry)
    if is_retry:
        is_resolved = attempt.resolved is ResolveState.NOT_RUN
        is_safe = answer.ran is Ran.MAYBE and is_resolved
        assert answer.ran is Ran.NO or attempt.is_idempotent or is_safe
        assert 0 <= decision.delay_s <= attempt.time_left_s - attempt.min_attempt_s
    if isinstance(decision, ResolveFirst):
        assert answer.ran is Ran.MAYBE
        assert not attempt.is_idempotent


@given(ATTEMPTS, st.integers(0, 4), st.booleans())
def test_a_final_answer_carries_a_retry_after(attempt, retries, has_budget):
    """Guards against callers that retry at once after a final failure.

    Callers do so without a `retry_after_s`, and all together if they get the same one.
    """
    decision, _, _ = decide(attempt, retries, has_budget)
    if isinstance(decision, GiveUp):
        is_useful = ERROR_ANSWERS[attempt.kind].is_retryable and decision.reason in (
            StopReason.ALLOWANCE_SPENT,
            StopReason.BUDGET_EMPTY,
            StopReason.DEADLINE_TOO_SHORT,
            StopReason.ATTEMPTS_SPENT,
        )
        assert is_useful == (decision.retry_after_s >= 1.0)
        if ERROR_ANSWERS[decision.kind].ran is Ran.NO:
            is_resolved = attempt.resolved is ResolveState.NOT_RUN
            assert ERROR_ANSWERS[attempt.kind].ran is Ran.NO or is_resolved


def test_each_failure_has_its_own_stop_reason():
    """Guards against failures of different causes that have the same stop reason.

    Operators tune the allowance and the budget by these reasons.
    """
    lost = FailedAttempt("call", ErrorKind.CONNECTION_LOST, 1, False, 5.0, 0.1)
    refused = lost._replace(kind=ErrorKind.OVERLOADED)
    unknown = lost._replace(resolved=ResolveState.OTHER_INCARNATION)
    assert decide(lost)[0] == ResolveFirst(0.0)
    assert decide(unknown)[0].kind is ErrorKind.OUTCOME_UNKNOWN
    assert decide(refused, retries=0)[0].reason is StopReason.ALLOWANCE_SPENT
    assert decide(refused, has_budget=False)[0].reason is StopReason.BUDGET_EMPTY
    late = refused._replace(time_left_s=0.1)
    assert decide(late)[0].reason is StopReason.DEADLINE_TOO_SHORT
    last = refused._replace(attempt=64)
    assert decide(last)[0].reason is StopReason.ATTEMPTS_SPENT
    partial = lost._replace(kind=ErrorKind.TARGET_FAILED)
    assert decide(partial)[0].reason is StopReason.MAY_HAVE_RUN
    bad = lost._replace(kind=ErrorKind.BAD_REQUEST)
    assert decide(bad)[0].reason is StopReason.NOT_RETRYABLE
