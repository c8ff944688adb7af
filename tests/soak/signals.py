"""Compares the requests that targets got with what they had said in their answers."""

from collections import defaultdict
from typing import NamedTuple

from soak.callers import Exchange
from soak.checks import STABLE_S, Disturbance, Finding
from soak.targets import DRAIN_S, Run

__all__ = ["LimitSpan", "find_broken_signals"]

WINDOW_S = 4.0
# A machine counts for a limit this long after it has passed on an answer that names it.
TOLD_S = 0.5
ENDING_FAULTS = frozenset({"kill", "stop", "pause"})


class LimitSpan(NamedTuple):
    """A time in which a target named a rate limit.

    Attributes:
        target_id: Id of the target.
        rate_per_s: The limit in requests/s.
        start_s: When it began, on the clock of the event loop.
        end_s: When it ended.
    """

    target_id: str
    rate_per_s: float
    start_s: float
    end_s: float


class _Arrival(NamedTuple):
    exchange: Exchange
    run: Run


def find_broken_signals(
    exchanges: list[Exchange],
    runs: list[Run],
    limits: list[LimitSpan],
    disturbances: list[Disturbance],
) -> list[Finding]:
    """Return the limits that were exceeded and the requests to leaving targets."""
    sent = {exchange.request_id: exchange for exchange in exchanges}
    arrivals: dict[str, list[_Arrival]] = defaultdict(list)
    for run in runs:
        if run.request_id in sent:
            arrivals[run.target_id].append(_Arrival(sent[run.request_id], run))
    findings = []
    for span in limits:
        findings += _check_limit(
            span, exchanges, arrivals[span.target_id], disturbances
        )
    return findings + _check_leaving(exchanges, arrivals, disturbances)


def _check_limit(
    span: LimitSpan,
    exchanges: list[Exchange],
    arrivals: list[_Arrival],
    disturbances: list[Disturbance],
) -> list[Finding]:
    told_s = _find_told(
        exchange
        for exchange in exchanges
        if exchange.names_limit and span.start_s <= exchange.ended_s <= span.end_s
    )
    counted_s = sorted(
        run.at_s
        for exchange, run in arrivals
        if (key := (exchange.machine.name, span.target_id)) in told_s
        and max(told_s[key] + TOLD_S, span.start_s + STABLE_S) <= run.at_s <= span.end_s
        and not _is_disturbed(
            disturbances, exchange, told_s[key], run.at_s, {*ENDING_FAULTS, "link"}
        )
    )
    allowed = 1.5 * span.rate_per_s * WINDOW_S + 5
    largest = max(
        (sum(s <= at_s < s + WINDOW_S for at_s in counted_s) for s in counted_s),
        default=0,
    )
    if largest <= allowed:
        return []
    detail = f"{span} got {largest} requests in {WINDOW_S:g} s, allowed {allowed:.1f}"
    return [Finding("LIMIT", detail)]


def _check_leaving(
    exchanges: list[Exchange],
    arrivals: dict[str, list[_Arrival]],
    disturbances: list[Disturbance],
) -> list[Finding]:
    told_s = _find_told(e for e in exchanges if e.is_target_leaving)
    return [
        Finding("DRAIN", f"{run} from {exchange.machine.name}, told at {at_s:.3f}")
        for (machine, target_id), at_s in told_s.items()
        for exchange, run in arrivals[target_id]
        if exchange.machine.name == machine
        and exchange.sent_s > at_s + DRAIN_S
        and not _is_disturbed(disturbances, exchange, at_s, run.at_s, ENDING_FAULTS)
    ]


def _find_told(exchanges) -> dict[tuple[str, str], float]:
    """Return when each machine first passed on such an answer of each target."""
    told_s: dict[tuple[str, str], float] = {}
    for exchange in exchanges:
        key = (exchange.machine.name, exchange.target_id)
        told_s[key] = min(told_s.get(key, exchange.ended_s), exchange.ended_s)
    return told_s


def _is_disturbed(
    disturbances: list[Disturbance],
    exchange: Exchange,
    start_s: float,
    end_s: float,
    faults: set[str] | frozenset[str],
) -> bool:
    return any(
        d.machine == exchange.machine.name
        and d.what in faults
        and d.start_s <= end_s
        and d.end_s >= start_s
        for d in disturbances
    )
