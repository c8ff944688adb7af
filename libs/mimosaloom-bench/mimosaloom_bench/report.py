"""Builds the report of a demo run: goodput, recovery time, waste and violations.

Goodput counts the requests that were answered whole; see `verdicts`. A request here is
one order with all its client retries.
"""

from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from .load import LoadPhase
from .meshes import MeshPlan
from .verdicts import Attempt, RunRecord, Verdict, Violations

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
# Share of the normal phase's goodput from which a window counts as normal again.
RECOVERED_RATIO = 0.95


class ClassReport(TypedDict):
    """Figures of one request class.

    Attributes:
        requests: Number of requests.
        whole: Number of requests that were answered whole.
        goodput_ratio: `whole` divided by `requests`; None without requests.
        overload_requests: Number of requests that arrived in the overload phase.
        overload_whole: Number of these that were answered whole.
        overload_goodput_ratio: Ratio of the two; None without requests.
        p50_ms: Median time from arrival to whole answer; None without whole answers.
        p99_ms: 99th percentile of that time; None without whole answers.
    """

    requests: int
    whole: int
    goodput_ratio: float | None
    overload_requests: int
    overload_whole: int
    overload_goodput_ratio: float | None
    p50_ms: float | None
    p99_ms: float | None


class PhaseReport(TypedDict):
    """Figures of one phase of the load.

    Attributes:
        requests: Number of requests that arrived in the phase.
        answers: Number of whole answers given in the phase, also those to requests of
            an earlier phase.
        best: Upper bound of `answers` that the capacity of the deep service allows, for
            the requests that arrived in the phase or were unanswered at its start.
        goodput_ratio: `answers` divided by `best`; None if `best` is 0.
    """

    requests: int
    answers: int
    best: float
    goodput_ratio: float | None


class DemoReport(TypedDict):
    """All figures of a demo run; see `Violations` for the counts of violations.

    Attributes:
        mesh: Name of the mesh.
        seed: Seed of the run.
        duration_s: Length of the load.
        requests: Number of requests.
        calls: Number of calls, client retries included.
        whole_answers: Number of calls that were answered whole.
        refused_not_run: Number of calls that were refused as not run.
        failed: Number of calls that failed after they ran at least in part.
        unknown: Number of calls of which it is unknown whether they ran.
        goodput_ratio: Goodput ratio of the overload phase; see `PhaseReport`.
        recovery_s: See `measure_recovery_s`.
        wasted_ratio: Share of the targets' run time spent on requests that were not
            answered whole.
        retry_bound: Number of retries that one request may cause.
        by_phase: Figures of each phase.
        by_class: Figures of each request class.
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
    """One order with all its calls.

    Attributes:
        class_name: Request class.
        phase: Phase in which the order arrived.
        arrived_s: Arrival time on the monotonic clock.
        last: Last call.
        is_first_whole: Whether the first call was answered whole.
    """

    class_name: str
    phase: str
    arrived_s: float
    last: Attempt
    is_first_whole: bool

    @property
    def is_whole(self) -> bool:
        return self.last.answer.verdict is Verdict.WHOLE


def build_report(
    plan: MeshPlan,
    phases: list[LoadPhase],
    attempts: list[Attempt],
    runs: list[RunRecord],
    violations: Violations,
    *,
    seed: int,
    start_s: float,
    retry_bound: int,
) -> DemoReport:
    """Return the report of a run.

    Args:
        plan: The mesh.
        phases: Normal load, overload and normal load again.
        attempts: All calls of the phases.
        runs: All runs that the targets recorded for these calls.
        violations: Violations in the run.
        seed: Seed of the run.
        start_s: Start of the load on the monotonic clock.
        retry_bound: Number of retries that one request may cause.
    """
    requests = _collect_requests(attempts)
    by_phase = {}
    phase_start_s = start_s
    for phase in phases:
        by_phase[phase.name] = _build_phase_report(plan, phase, requests, phase_start_s)
        phase_start_s += phase.duration_s
    verdicts = [attempt.answer.verdict for attempt in attempts]
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
            [(r.arrived_s - start_s, r.is_first_whole) for r in requests],
            [phase.duration_s for phase in phases],
        ),
        wasted_ratio=_compute_wasted_ratio(requests, runs),
        **violations._asdict(),
        retry_bound=retry_bound,
        by_phase=by_phase,
        by_class={
            c.name: _build_class_report([r for r in requests if r.class_name == c.name])
            for c in plan.classes
        },
    )


def measure_recovery_s(
    outcomes: list[tuple[float, bool]], phase_lengths_s: list[float]
) -> float | None:
    """Return the time from the end of the overload until goodput is normal again.

    Goodput is normal again from the start of the first window of `RECOVERY_WINDOW_S`
    such that this and all later windows reach `RECOVERED_RATIO` of the normal phase's
    goodput.

    Args:
        outcomes: For each request, the time from the start of the load to its arrival
            in seconds, and whether its first call was answered whole.
        phase_lengths_s: Lengths of the normal, the overload and the last phase.

    Returns:
        Time in seconds; None if goodput does not return to normal in the last phase.
    """
    normal_s, overload_s, after_s = phase_lengths_s
    overload_end_s = normal_s + overload_s
    min_share = RECOVERED_RATIO * _whole_share(outcomes, 0.0, normal_s)
    steps = int((after_s - RECOVERY_WINDOW_S) / RECOVERY_STEP_S)
    recovery_s = None
    for step in reversed(range(steps + 1)):
        offset_s = step * RECOVERY_STEP_S
        start_s = overload_end_s + offset_s
        if _whole_share(outcomes, start_s, start_s + RECOVERY_WINDOW_S) < min_share:
            break
        recovery_s = round(offset_s, 1)
    return recovery_s


def _whole_share(
    outcomes: list[tuple[float, bool]], start_s: float, end_s: float
) -> float:
    """Return the share of whole answers to the requests that arrive in a window."""
    arrived = [
        is_whole for arrival_s, is_whole in outcomes if start_s <= arrival_s < end_s
    ]
    return sum(arrived) / len(arrived) if arrived else 0.0


def _collect_requests(attempts: Iterable[Attempt]) -> list[_Request]:
    by_token: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        by_token.setdefault(attempt.token, []).append(attempt)
    return [
        _Request(
            calls[0].class_name,
            calls[0].phase,
            calls[0].arrived_s,
            calls[-1],
            calls[0].answer.verdict is Verdict.WHOLE,
        )
        for calls in by_token.values()
    ]


def _build_phase_report(
    plan: MeshPlan, phase: LoadPhase, requests: list[_Request], start_s: float
) -> PhaseReport:
    end_s = start_s + phase.duration_s
    arrived = [request for request in requests if request.phase == phase.name]
    carried_over = [r for r in requests if r.arrived_s < start_s <= r.last.end_s]
    deep_classes = {c.name for c in plan.classes if plan.deep_service in c.path}
    demand = len(arrived) + len(carried_over)
    deep_demand = sum(
        request.class_name in deep_classes for request in (*arrived, *carried_over)
    )
    # The calls that hold a slot of the deep service at the start of the phase may end
    # in the phase in addition to those that its capacity allows.
    capacity_per_s = plan.capacity_per_s(plan.deep_service, phase.slow_factor)
    max_deep = capacity_per_s * phase.duration_s + plan.slots(plan.deep_service)
    best = demand - deep_demand + min(deep_demand, max_deep)
    answers = sum(r.is_whole and start_s <= r.last.end_s < end_s for r in requests)
    return PhaseReport(
        requests=len(arrived),
        answers=answers,
        best=round(best, 1),
        goodput_ratio=_ratio(answers, best),
    )


def _build_class_report(requests: list[_Request]) -> ClassReport:
    overload = [request for request in requests if request.phase == OVERLOAD_PHASE]
    whole = sum(request.is_whole for request in requests)
    overload_whole = sum(request.is_whole for request in overload)
    latencies_ms = sorted(
        1000 * (request.last.end_s - request.arrived_s)
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
        p50_ms=_quantile(latencies_ms, 0.5),
        p99_ms=_quantile(latencies_ms, 0.99),
    )


def _compute_wasted_ratio(requests: list[_Request], runs: list[RunRecord]) -> float:
    """Return the share of the run time spent on requests not answered whole."""
    whole_ids = {r.last.answer.request_id for r in requests if r.is_whole}
    total_s = wasted_s = 0.0
    for run in runs:
        run_s = (run["end_s"] or run["start_s"]) - run["start_s"]
        total_s += run_s
        if run["request_id"] not in whole_ids:
            wasted_s += run_s
    return _ratio(wasted_s, total_s) or 0.0


def _ratio(part: float, whole: float) -> float | None:
    return round(part / whole, 4) if whole else None


def _quantile(values: list[float], share: float) -> float | None:
    """Return a quantile of sorted values; None without values."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(share * len(values)))], 2)


