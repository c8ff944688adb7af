"""Checks on the overload bench itself."""

import json

from mimosaloom_bench.overload import run_overload
from mimosaloom_bench.overload.fakes import Target
from mimosaloom_bench.overload.meshes import WATER
from mimosaloom_bench.overload.record import Record
from mimosaloom_bench.overload.report import check_measures
from mimosaloom_bench.overload.scenarios import SCENARIOS, Request, make_requests


def test_one_seed_gives_one_report(monkeypatch):
    """Guards against figures that depend on hash order or the machine's clock."""
    short = SCENARIOS["deep-slow"]._replace(overload_s=0.5)
    monkeypatch.setitem(SCENARIOS, "deep-slow", short)
    monkeypatch.setattr("mimosaloom_bench.overload.scenarios.AFTER_S", 1.5)
    reports = [
        json.dumps(run_overload("cooperative", ["deep-slow"], seed))
        for seed in (5, 5, 6)
    ]
    assert reports[0] == reports[1]
    assert reports[0] != reports[2]


def test_arrivals_load_the_bottleneck_as_stated():
    """Guards against a normal load that leaves the overload no overload."""
    requests = make_requests(WATER, SCENARIOS["surge"], 1)
    normal = [
        request
        for request in requests
        if request.at_s < 6.0 and "billing" in WATER.classes[request.class_name].path
    ]
    work_s = sum(0.150 * request.work[-1] for request in normal)
    assert 0.60 <= work_s / (3 * 35 * 6.0) <= 0.70


def test_target_runs_no_more_calls_than_slots():
    """Guards against a fake that gives the naive mesh more capacity."""
    target = Target("billing-0", WATER.services["billing"], 0)
    started = []
    for number in range(40):
        target.acquire(lambda number=number: started.append(number))
    assert started == list(range(35))
    target.release()
    assert started == list(range(36))


def test_record_finds_untrue_refusals_and_duplicates():
    """Guards against measures that can't fail, whatever the decision code does."""
    request = Request("1" * 32, "issue-fee", 0.0, 0, (1.0,))
    record = Record()
    record.claim_not_run(request, 0)
    assert record.not_run_violations == 0
    assert not record.start_run(request, 0, "billing")
    record.claim_not_run(request, 0)
    assert record.not_run_violations == 1
    assert record.start_run(request, 1, "billing")


def test_missing_recovery_is_not_met():
    """Guards against a run that never recovers being reported as met."""
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
