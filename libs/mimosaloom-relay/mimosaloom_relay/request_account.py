"""Counts of the requests and hops that have ended at a node, logged once a second.

The lines about single requests are only a sample, so they can't be summed.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec

from mimosaloom_model import (
    ERROR_ANSWERS,
    OTHER,
    BegunBy,
    Clock,
    EndKind,
    ErrorKind,
    HopCounts,
    Place,
    Ran,
    RequestCounts,
    UpstreamCounts,
)

from .calls import Call, Progress
from .decision_log import DecisionLog, Importance
from .hop_messages import HopContext

__all__ = ["AccountLog", "CountedPeriod", "RequestAccount"]

INTERVAL_S = 1.0
# Rows of each kind that are kept for one line; the rest is summed.
MAX_CELLS = 128
# Names of organisations with rows of their own on one line.
MAX_ORGANISATIONS = 16
# Size of all rows of a line. Its other fields need the rest of the size that a line may
# have.
MAX_ROWS_BYTES = 3300
MAX_HOP_ROWS_BYTES = 1000
MAX_UPSTREAM_ROWS_BYTES = 600
# Size of a sum with its separator: 10^13 ms are the slot time of 300 years.
MAX_SUM_BYTES = 14

_NOT_RUN_KINDS = frozenset(
    kind.value for kind, answer in ERROR_ANSWERS.items() if answer.ran is Ran.NO
)
_MIN_FAILED_STATUS = 500
_ENDS_WITH_UPSTREAM = frozenset({EndKind.OWN_FAILURE, EndKind.REFUSED, EndKind.FAILED})

_Cell = TypeVar("_Cell", RequestCounts, HopCounts, UpstreamCounts)


class CountedPeriod(NamedTuple):
    """Rows of the counts of one period, the rows with the highest counts first.

    Attributes:
        period_s: Length of the period.
        requests: Rows in the form of `RequestCounts`.
        upstreams: Rows in the form of `UpstreamCounts`.
        hops: Rows in the form of `HopCounts`.
    """

    period_s: float
    requests: list[list[Any]]
    upstreams: list[list[Any]]
    hops: list[list[Any]]


class RequestAccount:
    """Counts requests and hops as they end, until the counts are taken.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._start_s = clock.monotonic_s()
        self._requests: dict[tuple, RequestCounts] = {}
        self._upstreams: dict[tuple, UpstreamCounts] = {}
        self._hops: dict[tuple, HopCounts] = {}
        self._organisations: set[str] = set()

    def count_call(
        self,
        call: Call,
        progress: Progress,
        outcome: str,
        kind: str,
        elapsed_s: float,
        organisation: str = "",
    ) -> None:
        """Count a request that has ended at its origin.

        Args:
            call: The request.
            progress: Its attempts.
            outcome: "answered", "gave_up" or "cancelled".
            kind: Status of the answer, or the kind of the refusal.
            elapsed_s: Time since its arrival.
            organisation: Name of the organisation of the caller; empty for none.
        """
        end = _classify_call(outcome, kind, elapsed_s, call.route.objective_s)
        has_place = end in (EndKind.REFUSED, EndKind.FAILED)
        place = ""
        if has_place:
            place = Place.HOP if progress.attempts else Place.ORIGIN
        elif end is not EndKind.OWN_FAILURE:
            kind = ""
        key = (
            call.route.request_class.name,
            self._bound_organisation(organisation),
            call.service,
            BegunBy.CLIENT if call.parent is None else BegunBy.TARGET,
            end,
            kind,
            place,
        )
        cell = self._requests.get(key) or self._add_request_cell(key)
        cell.count += 1
        elapsed_ms = 1000 * elapsed_s
        cell.elapsed_ms += elapsed_ms
        cell.max_elapsed_ms = max(cell.max_elapsed_ms, elapsed_ms)
        if progress.first_target_s is not None:
            cell.reached += 1
            cell.before_target_ms += 1000 * (progress.first_target_s - call.start_s)
        cell.hops += _count_possible_runs(progress)
        if end in _ENDS_WITH_UPSTREAM and progress.last_upstream:
            self._count_upstream(progress.last_upstream, end, kind)

    def count_early_refusal(self, kind: ErrorKind) -> None:
        """Count a request that was refused before it had a class and a service."""
        key = (
            "",
            "",
            "",
            BegunBy.CLIENT,
            EndKind.REFUSED,
            kind.value,
            Place.ORIGIN,
        )
        cell = self._requests.get(key) or self._add_request_cell(key)
        cell.count += 1

    def count_refused_hop(
        self, context: HopContext, kind: ErrorKind, wait_s: float
    ) -> None:
        """Count a hop that was not sent to the target.

        Args:
            context: Context of the hop.
            kind: Why it was refused.
            wait_s: Time that it has waited for a slot.
        """
        self._count_hop(context, EndKind.REFUSED, kind.value, wait_s, 0.0)

    def count_cancelled_hop(self, context: HopContext, wait_s: float) -> None:
        """Count a hop whose origin has left while it waited for a slot."""
        self._count_hop(context, EndKind.CANCELLED, "", wait_s, 0.0)

    def count_run(
        self,
        context: HopContext,
        status: int | None,
        kind: str,
        wait_s: float,
        busy_s: float,
    ) -> None:
        """Count a hop that was given a slot of the target.

        Args:
            context: Context of the hop.
            status: Status of the target's answer; None without an answer.
            kind: Why there is no answer; empty if the run was cancelled.
            wait_s: Time that it has waited for a slot.
            busy_s: Time that it has held the slot.
        """
        if status is not None:
            has_failed = status >= _MIN_FAILED_STATUS
            end = EndKind.OWN_FAILURE if has_failed else EndKind.ANSWERED
            kind = str(status) if has_failed else ""
        elif not kind:
            end = EndKind.CANCELLED
        elif kind == ErrorKind.TARGET_REJECTED:
            end = EndKind.REJECTED
        else:
            end = EndKind.REFUSED if kind in _NOT_RUN_KINDS else EndKind.FAILED
        self._count_hop(context, end, kind, wait_s, busy_s)

    def take(self) -> CountedPeriod | None:
        """Return the counts since the last call and begin anew; None if there are none.

        The rows fit on one log line: where there are more, those with the lowest counts
        are summed by outcome in rows that are named `other`.
        """
        now_s = self._clock.monotonic_s()
        period_s, self._start_s = now_s - self._start_s, now_s
        if not self._requests and not self._hops:
            return None
        hops = _fit_rows(self._hops.values(), _fold_hop_key, MAX_HOP_ROWS_BYTES)
        upstreams = _fit_rows(
            self._upstreams.values(), _fold_upstream_key, MAX_UPSTREAM_ROWS_BYTES
        )
        left_bytes = MAX_ROWS_BYTES - _measure(hops) - _measure(upstreams)
        requests = _fit_rows(self._requests.values(), _fold_request_key, left_bytes)
        self._requests, self._upstreams, self._hops = {}, {}, {}
        self._organisations.clear()
        return CountedPeriod(period_s, requests, upstreams, hops)

    def _bound_organisation(self, name: str) -> str:
        if not name or name in self._organisations:
            return name
        if len(self._organisations) >= MAX_ORGANISATIONS:
            return OTHER
        self._organisations.add(name)
        return name

    def _add_request_cell(self, key: tuple) -> RequestCounts:
        return _add_cell(self._requests, key, RequestCounts, _fold_request_key)

    def _count_upstream(self, upstream: str, end: EndKind, kind: str) -> None:
        key = (upstream, end, kind)
        cell = self._upstreams.get(key) or _add_cell(
            self._upstreams, key, UpstreamCounts, _fold_upstream_key
        )
        cell.count += 1

    def _count_hop(
        self,
        context: HopContext,
        end: EndKind,
        kind: str,
        wait_s: float,
        busy_s: float,
    ) -> None:
        organisation = self._bound_organisation(context.organisation)
        key = (context.route, organisation, end, kind)
        cell = self._hops.get(key) or _add_cell(
            self._hops, key, HopCounts, _fold_hop_key
        )
        cell.count += 1
        wait_ms = 1000 * wait_s
        cell.wait_ms += wait_ms
        cell.max_wait_ms = max(cell.max_wait_ms, wait_ms)
        cell.busy_ms += 1000 * busy_s


