"""Sums the counts of many requests from the log lines of nodes, in one pass."""

import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from typing import Annotated, BinaryIO, NamedTuple

import msgspec

from mimosaloom_model import (
    COUNTS_MESSAGE_TYPE,
    OTHER,
    BegunBy,
    EndKind,
    HopCounts,
    Place,
    RequestCounts,
    UpstreamCounts,
)

__all__ = [
    "Account",
    "AccountKey",
    "HopSums",
    "LineSums",
    "RequestSums",
    "TargetSums",
    "TimeRange",
    "read_lines",
    "sum_lines",
]

# A node writes no longer line.
MAX_LINE_BYTES = 65536
# Rows of a table, seconds of the plot and processes of nodes that are told apart.
MAX_GROUPS = 20_000
MAX_SECONDS = 200_000
MAX_PROCESSES = 20_000
# Gaps between the numbers of the lines of one process that are told apart.
MAX_GAPS = 1000


class AccountKey(StrEnum):
    """What the tables of requests and hops can be grouped by."""

    SECOND = "second"
    CLASS = "class"
    NODE = "node"
    KIND = "kind"
    ORGANISATION = "organisation"
    SERVICE = "service"


class TimeRange(NamedTuple):
    """Time of the lines that are summed, relative to the first line.

    Attributes:
        from_s: Earliest time in seconds.
        to_s: Time in seconds before which all lines were written.
    """

    from_s: float = -math.inf
    to_s: float = math.inf


class RequestSums(msgspec.Struct):
    """Sums over requests.

    Attributes:
        ends: Number of requests by their end.
        elapsed_ms: Sum of their times.
        max_elapsed_ms: Longest of their times.
        reached: Number of those that have reached a target.
        before_target_ms: Sum of the times until these were sent to their first target.
        hops: Attempts that may have run on a target.
    """

    ends: Counter[EndKind] = msgspec.field(default_factory=Counter)
    elapsed_ms: float = 0.0
    max_elapsed_ms: float = 0.0
    reached: int = 0
    before_target_ms: float = 0.0
    hops: int = 0


class HopSums(msgspec.Struct):
    """Sums over hops.

    Attributes:
        ends: Number of hops by their end.
        wait_ms: Sum of their waits for a slot.
        max_wait_ms: Longest of their waits.
        busy_ms: Sum of the times for which they held a slot.
        unanswered_busy_ms: The same for those that the target did not answer below 500.
    """

    ends: Counter[EndKind] = msgspec.field(default_factory=Counter)
    wait_ms: float = 0.0
    max_wait_ms: float = 0.0
    busy_ms: float = 0.0
    unanswered_busy_ms: float = 0.0


class TargetSums(msgspec.Struct):
    """Sums over the hops of one target.

    Attributes:
        hops: Number of hops.
        busy_ms: Sum of the times for which they held a slot.
        slot_ms: Time of all slots in the seconds in which the node has counted
            anything.
        slots: Number of slots that were last used at most.
    """

    hops: int = 0
    busy_ms: float = 0.0
    slot_ms: float = 0.0
    slots: int = 0


class LineSums(msgspec.Struct):
    """What was read.

    Attributes:
        read: Number of lines.
        counted: Lines with counts that are part of the sums.
        repeated: Lines with counts that were given more than once, and left out.
        unreadable: Lines that could not be read.
        missing: Lines with counts that nodes have written and that were not read.
        dropped: Lines that nodes have left out at the rate limits of their logs.
        first_s: Time of the first line in Unix seconds; 0 if no line has a time.
        last_s: Latest time of a line with counts, relative to the first line.
    """

    read: int = 0
    counted: int = 0
    repeated: int = 0
    unreadable: int = 0
    missing: int = 0
    dropped: int = 0
    first_s: float = 0.0
    last_s: float = 0.0


