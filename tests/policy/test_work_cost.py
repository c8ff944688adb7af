"""Tests of the meter of own work beside a target."""

import math
import random

import pytest
from policy.counting_dict import CountingDict

from mimosaloom_policy import WorkMeter

SEEDS = [1, 2, 3]
SLOTS = 8


def run_requests(meter, count, *, work_s, rng, paces=(1.0,), told=None, start_s=0.0):
    """Run requests of one class one after the other; return the time of the last end.

    Args:
        meter: Meter to feed.
        count: Number of requests.
        work_s: Geometric mean of their work.
        rng: Source of the work and of the pace.
        paces: Paces of the machine, one at random for each request.
        told: Returns the pace that the target tells.
        start_s: Time of the first start.
    """
    now_s = start_s
    for number in range(count):
        pace = rng.choice(paces)
        meter.observe_pace(told(pace) if told else pace, now_s)
        key = f"{start_s}-{number}"
        meter.record_start(key, "c", now_s)
        work = work_s * math.exp(rng.gauss(0, 0.5)) * (7 if rng.random() < 0.03 else 1)
        now_s += work * pace
        meter.record_end(key, now_s, is_success=True)
    return now_s


@pytest.mark.parametrize("seed", SEEDS)
def test_own_work_is_told_at_the_present_pace(seed):
    """Guards against a slow moment that is taken for a slow target."""
    meter, rng = WorkMeter(SLOTS), random.Random(seed)
    paces = (1.0,) * 5 + (2.5,)
    end_s = run_requests(meter, 1000, work_s=0.2, rng=rng, paces=paces)
    meter.observe_pace(1.0, end_s)
    calm_s = meter.estimate("c", 0, end_s).service_s
    meter.observe_pace(2.5, end_s)
    slow_s = meter.estimate("c", 0, end_s).service_s
    assert 0.13 < calm_s < 0.32
    assert 1.6 < slow_s / calm_s <= 2.5 + 1e-9


@pytest.mark.parametrize("seed", SEEDS)
def test_pace_that_says_nothing_about_the_machine_is_not_believed(seed):
    """Guards against a figure that changes and has nothing to do with the work."""
    meter, rng = WorkMeter(SLOTS), random.Random(seed)
    false_paces = random.Random(seed + 10)
    end_s = run_requests(
        meter,
        3000,
        work_s=0.2,
        rng=rng,
        told=lambda pace: false_paces.choice((0.5, 4.0)),
    )
    meter.observe_pace(0.5, end_s)
    assert 0.13 < meter.estimate("c", 0, end_s).service_s < 0.32


@pytest.mark.parametrize("seed", SEEDS)
def test_pace_that_never_changes_has_no_effect(seed):
    """Guards against a slow target that looks fast as it always tells a fast pace."""
    meter, rng = WorkMeter(SLOTS), random.Random(seed)
    end_s = run_requests(meter, 500, work_s=0.5, rng=rng, told=lambda pace: 0.5)
    assert 0.35 < meter.estimate("c", 0, end_s).service_s < 0.75


@pytest.mark.parametrize("pace", [0.0, -1.0, 0.49, 10.1, math.inf, math.nan, None])
def test_pace_out_of_bounds_is_ignored(pace):
    """Guards against a division by zero, or a target that attracts all requests."""
    meter = WorkMeter(SLOTS)
    meter.observe_pace(2.0, 0.0)
    meter.observe_pace(pace, 0.1)
    assert meter.pace == 2.0


def test_old_pace_is_forgotten():
    """Guards against a slow moment that lasts for ever as no answer comes."""
    meter = WorkMeter(SLOTS)
    run_requests(meter, 200, work_s=0.2, rng=random.Random(1), paces=(1.0, 2.5))
    meter.observe_pace(2.5, 1000.0)
    slow_s = meter.estimate("c", 0, 1000.0).service_s
    assert meter.estimate("c", 0, 1005.0).service_s < slow_s / 1.3


