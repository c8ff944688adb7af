"""Fan-out of the configuration: who reads the log, and how others catch up."""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    "CatchUp",
    "Position",
    "RecentRecords",
    "choose_readers",
    "compare_positions",
]

READERS_PER_DOMAIN = 2
HASH_BYTES = 8
MAX_RECENT = 1_024
MAX_RECENT_BYTES = 4 << 20


class Position(NamedTuple):
    """How far a node has read, see `Replay`.

    Attributes:
        next_offset: Offset of the next record.
        chain: Digest of all records read.
    """

    next_offset: int
    chain: str


class CatchUp(StrEnum):
    """What a node does about a neighbour's position."""

    NOTHING = "nothing"
    SEND = "send"
    FETCH = "fetch"
    DIVERGED = "diverged"


def choose_readers(
    domain: str, names: Iterable[str], *, count: int = READERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Return the nodes of a failure domain that read the log.

    Rendezvous hashing: when a node leaves, only its own part moves. Two nodes with
    different members may both read; that costs reads and does no harm.

    Args:
        domain: The failure domain.
        names: Names of the live members in it, in any order.
        count: Readers wanted; with fewer members all of them read.
    """
    return tuple(sorted(set(names), key=lambda n: _weight(domain, n))[:count])


def compare_positions(own: Position, neighbor: Position) -> CatchUp:
    """Decide how to get level with a neighbour.

    `DIVERGED` means that two nodes at one offset have read different records, which
    the log service must not cause; it is to be reported, and nothing is adopted.
    """
    if own.next_offset < neighbor.next_offset:
        return CatchUp.FETCH
    if own.next_offset > neighbor.next_offset:
        return CatchUp.SEND
    return CatchUp.NOTHING if own.chain == neighbor.chain else CatchUp.DIVERGED


class RecentRecords:
    """The last records that a node can pass on; a node further back gets a snapshot.

    Args:
        max_records: Records kept at most.
        max_bytes: Bytes kept at most.
    """

    def __init__(
        self, *, max_records: int = MAX_RECENT, max_bytes: int = MAX_RECENT_BYTES
    ):
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: deque[tuple[int, bytes]] = deque()
        self._bytes = 0

    def append(self, offset: int, value: bytes) -> None:
        """Keep a record; one that doesn't follow the last starts afresh."""
        if self._records and offset != self._records[-1][0] + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append((offset, value))
        self._bytes += len(value)
        while len(self._records) > self._max_records or self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft()[1])

    def since(self, next_offset: int) -> list[tuple[int, bytes]] | None:
        """Return the records from an offset on; None if a snapshot is needed."""
        if not self._records or next_offset < self._records[0][0]:
            return None
        return [record for record in self._records if record[0] >= next_offset]


def _weight(domain: str, name: str) -> tuple[bytes, str]:
    text = f"{domain}/{name}".encode()
    return blake2b(text, digest_size=HASH_BYTES).digest(), name
