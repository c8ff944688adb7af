"""Tests of the overload bench itself."""

import json

from mimosaloom_bench.overload import run_overload
from mimosaloom_bench.overload.meshes import WATER
from mimosaloom_bench.overload.record import Record
from mimosaloom_bench.overload.report import check_measures
from mimosaloom_bench.overload.scenarios import SCENARIOS, Request, make_requests
from mimosaloom_bench.overload.simulated_targets import Target


def test_same_seed_gives_same_report(monkeypatch):
    """Guards against measures that depend on hash order or on the machine's clock."""
    short = SCENARIOS["deep-slow"]._replace(overload_s=0.5)
    monkeypatch.setitem(SCENARIOS, "deep-slow", short)
    monkeypatch.setattr("mimosaloom_bench.overload.scenarios.COOL_DOWN_S", 1.5)
    reports = [
        json.dumps(run_overload("cooperative", ["deep-slow"], seed))
        for seed in (5, 5, 6)
    ]
    assert reports[0] == reports[1]
    assert reports[0] != reports[2]


def test_normal_arrivals_load_the_bottleneck_to_65_percent():
    """Guards against a normal load so low that the overload phase overloads nothing."""
    requests = make_requests(WATER, SCENARIOS["surge"], 1)
    normal = [
        request
        for request in requests
        if request.at_s < 6.0 and "billing" in WATER.classes[request.class_name].path
    ]
    work_s = sum(0.150 * request.work_factors[-1] for request in normal)
    assert 0.60 <= work_s / (3 * 35 * 6.0) <= 0.70


def test_target_runs_no_more_calls_than_slots():
    """Guards against a simulated target that runs more calls than it has slots.

    The naive mesh would then have more capacity than stated.
    """
    target = Target("billing-0", WATER.services["billing"], 0)
    started = []
    for number in range(40):
        target.acquire(lambda number=number: started.append(number))
    assert started == list(range(35))
    target.release()
    assert started == list(range(36))


def test_record_detects_false_not_run_claims_and_duplicate_runs():
    """Guards against a record that misses faults of the decision code."""
    request = Request("1" * 32, "issue-fee", 0.0, 0, (1.0,))
    record = Record()
    record.record_not_run_claim(request, 0)
    assert record.not_run_violations == 0
    assert not record.record_run_start(request, 0, "billing")
    record.record_not_run_claim(request, 0)
    assert record.not_run_violations == 1
    assert record.record_run_start(request, 1, "billing")


def test_no_recovery_does_not_meet_the_bound():
    """Guards against a report that shows a run without recovery as met."""
    measures = {
        "goodput_ratio": 0.9,
        "protected_ratio": 0.99,
        "recovery_s": None,
        "wasted_work_ratio": 0.06,
        "duplicate_runs": 0,
        "not_run_violations": 0,
        "max_retries_per_request": 3,
        "priority_inversions": 0,
    }
    missed = [c.measure for c in check_measures(measures) if not c.is_met]
    assert missed == ["recovery_s", "wasted_work_ratio"]