def test_time_of_calls_is_no_own_work():
    """Guards against a target that looks slow as the services below it are slow.

    Two calls overlap, and the last one is still open when the request ends.
    """
    meter = WorkMeter(SLOTS)
    for number in range(10):
        key, start_s = str(number), float(number)
        meter.record_start(key, "c", start_s)
        meter.record_call_start(key, start_s + 0.1)
        meter.record_call_start(key, start_s + 0.2)
        meter.record_call_end(key, start_s + 0.3)
        meter.record_call_end(key, start_s + 0.4)
        meter.record_call_start(key, start_s + 0.5)
        meter.record_end(key, start_s + 0.9, is_success=True)
    assert meter.estimate("c", 0, 20.0).service_s == pytest.approx(0.2)


def test_class_without_enough_requests_has_no_estimate():
    """Guards against an estimate from one request that took very long."""
    meter = WorkMeter(SLOTS)
    run_requests(meter, 4, work_s=0.2, rng=random.Random(1))
    assert meter.estimate("c", 0, 1.0).service_s == 0.0
    assert meter.estimate("other", 0, 1.0).service_s == 0.0


def test_failed_requests_are_not_learned_from():
    """Guards against a target that looks fast as it fails at once."""
    meter = WorkMeter(SLOTS)
    end_s = run_requests(meter, 50, work_s=0.2, rng=random.Random(1))
    before = meter.estimate("c", 0, end_s)
    for number in range(50):
        meter.record_start(str(number), "c", end_s)
        meter.record_end(str(number), end_s, is_success=False)
    assert meter.estimate("c", 0, end_s) == before


def test_wait_follows_the_slots_and_the_queue():
    """Guards against a wait while slots are free, and none while they are not."""
    meter = WorkMeter(SLOTS)
    end_s = run_requests(meter, 50, work_s=0.2, rng=random.Random(1))
    for number in range(SLOTS):
        assert meter.estimate("c", 0, end_s).wait_s == 0.0
        meter.record_start(str(number), "c", end_s)
    waits_s = [meter.estimate("c", queued, end_s).wait_s for queued in (0, 8, 16)]
    assert 0.0 < waits_s[0] < waits_s[1] < waits_s[2]
    assert waits_s[2] - waits_s[1] == pytest.approx(waits_s[1] - waits_s[0])


def test_what_has_run_long_is_expected_to_run_longer():
    """Guards against a target that looks free as its long requests are overdue."""
    meter = WorkMeter(SLOTS)
    end_s = run_requests(meter, 50, work_s=0.2, rng=random.Random(1))
    for number in range(SLOTS):
        meter.record_start(str(number), "c", end_s)
    overdue_s = [meter.estimate("c", 0, end_s + age_s).wait_s for age_s in (2.0, 4.0)]
    assert 0.0 < overdue_s[0] < overdue_s[1]


def test_repeated_and_unknown_keys_do_no_harm():
    """Guards against a count of running requests that grows for ever.

    Two attempts of one request may run on the same target at the same time.
    """
    meter = WorkMeter(SLOTS)
    meter.record_start("a", "c", 0.0)
    meter.record_start("a", "c", 0.1)
    meter.record_end("a", 0.2, is_success=True)
    meter.record_end("a", 0.3, is_success=True)
    meter.record_call_end("a", 0.3)
    meter.record_call_start("b", 0.3)
    assert meter.running == 0


def test_a_hop_costs_no_more_with_more_running_requests():
    """Guards against a scan over all that runs for each start, end or estimate."""
    meter = WorkMeter(SLOTS)
    end_s = run_requests(meter, 10, work_s=0.2, rng=random.Random(1))
    for number in range(2000):
        meter.record_start(f"running-{number}", "c", end_s)
    meter._runs = CountingDict(meter._runs)
    meter.record_start("a", "c", end_s)
    meter.record_call_start("a", end_s)
    meter.record_call_end("a", end_s)
    meter.estimate("c", 3, end_s)
    meter.record_end("a", end_s, is_success=True)
    assert meter._runs.lookups <= 4
