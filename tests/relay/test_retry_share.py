"""Tests of the retry budget: the sum of the retries of all nodes in any window."""

import bisect
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relay.rejecting_load import EarlierShare, RejectingLoad, simulate_rejections

from mimosaloom_relay import RetryBudgetShare, SharedRetryBudget

BUDGET = SharedRetryBudget(ratio=0.2, base=49, window_s=10.0)
SEEDS = (11, 12, 13)
# By how much lower the share of important requests that finish may be by chance; the
# platform's own rule allows as much.
MAX_INVERSION = 0.05
MIN_REQUESTS = 100
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
        elif shares[node].try_spend(
            now_s, nodes=3, priority=0 if is_top_priority else 2
        ):
            retries.append(now_s)
    for end_s in retries:
        inside = [t for t in retries if end_s - BUDGET.window_s < t <= end_s]
        known = [t for t in requests if end_s - 2 * BUDGET.window_s < t <= end_s]
        assert len(inside) <= BUDGET.ratio * len(known) + BUDGET.base


def test_share_recovers_after_the_window():
    """Guards against a node that never retries again after its share was used up."""
    share = RetryBudgetShare(BUDGET)
    while share.try_spend(0.0, nodes=15, priority=0):
        pass
    assert not share.try_spend(5.0, nodes=15, priority=0)
    assert share.try_spend(10.1, nodes=15, priority=0)


def test_calls_of_retries_use_up_the_share():
    """Guards against a retry high in the call graph that causes many more below it."""
    share = RetryBudgetShare(BUDGET)
    for _ in range(3):
        share.record_retry(0.0)
    assert not share.try_spend(0.0, nodes=15, priority=0)


def test_top_priority_requests_may_retry_longest():
    """Guards against requests of lower priority that use up the whole share."""
    share = RetryBudgetShare(BUDGET)
    for _ in range(100):
        share.record_request(0.0)
    while share.try_spend(0.0, nodes=15, priority=2, remaining_calls=1):
        pass
    assert share.try_spend(0.0, nodes=15, priority=0)


def count_finished(new_share, load):
    """Return the share of requests that finish during a fault, by priority."""
    counts = Counter()
    for seed in SEEDS:
        counts += simulate_rejections(new_share(BUDGET), load._replace(seed=seed))[0]
    return {p: counts["finished", p] / counts["asked", p] for p in (0, 2)}


def find_excess(calls, retries):
    """Return by how much the retries of some window exceed the budget; 0 if none do.

    The budget refers to the window, the one before it or the one half a window before
    it, whichever has the most requests.
    """
    excess = 0.0
    for end_s in retries:
        most = max(
            count_between(calls, end_s - age_s - BUDGET.window_s, end_s - age_s)
            for age_s in (0.0, BUDGET.window_s / 2, BUDGET.window_s)
        )
        inside = count_between(retries, end_s - BUDGET.window_s, end_s)
        excess = max(excess, inside - BUDGET.ratio * most - BUDGET.base)
    return excess


def count_between(times_s, after_s, to_s):
    """Count the times in a half-open interval of a sorted list."""
    return bisect.bisect_right(times_s, to_s) - bisect.bisect_right(times_s, after_s)


def test_important_requests_finish_through_a_long_fault():
    """Guards against a share that is used up in the first seconds of a fault.

    All targets of the deepest service reject 55% of all calls for 9 s, and each request
    makes four calls.
    """
    load = RejectingLoad(accept_ratio=0.45, length_s=9.0, seed=0)
    before, after = (
        count_finished(new_share, load)
        for new_share in (EarlierShare, RetryBudgetShare)
    )
    assert after[0] >= 1.4 * before[0]
    gain = 3 * load.top_ratio * (after[0] - before[0])
    assert gain > (1 - load.top_ratio) * (before[2] - after[2])


def test_all_requests_finish_through_a_mild_fault():
    """Guards against reserves that leave most of the share unused."""
    load = RejectingLoad(accept_ratio=0.95, length_s=9.0, seed=0)
    finished = count_finished(RetryBudgetShare, load)
    assert finished[0] > 0.99
    assert finished[2] > 0.99


def draw_load(seed):
    """Draw a load and a fault of any size."""
    rng = random.Random(seed)
    return RejectingLoad(
        accept_ratio=rng.uniform(0.1, 0.95),
        length_s=rng.uniform(1.0, 25.0),
        seed=seed,
        calls=rng.randint(1, 8),
        requests_per_s=10 ** rng.uniform(0.5, 2.2),
        top_ratio=rng.uniform(0.1, 0.6),
        nodes=rng.choice([1, 3, 16, 64]),
    )


@pytest.mark.parametrize("seed", range(30))
def test_budget_and_priorities_hold_under_any_load(seed):
    """Guards against decisions that fit the call graph and the sizes of one site."""
    load = draw_load(seed)
    counts, calls, retries = simulate_rejections(RetryBudgetShare(BUDGET), load)
    assert find_excess(calls, retries) == 0
    if min(counts["asked", 0], counts["asked", 2]) < MIN_REQUESTS:
        return
    finished = {p: counts["finished", p] / counts["asked", p] for p in (0, 2)}
    assert finished[0] >= finished[2] - MAX_INVERSION


def test_requests_near_their_end_may_retry_longest():
    """Guards against retries for requests that need several more calls."""
    share = RetryBudgetShare(BUDGET)
    for _ in range(1000):
        share.record_request(0.0)
    while share.try_spend(0.0, nodes=15, priority=2, remaining_calls=4):
        pass
    assert share.try_spend(0.0, nodes=15, priority=2, remaining_calls=1)


class ShiftingShares:
    """Shares of several nodes, among which the requests are moved every few seconds."""

    NODES = 4
    SHIFT_INTERVAL_S = 4.0

    def __init__(self, budget, seed):
        self._shares = [RetryBudgetShare(budget) for _ in range(self.NODES)]
        self._rng = random.Random(seed)
        self._weights = [1.0] * self.NODES
        self._next_shift_s = 0.0

    def record_request(self, now_s):
        """Count a request at one of the nodes."""
        self._pick(now_s).record_request(now_s)

    def try_spend(self, now_s, *, nodes, priority, remaining_calls):
        """Spend a retry of one of the nodes."""
        return self._pick(now_s).try_spend(
            now_s, nodes=self.NODES, priority=priority, remaining_calls=remaining_calls
        )

    def _pick(self, now_s):
        if now_s >= self._next_shift_s:
            self._next_shift_s = now_s + self.SHIFT_INTERVAL_S
            self._weights = [self._rng.uniform(0.05, 1.0) for _ in range(self.NODES)]
        return self._rng.choices(self._shares, self._weights)[0]


@pytest.mark.parametrize("seed", range(10))
def test_budget_holds_while_requests_move_between_nodes(seed):
    """Guards against nodes that each count the requests of another window."""
    load = RejectingLoad(accept_ratio=0.1, length_s=25.0, seed=seed, calls=2)
    _, calls, retries = simulate_rejections(ShiftingShares(BUDGET, seed), load)
    assert find_excess(calls, retries) == 0
