"""Figures of a run: goodput of whole requests and recovery time."""

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from .load import LoadPhase
from .meshes import MeshPlan
from .verdicts import Attempt, RunFact, Verdict, Violations

__all__ = [
    "OVERLOAD_PHASE",
    "ClassReport",
    "DemoReport",
    "PhaseReport",
    "build_report",
    "format_report",
    "measure_recovery_s",
]

OVERLOAD_PHASE = "overload"
RECOVERY_WINDOW_S = 0.5
RECOVERY_STEP_S = 0.1
# Share of the normal phase's goodput at which a window counts as back to normal.
RECOVERED_RATIO = 0.95


class ClassReport(TypedDict):
    """Requests of one class; ratios are None where there was no request."""

    requests: int
    whole: int
    goodput_ratio: float | None
    overload_requests: int
    overload_whole: int
    overload_goodput_ratio: float | None
    p50_ms: float | None
    p99_ms: float | None


class PhaseReport(TypedDict):
    """One phase of the load.

    `requests` counts arrivals, `answers` the whole answers given in the phase, also
    those to requests of an earlier one, and `best` is an upper bound of the answers to
    what arrived in the phase or was open at its start.
    """

    requests: int
    answers: int
    best: float
    goodput_ratio: float | None


class DemoReport(TypedDict):
    """All figures of a demo run; times in seconds or milliseconds as named.

    `goodput_ratio` is that of the overload phase; see `PhaseReport`.
    """

    mesh: str
    seed: int
    duration_s: float
    requests: int
    calls: int
    whole_answers: int
    refused_not_run: int
    failed: int
    unknown: int
    goodput_ratio: float | None
    recovery_s: float | None
    wasted_ratio: float
    duplicate_runs: int
    wrong_answers: int
    not_run_violations: int
    retry_violations: int
    max_retries_per_request: int
    retry_bound: int
    by_phase: dict[str, PhaseReport]
    by_class: dict[str, ClassReport]


class _Request(NamedTuple):
    class_name: str
    phase: str
    ordered_s: float
    last: Attempt
    is_first_whole: bool

    @property
    def is_whole(self) -> bool:
        return self.last.judgement.verdict is Verdict.WHOLE


def build_report(
    plan: MeshPlan,
    phases: list[LoadPhase],
    attempts: list[Attempt],
    runs: list[RunFact],
    violations: Violations,
    *,
    seed: int,
    start_s: float,
    retry_bound: int,
) -> DemoReport:
    """Compute all figures of a run.

    Args:
        plan: The mesh.
        phases: Normal load, overload and normal load again.
        attempts: All calls of the phases.
        runs: All runs that the targets recorded.
        violations: Counts of what must not happen.
        seed: Seed of the run.
        start_s: Start of the load on the monotonic clock.
        retry_bound: Retries that one request may cause.
    """
    requests = _collect_requests(attempts)
    by_phase = {}
    phase_start_s = start_s
    for phase in phases:
        by_phase[phase.name] = _report_phase(plan, phase, requests, phase_start_s)
        phase_start_s += phase.duration_s
    verdicts = [attempt.judgement.verdict for attempt in attempts]
    return DemoReport(
        mesh=str(plan.name),
        seed=seed,
        duration_s=sum(phase.duration_s for phase in phases),
        requests=len(requests),
        calls=len(attempts),
        whole_answers=verdicts.count(Verdict.WHOLE),
        refused_not_run=verdicts.count(Verdict.REFUSED_NOT_RUN),
        failed=verdicts.count(Verdict.FAILED),
        unknown=verdicts.count(Verdict.UNKNOWN),
        goodput_ratio=by_phase[OVERLOAD_PHASE]["goodput_ratio"],
        recovery_s=measure_recovery_s(
            [(r.ordered_s - start_s, r.is_first_whole) for r in requests],
            [phase.duration_s for phase in phases],
        ),
        wasted_ratio=_measure_waste(requests, runs),
        **violations._asdict(),
        retry_bound=retry_bound,
        by_phase=by_phase,
        by_class={
            c.name: _report_class([r for r in requests if r.class_name == c.name])
            for c in plan.classes
        },
    )


def measure_recovery_s(
    outcomes: list[tuple[float, bool]], phase_lengths_s: list[float]
) -> float | None:
    """Return the time from the end of the overload until goodput is normal again.

    Goodput is normal from the first window of `RECOVERY_WINDOW_S` on from which it
    and all later windows reach `RECOVERED_RATIO` of the normal phase's goodput.

    Args:
        outcomes: Arrival of each request after the start of the load, in seconds,
            and whether its first call was answered whole.
        phase_lengths_s: Lengths of the normal, the overload and the last phase.

    Returns:
        Seconds, or None if the last phase does not reach normal goodput.
    """
    normal_s, overload_s, after_s = phase_lengths_s
    end_s = normal_s + overload_s
    wanted = RECOVERED_RATIO * _whole_share(outcomes, 0.0, normal_s)
    steps = int((after_s - RECOVERY_WINDOW_S) / RECOVERY_STEP_S)
    recovery_s = None
    for step in reversed(range(steps + 1)):
        offset_s = step * RECOVERY_STEP_S
        start_s = end_s + offset_s
        if _whole_share(outcomes, start_s, start_s + RECOVERY_WINDOW_S) < wanted:
            break
        recovery_s = round(offset_s, 1)
    return recovery_s


