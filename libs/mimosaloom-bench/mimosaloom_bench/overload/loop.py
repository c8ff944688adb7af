"""Event loop with a virtual clock."""

import heapq
from collections.abc import Callable

__all__ = ["Loop"]


class Loop:
    """Runs callbacks in order of time, and in order of scheduling at equal times.

    Attributes:
        now_s: Virtual time in seconds.
    """

    def __init__(self):
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = 0

    def call_at(self, at_s: float, function: Callable, *args) -> None:
        """Schedule a call; a time in the past is replaced by the current time."""
        self._sequence += 1
        entry = (max(at_s, self.now_s), self._sequence, function, args)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay_s: float, function: Callable, *args) -> None:
        """Schedule a call after a delay in seconds."""
        self.call_at(self.now_s + delay_s, function, *args)

    def run(self, until_s: float) -> None:
        """Run all events up to a time, and drop the later ones."""
        heap = self._heap
        while heap and heap[0][0] <= until_s:
            self.now_s, _, function, args = heapq.heappop(heap)
            function(*args)
        heap.clear()
