"""Quota of an organisation over all nodes: tokens that are moved, never copied.

Answers the load of an organisation that sends several times its quota from clients at
many nodes. See docs/design/quotas.md.
"""

from typing import NamedTuple

__all__ = ["Balance", "HolderBucket", "Quota", "QuotaBounds"]


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


class HolderBucket:
    """Tokens of one organisation that a holder keeps for its failure domain."""

    def __init__(self, now_s: float):
        raise NotImplementedError

    def set_quota(self, quota: Quota, domains: int, now_s: float) -> None:
        """Change the rate and the capacity; tokens above the capacity are dropped.

        Args:
            quota: Quota over all nodes.
            domains: Failure domains that share it.
            now_s: Current time on the monotonic clock.
        """
        raise NotImplementedError

    def take(self, wanted: float, now_s: float) -> float:
        """Remove and return up to a number of tokens, whole ones only."""
        raise NotImplementedError

    def give(self, tokens: float, now_s: float) -> None:
        """Add tokens that another holder has given up."""
        raise NotImplementedError


class Balance:
    """Tokens of one organisation that an origin has received and not used."""

    def __init__(self, now_s: float):
        raise NotImplementedError

    def try_take(self, now_s: float) -> bool:
        """Take a token for a request; return False if there is none."""
        raise NotImplementedError

    def put_back(self, now_s: float) -> None:
        """Return the token of a request that was refused before it ran."""
        raise NotImplementedError

    def add(self, tokens: float, now_s: float) -> None:
        """Add tokens that the holder has given."""
        raise NotImplementedError

    def choose_batch(self, now_s: float) -> float:
        """Return how many tokens to ask for, from the recent demand; one at least."""
        raise NotImplementedError
