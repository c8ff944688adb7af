"""Records of the store, and the results of reads."""

from typing import NamedTuple, Protocol

from .poll_timing import PollTiming

__all__ = ["Batch", "KeyedRecord", "OffsetExpired", "ReadFailed", "StoreReader"]


class KeyedRecord(NamedTuple):
    """A record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; None if the record removes the key.
        era: Era of the store that it was read from; 0 if not known.
        offset: Offset at which it was read.
    """

    key: str
    value: bytes | None
    era: int = 0
    offset: int = 0


class Batch(NamedTuple):
    """Records that one read returned.

    Attributes:
        records: The records; those of a read from an offset are in the order of their
            offsets.
        next_offset: Offset at which the next read starts.
        era: Era of the store; 0 if not known.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int


class OffsetExpired(NamedTuple):
    """The store does not have the requested offset.

    Attributes:
        requested_offset: Offset at which the read was to start.
    """

    requested_offset: int


class ReadFailed(NamedTuple):
    """The store gave no usable answer.

    Attributes:
        reason: What went wrong, for log lines and messages.
    """

    reason: str


class StoreReader(Protocol):
    """Reads keyed topics of the store."""

    async def read_newest(self, topic: str) -> Batch | ReadFailed:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, start: int, timing: PollTiming
    ) -> Batch | OffsetExpired | ReadFailed:
        """Return the records from an offset on; wait for one if there is none."""
