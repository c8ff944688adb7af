"""Tests of admission levels: histogram, control loop and level table of callers."""

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_policy import Admission, Arrival, LevelTable, Start, shedding
from mimosaloom_policy.histogram import RankHistogram

RANKS = st.lists(st.floats(0.0, 1.0, exclude_max=True), min_size=1, max_size=200)


@given(RANKS, st.floats(0.05, 1.0))
def test_level_for_a_rate_admits_that_rate(ranks, share):
    """Guards against a level that admits more or fewer calls than requested."""
    histogram = RankHistogram()
    for rank in ranks:
        histogram.add(rank)
    histogram.end_window(0.1, 1.0)
    total = histogram.rate_below(1.0)
    level = histogram.level_for(share * total)
    assert histogram.rate_below(level) == pytest.approx(share * total)
    assert histogram.level_for(1.01 * total) == 1.0


def test_histogram_keeps_ranks_that_callers_refuse():
    """Guards against a jump to full load once callers stop sending the shed ranks."""
    histogram = RankHistogram()
    for _ in range(50):
        for number in range(100):
            histogram.add(number / 100)
        histogram.end_window(0.1, 1.0)
    for _ in range(50):
        for number in range(40):
            histogram.add(number / 100)
        histogram.end_window(0.1, 0.4)
    assert histogram.level_for(700.0) == pytest.approx(0.7, abs=0.02)


OBSERVATIONS = st.lists(
    st.tuples(
        st.sampled_from(["billing", "intake"]),
        st.sampled_from(["a", "b", "c"]),
        st.floats(0.0, 1.0),
        st.floats(0.0, 1.5),
    ),
    max_size=20,
)


@given(OBSERVATIONS, st.floats(0.0, 1.0))
def test_table_matches_search_over_all_observations(observations, rank):
    """Guards against stale levels and refusals of calls that one upstream admits."""
    table = LevelTable(random.Random(1), "intake")
    latest, now_s = {}, 0.0
    for service, upstream, level, step_s in observations:
        now_s += step_s
        table.record_levels(service, "any", upstream, level, now_s)
        latest[(service, upstream)] = (level, now_s)
    fresh = {key: level for key, (level, at_s) in latest.items() if now_s - at_s <= 2}
    billing = {name: lv for (service, name), lv in fresh.items() if service != "intake"}
    expected = max(billing.values(), default=1.0)
    assert table.level("billing", "any", now_s) == expected
    assert table.lowest_level("any", now_s) == expected
    refusing = {name for name, level in billing.items() if level <= rank}
    if rank < expected:
        assert table.refusing_upstreams("billing", "any", rank, now_s) == refusing


def test_probes_are_bounded_and_reach_deeper_hops():
    """Guards against probes that overload a service or never reach it."""
    table = LevelTable(random.Random(1))
    table.record_levels("billing", "any", "a", 0.2, 0.0)
    admitted = sum(
        table.admits("billing", "any", 0.5, number / 10_000) for number in range(10_000)
    )
    assert 1 <= admitted <= 3
    assert table.admits("billing", "any", 0.1, 1.0)
    deeper = [table.admits("billing", "any", 0.5, t, depth=1) for t in (1.6, 1.7, 2.0)]
    assert deeper == [True, False, False]


def test_draining_target_hides_no_level():
    """Guards against callers that use the level of a target that has left."""
    admission = Admission(1, 0.0)
    assert admission.level == 1.0
    admission.start_draining()
    assert admission.level == 0.0
    table = LevelTable(random.Random(1))
    table.record_levels("billing", "any", "old", 1.0, 0.0)
    table.record_levels("billing", "any", "new", 0.3, 0.0)
    table.remove_other_upstreams("billing", frozenset({"new"}))
    assert table.level("billing", "any", 0.1) == 0.3


def test_latest_answer_determines_the_level_below():
    """Guards against an older answer that hides an overload of the services below."""
    table = LevelTable(random.Random(1))
    table.record_levels("billing", "any", "a", 1.0, 0.0, level_below=1.0)
    table.record_levels("billing", "any", "b", 0.6, 0.4, level_below=0.2)
    assert table.level("billing", "any", 0.4) == 0.2
    table.record_levels("billing", "any", "b", 0.6, 0.6, level_below=0.8)
    assert table.level("billing", "any", 0.6) == 0.8
    assert table.level("billing", "any", 2.1) == 0.6
    assert table.level("billing", "any", 2.7) == 1.0
    table.record_levels("billing", "any", "a", 0.9, 3.0)
    assert table.level("billing", "any", 3.0) == 0.9


def run_overloaded(calls_per_s, run_s=6.0, slots=10, work_s=0.1):
    """Offer calls of random rank, one in ten protected; return the shares started."""
    admission = Admission(slots, 0.0)
    rng = random.Random(3)
    ends = []
    offered, started = {0: 0, 4: 0}, {0: 0, 4: 0}

    def apply(decisions, now_s):
        for decision in decisions:
            if isinstance(decision, Start):
                started[int(decision.call_key.split("/")[0])] += now_s > run_s / 2
                heapq.heappush(ends, (now_s + work_s, decision.call_key))

    for number in range(int(calls_per_s * run_s)):
        now_s = number / calls_per_s
        while ends and ends[0][0] <= now_s:
            end_s, key = heapq.heappop(ends)
            apply(admission.finish(key, end_s, is_success=True), end_s)
        priority = 0 if number % 10 == 0 else 4
        offered[priority] += now_s > run_s / 2
        rank = (priority + rng.random()) / 8
        key = f"{priority}/{number}"
        arrival = Arrival(key, "any", priority, priority == 0, rank, now_s + 2)
        apply(admission.offer(arrival, now_s), now_s)
        apply(admission.tick(now_s), now_s)
    return {name: started[name] / offered[name] for name in offered}, admission


def check_settled(ratios, admission):
    """Check that all protected calls start and that the others fill the slots."""
    assert ratios[0] >= 0.99
    capacity_ratio = (100 / 500 - 0.1) / 0.9
    assert 0.9 * capacity_ratio <= ratios[4] <= 1.05 * capacity_ratio
    assert admission.queued <= 10


def test_level_settles_at_the_capacity():
    """Guards against a level that leaves slots unused or fills the queue."""
    check_settled(*run_overloaded(500))


def test_settling_check_finds_a_level_that_only_falls(monkeypatch):
    """Verifies that the check rejects a level that never rises again."""

    def lower_only(self, window, min_level):
        self.level = min(self.level, 0.51 if window.queued else self.level)

    monkeypatch.setattr(shedding.LevelControl, "end_window", lower_only)
    with pytest.raises(AssertionError):
        check_settled(*run_overloaded(500))


def test_level_stays_open_at_normal_load():
    """Guards against refusals of low-priority classes without an overload."""
    ratios, admission = run_overloaded(70)
    assert ratios == {0: 1.0, 4: 1.0}
    assert admission.level == 1.0