def format_report(report: DemoReport) -> str:
    """Return a report as human-readable text."""
    lines = [
        f"{report['mesh']}: {report['requests']} requests in "
        f"{report['duration_s']:g} s, {report['calls']} calls with client retries",
        "",
        f"{'class':<22}{'requests':>9}{'whole':>7}{'ratio':>7}"
        f"{'overload':>10}{'ratio':>7}{'p50 ms':>9}{'p99 ms':>9}",
    ]
    lines += [_format_class_line(name, row) for name, row in report["by_class"].items()]
    lines += ["", f"{'phase':<22}{'requests':>9}{'answers':>9}{'best':>7}{'ratio':>7}"]
    lines += [
        f"{name:<22}{row['requests']:>9}{row['answers']:>9}{row['best']:>7.0f}"
        f"{_format_number(row['goodput_ratio']):>7}"
        for name, row in report["by_phase"].items()
    ]
    recovery = report["recovery_s"]
    recovery_text = "not within the run" if recovery is None else f"{recovery:.1f} s"
    lines += [
        "",
        f"goodput in the overload {_format_number(report['goodput_ratio'])} of the "
        f"best that the capacity allows, recovery {recovery_text}, wasted work "
        f"{report['wasted_ratio']:.3f}",
        f"refused and not run {report['refused_not_run']}, failed {report['failed']}, "
        f"unknown {report['unknown']}",
        f"violations: duplicate runs {report['duplicate_runs']}, wrong answers "
        f"{report['wrong_answers']}, not-run {report['not_run_violations']}, over the "
        f"retry bound {report['retry_violations']} (most retries of a request "
        f"{report['max_retries_per_request']}, bound {report['retry_bound']})",
    ]
    return "\n".join(lines)


def _format_class_line(name: str, row: ClassReport) -> str:
    return (
        f"{name:<22}{row['requests']:>9}{row['whole']:>7}"
        f"{_format_number(row['goodput_ratio']):>7}{row['overload_requests']:>10}"
        f"{_format_number(row['overload_goodput_ratio']):>7}"
        f"{_format_number(row['p50_ms']):>9}{_format_number(row['p99_ms']):>9}"
    )


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
