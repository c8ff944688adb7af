"""Level of one target: which ranks its measured capacity can serve."""

from typing import NamedTuple

from .histogram import RankHistogram

__all__ = ["LevelControl", "Window"]

WINDOW_S = 0.1
SMOOTHING = 0.3
SATURATED_RATIO = 0.95
# A short queue keeps the slots busy; a longer one only adds delay.
WAIT_TARGET_S = 0.03
MIN_WAITING = 3
DRAIN_S = 0.25
MIN_ADMITTED_RATIO = 0.3
# Slightly over the capacity, so that a level that is too low rises.
ADMITTED_RATIO = 1.02
# Share of the unused capacity by which the level rises in a window. Answers take a
# few windows to bring more calls, so the whole of it would be added several times.
RAISE_RATIO = 0.25
# A rise without effect is made faster with each window, because the remembered rates
# hold the retries of refused callers, several times the calls that will come.
UNUSED_RATIO = 0.85
RAISE_GROWTH = 1.6
MAX_RAISE_FACTOR = 20.0


class Window(NamedTuple):
    """What a target did in one window.

    Attributes:
        elapsed_s: Length of the window.
        done: Calls that ended.
        busy_ratio: Mean calls in flight as a share of the limit.
        queued: Calls that wait at the end.
    """

    elapsed_s: float
    done: int
    busy_ratio: float
    queued: int


class LevelControl:
    """Keeps the arrivals below the level at what the target can serve."""

    def __init__(self):
        self.level = 1.0
        self._histogram = RankHistogram()
        self._done_per_s = 0.0
        self._busy_ratio = 0.0
        self._raise_factor = 1.0

    @property
    def capacity_per_s(self) -> float:
        """Calls per second with all slots in use, as measured; 0 if not known.

        By Little's law the calls that end per second, over the share of the limit
        in use, are what the whole limit could end, also when it is not in use.
        """
        return self._done_per_s / self._busy_ratio if self._busy_ratio else 0.0

    def record_arrival(self, rank: float) -> None:
        """Count a call that asks to be run, whether it is admitted or not."""
        self._histogram.add(rank)

    def end_window(self, window: Window, floor: float) -> None:
        """Set the level for the next window.

        Args:
            window: What was measured.
            floor: Level that is kept in any case.
        """
        self._histogram.roll(window.elapsed_s, self.level)
        done_per_s = window.done / window.elapsed_s
        self._done_per_s += SMOOTHING * (done_per_s - self._done_per_s)
        self._busy_ratio += SMOOTHING * (window.busy_ratio - self._busy_ratio)
        if self.capacity_per_s > 0:
            self._follow_capacity(window)
        self.level = max(self.level, floor)

    def _follow_capacity(self, window: Window) -> None:
        capacity_per_s = self.capacity_per_s
        wait_s = window.queued / capacity_per_s
        target_s = max(WAIT_TARGET_S, MIN_WAITING / capacity_per_s)
        # Calls that wait show saturation also where a reserve keeps slots free.
        is_late = wait_s > target_s
        if is_late or window.busy_ratio >= SATURATED_RATIO:
            self._raise_factor = 1.0
        elif window.busy_ratio < UNUSED_RATIO:
            grown = self._raise_factor * RAISE_GROWTH
            self._raise_factor = min(MAX_RAISE_FACTOR, grown)
        if is_late:
            excess = (wait_s - target_s) / DRAIN_S
            ratio = max(MIN_ADMITTED_RATIO, 1 - excess)
            level = self._histogram.level_for(capacity_per_s * ratio)
            self.level = min(self.level, level)
        elif self.level < 1:
            self._raise(capacity_per_s, 1 - window.busy_ratio)

    def _raise(self, capacity_per_s: float, unused_ratio: float) -> None:
        # Rates remembered from the overload may be too high; then the rate below
        # the level is more than really arrives, and unused slots show it.
        known = self._histogram.rate_below(self.level)
        extra = RAISE_RATIO * unused_ratio * capacity_per_s * self._raise_factor
        wanted = max(capacity_per_s * ADMITTED_RATIO, known + extra)
        self.level = max(self.level, self._histogram.level_for(wanted))
