"""Steps that check what targets recorded and callers received."""

from collections import Counter

from mimosaloom_standins import read_journal

from ..demo import WARM_UP_PHASE
from ..verdicts import Attempt, RunFact, Verdict
from .registry import check
from .world import NotMet, PlannedStop, World

__all__: list[str] = []

DRAIN_GOAL_S = 3.0
# Ends of runs, and kinds of answers, that a stop leaves behind when it cuts a call.
CUT_ENDS = ("running", "cancelled", "crashed")
NOT_CUT_KINDS = ("deadline_exceeded",)


def _last_attempts(world: World) -> list[Attempt]:
    """Return the last call of each order; warm-up is left out."""
    last = {a.token: a for a in world.attempts if a.phase != WARM_UP_PHASE}
    return list(last.values())


def _require(is_met: bool, message: str) -> None:
    if not is_met:
        raise NotMet(message)


@check("at least {count:d} answers are whole")
async def check_whole(world: World, count: int) -> None:
    """So many orders were answered completely and correctly."""
    await world.settle()
    verdicts = Counter(a.judgement.verdict.value for a in _last_attempts(world))
    found = verdicts[Verdict.WHOLE.value]
    world.note(", ".join(f"{n} {name}" for name, n in sorted(verdicts.items())))
    _require(found >= count, f"{found} answers are whole")


@check("at least {share:g} of the {class_name:name} in phase {phase:name} are whole")
async def check_share(world: World, share: float, class_name: str, phase: str) -> None:
    """Goodput of a class as a share of what was offered."""
    found = await _whole_share(world, class_name, phase)
    _require(found >= share, f"the share is {found:.4f}")


@check(
    "in phase {phase:name} {upper:name} is answered whole at least as often as "
    "{lower:name}"
)
async def check_order(world: World, phase: str, upper: str, lower: str) -> None:
    """The more important of two classes has the higher share of whole answers."""
    shares = [await _whole_share(world, name, phase) for name in (upper, lower)]
    _require(shares[0] >= shares[1], f"the shares are {shares[0]:.4f}, {shares[1]:.4f}")


@check("in phase {phase:name} {class_name:name} is refused {count:d} times at least")
async def check_overload(world: World, phase: str, class_name: str, count: int) -> None:
    """There was overload: the less important class was refused."""
    await world.settle()
    found = sum(
        a.judgement.verdict is Verdict.REFUSED_NOT_RUN
        for a in world.attempts
        if (a.phase, a.class_name) == (phase, class_name)
    )
    world.note(f"{found}")
    _require(found >= count, f"it was refused {found} times")


async def _whole_share(world: World, class_name: str, phase: str) -> float:
    await world.settle()
    verdicts = [
        a.judgement.verdict
        for a in _last_attempts(world)
        if (a.class_name, a.phase) == (class_name, phase)
    ]
    _require(bool(verdicts), f"no {class_name} arrived in phase {phase}")
    share = verdicts.count(Verdict.WHOLE) / len(verdicts)
    world.note(f"{class_name} {share:.4f} of {len(verdicts)}")
    return share


@check("callers asked again {count:d} times at least")
async def check_repeated(world: World, count: int) -> None:
    """Callers repeated calls, so that a second run could have come about."""
    await world.settle()
    found = sum(a.number > 1 for a in world.attempts)
    world.note(f"{found}")
    _require(found >= count, f"callers asked again {found} times")


@check("no answer is wrong")
async def check_wrong(world: World) -> None:
    """No caller received a fragment or the answer to another order."""
    found = (await world.violations(0)).wrong_answers
    _require(found == 0, f"{found} answers are wrong")


@check("no order ran twice")
async def check_duplicates(world: World) -> None:
    """No order of a class that is not idempotent ran twice on a service."""
    found = (await world.violations(0)).duplicate_runs
    _require(found == 0, f"{found} runs are repeated")


@check("no order that was said not to have run ran")
async def check_not_run(world: World) -> None:
    """No part ran of what was refused as not run."""
    found = (await world.violations(0)).not_run_violations
    _require(found == 0, f"{found} orders ran although the callers were told not")


