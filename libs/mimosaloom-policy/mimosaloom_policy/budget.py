"""Retry budget of a service and request class: retries as a share of successes."""

__all__ = ["RetryBudget"]

BURST_S = 10.0


class RetryBudget:
    """Token bucket that is filled by successes and time, and emptied by retries.

    Over any period, the allowed retries are at most the capacity (`BURST_S` times
    `min_retries_per_s`, at least 1) plus `ratio` times the successes plus
    `min_retries_per_s` times the elapsed time.

    Args:
        ratio: Retries added per success.
        min_retries_per_s: Rate of retries that is allowed without any success.
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, ratio: float, min_retries_per_s: float, now_s: float):
        self._ratio = ratio
        self._min_retries_per_s = min_retries_per_s
        self._capacity = max(1.0, BURST_S * min_retries_per_s)
        self._tokens = self._capacity
        self._refilled_at_s = now_s

    def record_success(self, now_s: float) -> None:
        """Add the retries that one success allows."""
        self._refill(now_s)
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self, now_s: float) -> bool:
        """Spend one retry; return False if the budget is empty."""
        self._refill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_s: float) -> None:
        # A time before the last refill adds nothing and does not move the refill time
        # back, so that no period is credited twice.
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = max(self._refilled_at_s, now_s)
        added = elapsed_s * self._min_retries_per_s
        self._tokens = min(self._capacity, self._tokens + added)
