"""Tests of the concurrency limit and of the calls that admission starts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_policy import Admission, Arrival, Start
from mimosaloom_policy import limiter as limiter_module
from mimosaloom_policy.limiter import ConcurrencyLimit


def make_arrival(key, priority=4, is_protected=False):
    """Return a call for admission whose deadline is far away."""
    return Arrival(str(key), "any", priority, is_protected, 0.1, 1e9)


STEPS = st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.2)), max_size=120)


def check_against_plain_counts(steps, slots=6):
    """Run calls through admission and compare with plain lists of calls."""
    admission, now_s = Admission(slots, 0.0), 0.0
    running, waiting, offered = [], [], 0

    def apply(decisions):
        for decision in decisions:
            if decision.call_key in waiting:
                waiting.remove(decision.call_key)
            if isinstance(decision, Start):
                running.append(decision.call_key)

    for is_offer, step_s in steps:
        now_s += step_s
        if is_offer:
            offered += 1
            waiting.append(str(offered))
            apply(admission.offer(make_arrival(offered), now_s))
        elif running:
            apply(admission.finish(running.pop(0), now_s, is_success=True))
        apply(admission.tick(now_s))
        assert admission.in_flight == len(running) <= slots
        assert admission.queued == len(waiting)
        assert not waiting or len(running) >= min(slots, admission.limit)


@given(STEPS)
def test_admission_matches_plain_counts(steps):
    """Guards against leaked slots, lost calls, and slots idle while calls wait."""
    check_against_plain_counts(steps)


def test_comparison_finds_a_limit_over_the_slots(monkeypatch):
    """Verifies that the comparison rejects a limit above the declared slots."""
    monkeypatch.setattr(ConcurrencyLimit, "_compute_limit", lambda self: 50)
    with pytest.raises(AssertionError):
        check_against_plain_counts([(True, 0.0)] * 10)


def test_limit_follows_use_and_rises_in_steps():
    """Guards against a surge that fills all slots of every hop at once."""
    limit = ConcurrencyLimit(100)
    assert limit.limit < 60
    for _ in range(300):
        limit.end_window(20)
    low = limit.limit
    assert 20 < low < 30
    windows = 0
    while limit.limit < 100:
        limit.end_window(limit.limit)
        windows += 1
    assert 3 < windows < 20
    assert limiter_module.HEADROOM_RATIO > 1


def test_protected_class_finds_a_slot_under_ten_times_the_demand():
    """Guards against other classes that leave no slot for a protected call."""
    admission, now_s = Admission(20, 0.0), 0.0
    admission.offer(make_arrival("p0", 0, True), now_s)
    for number in range(200):
        now_s += 0.01
        admission.offer(make_arrival(number), now_s)
    admission.finish("p0", now_s, is_success=True)
    decisions = admission.offer(make_arrival("p1", 0, True), now_s)
    assert Start("p1") in decisions


def test_calls_of_zero_duration_keep_the_level_open():
    """Guards against a division by zero when the calls of a window took no time."""
    admission = Admission(6, 0.0)
    admission.offer(make_arrival("a"), 0.0)
    admission.finish("a", 0.0, is_success=True)
    admission.tick(0.125)
    assert admission.level == 1.0
