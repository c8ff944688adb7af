"""Histogram of arrival rates by rank."""

__all__ = ["RankHistogram"]

BUCKET_COUNT = 512
SMOOTHING = 0.3
# A window with more than this multiple of the smoothed arrivals is a surge, not noise.
# The rates then follow it almost at once.
SURGE_RATIO = 1.5
SURGE_MIN_COUNT = 10
SURGE_SMOOTHING = 0.9


class RankHistogram:
    """Smoothed arrivals per second in buckets of equal rank width.

    Callers refuse most calls with ranks above the level, so few of them arrive. Their
    buckets keep the earlier rates. These show how many calls a higher level would
    admit.
    """

    def __init__(self):
        self._counts = [0] * BUCKET_COUNT
        self._rates_per_s = [0.0] * BUCKET_COUNT

    def add(self, rank: float) -> None:
        """Count one arrival."""
        self._counts[int(rank * BUCKET_COUNT)] += 1

    def end_window(self, elapsed_s: float, level: float) -> None:
        """Update the rates with the arrivals of a window and start the next one.

        Args:
            elapsed_s: Length of the window.
            level: Level that was in force in the window.
        """
        level_bucket = int(level * BUCKET_COUNT)
        rates = self._rates_per_s
        total = sum(self._counts)
        surge_count = SURGE_RATIO * elapsed_s * sum(rates)
        is_surge = total > SURGE_MIN_COUNT and total > surge_count
        smoothing = SURGE_SMOOTHING if is_surge else SMOOTHING
        for index, count in enumerate(self._counts):
            rate = count / elapsed_s
            if index < level_bucket or rate > rates[index]:
                rates[index] += smoothing * (rate - rates[index])
        self._counts = [0] * BUCKET_COUNT

    def rate_below(self, level: float) -> float:
        """Return the arrivals per second with ranks below a level."""
        position = level * BUCKET_COUNT
        full_buckets = int(position)
        partial_per_s = (
            self._rates_per_s[full_buckets] * (position - full_buckets)
            if full_buckets < BUCKET_COUNT
            else 0
        )
        return sum(self._rates_per_s[:full_buckets]) + partial_per_s

    def level_for(self, rate_per_s: float) -> float:
        """Return the level that admits `rate_per_s`; 1 if the total rate is lower."""
        remaining_per_s = rate_per_s
        for index, rate in enumerate(self._rates_per_s):
            if rate >= remaining_per_s and rate > 0:
                return (index + remaining_per_s / rate) / BUCKET_COUNT
            remaining_per_s -= rate
        return 1.0
