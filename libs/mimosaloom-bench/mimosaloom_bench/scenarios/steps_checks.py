"""Steps that check the records of the targets and the answers to the callers."""

from collections import Counter

from mimosaloom_standins import read_journal

from ..demo import WARM_UP_PHASE
from ..verdicts import Attempt, RunRecord, Verdict
from .registry import check
from .world import PlannedStop, StepFailed, World

__all__: list[str] = []

# Time after the start of a drain within which new work may still reach the target, as
# guarantee P6 states.
DRAIN_LIMIT_S = 3.0
# How a run ends when a stop cuts its call.
CUT_ENDS = ("running", "cancelled", "crashed")
# Error kinds of failed answers that are not due to a cut call.
NOT_CUT_KINDS = ("deadline_exceeded",)


def _last_attempts(world: World) -> list[Attempt]:
    """Return the last call of each order, without those of the warm-up."""
    last = {a.token: a for a in world.attempts if a.phase != WARM_UP_PHASE}
    return list(last.values())


def _require(is_met: bool, message: str) -> None:
    if not is_met:
        raise StepFailed(message)


@check("at least {count:d} answers are whole")
async def check_whole(world: World, count: int) -> None:
    """Check that at least this number of orders were answered whole."""
    await world.finish_loads()
    verdicts = Counter(a.answer.verdict.value for a in _last_attempts(world))
    whole = verdicts[Verdict.WHOLE.value]
    world.note(", ".join(f"{n} {name}" for name, n in sorted(verdicts.items())))
    _require(whole >= count, f"{whole} answers are whole")


@check("at least {share:g} of the {class_name:name} in phase {phase:name} are whole")
async def check_share(world: World, share: float, class_name: str, phase: str) -> None:
    """Check the share of the orders of a class that were answered whole."""
    whole_share = await _whole_share(world, class_name, phase)
    _require(whole_share >= share, f"the share of whole answers is {whole_share:.4f}")


@check(
    "in phase {phase:name} {upper:name} is answered whole at least as often as "
    "{lower:name}"
)
async def check_class_order(world: World, phase: str, upper: str, lower: str) -> None:
    """Check that the more important class has the higher share of whole answers."""
    shares = [await _whole_share(world, name, phase) for name in (upper, lower)]
    _require(
        shares[0] >= shares[1], f"the shares are {shares[0]:.4f} and {shares[1]:.4f}"
    )


@check("in phase {phase:name} {class_name:name} is refused {count:d} times at least")
async def check_class_refused(
    world: World, phase: str, class_name: str, count: int
) -> None:
    """Check that a less important class was refused, which shows an overload."""
    await world.finish_loads()
    refusals = sum(
        a.answer.verdict is Verdict.REFUSED_NOT_RUN
        for a in world.attempts
        if (a.phase, a.class_name) == (phase, class_name)
    )
    world.note(f"{refusals}")
    _require(refusals >= count, f"it was refused {refusals} times")


async def _whole_share(world: World, class_name: str, phase: str) -> float:
    """Return the share of the orders of a class that were answered whole."""
    await world.finish_loads()
    verdicts = [
        a.answer.verdict
        for a in _last_attempts(world)
        if (a.class_name, a.phase) == (class_name, phase)
    ]
    _require(bool(verdicts), f"no {class_name} arrived in phase {phase}")
    share = verdicts.count(Verdict.WHOLE) / len(verdicts)
    world.note(f"{class_name} {share:.4f} of {len(verdicts)}")
    return share


@check("callers asked again {count:d} times at least")
async def check_client_retries(world: World, count: int) -> None:
    """Check that callers retried, which could have made an order run twice."""
    await world.finish_loads()
    retries = sum(a.number > 1 for a in world.attempts)
    world.note(f"{retries}")
    _require(retries >= count, f"callers retried {retries} times")


@check("no answer is wrong")
async def check_no_wrong_answer(world: World) -> None:
    """Check that no caller received a partial answer or that to another order."""
    found = (await world.count_violations(0)).wrong_answers
    _require(found == 0, f"{found} answers are wrong")


@check("no order ran twice")
async def check_no_duplicate_run(world: World) -> None:
    """Check that no order of a non-idempotent class ran twice on a service."""
    found = (await world.count_violations(0)).duplicate_runs
    _require(found == 0, f"{found} runs are duplicates")


@check("no order that was said not to have run ran")
async def check_not_run(world: World) -> None:
    """Check that no part of an order ran that was refused as not run."""
    found = (await world.count_violations(0)).not_run_violations
    _require(
        found == 0, f"{found} orders ran although their refusals said that they did not"
    )


