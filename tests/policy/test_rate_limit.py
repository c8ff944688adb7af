"""Tests of the rate limit of one target, on a virtual clock."""

import random

import pytest

from mimosaloom_model import ErrorKind
from mimosaloom_policy import Admission, Arrival, RateLimit, Refuse, Start

WINDOW_S = 4.0
STEP_S = 0.01
SLOTS = 72


def arrival(key, *, priority=2, depth=1, now_s=0.0):
    """Return a call with plenty of time."""
    return Arrival(key, "c", priority, priority == 0, 0.5, now_s + 60.0, depth)


def largest_window(starts_s):
    """Return the largest number of starts in a window."""
    return max(
        sum(start_s <= s < start_s + WINDOW_S for s in starts_s) for start_s in starts_s
    )


def play(limit, duration_s, answers_after_s, named_per_s):
    """Start whatever the limit lets through; return the times of the starts.

    Args:
        limit: The limit.
        duration_s: Length of the play.
        answers_after_s: Time from a start to its answer.
        named_per_s: Returns the limit that an answer at a time names.
    """
    starts_s = []
    for step in range(int(duration_s / STEP_S)):
        now_s = step * STEP_S
        if any(abs(s + answers_after_s - now_s) < STEP_S / 2 for s in starts_s):
            limit.observe(named_per_s(now_s), now_s)
        while limit.may_start(now_s) and sum(s == now_s for s in starts_s) < SLOTS:
            starts_s.append(now_s)
            limit.record_start(now_s)
    return starts_s


@pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 7.5, 40.0])
def test_no_window_has_more_starts_than_the_limit_allows(rate_per_s):
    """Guards against bursts at a target that has named a limit."""
    limit = RateLimit()
    limit.observe(rate_per_s, 0.0)
    starts_s = play(limit, 20.0, 0.2, lambda now_s: rate_per_s)
    assert largest_window(starts_s) <= 1.5 * rate_per_s * WINDOW_S + 5
    assert len(starts_s) >= 0.9 * rate_per_s * 20.0 - 1


def test_limit_that_changes_with_each_answer_neither_starves_nor_bursts():
    """Guards against tokens that are lost or refilled with each change of the limit."""
    rng = random.Random(3)
    limit = RateLimit()
    limit.observe(7.0, 0.0)
    starts_s = play(limit, 20.0, 0.2, lambda now_s: rng.uniform(6.0, 8.0))
    assert largest_window(starts_s) <= 1.5 * 6.0 * WINDOW_S + 5
    assert len(starts_s) >= 0.9 * 6.0 * 20.0


def test_single_answer_without_the_limit_lifts_nothing():
    """Guards against a burst after one faulty answer."""
    limit = RateLimit()
    limit.observe(5.0, 10.0)
    limit.observe(None, 10.5)
    assert limit.rate_per_s == 5.0
    limit.observe(None, 11.5)
    assert limit.may_start(11.5)
    limit.record_start(11.5)
    assert limit.may_start(11.5)


def test_limit_of_another_node_holds_only_until_the_target_answers():
    """Guards against an outdated limit that an origin still remembers."""
    limit = RateLimit()
    limit.assume(5.0, 0.0)
    assert limit.rate_per_s == 5.0
    limit.observe(None, 2.0)
    limit.assume(5.0, 3.0)
    assert limit.may_start(3.0)
    limit.record_start(3.0)
    assert limit.may_start(3.0)


def test_target_with_a_limit_of_zero_is_asked_now_and_then():
    """Guards against a target that stays idle, as no answer tells that it is well."""
    limit = RateLimit()
    limit.observe(0.0, 0.0)
    assert not limit.may_start(1.0)
    assert limit.may_start(10.0)


def test_callers_return_at_the_rate_of_the_limit():
    """Guards against all nodes that return to a limited target at the same moment."""
    limit = RateLimit()
    limit.observe(10.0, 0.0)
    pauses = [limit.reserve_pause_s(0.0) for _ in range(8)]
    assert pauses == pytest.approx([0.1 * n for n in range(1, 9)])


def test_important_calls_get_the_requests_that_a_limited_target_takes():
    """Guards against a limit that is used up by unimportant calls."""
    admission = Admission(SLOTS, 0.0)
    admission.rate_limit.observe(5.0, 0.0)
    started, refused = [], []

    def sort(decisions):
        for decision in decisions:
            if isinstance(decision, Start):
                started.append(decision.call_key)
            else:
                refused.append(decision)

    for step in range(1000):
        now_s = 0.01 * step
        for priority in (0, 3) if step % 10 == 0 else (3,):
            key = f"{priority}-{step}"
            call = arrival(key, priority=priority, now_s=now_s)
            sort(admission.offer(call, now_s))
        if step % 5 == 0:
            sort(admission.tick(now_s))
        for key in started[-8:]:
            sort(admission.finish(key, now_s, is_success=True))
    assert 45 <= len(started) <= 55
    important = [key for key in started if key.startswith("0-")]
    assert len(important) >= 0.9 * len(started)
    assert {type(r) for r in refused} == {Refuse}
    assert {r.kind for r in refused} <= {
        ErrorKind.OVERLOADED,
        ErrorKind.QUEUE_TIMEOUT,
    }
