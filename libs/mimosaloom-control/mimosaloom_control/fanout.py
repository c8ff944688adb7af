"""Fan-out of the configuration: how nodes that do not read the log catch up."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Position",
    "RecentRecords",
    "SyncAction",
    "compare_positions",
]

MAX_RECENT_RECORDS = 1_024
MAX_RECENT_BYTES = 4 << 20


class Position(NamedTuple):
    """Position of a node in the `config` stream.

    Attributes:
        next_offset: Offset of the next record to read.
        chain: Hash chain over all records read; see `Replay.chain`.
    """

    next_offset: int
    chain: str


class SyncAction(StrEnum):
    """Action of a node after it has compared its position with a neighbour's.

    Attributes:
        NOTHING: The positions are equal.
        SEND: Send the neighbour the records that it lacks.
        FETCH: Request the missing records from the neighbour.
        DIVERGED: The nodes have read different records; see `compare_positions`.
    """

    NOTHING = "nothing"
    SEND = "send"
    FETCH = "fetch"
    DIVERGED = "diverged"


def compare_positions(own: Position, neighbor: Position) -> SyncAction:
    """Decide how this node and a neighbour reach the same position.

    `DIVERGED` means that two nodes at the same offset have read different records. The
    log service must never cause this. The caller reports it and adopts nothing from
    the neighbour.
    """
    if own.next_offset < neighbor.next_offset:
        return SyncAction.FETCH
    if own.next_offset > neighbor.next_offset:
        return SyncAction.SEND
    return SyncAction.NOTHING if own.chain == neighbor.chain else SyncAction.DIVERGED


class RecentRecords:
    """Buffer of the most recent records, from which neighbours catch up.

    A neighbour that is behind the oldest buffered record gets a snapshot instead.

    Args:
        max_records: Maximum number of records in the buffer.
        max_bytes: Maximum total size of the records, in bytes.
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_RECENT_RECORDS,
        max_bytes: int = MAX_RECENT_BYTES,
    ):
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: deque[tuple[int, bytes]] = deque()
        self._bytes = 0

    def append(self, offset: int, value: bytes) -> None:
        """Add a record and evict the oldest ones that exceed the limits.

        If the offset doesn't follow that of the last record, the buffer is cleared
        first, so that it never has gaps.
        """
        if self._records and offset != self._records[-1][0] + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append((offset, value))
        self._bytes += len(value)
        while len(self._records) > self._max_records or self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft()[1])

    def since(self, next_offset: int) -> list[tuple[int, bytes]] | None:
        """Return the records from an offset on.

        Returns:
            Offset and value of each record, in order; None if the buffer doesn't reach
            back to the offset, so that a snapshot is needed.
        """
        if not self._records or next_offset < self._records[0][0]:
            return None
        return [record for record in self._records if record[0] >= next_offset]