@check("no request caused more than {bound:d} retries")
async def check_retry_bound(world: World, bound: int) -> None:
    """Check that the retries of each request over all hops stay within a bound."""
    violations = await world.count_violations(bound)
    world.note(f"at most {violations.max_retries_per_request}")
    _require(
        violations.retry_violations == 0,
        f"{violations.retry_violations} requests caused up to "
        f"{violations.max_retries_per_request} retries",
    )


@check("some request caused {count:d} retries")
async def check_some_retries(world: World, count: int) -> None:
    """Check that some request caused retries; otherwise the bound is not tested."""
    found = (await world.count_violations(0)).max_retries_per_request
    _require(found >= count, f"no request caused more than {found} retries")


@check("at least {count:d} orders are refused as not run")
async def check_refusals(world: World, count: int) -> None:
    """Check that there were refusals for other checks to compare with the records."""
    await world.finish_loads()
    verdicts = [a.answer.verdict for a in world.attempts]
    refusals = verdicts.count(Verdict.REFUSED_NOT_RUN)
    _require(refusals >= count, f"{refusals} calls were refused as not run")


@check("at least {count:d} answers are {kind:name}")
async def check_kind(world: World, count: int, kind: str) -> None:
    """Check that at least this number of answers have an error kind."""
    kinds = await _count_kinds(world)
    _require(kinds[kind] >= count, f"the kinds are {dict(kinds)}")


@check("no answer is {kind:name}")
async def check_no_kind(world: World, kind: str) -> None:
    """Check that no answer has an error kind."""
    kinds = await _count_kinds(world)
    _require(kinds[kind] == 0, f"the kinds are {dict(kinds)}")


async def _count_kinds(world: World) -> Counter:
    """Count the error kinds of the answers; an answer without one by its verdict."""
    await world.finish_loads()
    kinds = Counter(a.answer.kind or a.answer.verdict for a in world.attempts)
    world.note(", ".join(f"{n} {kind}" for kind, n in sorted(kinds.items())))
    return kinds


def _find_stop(world: World, upstream: str) -> PlannedStop:
    stops = [stop for stop in world.planned_stops if stop.upstream == upstream]
    if not stops:
        raise StepFailed(f"no stop of {upstream} was planned")
    return stops[-1]


def _read_runs(world: World, stop: PlannedStop) -> list[RunRecord]:
    return read_journal(stop.journal)[0]


@check("no work reached {upstream:name} after 3 s of its drain")
async def check_drained(world: World, upstream: str) -> None:
    """Check that a drained target receives no new work after `DRAIN_LIMIT_S`.

    The check also requires calls of the service on other targets after that time.
    """
    await world.finish_loads()
    stop = _find_stop(world, upstream)
    limit_s = stop.requested_s + DRAIN_LIMIT_S
    late = [run for run in _read_runs(world, stop) if run["start_s"] > limit_s]
    service = upstream.rpartition("-")[0]
    elsewhere = sum(
        run["service"] == service and run["start_s"] > limit_s
        for run in world.read_records().runs
    )
    world.note(f"{elsewhere} runs of {service} after that time")
    _require(not late, f"{len(late)} calls reached it after that time")
    _require(elsewhere > 0, f"no call of {service} ran after that time")


@check("no call was cut by the planned stop of {upstream:name}")
async def check_uncut(world: World, upstream: str) -> None:
    """Check that a planned stop cut no call of a target.

    The check covers the runs in flight at the stop and later ones. The runs and the
    calls to which they belong must end normally.
    """
    await world.finish_loads()
    stop = _find_stop(world, upstream)
    in_flight = [
        run
        for run in _read_runs(world, stop)
        if run["end_s"] is None or run["end_s"] >= stop.requested_s
    ]
    world.note(f"{len(in_flight)} runs in flight at the stop or later")
    _require(bool(in_flight), "no call was in flight at the stop")
    cut = [run for run in in_flight if run["end"] in CUT_ENDS]
    tokens = {run["token"] for run in in_flight}
    failed = [
        a.answer
        for a in world.attempts
        if a.token in tokens
        and a.answer.verdict in (Verdict.UNKNOWN, Verdict.FAILED, Verdict.WRONG)
        and a.answer.kind not in NOT_CUT_KINDS
    ]
    _require(not cut, f"{len(cut)} of {len(in_flight)} runs were cut")
    _require(
        not failed,
        f"{len(failed)} calls failed or have an unknown outcome: {failed[:3]}",
    )
