"""Control of the admission level: admits the ranks that one target can serve."""

from typing import NamedTuple

from .histogram import RankHistogram

__all__ = ["LevelControl", "WindowStats"]

WINDOW_S = 0.1
SMOOTHING = 0.3
SATURATED_RATIO = 0.95
# Queue delay above which the level is lowered. A short queue keeps the slots busy; a
# longer one only adds delay. A slow target may always have `MIN_TARGET_QUEUED` calls
# waiting.
TARGET_QUEUE_DELAY_S = 0.03
MIN_TARGET_QUEUED = 3
# Time in which a queue that is too long is to be worked off.
QUEUE_DRAIN_S = 0.25
# Lower bound of the admitted rate, as a share of the capacity, while the queue is too
# long.
MIN_ADMITTED_RATIO = 0.3
# Admitted rate as a share of the capacity while the queue is short. It is slightly
# above 1, so that a level that is too low rises.
ADMITTED_RATIO = 1.02
# Share of the unused capacity that is added to the admitted rate in each window.
# Callers learn a higher level from answers, which takes a few windows; adding the whole
# unused capacity would add it several times over.
RAISE_RATIO = 0.25
# While use stays below `UNUSED_RATIO`, the level rises faster with each window. The
# rates that the histogram keeps from an overload include the retries of refused callers
# and can be several times the rate that will arrive, so a rise at a constant pace would
# take too long.
UNUSED_RATIO = 0.85
RAISE_GROWTH = 1.6
MAX_RAISE_FACTOR = 20.0


class WindowStats(NamedTuple):
    """Measurements of one target over one window.

    Attributes:
        elapsed_s: Length of the window.
        completed: Number of calls that ended.
        busy_ratio: Mean number of calls in flight as a share of the limit.
        queued: Number of waiting calls at the end of the window.
    """

    elapsed_s: float
    completed: int
    busy_ratio: float
    queued: int


class LevelControl:
    """Sets the level so that the rate of admitted calls matches the capacity.

    Attributes:
        level: Calls with a lower rank are admitted; 1 admits all.
    """

    def __init__(self):
        self.level = 1.0
        self._histogram = RankHistogram()
        self._completed_per_s = 0.0
        self._busy_ratio = 0.0
        self._raise_factor = 1.0

    @property
    def capacity_per_s(self) -> float:
        """Estimated calls per second with all slots in use; 0 if not known.

        By Little's law this is the rate of completed calls divided by the share of
        the limit in use. The estimate holds while part of the limit is unused, too.
        """
        return self._completed_per_s / self._busy_ratio if self._busy_ratio else 0.0

    def record_arrival(self, rank: float) -> None:
        """Count an arriving call, whether it is admitted or not."""
        self._histogram.add(rank)

    def end_window(self, window: WindowStats, min_level: float) -> None:
        """Set the level for the next window.

        Args:
            window: Measurements of the ended window.
            min_level: Lower bound of the level.
        """
        self._histogram.end_window(window.elapsed_s, self.level)
        completed_per_s = window.completed / window.elapsed_s
        self._completed_per_s += SMOOTHING * (completed_per_s - self._completed_per_s)
        self._busy_ratio += SMOOTHING * (window.busy_ratio - self._busy_ratio)
        if self.capacity_per_s > 0:
            self._adjust_to_capacity(window)
        self.level = max(self.level, min_level)

    def _adjust_to_capacity(self, window: WindowStats) -> None:
        capacity_per_s = self.capacity_per_s
        queue_delay_s = window.queued / capacity_per_s
        target_delay_s = max(TARGET_QUEUE_DELAY_S, MIN_TARGET_QUEUED / capacity_per_s)
        # Waiting calls indicate saturation even while reserved slots are free.
        is_queue_too_long = queue_delay_s > target_delay_s
        if is_queue_too_long or window.busy_ratio >= SATURATED_RATIO:
            self._raise_factor = 1.0
        elif window.busy_ratio < UNUSED_RATIO:
            grown = self._raise_factor * RAISE_GROWTH
            self._raise_factor = min(MAX_RAISE_FACTOR, grown)
        if is_queue_too_long:
            excess_ratio = (queue_delay_s - target_delay_s) / QUEUE_DRAIN_S
            ratio = max(MIN_ADMITTED_RATIO, 1 - excess_ratio)
            level = self._histogram.level_for(capacity_per_s * ratio)
            self.level = min(self.level, level)
        elif self.level < 1:
            self._raise_level(capacity_per_s, 1 - window.busy_ratio)

    def _raise_level(self, capacity_per_s: float, unused_ratio: float) -> None:
        # The rates that the histogram keeps from an overload may exceed the current
        # arrivals. The rate below the level is then too high as well, so the unused
        # capacity is added.
        histogram_per_s = self._histogram.rate_below(self.level)
        extra_per_s = RAISE_RATIO * unused_ratio * capacity_per_s * self._raise_factor
        wanted_per_s = max(
            capacity_per_s * ADMITTED_RATIO, histogram_per_s + extra_per_s
        )
        self.level = max(self.level, self._histogram.level_for(wanted_per_s))
