"""Concurrency limit of one target."""

import math

__all__ = ["ConcurrencyLimit"]

START_RATIO = 0.5
# Room over the recent use. More calls at once than that are a surge; a target that
# takes them all fills every hop with work before any level can answer.
HEADROOM_RATIO = 1.2
HEADROOM_CALLS = 2
USE_DECAY = 0.98


class ConcurrencyLimit:
    """Grows with the calls in flight, up to the declared slots.

    Args:
        slots: Declared concurrency.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._used = slots * START_RATIO / HEADROOM_RATIO
        self.limit = self._bound()

    def end_window(self, peak: int) -> None:
        """Set the limit for the next window.

        Args:
            peak: Most calls in flight at once in the window.
        """
        self._used = max(float(peak), self._used * USE_DECAY)
        self.limit = self._bound()

    def _bound(self) -> int:
        bound = math.ceil(self._used * HEADROOM_RATIO) + HEADROOM_CALLS
        return max(1, min(self._slots, bound))
