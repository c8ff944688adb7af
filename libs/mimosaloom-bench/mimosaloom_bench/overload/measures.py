"""Computes the measures of a bench run from its record."""

from collections import defaultdict
from typing import NamedTuple

from .meshes import MeshSpec
from .record import Record
from .scenarios import Request, Scenario
from .simulated_targets import Target
from .upper_bound import WINDOW_S, bottleneck_capacity, bottleneck_targets_at

__all__ = ["BenchRun", "measure_run"]

RECOVERY_STEP_S = 0.1
BASELINE_S = 2.0
RECOVERED_RATIO = 0.95
INVERSION_RATIO = 0.01


class BenchRun(NamedTuple):
    """One scenario run on one mesh.

    Attributes:
        mesh: The mesh.
        scenario: The scenario.
        targets: Targets of the bottleneck at the start.
        replacements: Targets that replace the first of these.
        requests: All arrivals.
        record: Runs at targets and outcomes at clients.
        max_answers: Upper bound on the whole answers during the overload.
    """

    mesh: MeshSpec
    scenario: Scenario
    targets: list[Target]
    replacements: list[Target]
    requests: list[Request]
    record: Record
    max_answers: float


def measure_run(run: BenchRun) -> dict:
    """Return all measures of a run as JSON values."""
    during = _requests_between(run, run.scenario.start_s, run.scenario.end_s)
    offered, answered = _count_by_class(run, during)
    times = sorted(run.record.answered_s.values())
    answers = _count_between(times, run.scenario.start_s, run.scenario.end_s)
    retries = run.record.retries.values()
    by_class = {
        name: round(answered[name] / offered[name], 4) for name in run.mesh.classes
    }
    protected = [c.name for c in run.mesh.classes.values() if c.is_protected]
    return {
        "goodput_ratio": round(answers / run.max_answers, 4),
        "answers_per_s": round(answers / run.scenario.overload_s, 1),
        "protected_ratio": min(by_class[name] for name in protected),
        "recovery_s": _recovery_s(run, times),
        "wasted_work_ratio": _wasted_work_ratio(run, during),
        "goodput_by_class": by_class,
        "duplicate_runs": _count_duplicate_runs(run),
        "not_run_violations": run.record.not_run_violations,
        "max_retries_per_request": max(retries, default=0),
        "priority_inversions": _count_priority_inversions(run),
        "refusals": dict(sorted(run.record.refusals.items())),
    }


def _requests_between(run: BenchRun, start_s: float, end_s: float) -> list[Request]:
    return [r for r in run.requests if start_s <= r.at_s < end_s]


def _count_by_class(run: BenchRun, requests: list[Request]) -> tuple[dict, dict]:
    """Return the number of requests per class, and the number answered per class."""
    offered: dict[str, int] = defaultdict(int)
    answered: dict[str, int] = defaultdict(int)
    for request in requests:
        offered[request.class_name] += 1
        if request.request_id in run.record.answered_s:
            answered[request.class_name] += 1
    return offered, answered


def _count_between(times: list[float], start_s: float, end_s: float) -> int:
    return sum(1 for at_s in times if start_s <= at_s < end_s)


def _recovery_s(run: BenchRun, times: list[float]) -> float | None:
    """Return the seconds from the end of the overload until goodput has recovered.

    After that time, every 1 s window has at least `RECOVERED_RATIO` of the goodput
    before the overload. None means that goodput did not recover before the end of
    the run.
    """
    start_s, end_s = run.scenario.start_s, run.scenario.end_s
    before = _count_between(times, start_s - BASELINE_S, start_s) / BASELINE_S
    steps = round((run.scenario.run_end_s - WINDOW_S - end_s) / RECOVERY_STEP_S)
    recovered = None
    for step in range(steps, -1, -1):
        window_s = end_s + step * RECOVERY_STEP_S
        count = _count_between(times, window_s, window_s + WINDOW_S)
        if count < RECOVERED_RATIO * before * WINDOW_S:
            break
        recovered = step
    return None if recovered is None else round(recovered * RECOVERY_STEP_S, 1)


def _wasted_work_ratio(run: BenchRun, requests: list[Request]) -> float:
    """Return the share of slot time that was wasted.

    Slot time is wasted when the request gets no whole answer, or when the service
    had already run the same request.
    """
    record = run.record
    total_s = wasted_s = 0.0
    for request in requests:
        held_s = record.held_s.get(request.request_id, 0.0)
        total_s += held_s
        if request.request_id in record.answered_s:
            wasted_s += record.repeated_s.get(request.request_id, 0.0)
        else:
            wasted_s += held_s
    return round(wasted_s / total_s, 4) if total_s else 0.0


def _count_duplicate_runs(run: BenchRun) -> int:
    classes = {request.request_id: request.class_name for request in run.requests}
    return sum(
        count - 1
        for (request_id, _), count in run.record.runs.items()
        if not run.mesh.classes[classes[request_id]].is_idempotent
    )


def _count_priority_inversions(run: BenchRun) -> int:
    """Count how often a class was refused in favour of a less important class.

    The count covers each class in each 1 s window of the overload except the first
    one. An inversion needs all of: the class and all more important ones fit the
    capacity of the bottleneck; more than 1% of the requests of the class got no
    answer; a less important class at the bottleneck had a lower share without an
    answer.
    """
    inversions = 0
    window_s = run.scenario.start_s + 1.0
    while window_s + WINDOW_S <= run.scenario.end_s:
        inversions += _count_inversions(run, window_s)
        window_s += WINDOW_S
    return inversions


def _count_inversions(run: BenchRun, window_s: float) -> int:
    offered, answered = _count_by_class(
        run, _requests_between(run, window_s, window_s + WINDOW_S)
    )
    targets_now = bottleneck_targets_at(
        run.targets, run.replacements, window_s, run.scenario
    )
    capacity = bottleneck_capacity(targets_now, window_s) * WINDOW_S
    classes = [c for c in run.mesh.classes.values() if run.mesh.bottleneck in c.path]
    classes.sort(key=lambda c: c.priority)
    refused = {c.name: 1 - answered[c.name] / max(1, offered[c.name]) for c in classes}
    load = 0
    inversions = 0
    for index, request_class in enumerate(classes):
        load += offered[request_class.name]
        ratio = refused[request_class.name]
        less_important = [refused[c.name] for c in classes[index + 1 :]]
        if (
            load <= capacity
            and ratio > INVERSION_RATIO
            and ratio > min(less_important, default=1.0)
        ):
            inversions += 1
    return inversions
