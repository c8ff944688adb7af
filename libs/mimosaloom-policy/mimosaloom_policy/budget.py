"""Retry budget of a service and class: retries as a share of successes."""

__all__ = ["RetryBudget"]

BURST_S = 10.0


class RetryBudget:
    """A token bucket that successes fill and retries empty.

    Over any time, the retries allowed are at most the capacity (`BURST_S` times
    `min_retries_per_s`, at least 1) plus `ratio` times the successes plus
    `min_retries_per_s` times the elapsed time.

    Args:
        ratio: Retries per success.
        min_retries_per_s: Retries that are always allowed.
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, ratio: float, min_retries_per_s: float, now_s: float):
        self._ratio = ratio
        self._min_retries_per_s = min_retries_per_s
        self._capacity = max(1.0, BURST_S * min_retries_per_s)
        self._tokens = self._capacity
        self._filled_s = now_s

    def record_success(self, now_s: float) -> None:
        """Add the share of one success."""
        self._fill(now_s)
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self, now_s: float) -> bool:
        """Take one retry; False if the budget is empty."""
        self._fill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now_s: float) -> None:
        # A time before the last one must not be credited a second time.
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(self._filled_s, now_s)
        added = elapsed_s * self._min_retries_per_s
        self._tokens = min(self._capacity, self._tokens + added)
