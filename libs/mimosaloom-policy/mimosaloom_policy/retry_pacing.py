"""Which retries a node spends its share of a retry budget on while retries are scarce.

The load that this answers: the targets of a service reject a large part of all calls
for seconds, and a request needs several calls to that service. A share that is spent in
the order of the failures is used up within the first second, mostly on requests that
fail later anyway.
"""

__all__ = ["CallCountEstimate", "RetryPacer", "retry_reserve"]

# Part of the share that may be spent at once, so that a short fault is retried in full.
# The rest is spread evenly over the window of the budget.
BURST_RATIO = 0.5
# Part of the tokens that is reserved for the highest priority.
TOP_PRIORITY_RESERVE_RATIO = 0.5
# Part that each further call which a request still needs adds to its reserve.
RESERVE_PER_CALL_RATIO = 0.1
MAX_CALLS_RESERVE_RATIO = 0.3
CALL_COUNT_SMOOTHING = 0.1


def retry_reserve(priority: int, remaining_calls: int) -> float:
    """Return the part of the tokens that a retry has to leave for better uses.

    A retry is worth more the higher the priority of its request is, and the fewer
    calls that request still needs: each of them may need retries as well.

    Args:
        priority: Priority of the root request; 0 is the highest.
        remaining_calls: Calls that the request still needs, with the one to be retried.
    """
    by_priority = 0.0 if priority == 0 else TOP_PRIORITY_RESERVE_RATIO
    by_calls = RESERVE_PER_CALL_RATIO * (remaining_calls - 1)
    return by_priority + min(MAX_CALLS_RESERVE_RATIO, by_calls)


class RetryPacer:
    """Token bucket whose last tokens are reserved for the retries that are worth most.

    It spreads a share over the window of a budget. It is not exact: the caller bounds
    the retries of each window.

    Args:
        window_s: Length of the window of the budget in seconds.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._tokens = 0.0
        self._capacity = 0.0
        self._at_s: float | None = None

    def try_take(self, share: float, reserve_ratio: float, now_s: float) -> bool:
        """Take one token; return False if only reserved tokens are left.

        Args:
            share: Retries that are allowed in a window now.
            reserve_ratio: Part of the full bucket that must remain, see
                `retry_reserve`.
            now_s: Current time on the monotonic clock.
        """
        # A small share still allows one retry at a time.
        capacity = max(1.0, BURST_RATIO * share)
        if self._at_s is None:
            self._tokens = capacity
        else:
            elapsed_s = now_s - self._at_s
            refill = max((1 - BURST_RATIO) * share, min(1.0, share))
            self._tokens += refill * elapsed_s / self._window_s
            # A share that grows with the requests brings its part of the burst along.
            self._tokens += max(0.0, capacity - self._capacity)
        self._capacity, self._at_s = capacity, now_s
        self._tokens = min(self._tokens, capacity)
        if self._tokens < 1 or self._tokens - 1 < reserve_ratio * (capacity - 1):
            return False
        self._tokens -= 1
        return True


class CallCountEstimate:
    """Mean number of calls that successful runs of each class make."""

    def __init__(self):
        self._means: dict[str, float] = {}

    def record(self, class_name: str, calls: int) -> None:
        """Count the calls of a run that succeeded."""
        mean = self._means.get(class_name, float(calls))
        self._means[class_name] = mean + CALL_COUNT_SMOOTHING * (calls - mean)

    def remaining_calls(self, class_name: str, completed: int) -> int:
        """Return how many calls a run is expected to need still, at least 1."""
        return max(1, round(self._means.get(class_name, 1.0)) - completed)
