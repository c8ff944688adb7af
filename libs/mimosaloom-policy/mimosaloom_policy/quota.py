"""Quota of an organisation over all nodes: tokens that are moved, never copied.

Answers the load of an organisation that sends several times its quota from clients at
many nodes. See docs/design/quotas.md.
"""

import math
from collections import deque
from typing import NamedTuple

__all__ = [
    "Balance",
    "DemandMeter",
    "Quota",
    "QuotaBounds",
    "QuotaLimits",
    "choose_limits",
]

# Part of what the bounds leave beyond the rate that is used. The rest covers nodes
# whose views of the membership differ for a moment.
USED_RATIO = 0.9
# Longest time from the question for a token to its use.
BALANCE_MAX_AGE_S = 1.0
# Part of what the bounds leave that tokens in balances may take up.
BALANCE_RATIO = 0.4
# Recent demand for which an origin asks at once.
BATCH_S = 0.1
# Time constant of the estimate of the demand.
DEMAND_MEMORY_S = 0.5


class Quota(NamedTuple):
    """Requests of one organisation that all nodes together may run.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests beyond the rate that may run at once.
    """

    rate_per_s: float
    burst: float = 0.0


class QuotaBounds(NamedTuple):
    """How far the requests that run may exceed a quota.

    In each window at most (rate x window + burst) x (1 + overage) + slack may run.

    Attributes:
        window_s: Length of the sliding window in seconds.
        overage_ratio: Share of the quota that may run beyond it.
        slack: Requests that may run beyond that in a window.
    """

    window_s: float = 5.0
    overage_ratio: float = 0.1
    slack: float = 20.0


class QuotaLimits(NamedTuple):
    """Limits of all buckets and balances of one organisation together.

    Attributes:
        rate_per_s: Tokens that accrue a second.
        capacity: Tokens in all buckets.
        max_age_s: Longest time from the question for a token to its use.
    """

    rate_per_s: float
    capacity: float
    max_age_s: float


def choose_limits(quota: Quota, bounds: QuotaBounds) -> QuotaLimits:
    """Return the limits that keep the requests of each window within the bounds.

    A token that is used in a window has left a bucket at most `max_age_s` before the
    window. So a window uses at most `capacity + rate x (window + max_age)` tokens.
    """
    rate_per_s = max(0.0, quota.rate_per_s)
    burst = max(0.0, quota.burst)
    allowed = rate_per_s * bounds.window_s + burst
    beyond_rate = burst + bounds.overage_ratio * allowed + bounds.slack
    usable = USED_RATIO * beyond_rate
    max_age_s = BALANCE_MAX_AGE_S
    if rate_per_s:
        max_age_s = min(max_age_s, BALANCE_RATIO * usable / rate_per_s)
    return QuotaLimits(rate_per_s, usable - rate_per_s * max_age_s, max_age_s)


class DemandMeter:
    """Estimates a recent rate; older events count less and less.

    Args:
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, now_s: float):
        self._sum = 0.0
        self._at_s = now_s

    def add(self, count: float, now_s: float) -> None:
        """Count events."""
        self._sum = self._sum * self._decay(now_s) + count
        self._at_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the estimate in events a second."""
        return self._sum * self._decay(now_s) / DEMAND_MEMORY_S

    def _decay(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._at_s) / DEMAND_MEMORY_S)


class _Lot:
    """Tokens of a balance that expire at the same time."""

    __slots__ = ("expires_s", "tokens")

    def __init__(self, tokens: float, expires_s: float):
        self.tokens = tokens
        self.expires_s = expires_s


class Balance:
    """Tokens of one organisation that an origin has received and not used.

    Args:
        limits: Limits of the organisation.
        now_s: Current time on the monotonic clock.

    Attributes:
        taken_expires_s: When the token that was taken last would have expired.
    """

    def __init__(self, limits: QuotaLimits, now_s: float):
        self.taken_expires_s = now_s
        self._limits = limits
        self._lots: deque[_Lot] = deque()
        self._demand = DemandMeter(now_s)

    def tokens(self, now_s: float) -> float:
        """Return the number of tokens that may be used."""
        return sum(lot.tokens for lot in self._lots if now_s < lot.expires_s)

    def try_take(self, now_s: float) -> bool:
        """Take a token for a request; return False if there is none."""
        while self._lots:
            lot = self._lots[0]
            if lot.tokens >= 1 and now_s < lot.expires_s:
                lot.tokens -= 1
                self.taken_expires_s = lot.expires_s
                return True
            self._lots.popleft()
        return False

    def count_request(self, now_s: float) -> None:
        """Count a request for the estimate of the demand."""
        self._demand.add(1.0, now_s)

    def put_back(self, expires_s: float, now_s: float) -> None:
        """Return the token of a request that was refused before it ran.

        Args:
            expires_s: The value of `taken_expires_s` when the token was taken.
            now_s: Current time on the monotonic clock.
        """
        if now_s < expires_s <= now_s + self._limits.max_age_s:
            self._lots.appendleft(_Lot(1.0, expires_s))

    def add(self, tokens: float, asked_s: float, now_s: float) -> None:
        """Add tokens that the holder has given.

        Args:
            tokens: Number of tokens.
            asked_s: When the holder was asked; the age of the tokens counts from there.
            now_s: Current time on the monotonic clock.
        """
        expires_s = asked_s + self._limits.max_age_s
        if tokens >= 1 and now_s < expires_s:
            self._lots.append(_Lot(tokens, expires_s))

    def choose_batch(self, waiting: int, now_s: float) -> float:
        """Return how many tokens to ask for, from the recent demand; one at least.

        Args:
            waiting: Requests that wait for a token.
            now_s: Current time on the monotonic clock.
        """
        batch_s = min(BATCH_S, self._limits.max_age_s / 2)
        batch = math.floor(self._demand.rate_per_s(now_s) * batch_s)
        return float(max(1, waiting, batch))

    def should_prefetch(self, now_s: float) -> bool:
        """Return whether to ask before the balance is used up.

        Not for a rare organisation, whose tokens would expire.
        """
        batch = self.choose_batch(0, now_s)
        return batch >= 2 and self.tokens(now_s) < batch / 2
