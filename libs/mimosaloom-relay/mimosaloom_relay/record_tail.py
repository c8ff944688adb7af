"""The newest part of a topic of the store, as far as this node has read it."""

from collections import deque

from .store_records import Batch, KeyedRecord

__all__ = ["RecordTail"]

# Bounds the memory; a node that is further behind reads from the store.
MAX_TAIL_RECORDS = 1024


class RecordTail:
    """Records without gaps up to the end of what was read, within one era of the store.

    Attributes:
        era: Era of the store in which the records were read; 0 before the first read.
        end_offset: Offset of the next record to read.
    """

    def __init__(self):
        self.era = 0
        self.end_offset = 0
        self._records: deque[KeyedRecord] = deque(maxlen=MAX_TAIL_RECORDS)

    def restart(self, era: int, end_offset: int) -> None:
        """Start anew at an offset, after a read of the newest record of each key."""
        self.era, self.end_offset = era, end_offset
        self._records.clear()

    def extend(self, batch: Batch) -> None:
        """Add the records of a read that started at `end_offset`."""
        self._records.extend(batch.records)
        self.end_offset = batch.next_offset

    def read(self, start: int) -> list[KeyedRecord] | None:
        """Return the records from an offset on; None if some of them are missing."""
        count = self.end_offset - start
        if count <= 0:
            return []
        if count > len(self._records):
            return None
        return list(self._records)[-count:]
