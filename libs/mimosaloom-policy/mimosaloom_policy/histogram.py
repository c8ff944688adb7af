"""Rates of arrival by rank."""

__all__ = ["RankHistogram"]

BUCKETS = 512
SMOOTHING = 0.3
# A window with so many times the smoothed arrivals is a surge, not noise; its rates
# are taken at once.
SURGE_RATIO = 1.5
SURGE_MIN_COUNT = 10
SURGE_SMOOTHING = 0.9


class RankHistogram:
    """Smoothed arrivals per second in equal buckets of rank.

    Ranks above the level hardly arrive, because callers refuse them; their buckets
    keep the rates from before, so that the level can be raised by known steps.
    """

    def __init__(self):
        self._counts = [0] * BUCKETS
        self._rates_per_s = [0.0] * BUCKETS

    def add(self, rank: float) -> None:
        """Count one arrival."""
        self._counts[int(rank * BUCKETS)] += 1

    def roll(self, elapsed_s: float, level: float) -> None:
        """End a window.

        Args:
            elapsed_s: Length of the window.
            level: Level in force in it.
        """
        cut = int(level * BUCKETS)
        rates = self._rates_per_s
        total = sum(self._counts)
        known = SURGE_RATIO * elapsed_s * sum(rates)
        is_surge = total > SURGE_MIN_COUNT and total > known
        smoothing = SURGE_SMOOTHING if is_surge else SMOOTHING
        for index, count in enumerate(self._counts):
            rate = count / elapsed_s
            if index < cut or rate > rates[index]:
                rates[index] += smoothing * (rate - rates[index])
        self._counts = [0] * BUCKETS

    def rate_below(self, level: float) -> float:
        """Return the arrivals per second with a rank below a level."""
        position = level * BUCKETS
        whole = int(position)
        part = self._rates_per_s[whole] * (position - whole) if whole < BUCKETS else 0
        return sum(self._rates_per_s[:whole]) + part

    def level_for(self, rate_per_s: float) -> float:
        """Return the level below which so many arrivals per second lie; 1 if all."""
        left = rate_per_s
        for index, rate in enumerate(self._rates_per_s):
            if rate >= left and rate > 0:
                return (index + left / rate) / BUCKETS
            left -= rate
        return 1.0