@check("no request caused more than {bound:d} retries")
async def check_retries(world: World, bound: int) -> None:
    """Retries over all hops stay within the allowance."""
    found = await world.violations(bound)
    world.note(f"at most {found.max_retries_per_request}")
    _require(
        found.retry_violations == 0,
        f"{found.retry_violations} requests caused up to "
        f"{found.max_retries_per_request} retries",
    )


@check("some request caused {count:d} retries")
async def check_some_retries(world: World, count: int) -> None:
    """The targets saw retries, so that the bound was put to the test."""
    found = (await world.violations(0)).max_retries_per_request
    _require(found >= count, f"no request caused more than {found} retries")


@check("at least {count:d} orders are refused as not run")
async def check_refused(world: World, count: int) -> None:
    """There were refusals that the records can be compared with."""
    await world.settle()
    verdicts = [a.judgement.verdict for a in world.attempts]
    found = verdicts.count(Verdict.REFUSED_NOT_RUN)
    _require(found >= count, f"{found} orders were refused as not run")


@check("at least {count:d} answers are {kind:name}")
async def check_kind(world: World, count: int, kind: str) -> None:
    """So many answers to callers name an error kind."""
    kinds = await _count_kinds(world)
    _require(kinds[kind] >= count, f"the kinds are {dict(kinds)}")


@check("no answer is {kind:name}")
async def check_no_kind(world: World, kind: str) -> None:
    """No answer to a caller names an error kind."""
    kinds = await _count_kinds(world)
    _require(kinds[kind] == 0, f"the kinds are {dict(kinds)}")


async def _count_kinds(world: World) -> Counter:
    await world.settle()
    kinds = Counter(a.judgement.kind or a.judgement.verdict for a in world.attempts)
    world.note(", ".join(f"{n} {kind}" for kind, n in sorted(kinds.items())))
    return kinds


def _find_stop(world: World, upstream: str) -> PlannedStop:
    found = [stop for stop in world.stops if stop.upstream == upstream]
    if not found:
        raise NotMet(f"no stop of {upstream} was planned")
    return found[-1]


def _runs_of(world: World, stop: PlannedStop) -> list[RunFact]:
    return read_journal(stop.journal)[0]


@check("no work reached {upstream:name} after 3 s of its drain")
async def check_drained(world: World, upstream: str) -> None:
    """A leaving target receives no new work after the time that P6 states."""
    await world.settle()
    stop = _find_stop(world, upstream)
    limit_s = stop.at_s + DRAIN_GOAL_S
    late = [run for run in _runs_of(world, stop) if run["start_s"] > limit_s]
    service = upstream.rpartition("-")[0]
    elsewhere = sum(
        run["service"] == service and run["start_s"] > limit_s
        for run in world.read_record().runs
    )
    world.note(f"{elsewhere} runs of {service} after that time")
    _require(not late, f"{len(late)} calls reached it")
    _require(elsewhere > 0, f"no call of {service} came after that time")


@check("no call was cut by the planned stop of {upstream:name}")
async def check_uncut(world: World, upstream: str) -> None:
    """All calls that ran on a stopping target or began there ended whole."""
    await world.settle()
    stop = _find_stop(world, upstream)
    in_flight = [
        run
        for run in _runs_of(world, stop)
        if run["end_s"] is None or run["end_s"] >= stop.at_s
    ]
    world.note(f"{len(in_flight)} runs in flight or later")
    _require(bool(in_flight), "no call was in flight")
    cut = [run for run in in_flight if run["end"] in CUT_ENDS]
    tokens = {run["token"] for run in in_flight}
    left_open = [
        a.judgement
        for a in world.attempts
        if a.token in tokens
        and a.judgement.verdict in (Verdict.UNKNOWN, Verdict.FAILED, Verdict.WRONG)
        and a.judgement.kind not in NOT_CUT_KINDS
    ]
    _require(not cut, f"{len(cut)} of {len(in_flight)} runs were cut")
    _require(not left_open, f"{len(left_open)} answers are open: {left_open[:3]}")