def _whole_share(
    outcomes: list[tuple[float, bool]], start_s: float, end_s: float
) -> float:
    found = [is_whole for at_s, is_whole in outcomes if start_s <= at_s < end_s]
    return sum(found) / len(found) if found else 0.0


def _collect_requests(attempts: Iterable[Attempt]) -> list[_Request]:
    by_token: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        by_token.setdefault(attempt.token, []).append(attempt)
    return [
        _Request(
            calls[0].class_name,
            calls[0].phase,
            calls[0].ordered_s,
            calls[-1],
            calls[0].judgement.verdict is Verdict.WHOLE,
        )
        for calls in by_token.values()
    ]


def _report_phase(
    plan: MeshPlan, phase: LoadPhase, requests: list[_Request], start_s: float
) -> PhaseReport:
    end_s = start_s + phase.duration_s
    own = [request for request in requests if request.phase == phase.name]
    is_open = [r for r in requests if r.ordered_s < start_s <= r.last.end_s]
    deep_classes = {c.name for c in plan.classes if plan.deep_service in c.path}
    wanted = len(own) + len(is_open)
    deep = sum(request.class_name in deep_classes for request in (*own, *is_open))
    # Calls that hold a slot at the start may all end in this phase.
    capacity = plan.capacity_per_s(plan.deep_service, phase.slow_factor)
    most_deep = capacity * phase.duration_s + plan.slots(plan.deep_service)
    best = wanted - deep + min(deep, most_deep)
    answers = sum(r.is_whole and start_s <= r.last.end_s < end_s for r in requests)
    return PhaseReport(
        requests=len(own),
        answers=answers,
        best=round(best, 1),
        goodput_ratio=_ratio(answers, best),
    )


def _report_class(requests: list[_Request]) -> ClassReport:
    overload = [request for request in requests if request.phase == OVERLOAD_PHASE]
    whole = sum(request.is_whole for request in requests)
    overload_whole = sum(request.is_whole for request in overload)
    delays_ms = sorted(
        1000 * (request.last.end_s - request.ordered_s)
        for request in requests
        if request.is_whole
    )
    return ClassReport(
        requests=len(requests),
        whole=whole,
        goodput_ratio=_ratio(whole, len(requests)),
        overload_requests=len(overload),
        overload_whole=overload_whole,
        overload_goodput_ratio=_ratio(overload_whole, len(overload)),
        p50_ms=_quantile(delays_ms, 0.5),
        p99_ms=_quantile(delays_ms, 0.99),
    )


def _measure_waste(requests: list[_Request], runs: list[RunFact]) -> float:
    whole_ids = {r.last.judgement.request_id for r in requests if r.is_whole}
    spent_s = wasted_s = 0.0
    for run in runs:
        run_s = (run["end_s"] or run["start_s"]) - run["start_s"]
        spent_s += run_s
        if run["request_id"] not in whole_ids:
            wasted_s += run_s
    return _ratio(wasted_s, spent_s) or 0.0


def _ratio(part: float, whole: float) -> float | None:
    return round(part / whole, 4) if whole else None


def _quantile(ordered: list[float], share: float) -> float | None:
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)


def format_report(report: DemoReport) -> str:
    """Return the figures of a run as a text for people."""
    lines = [
        f"{report['mesh']}: {report['requests']} requests in "
        f"{report['duration_s']:g} s, {report['calls']} calls with client retries",
        "",
        f"{'class':<22}{'requests':>9}{'whole':>7}{'ratio':>7}"
        f"{'overload':>10}{'ratio':>7}{'p50 ms':>9}{'p99 ms':>9}",
    ]
    lines += [_class_line(name, row) for name, row in report["by_class"].items()]
    lines += ["", f"{'phase':<22}{'requests':>9}{'answers':>9}{'best':>7}{'ratio':>7}"]
    lines += [
        f"{name:<22}{row['requests']:>9}{row['answers']:>9}{row['best']:>7.0f}"
        f"{_show(row['goodput_ratio']):>7}"
        for name, row in report["by_phase"].items()
    ]
    recovery = report["recovery_s"]
    shown = "not within the run" if recovery is None else f"{recovery:.1f} s"
    lines += [
        "",
        f"goodput in the overload {_show(report['goodput_ratio'])} of the best that "
        f"the capacity allows, recovery {shown}, wasted work "
        f"{report['wasted_ratio']:.3f}",
        f"refused and not run {report['refused_not_run']}, failed {report['failed']}, "
        f"unknown {report['unknown']}",
        f"violations: duplicate runs {report['duplicate_runs']}, wrong answers "
        f"{report['wrong_answers']}, not-run {report['not_run_violations']}, over the "
        f"retry bound {report['retry_violations']} (most retries of a request "
        f"{report['max_retries_per_request']}, bound {report['retry_bound']})",
    ]
    return "\n".join(lines)


def _class_line(name: str, row: ClassReport) -> str:
    return (
        f"{name:<22}{row['requests']:>9}{row['whole']:>7}"
        f"{_show(row['goodput_ratio']):>7}{row['overload_requests']:>10}"
        f"{_show(row['overload_goodput_ratio']):>7}"
        f"{_show(row['p50_ms']):>9}{_show(row['p99_ms']):>9}"
    )


def _show(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