class Account(NamedTuple):
    """Sums of the counts of nodes.

    Attributes:
        keys: What requests and hops are grouped by.
        requests: Sums by the values of the keys and by who has sent the requests.
        unanswered: Number of requests by end, kind and place, which is the name of an
            upstream, or "origin".
        hops: Sums by the values of the keys.
        targets: Sums by node and service.
        seconds: Number of requests of clients by second and end.
        lines: What was read.
    """

    keys: tuple[AccountKey, ...]
    requests: dict[tuple, RequestSums]
    unanswered: dict[tuple, int]
    hops: dict[tuple, HopSums]
    targets: dict[tuple, TargetSums]
    seconds: dict[int, Counter[EndKind]]
    lines: LineSums


_TimeS = Annotated[float, msgspec.Meta(ge=0, le=2**53)]


class _Line(msgspec.Struct):
    """Fields that any log line may have."""

    message_type: str = ""
    timestamp: _TimeS | None = None
    dropped_before: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0


class _CountsLine(msgspec.Struct):
    """Log line with counts."""

    timestamp: _TimeS
    node: str
    incarnation: str
    number: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    period_ms: Annotated[float, msgspec.Meta(ge=0, le=2**53)]
    service: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=2**31)]
    requests: list[RequestCounts]
    upstreams: list[UpstreamCounts]
    hops: list[HopCounts]


_LINE_DECODER = msgspec.json.Decoder(_Line)
_COUNTS_DECODER = msgspec.json.Decoder(_CountsLine)
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)


def read_lines(
    stream: BinaryIO, show_progress: Callable[[int], None]
) -> Iterator[bytes]:
    """Yield the lines of a log; of a line that is too long, only the beginning.

    Args:
        stream: The log.
        show_progress: Called with the number of bytes that were read since.
    """
    while line := stream.readline(MAX_LINE_BYTES):
        show_progress(len(line))
        yield line
        while line and not line.endswith(b"\n"):
            line = stream.readline(MAX_LINE_BYTES)
            show_progress(len(line))


def sum_lines(
    lines: Iterable[bytes], keys: tuple[AccountKey, ...], time_range: TimeRange
) -> Account:
    """Sum the counts in log lines of nodes.

    Args:
        lines: Log lines of any nodes, in any order. Text before the first brace of a
            line is ignored. Lines without a JSON object are counted as unreadable.
        keys: What requests and hops are grouped by.
        time_range: Time of the lines that are summed.
    """
    account = Account(keys, {}, Counter(), {}, {}, {}, LineSums())
    sums = account.lines
    is_first = True
    numbers: dict[str, _SeenNumbers] = {}
    for text in lines:
        sums.read += bool(text.strip())
        start = max(0, text.find(b"{"))
        line = _decode(_LINE_DECODER, text[start:])
        if line is None:
            sums.unreadable += bool(text.strip())
            continue
        sums.dropped += line.dropped_before
        if is_first and line.timestamp is not None:
            sums.first_s, is_first = line.timestamp, False
        if line.message_type != COUNTS_MESSAGE_TYPE:
            continue
        counts = _decode(_COUNTS_DECODER, text[start:])
        if counts is None:
            sums.unreadable += 1
        elif not _note_number(numbers, counts):
            sums.repeated += 1
        else:
            _add_counts(account, counts, time_range)
    sums.missing = sum(seen.count_missing() for seen in numbers.values())
    return account


def _decode(decoder: msgspec.json.Decoder, text: bytes):
    """Return the decoded line; None if it can't be read."""
    try:
        return decoder.decode(text)
    except _DECODE_ERRORS:
        return None


class _SeenNumbers:
    """Numbers of the lines of one process that were read, as ranges without gaps."""

    def __init__(self):
        self._starts: list[int] = []
        self._ends: list[int] = []

    def add(self, number: int) -> bool:
        """Add a number; return whether it is new."""
        starts, ends = self._starts, self._ends
        index = bisect_right(starts, number)
        if index and number < ends[index - 1]:
            return False
        joins_left = index > 0 and ends[index - 1] == number
        joins_right = index < len(starts) and starts[index] == number + 1
        if joins_left and joins_right:
            ends[index - 1] = ends.pop(index)
            del starts[index]
        elif joins_left:
            ends[index - 1] = number + 1
        elif joins_right:
            starts[index] = number
        elif len(starts) < MAX_GAPS:
            starts.insert(index, number)
            ends.insert(index, number + 1)
        return True

    def count_missing(self) -> int:
        """Return how many numbers are missing between the first and the last."""
        return sum(
            start - end
            for start, end in zip(self._starts[1:], self._ends[:-1], strict=True)
        )