class AccountLog:
    """Logs the counts of a node, at most one line a second and none without counts.

    Args:
        account: Counts the requests and hops.
        log: Receives the lines.
        node: Name of the node.
        incarnation: Id of this process; with the running number of each line, it shows
            which lines are missing.
        service: Service of the target beside the node.
        used_slots: Returns how many slots of the target are used at most.
    """

    def __init__(
        self,
        account: RequestAccount,
        log: DecisionLog,
        node: str,
        incarnation: str,
        service: str,
        used_slots: Callable[[], int],
    ):
        self._account = account
        self._log = log
        self._node = node
        self._incarnation = incarnation
        self._service = service
        self._used_slots = used_slots
        self._number = 0

    async def run(self) -> None:
        """Log the counts of each second until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.write_if_room()

    def write_if_room(self) -> None:
        """Log the counts unless the log is at its limit; later lines have them."""
        if self._log.can_write(Importance.CHANGE):
            self.write()

    def write(self) -> None:
        """Log the counts since the last line, if there are any."""
        counted = self._account.take()
        if counted is None:
            return
        self._number += 1
        self._log.change(
            "requests_counted",
            node=self._node,
            incarnation=self._incarnation,
            number=self._number,
            period_ms=round(1000 * counted.period_s),
            service=self._service,
            slots=self._used_slots(),
            requests=counted.requests,
            upstreams=counted.upstreams,
            hops=counted.hops,
        )


def _classify_call(
    outcome: str, kind: str, elapsed_s: float, objective_s: float
) -> EndKind:
    if outcome == "cancelled":
        return EndKind.CANCELLED
    if outcome != "answered":
        return EndKind.REFUSED if kind in _NOT_RUN_KINDS else EndKind.FAILED
    if int(kind) >= _MIN_FAILED_STATUS:
        return EndKind.OWN_FAILURE
    is_late = 0 < objective_s < elapsed_s
    return EndKind.LATE if is_late else EndKind.IN_TIME


def _count_possible_runs(progress: Progress) -> int:
    """Return how many attempts have run on a target, or may have run there."""
    ended = sum(kind not in _NOT_RUN_KINDS for kind in progress.kinds)
    is_open = progress.attempts > len(progress.kinds) and progress.may_have_run
    return ended + is_open


def _add_cell(
    cells: dict[tuple, _Cell],
    key: tuple,
    cell_type: type[_Cell],
    fold_key: Callable[[tuple], tuple],
) -> _Cell:
    """Return a new cell; if there are too many, the one for the rest."""
    if len(cells) >= MAX_CELLS:
        key = fold_key(key)
    return cells.setdefault(key, cell_type(*key))


def _fold_request_key(key: tuple) -> tuple:
    _, _, _, begun_by, end, kind, place = key
    return (OTHER, OTHER, OTHER, begun_by, end, OTHER if kind else "", place)


def _fold_hop_key(key: tuple) -> tuple:
    _, _, end, kind = key
    return (OTHER, OTHER, end, OTHER if kind else "")


def _fold_upstream_key(key: tuple) -> tuple:
    _, end, _ = key
    return (OTHER, end, OTHER)


def _fit_rows(
    cells: Iterable[_Cell], fold_key: Callable[[tuple], tuple], max_bytes: int
) -> list[list[Any]]:
    """Return the rows of cells; fold those with the lowest counts if they don't fit."""
    kept = sorted(cells, key=lambda cell: -cell.count)
    rows = [_build_row(cell) for cell in kept]
    sizes_bytes = [_measure([row]) for row in rows]
    rest: dict[tuple, _Cell] = {}
    left_bytes = max_bytes - sum(sizes_bytes)
    while kept and left_bytes < 0:
        cell = kept.pop()
        rows.pop()
        left_bytes += sizes_bytes.pop()
        key = fold_key(cell.key)
        if key not in rest:
            rest[key] = type(cell)(*key)
            sum_count = len(cell.__struct_defaults__)
            left_bytes -= _measure([key]) + MAX_SUM_BYTES * sum_count
        rest[key].add(cell)
    return rows + [_build_row(cell) for cell in rest.values()]


def _build_row(cell: _Cell) -> list[Any]:
    """Return the values of a cell, the times rounded to milliseconds."""
    return [
        round(value) if isinstance(value, float) else value
        for value in msgspec.structs.astuple(cell)
    ]


def _measure(rows: Iterable[Sequence[Any]]) -> int:
    """Return the size in bytes of rows on a log line, separators included."""
    return sum(len(msgspec.json.encode(row)) + 1 for row in rows)
