"""Tests of the service times by which admission refuses calls."""

import pytest

from mimosaloom_model import ErrorKind
from mimosaloom_policy import Admission, Arrival, Refuse, Start
from mimosaloom_policy.service_times import TRIAL_INTERVAL_S

TIMEOUT_S = 1.0
CALLS_PER_S = 10
FAST_S = 0.2


def offer_call(admission, key, now_s, timeout_s=TIMEOUT_S):
    """Offer a call with a deadline and return the decision on it."""
    arrival = Arrival(str(key), "any", 0, True, 0.1, now_s + timeout_s)
    decisions = {d.call_key: d for d in admission.offer(arrival, now_s)}
    return decisions[str(key)]


def slow_down(admission, service_time_s, timeout_s):
    """Let calls run as long as a slow target takes; return when they have ended."""
    now_s = 0.0
    for number in range(60):
        decision = offer_call(admission, f"slow-{number}", now_s, timeout_s)
        assert isinstance(decision, Start)
        now_s += service_time_s
        admission.finish(f"slow-{number}", now_s, is_success=True)
    return now_s


@pytest.mark.parametrize(
    ("service_time_s", "slow_timeout_s"), [(1.005, 1.02), (4.0, 5.0)]
)
def test_class_is_served_again_after_its_target_was_slow(
    service_time_s, slow_timeout_s
):
    """Guards against a class that is refused for good as none of its calls may run.

    The second case is that of a route whose timeout is shortened meanwhile.
    """
    admission = Admission(8, 0.0)
    now_s = slow_down(admission, service_time_s, slow_timeout_s)
    running, refused_at_s = [], []
    healthy_s = now_s
    for number in range(10 * CALLS_PER_S):
        now_s = healthy_s + number / CALLS_PER_S
        while running and running[0][0] <= now_s:
            admission.finish(running.pop(0)[1], now_s, is_success=True)
        decision = offer_call(admission, number, now_s)
        if isinstance(decision, Refuse):
            refused_at_s.append(now_s)
        else:
            running.append((now_s + FAST_S, str(number)))
    assert refused_at_s[-1] < healthy_s + TRIAL_INTERVAL_S + FAST_S + 1 / CALLS_PER_S


def test_slow_target_gets_few_calls_that_it_cannot_finish():
    """Guards against slots spent on calls that a slow target ends too late."""
    admission = Admission(8, 0.0)
    slow_s = slow_down(admission, 4.0, 5.0)
    started = 0
    for number in range(10 * CALLS_PER_S):
        now_s = slow_s + number / CALLS_PER_S
        decision = offer_call(admission, number, now_s)
        if isinstance(decision, Refuse):
            assert decision.kind is ErrorKind.DEADLINE_TOO_SHORT
            continue
        started += 1
        admission.finish(decision.call_key, now_s + TIMEOUT_S, is_success=False)
    assert started <= 10 / TRIAL_INTERVAL_S


def test_call_with_little_time_is_no_trial():
    """Guards against work in vain for a call that has less time than others."""
    admission = Admission(8, 0.0)
    now_s = slow_down(admission, 4.0, 5.0) + TRIAL_INTERVAL_S
    refused = offer_call(admission, "hurried", now_s, timeout_s=3.0)
    assert refused.kind is ErrorKind.DEADLINE_TOO_SHORT


def test_trial_that_waits_in_the_queue_is_not_expired():
    """Guards against a trial that is refused before it starts, by the same estimate."""
    admission = Admission(1, 0.0)
    now_s = slow_down(admission, 4.0, 5.0)
    offer_call(admission, "long", now_s, timeout_s=4.5)
    now_s += TRIAL_INTERVAL_S
    trial = Arrival("trial", "any", 0, True, 0.1, now_s + 3.95)
    assert admission.offer(trial, now_s) == []
    assert admission.tick(now_s + 0.01) == []
    decisions = admission.finish("long", now_s + 0.02, is_success=False)
    assert decisions == [Start("trial")]