def _note_number(numbers: dict[str, _SeenNumbers], counts: _CountsLine) -> bool:
    """Return whether a line is read for the first time."""
    seen = numbers.get(counts.incarnation)
    if seen is None:
        if len(numbers) >= MAX_PROCESSES:
            return True
        seen = numbers[counts.incarnation] = _SeenNumbers()
    return seen.add(counts.number)


def _add_counts(account: Account, counts: _CountsLine, time_range: TimeRange) -> None:
    at_s = counts.timestamp - account.lines.first_s
    if not time_range.from_s <= at_s < time_range.to_s:
        return
    account.lines.counted += 1
    account.lines.last_s = max(account.lines.last_s, at_s)
    second = math.floor(at_s)
    for row in counts.requests:
        _add_request_row(account, counts, second, row)
    for row in counts.upstreams:
        _count(account.unanswered, (row.end, row.kind, row.upstream), row.count)
    key = (counts.node, counts.service)
    target = _find_group(account.targets, key, (OTHER, OTHER), TargetSums)
    target.slots = counts.slots
    target.slot_ms += counts.slots * counts.period_ms
    for row in counts.hops:
        target.hops += row.count
        target.busy_ms += row.busy_ms
        _add_hop_row(account, counts, second, row)


def _add_request_row(
    account: Account, counts: _CountsLine, second: int, row: RequestCounts
) -> None:
    values = {
        AccountKey.SECOND: second,
        AccountKey.CLASS: row.class_name,
        AccountKey.NODE: counts.node,
        AccountKey.KIND: row.kind,
        AccountKey.ORGANISATION: row.organisation,
        AccountKey.SERVICE: row.service,
    }
    key = (*(values[name] for name in account.keys), row.begun_by)
    rest_key = (*(OTHER for _ in account.keys), row.begun_by)
    sums = _find_group(account.requests, key, rest_key, RequestSums)
    sums.ends[row.end] += row.count
    sums.elapsed_ms += row.elapsed_ms
    sums.max_elapsed_ms = max(sums.max_elapsed_ms, row.max_elapsed_ms)
    sums.reached += row.reached
    sums.before_target_ms += row.before_target_ms
    sums.hops += row.hops
    if row.place == Place.ORIGIN:
        _count(account.unanswered, (row.end, row.kind, Place.ORIGIN), row.count)
    seconds = account.seconds
    is_kept = second in seconds or len(seconds) < MAX_SECONDS
    if row.begun_by == BegunBy.CLIENT and is_kept:
        seconds.setdefault(second, Counter())[row.end] += row.count


def _add_hop_row(
    account: Account, counts: _CountsLine, second: int, row: HopCounts
) -> None:
    values = {
        AccountKey.SECOND: second,
        AccountKey.CLASS: row.class_name,
        AccountKey.NODE: counts.node,
        AccountKey.KIND: row.kind,
        AccountKey.ORGANISATION: row.organisation,
        AccountKey.SERVICE: counts.service,
    }
    key = tuple(values[name] for name in account.keys)
    rest_key = tuple(OTHER for _ in account.keys)
    sums = _find_group(account.hops, key, rest_key, HopSums)
    sums.ends[row.end] += row.count
    sums.wait_ms += row.wait_ms
    sums.max_wait_ms = max(sums.max_wait_ms, row.max_wait_ms)
    sums.busy_ms += row.busy_ms
    if row.end != EndKind.ANSWERED:
        sums.unanswered_busy_ms += row.busy_ms


def _find_group(groups: dict, key: tuple, rest_key: tuple, sums_type: type):
    """Return the sums of a group; those of the rest if there are too many groups."""
    if key not in groups and len(groups) >= MAX_GROUPS:
        key = rest_key
    if key not in groups:
        groups[key] = sums_type()
    return groups[key]


def _count(counts: dict[tuple, int], key: tuple, count: int) -> None:
    if key not in counts and len(counts) >= MAX_GROUPS:
        key = (key[0], OTHER, OTHER)
    counts[key] = counts.get(key, 0) + count
