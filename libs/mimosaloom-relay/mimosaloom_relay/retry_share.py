"""The share of a node in the bound on repeated sends of all nodes."""

from collections import deque
from typing import NamedTuple

__all__ = ["RepeatBound", "RepeatShare"]

# Requests and repeats are counted at the origin; what is in flight between two counts
# at the target, and nodes counted twice while they are replaced, need room.
RATIO_MARGIN = 0.8
BASE_MARGIN = 0.6
# Parts of the share up to which a repeat is made, by the calls that the parent run has
# completed; the last value holds for more. A repeat late in a run saves all the work
# before it, and one for the highest priority is worth several others, so where targets
# reject most calls these two decide which runs finish at all.
IMPORTANT_LIMITS = (0.6, 0.8, 1.0)
OTHER_LIMITS = (0.25, 0.3, 0.4)


class RepeatBound(NamedTuple):
    """Bound on repeated sends to one service, over all nodes.

    Attributes:
        ratio: Repeats per request of clients for the service.
        base: Repeats in a window that are allowed in any case.
        window_s: Length of the sliding window.
    """

    ratio: float
    base: float
    window_s: float


class RepeatShare:
    """Counts the requests and repeats of one node for one service.

    The sum over all nodes keeps the bound without any message between them: each one
    may repeat a part of its own requests, and the base is divided among the nodes.

    Args:
        bound: Bound over all nodes.
    """

    def __init__(self, bound: RepeatBound):
        self._bound = bound
        self._requests: deque[tuple[float, int]] = deque()
        self._request_count = 0
        self._repeats: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request for the service that began at this node."""
        self._forget(now_s)
        second = int(now_s)
        if self._requests and self._requests[-1][0] == second:
            self._requests[-1] = (second, self._requests[-1][1] + 1)
        else:
            self._requests.append((second, 1))
        self._request_count += 1

    def record_repeat(self, now_s: float) -> None:
        """Count a call of a run that is a repeat itself; it can't be left out."""
        self._repeats.append(now_s)

    def try_spend(
        self, now_s: float, *, nodes: int, is_important: bool, calls_done: int = 0
    ) -> bool:
        """Take one repeat; False if the part for such requests is used up.

        Args:
            now_s: Current time on the monotonic clock.
            nodes: Nodes that share the base.
            is_important: Whether the request has the highest priority.
            calls_done: Calls that the run has completed for which this call is made.
        """
        self._forget(now_s)
        allowed = RATIO_MARGIN * self._bound.ratio * self._request_count
        allowed += BASE_MARGIN * self._bound.base / max(1, nodes)
        full = allowed
        limits = IMPORTANT_LIMITS if is_important else OTHER_LIMITS
        allowed *= limits[min(calls_done, len(limits) - 1)]
        if len(self._repeats) + 1 > max(allowed, min(1.0, full)):
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self._bound.window_s
        while self._requests and self._requests[0][0] + 1 <= start_s:
            self._request_count -= self._requests.popleft()[1]
        while self._repeats and self._repeats[0] <= start_s:
            self._repeats.popleft()
