"""Compares what clients, targets and the operator saw with the platform's rules."""

from collections import Counter, defaultdict
from typing import NamedTuple

from soak.callers import PROMISES, Exchange
from soak.operations import Operations, PathKind, Version, kind_of
from soak.targets import DRAIN_S, Leave, Run

__all__ = [
    "Disturbance",
    "Finding",
    "find_broken_rules",
    "find_late_runs",
    "is_in_touch",
]

# A request that crosses the close of its connection may end this long after it was
# sent, if it is not passed on.
CROSSING_S = 0.2
# A node is bound by times only if nothing has disturbed it for this long.
STABLE_S = 3.0
# The upstream may be reached this long after the request was sent, under a timeout of
# the route of 2 s.
LATEST_RUN_S = 2.5


class Disturbance(NamedTuple):
    """A time in which a fault was injected.

    Attributes:
        machine: Name of the machine; empty for all.
        start_s: When it began, on the clock of the event loop.
        end_s: When it ended.
        is_planned: Whether it is a stop that must lose no request.
        what: The fault.
    """

    machine: str
    start_s: float
    end_s: float
    is_planned: bool
    what: str


class Finding(NamedTuple):
    """A broken rule.

    Attributes:
        rule: Name of the rule.
        detail: The request and what came of it.
    """

    rule: str
    detail: str


def find_broken_rules(
    exchanges: list[Exchange],
    runs: list[Run],
    operations: Operations,
    disturbances: list[Disturbance],
) -> list[Finding]:
    """Return all broken rules of a soak."""
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    findings: list[Finding] = []
    for exchange in exchanges:
        own_runs = runs_by_id[exchange.request_id]
        for rule in _broken_promises(exchange, own_runs):
            findings.append(_describe(rule, exchange, own_runs))
        if is_in_touch(exchange, disturbances):
            versions = operations.versions_in_force(
                exchange.sent_s, exchange.sent_s + LATEST_RUN_S
            )
            for rule in _broken_configuration(exchange, own_runs, versions):
                findings.append(_describe(rule, exchange, own_runs))
        if _is_lost(exchange, own_runs, disturbances):
            findings.append(_describe("LOST", exchange, own_runs))
    return findings


def _broken_promises(exchange: Exchange, runs: list[Run]) -> list[str]:
    """Return the rules that hold at all times and that a request breaks."""
    broken = []
    if not exchange.is_idempotent:
        if len(runs) > 1:
            broken.append("TWICE")
        if runs and exchange.status in PROMISES:
            broken.append("REFUSED")
    if exchange.status and not exchange.is_own_answer:
        broken.append("MIXED")
    if exchange.status == 200 and not runs:
        broken.append("MIXED")
    return broken


def _broken_configuration(
    exchange: Exchange, runs: list[Run], versions: list[Version]
) -> list[str]:
    """Return the rules on the configuration in force that a request breaks."""
    prefix = exchange.path[: exchange.path.rindex("/") + 1]
    allowed = {version.services.get(prefix) for version in versions}
    broken = []
    if any(run.service not in allowed for run in runs):
        broken.append("CONFIG")
    if exchange.status == 404 and None not in allowed:
        broken.append("DENIED")
    return broken


def find_late_runs(
    exchanges: list[Exchange],
    runs: list[Run],
    leaves: list[Leave],
    disturbances: list[Disturbance],
) -> list[Finding]:
    """Return the runs at targets that had left, of requests sent by calm machines."""
    exchange_by_id = {exchange.request_id: exchange for exchange in exchanges}
    due_by_target: dict[str, float] = {}
    machine_by_target: dict[str, str] = {}
    for leave in leaves:
        due_by_target.setdefault(leave.target_id, leave.acknowledged_s + DRAIN_S)
        machine_by_target[leave.target_id] = leave.machine
    findings = []
    for run in runs:
        exchange = exchange_by_id.get(run.request_id)
        if exchange is None or run.at_s <= due_by_target.get(run.target_id, run.at_s):
            continue
        machines = ("", machine_by_target[run.target_id])
        is_calm = is_in_touch(exchange, disturbances) and not any(
            disturbance.machine in machines
            and disturbance.start_s <= run.at_s
            and disturbance.end_s >= exchange.sent_s - STABLE_S
            for disturbance in disturbances
        )
        if is_calm:
            findings.append(_describe("DRAIN", exchange, [run]))
    return findings


def is_in_touch(exchange: Exchange, disturbances: list[Disturbance]) -> bool:
    """Return whether nothing has disturbed a request or its machine for a while."""
    return not any(
        disturbance.machine in ("", exchange.machine.name)
        and disturbance.start_s <= exchange.ended_s
        and disturbance.end_s >= exchange.sent_s - STABLE_S
        for disturbance in disturbances
    )


def _is_lost(
    exchange: Exchange, runs: list[Run], disturbances: list[Disturbance]
) -> bool:
    """Return whether a request was cut off with no fault but planned stops near."""
    is_crossing = not runs and exchange.ended_s - exchange.sent_s <= CROSSING_S
    if exchange.status or not exchange.was_accepted or is_crossing:
        return False
    near = [
        disturbance
        for disturbance in disturbances
        if disturbance.start_s <= exchange.ended_s
        and disturbance.end_s >= exchange.sent_s - STABLE_S
    ]
    return all(disturbance.is_planned for disturbance in near)


def _describe(rule: str, exchange: Exchange, runs: list[Run]) -> Finding:
    ran = [f"{run.service}/{run.target_id} at {run.at_s:.3f}" for run in runs]
    return Finding(
        rule,
        f"{exchange.request_id} {exchange.path} at {exchange.machine.name} "
        f"{exchange.sent_s:.3f}..{exchange.ended_s:.3f} status {exchange.status}, "
        f"ran {ran}",
    )


def count_statuses(exchanges: list[Exchange]) -> dict[str, int]:
    """Return how many attempts of each kind ended with each status."""
    counts = Counter(
        f"{kind_of(exchange.path) if exchange.path else PathKind.IDEMPOTENT} "
        f"{exchange.status}"
        for exchange in exchanges
    )
    return dict(sorted(counts.items()))
