"""How far this node and others have read a topic of the store."""

import asyncio

__all__ = ["ReadProgress"]


class ReadProgress:
    """Offset up to which a topic has been read here, and by other nodes.

    Nodes tell each other with each hop. A node that stays behind has lost its poll.

    Attributes:
        era: Era in which this node has read; 0 if not known.
        offset: Offset of the next record that this node reads.
    """

    def __init__(self):
        self.era = 0
        self.offset = 0
        self._peer_offset = 0
        self._must_read = False
        self._became_behind = asyncio.Event()

    @property
    def is_behind(self) -> bool:
        """Whether there may be records that this node has not read.

        Another node has read further in the same era, or a read was requested.
        """
        return self._must_read or self._peer_offset > self.offset

    def offset_in(self, era: int) -> int:
        """Return how far this node has read in an era; 0 if it has read another one."""
        return self.offset if era == self.era else 0

    def advance(self, era: int, offset: int) -> None:
        """Note how far this node has read."""
        if era != self.era:
            self.drop_hint()
        self._must_read = False
        self.era, self.offset = era, offset

    def hint(self, era: int, offset: int) -> None:
        """Note how far another node has read; an offset of another era is ignored."""
        if era == self.era and offset > self._peer_offset:
            self._peer_offset = offset
            if self.is_behind:
                self._became_behind.set()

    def drop_hint(self) -> None:
        """Forget how far others have read, as the store has no more records."""
        self._peer_offset = 0
        self._must_read = False

    def request_read(self) -> None:
        """Read at once, without waiting for a record, as the open poll may be lost."""
        self._must_read = True
        self._became_behind.set()

    async def wait_until_behind(self, max_behind_s: float) -> None:
        """Wait until this node has made no progress for a time while it is behind.

        Args:
            max_behind_s: How long it may be behind, in seconds.
        """
        while True:
            while not self.is_behind:
                self._became_behind.clear()
                await self._became_behind.wait()
            if self._must_read:
                return
            start = self.era, self.offset
            await asyncio.sleep(max_behind_s)
            if self.is_behind and start == (self.era, self.offset):
                return
