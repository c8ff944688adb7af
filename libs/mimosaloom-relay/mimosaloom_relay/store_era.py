"""Era of the store: the history of records in which its offsets have a meaning."""

import asyncio

__all__ = ["StoreEra"]


class StoreEra:
    """Era of the store as far as this node knows it.

    The store raises its era when it comes back from an older copy of its records. What
    it has confirmed since that copy is gone, and it reuses the offsets. An offset must
    not be used in another era than the one that it comes from.

    Attributes:
        number: Highest era in an answer of the store; 0 before the first.
        hints: Number of times that another node has named a higher one.
        recoveries: Number of times that the store has answered a read again after one
            that failed. A read that was open meanwhile may never be answered.
    """

    def __init__(self):
        self.number = 0
        self.hints = 0
        self.recoveries = 0
        self._highest_hint = 0
        self._changed = asyncio.Event()

    def observe(self, number: int) -> None:
        """Note the era in an answer of the store."""
        if number > self.number:
            self.number = number
            self._notify()

    def hint(self, number: int) -> None:
        """Note the era that another node has seen.

        It only makes this node read the store again, once for each higher number, so
        that a wrong one does no lasting harm.
        """
        if number > max(self.number, self._highest_hint):
            self._highest_hint = number
            self.hints += 1
            self._notify()

    def is_current(self, number: int, hints: int) -> bool:
        """Return whether nothing shows that the store has left an era.

        Args:
            number: The era.
            hints: Value of `hints` before the read that returned the era.
        """
        return (self.number, self.hints) == (number, hints)

    def report_recovery(self) -> None:
        """Note that the store answers again."""
        self.recoveries += 1
        self._notify()

    async def wait_for_change(self, number: int, hints: int, recoveries: int) -> None:
        """Wait until the store may have left an era or lost an open read.

        Args:
            number: The era.
            hints: Value of `hints` before the read that returned the era.
            recoveries: Value of `recoveries` before the open read.
        """
        while self.is_current(number, hints) and self.recoveries == recoveries:
            await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
