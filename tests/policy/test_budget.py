"""Tests of the retry budget per service and class."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_policy import RetryBudget

EVENTS = st.lists(
    st.tuples(st.booleans(), st.floats(-5.0, 5.0)), min_size=1, max_size=200
)


@given(EVENTS, st.floats(0.0, 1.0), st.floats(0.0, 3.0))
def test_retries_stay_a_share_of_successes(events, ratio, min_retries_per_s):
    """Guards against retries that continue at the full rate when all calls fail."""
    budget = RetryBudget(ratio, min_retries_per_s, 0.0)
    successes = retries = 0
    now_s = latest_s = 0.0
    for is_success, step_s in events:
        now_s += step_s
        latest_s = max(latest_s, now_s)
        if is_success:
            budget.record_success(now_s)
            successes += 1
        else:
            retries += budget.try_spend(now_s)
    capacity = max(1.0, 10.0 * min_retries_per_s)
    earned = ratio * successes + min_retries_per_s * latest_s
    assert retries <= capacity + earned + 1e-6
