import json

import pytest

from mimosaloom_bench.meshes import MESHES, MeshName
from mimosaloom_bench.report import measure_recovery_s
from mimosaloom_bench.verdicts import (
    Attempt,
    ClassifiedAnswer,
    TargetRecord,
    Verdict,
    classify_answer,
    count_violations,
)

CLASSES = {c.name: c for c in MESHES[MeshName.WATER].classes}
ISSUE_FEE = CLASSES["issue-fee"]


def make_run(token, service, request_id="r1", call_id="c1", attempt=1, **extra):
    """Return a run of class issue-fee as a target records it."""
    return {
        "request_id": request_id,
        "call_id": call_id,
        "attempt": attempt,
        "class_name": "issue-fee",
        "token": token,
        "service": service,
        "start_s": 0.0,
        "end_s": 1.0,
        "is_whole": True,
        **extra,
    }


def make_attempt(token, verdict, request_id="r1"):
    """Return a call of a caller with a verdict."""
    answer = ClassifiedAnswer(verdict, request_id)
    return Attempt(token, "issue-fee", "normal", 1, 0.0, 0.0, 1.0, answer)


def count_with_bound_3(attempts, runs, refused=()):
    """Count the violations with a retry bound of 3."""
    return count_violations(attempts, TargetRecord(runs, list(refused)), CLASSES, 3)


def test_clean_record_has_no_violation():
    """Guards against counting permitted retries and runs as violations."""
    runs = [
        make_run("t1", "intake"),
        make_run("t1", "inspections", call_id="c2", attempt=4),
        make_run("t3", "status", class_name="status-inquiry"),
        make_run("t3", "status", class_name="status-inquiry"),
    ]
    attempts = [
        make_attempt("t1", Verdict.WHOLE),
        make_attempt("t2", Verdict.REFUSED_NOT_RUN, "r2"),
        make_attempt("t2", Verdict.REFUSED_NOT_RUN, ""),
    ]
    found = count_with_bound_3(attempts, runs)
    assert found.total == 0
    assert found.max_retries_per_request == 3


@pytest.mark.parametrize(
    ("field", "attempts", "runs"),
    [
        (
            "duplicate_runs",
            [make_attempt("t", Verdict.WHOLE)],
            [make_run("t", "billing"), make_run("t", "billing", "r2", is_whole=False)],
        ),
        (
            "not_run_violations",
            [make_attempt("t", Verdict.REFUSED_NOT_RUN)],
            [make_run("another", "billing")],
        ),
        (
            "not_run_violations",
            [make_attempt("t", Verdict.REFUSED_NOT_RUN, "")],
            [make_run("t", "intake", "r9", is_whole=False)],
        ),
        ("wrong_answers", [make_attempt("t", Verdict.WRONG)], []),
        (
            "retry_violations",
            [],
            [
                make_run("t", "intake", attempt=3),
                make_run("t", "billing", call_id="c2", attempt=3),
            ],
        ),
    ],
)
def test_each_violation_in_a_record_is_counted(field, attempts, runs):
    """Guards against counts that stay 0 because nothing is checked."""
    found = count_with_bound_3(attempts, runs)
    assert getattr(found, field) == 1
    assert found.total == 1


def test_refused_attempts_count_as_retries():
    """Guards against leaving out the retries of calls that their target shed."""
    found = count_with_bound_3(
        [], [], [{"request_id": "r", "call_id": "c", "attempt": 5}]
    )
    assert (found.max_retries_per_request, found.retry_violations) == (4, 1)


def nest(services, **changes):
    """Return the whole answer of a path, with changes to its innermost part."""
    answer = None
    for service in reversed(services):
        part = {"request_id": "r", "token": "t", "service": service}
        answer = part | (changes if answer is None else {"next": answer})
    return answer


@pytest.mark.parametrize(
    ("status", "answer", "verdict"),
    [
        (200, nest(ISSUE_FEE.path), Verdict.WHOLE),
        (200, nest(ISSUE_FEE.path[:-1]), Verdict.WRONG),
        (200, nest(ISSUE_FEE.path, token="other"), Verdict.WRONG),
        (200, nest(ISSUE_FEE.path, request_id="other"), Verdict.WRONG),
        (200, nest(ISSUE_FEE.path, error="cut"), Verdict.WRONG),
        (200, nest((*ISSUE_FEE.path, "more")), Verdict.WRONG),
        (200, "text", Verdict.WRONG),
        (503, {"kind": "overloaded", "ran": "no"}, Verdict.REFUSED_NOT_RUN),
        (502, {"kind": "target_failed", "ran": "yes"}, Verdict.FAILED),
        (502, {"kind": "outcome_unknown", "ran": "maybe"}, Verdict.UNKNOWN),
        (502, nest(ISSUE_FEE.path, error="x"), Verdict.FAILED),
        (599, None, Verdict.UNKNOWN),
    ],
)
def test_verdict_on_an_answer_depends_on_what_the_caller_sent(status, answer, verdict):
    """Guards against counting a partial answer or another caller's as goodput."""
    body = json.dumps(answer).encode()
    assert classify_answer("t", ISSUE_FEE.path, status, body).verdict is verdict


def test_recovery_time_ends_where_goodput_stays_normal():
    """Guards against a recovery time that ignores later drops of goodput."""
    arrivals = [step / 100 for step in range(1200)]
    phases = [4.0, 4.0, 4.0]

    def recovery(is_whole):
        return measure_recovery_s([(at, is_whole(at)) for at in arrivals], phases)

    assert recovery(lambda at: at < 4 or at >= 8) == 0.0
    assert recovery(lambda at: at < 4 or at >= 9.01) == pytest.approx(1.0, abs=0.11)
    recovery_s = recovery(lambda at: at < 4 or 8 <= at < 10 or at >= 11)
    assert recovery_s == pytest.approx(3.0, abs=0.11)
    assert recovery(lambda at: at < 4) is None
