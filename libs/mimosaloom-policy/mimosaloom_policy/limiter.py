"""Concurrency limit of one target."""

import math

__all__ = ["ConcurrencyLimit"]

INITIAL_RATIO = 0.5
# Headroom over the recent peak of calls in flight. More concurrent calls than that are
# a surge; a target that accepted all of them would fill every hop with work before any
# admission level could respond.
HEADROOM_RATIO = 1.2
HEADROOM_CALLS = 2
USE_DECAY = 0.98


class ConcurrencyLimit:
    """Limit that follows the recent calls in flight, up to the declared slots.

    Args:
        slots: Declared concurrency of the target.

    Attributes:
        limit: Number of calls that may run at once.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._recent_use = slots * INITIAL_RATIO / HEADROOM_RATIO
        self.limit = self._compute_limit()

    def end_window(self, peak: int) -> None:
        """Set the limit for the next window.

        Args:
            peak: Maximum number of calls in flight in the ended window.
        """
        self._recent_use = max(float(peak), self._recent_use * USE_DECAY)
        self.limit = self._compute_limit()

    def _compute_limit(self) -> int:
        bound = math.ceil(self._recent_use * HEADROOM_RATIO) + HEADROOM_CALLS
        return max(1, min(self._slots, bound))
