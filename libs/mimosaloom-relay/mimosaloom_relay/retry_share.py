"""The share of one node in the retry budget of all nodes.

A retry is an attempt for a request that has already reached a target.
`SharedRetryBudget` is the retry budget, and `RetryBudgetShare` is the share of one node
in it.
"""

from collections import Counter, deque
from typing import NamedTuple

from mimosaloom_policy import RetryPacer, retry_reserve

__all__ = ["RetryBudgetShare", "SharedRetryBudget"]

# Requests and retries are counted at the origin, while the budget is measured at the
# target. The margins leave room for attempts that are in flight between two counts at
# the target, for nodes that are counted twice while they are replaced, and for requests
# that move between nodes, each of which counts its own best window.
RATIO_MARGIN = 0.8
BASE_MARGIN = 0.6
# Requests are counted by slices of the window.
SLICES_PER_WINDOW = 20


class SharedRetryBudget(NamedTuple):
    """Limit of the retries to one service, over all nodes.

    Attributes:
        ratio: Retries allowed per request for the service that is not a retry itself.
        base: Retries in a window that are allowed regardless of the number of requests.
        window_s: Length of the sliding window in seconds.
    """

    ratio: float
    base: float
    window_s: float


class RetryBudgetShare:
    """Counts the requests and retries of one node for one service.

    The sum over all nodes stays within the budget without messages between them: each
    node may retry a part of its own requests, and the base is divided among the nodes.

    Args:
        budget: Retry budget over all nodes.
    """

    def __init__(self, budget: SharedRetryBudget):
        self._budget = budget
        self._requests_by_slice: Counter[int] = Counter()
        self._retries: deque[float] = deque()
        self._pacer = RetryPacer(budget.window_s)

    def record_request(self, now_s: float) -> None:
        """Count a request for the service that entered at this node."""
        self._expire(now_s)
        self._requests_by_slice[self._slice(now_s)] += 1

    def record_retry(self, now_s: float) -> None:
        """Count a call made by a request that is itself a retry.

        Such a call uses up the share but is never refused, since the request needs it.
        """
        self._retries.append(now_s)

    def try_spend(
        self, now_s: float, *, nodes: int, priority: int, remaining_calls: int = 1
    ) -> bool:
        """Spend one retry; return False if none is left for such a request.

        Args:
            now_s: Current time on the monotonic clock.
            nodes: Number of nodes that share the base.
            priority: Priority of the root request; 0 is the highest.
            remaining_calls: Calls that the request still needs, see `retry_reserve`.
        """
        self._expire(now_s)
        share = RATIO_MARGIN * self._budget.ratio * self._count_requests(now_s)
        share += BASE_MARGIN * self._budget.base / max(1, nodes)
        if len(self._retries) + 1 > share:
            return False
        reserve = retry_reserve(priority, remaining_calls)
        if not self._pacer.try_take(share, reserve, now_s):
            return False
        self._retries.append(now_s)
        return True

    def _count_requests(self, now_s: float) -> int:
        """Return the requests of a window: this one, the one before or one between.

        The budget of a window refers to the one of these with the most requests, so
        that requests that end early during a fault do not shrink it.
        """
        newest = self._slice(now_s)
        counts = [
            self._requests_by_slice[newest - age]
            for age in range(2 * SLICES_PER_WINDOW)
        ]
        starts = (0, SLICES_PER_WINDOW // 2, SLICES_PER_WINDOW)
        return max(sum(counts[start : start + SLICES_PER_WINDOW]) for start in starts)

    def _slice(self, now_s: float) -> int:
        return int(now_s / self._budget.window_s * SLICES_PER_WINDOW)

    def _expire(self, now_s: float) -> None:
        oldest = self._slice(now_s) - 2 * SLICES_PER_WINDOW
        while self._requests_by_slice and next(iter(self._requests_by_slice)) <= oldest:
            del self._requests_by_slice[next(iter(self._requests_by_slice))]
        start_s = now_s - self._budget.window_s
        while self._retries and self._retries[0] <= start_s:
            self._retries.popleft()
