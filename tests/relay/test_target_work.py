"""Tests of the estimates that the node beside a target tells to origins."""

from datetime import timedelta

import pytest

from mimosaloom_model import ManualClock
from mimosaloom_policy import FinishEstimate
from mimosaloom_relay import HopContext, RelayMetrics
from mimosaloom_relay.target_work import TargetWork

STEP = timedelta(seconds=0.1)


def build_context(request_id):
    """Return the context of a request of class c."""
    return HopContext(request_id, "s", "c", 2, True, 2000, "front", request_id)


def run_requests(work, clock, pace, count=10):
    """Run requests that take 0.3 s, of which a call takes 0.1 s."""
    for number in range(count):
        context = build_context(f"id-{number}")
        work.record_start(context)
        clock.advance(STEP)
        with work.record_call(context):
            clock.advance(STEP)
        clock.advance(STEP)
        work.record_answer(context, pace, is_success=True)
        work.record_end(context)


def test_target_that_tells_no_pace_has_no_estimate():
    """Guards against other messages and choices where no target tells a pace."""
    clock = ManualClock()
    work = TargetWork(clock, RelayMetrics())
    run_requests(work, clock, None)
    assert work.estimate("c", 5) == FinishEstimate()


def test_target_that_tells_its_pace_has_an_estimate_without_calls():
    """Guards against a target that looks slow as the services below it are slow."""
    clock, metrics = ManualClock(), RelayMetrics()
    work = TargetWork(clock, metrics)
    work.reset(4)
    run_requests(work, clock, 1.2)
    assert work.estimate("c", 0) == FinishEstimate(0.0, pytest.approx(0.2))
    assert work.estimate("other", 0) == FinishEstimate()
    registry = metrics.registry
    assert registry.get_sample_value("mimosaloom_target_pace") == 1.2
    labels = {"request_class": "c"}
    shown_s = registry.get_sample_value("mimosaloom_expected_service_seconds", labels)
    assert shown_s == pytest.approx(0.2)


def test_new_start_of_the_target_has_no_estimate():
    """Guards against estimates for a target that has ended."""
    clock = ManualClock()
    work = TargetWork(clock, RelayMetrics())
    run_requests(work, clock, 1.0)
    context = build_context("over-the-restart")
    work.record_start(context)
    work.reset(4)
    work.record_end(context)
    assert work.estimate("c", 0) == FinishEstimate()
