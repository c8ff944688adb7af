"""Tests of the retry budget: the sum of the retries of all nodes in any window."""

import random

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_relay import RetryBudgetShare, SharedRetryBudget

BUDGET = SharedRetryBudget(ratio=0.2, base=49, window_s=10.0)
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 2), st.sampled_from([None, False, True])),
    max_size=120,
)


@given(STEPS)
def test_sum_over_nodes_stays_within_the_budget_in_every_window(steps):
    """Guards against retries that exceed the budget in some sliding window."""
    shares = [RetryBudgetShare(BUDGET) for _ in range(3)]
    now_s, requests, retries = 0.0, [], []
    for wait_s, node, is_top_priority in steps:
        now_s += wait_s
        if is_top_priority is None:
            shares[node].record_request(now_s)
            requests.append(now_s)
        elif shares[node].try_spend(now_s, nodes=3, is_top_priority=is_top_priority):
            retries.append(now_s)
    for end_s in retries:
        inside = [t for t in retries if end_s - BUDGET.window_s < t <= end_s]
        known = [t for t in requests if end_s - 2 * BUDGET.window_s < t <= end_s]
        assert len(inside) <= BUDGET.ratio * len(known) + BUDGET.base


def test_share_recovers_after_the_window():
    """Guards against a node that never retries again after its share was used up."""
    share = RetryBudgetShare(BUDGET)
    while share.try_spend(0.0, nodes=15, is_top_priority=True):
        pass
    assert not share.try_spend(5.0, nodes=15, is_top_priority=True)
    assert share.try_spend(10.1, nodes=15, is_top_priority=True)


def test_calls_of_retries_use_up_the_share():
    """Guards against a retry high in the call graph that causes many more below it."""
    share = RetryBudgetShare(BUDGET)
    for _ in range(3):
        share.record_retry(0.0)
    assert not share.try_spend(0.0, nodes=15, is_top_priority=True)


def test_top_priority_requests_may_retry_longest():
    """Guards against requests of lower priority that use up the whole share."""
    share = RetryBudgetShare(BUDGET)
    for _ in range(100):
        share.record_request(0.0)
    while share.try_spend(0.0, nodes=15, is_top_priority=False, completed_calls=9):
        pass
    assert share.try_spend(0.0, nodes=15, is_top_priority=True)


def simulate_rejecting_targets(spend):
    """Simulate 400 requests of four calls each; targets reject 55% of all calls.

    Returns:
        Number of finished requests, by whether they have the highest priority.
    """
    rng = random.Random(3)
    share = RetryBudgetShare(BUDGET)
    finished = {True: 0, False: 0}
    runs = [[index % 4 == 0, 0] for index in range(400)]
    for turn in range(20):
        for run in list(runs):
            is_top_priority, done = run
            if turn % 4 == 0:
                share.record_request(turn * 0.1)
            has_passed = rng.random() < 0.45
            while not has_passed and spend(share, turn * 0.1, is_top_priority, done):
                has_passed = rng.random() < 0.45
            run[1] = done + 1
            if not has_passed or run[1] == 4:
                runs.remove(run)
                finished[is_top_priority] += has_passed
    return finished


def test_top_priority_requests_finish_while_targets_reject_at_random():
    """Guards against retries spread so thinly that no important request finishes.

    All targets of the deepest service reject 55% of all calls, and each request makes
    four calls. The baseline spends the same share in the order of arrival.
    """

    def spend_in_order(share, now_s, is_top_priority, done):
        return share.try_spend(now_s, nodes=1, is_top_priority=True, completed_calls=9)

    def spend_by_value(share, now_s, is_top_priority, done):
        return share.try_spend(
            now_s, nodes=1, is_top_priority=is_top_priority, completed_calls=done
        )

    before, after = (
        simulate_rejecting_targets(spend) for spend in (spend_in_order, spend_by_value)
    )
    assert after[True] >= 1.5 * before[True]
    assert 3 * after[True] + after[False] > 3 * before[True] + before[False]
