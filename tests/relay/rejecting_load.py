"""Simulation of requests that need several calls to targets that reject calls.

It runs the real decision on retries on a virtual clock.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from typing import NamedTuple

CALL_S = 0.02
WARM_UP_S = 12.0


class RejectingLoad(NamedTuple):
    """Requests of one node and the fault that they meet.

    Attributes:
        accept_ratio: Share of the calls that targets accept during the fault.
        length_s: Length of the fault in seconds; it begins after `WARM_UP_S`.
        seed: Seed of the arrivals and rejections.
        calls: Calls that each request needs, one after the other.
        requests_per_s: Rate of the requests.
        top_ratio: Share of the requests that have the highest priority.
        nodes: Number of nodes that share the base of the budget.
    """

    accept_ratio: float
    length_s: float
    seed: int
    calls: int = 4
    requests_per_s: float = 100.0
    top_ratio: float = 0.3
    nodes: int = 16


class EarlierShare:
    """The earlier decision: limits by completed calls, spent in the order of failures.

    It has the interface of `RetryBudgetShare`.
    """

    TOP_LIMITS = (0.6, 0.8, 1.0)
    OTHER_LIMITS = (0.25, 0.3, 0.4)

    def __init__(self, budget):
        self._budget = budget
        self._requests = deque()
        self._retries = deque()

    def record_request(self, now_s):
        """Count a request."""
        self._requests.append(now_s)

    def try_spend(self, now_s, *, nodes, priority, remaining_calls):
        """Spend one retry if the limit of its kind is not reached."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._budget.window_s:
                times.popleft()
        share = 0.8 * self._budget.ratio * len(self._requests)
        share += 0.6 * self._budget.base / nodes
        limits = self.OTHER_LIMITS if priority else self.TOP_LIMITS
        limit = limits[min(4 - remaining_calls, 2)] * share
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now_s)
        return True


def simulate_rejections(share, load):
    """Simulate one node while targets reject calls at random.

    Args:
        share: The node's share of the retry budget.
        load: The requests and the fault.

    Returns:
        Counts of the requests that began during the fault by ("asked" or "finished",
        priority), and the times of all calls and of all retries.
    """
    rng = random.Random(load.seed)
    counts, calls, retries = Counter(), [], []
    numbers = itertools.count()
    events = []
    end_s = WARM_UP_S + load.length_s
    start_s = 0.0
    while start_s < end_s:
        start_s += rng.expovariate(load.requests_per_s)
        priority = 0 if rng.random() < load.top_ratio else 2
        heapq.heappush(events, (start_s, next(numbers), start_s, priority, 0))
    while events:
        now_s, _, start_s, priority, done = heapq.heappop(events)
        is_counted = WARM_UP_S <= start_s <= end_s
        counts["asked", priority] += is_counted and done == 0
        is_faulty = WARM_UP_S <= now_s <= end_s
        share.record_request(now_s)
        calls.append(now_s)
        while is_faulty and rng.random() >= load.accept_ratio:
            if not share.try_spend(
                now_s,
                nodes=load.nodes,
                priority=priority,
                remaining_calls=load.calls - done,
            ):
                break
            retries.append(now_s)
        else:
            if done + 1 == load.calls:
                counts["finished", priority] += is_counted
                continue
            item = (now_s + CALL_S, next(numbers), start_s, priority, done + 1)
            heapq.heappush(events, item)
    return counts, calls, retries
