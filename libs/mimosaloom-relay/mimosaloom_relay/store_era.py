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
    """

    def __init__(self):
        self.number = 0
        self.hints = 0
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

    async def wait_for_end(self, number: int, hints: int) -> None:
        """Wait until the store may have left an era.

        Args:
            number: The era.
            hints: Value of `hints` before the read that returned the era.
        """
        while (self.number, self.hints) == (number, hints):
            await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
