"""The share of one node in the retry budget of all nodes.

A retry is an attempt for a request that has already reached a target.
`SharedRetryBudget` is the retry budget, and `RetryBudgetShare` is the share of one node
in it.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["RetryBudgetShare", "SharedRetryBudget"]

# Requests and retries are counted at the origin, while the budget is measured at the
# target. The margins leave room for attempts that are in flight between two counts at
# the target, and for nodes that are counted twice while they are replaced.
RATIO_MARGIN = 0.8
BASE_MARGIN = 0.6
# Fraction of the share up to which a retry is allowed, by the number of calls that the
# parent request has completed; the last value also applies to higher numbers. A retry
# late in a request saves all the work before it, and one at the highest priority is
# worth several others. Where targets reject most calls, these two factors decide which
# requests finish at all.
TOP_PRIORITY_LIMITS = (0.6, 0.8, 1.0)
LOWER_PRIORITY_LIMITS = (0.25, 0.3, 0.4)


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
        self._requests: deque[tuple[float, int]] = deque()
        self._request_count = 0
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request for the service that entered at this node."""
        self._expire(now_s)
        second = int(now_s)
        if self._requests and self._requests[-1][0] == second:
            self._requests[-1] = (second, self._requests[-1][1] + 1)
        else:
            self._requests.append((second, 1))
        self._request_count += 1

    def record_retry(self, now_s: float) -> None:
        """Count a call made by a request that is itself a retry.

        Such a call uses up the share but is never refused, since the request needs it.
        """
        self._retries.append(now_s)

    def try_spend(
        self,
        now_s: float,
        *,
        nodes: int,
        is_top_priority: bool,
        completed_calls: int = 0,
    ) -> bool:
        """Spend one retry; return False if the share for such requests is used up.

        Args:
            now_s: Current time on the monotonic clock.
            nodes: Number of nodes that share the base.
            is_top_priority: Whether the request has the highest priority.
            completed_calls: Number of calls that the parent request has completed.
        """
        self._expire(now_s)
        allowed = RATIO_MARGIN * self._budget.ratio * self._request_count
        allowed += BASE_MARGIN * self._budget.base / max(1, nodes)
        share = allowed
        limits = TOP_PRIORITY_LIMITS if is_top_priority else LOWER_PRIORITY_LIMITS
        allowed *= limits[min(completed_calls, len(limits) - 1)]
        if len(self._retries) + 1 > max(allowed, min(1.0, share)):
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        start_s = now_s - self._budget.window_s
        while self._requests and self._requests[0][0] + 1 <= start_s:
            self._request_count -= self._requests.popleft()[1]
        while self._retries and self._retries[0] <= start_s:
            self._retries.popleft()
