"""Subsets of upstreams per caller, which bound the connections of each target."""

import math
from typing import NamedTuple

from mimosaloom_model import hash_to_unit_interval

__all__ = ["SubsetPlan", "choose_subset", "plan_subset"]

# Hashing distributes callers like independent random draws. The number of callers of
# one upstream exceeds the mean by this many standard deviations only with a probability
# of about one in a million.
STANDARD_DEVIATIONS = 5.0
MIN_SUBSET_SIZE = 2
CONNECTIONS_PER_UPSTREAM = 4


class SubsetPlan(NamedTuple):
    """How one caller distributes its connections.

    Attributes:
        size: Number of upstreams that the caller uses.
        connections: Maximum number of connections to each of them.
    """

    size: int
    connections: int


def plan_subset(upstreams: int, callers: int, max_connections: int) -> SubsetPlan:
    """Return a plan that keeps each upstream within its maximum of connections.

    The connections per upstream are reduced before the subset shrinks below
    `MIN_SUBSET_SIZE`, so that a caller does not depend on a single target.

    Args:
        upstreams: Number of upstreams of the service.
        callers: Number of callers of the service; 0 if not known.
        max_connections: Maximum number of connections that one upstream accepts.
    """
    connections = CONNECTIONS_PER_UPSTREAM
    size = _max_subset_size(upstreams, callers, max_connections / connections)
    while size < min(MIN_SUBSET_SIZE, upstreams) and connections > 1:
        connections -= 1
        size = _max_subset_size(upstreams, callers, max_connections / connections)
    if size == upstreams:
        # Each caller uses each upstream, so the callers can share all connections.
        connections = max(connections, max_connections // max(1, callers))
    return SubsetPlan(max(1, size), connections)


def _max_subset_size(upstreams: int, callers: int, callers_per_upstream: float) -> int:
    if callers <= callers_per_upstream:
        return upstreams
    # `root` is the square root of the mean in the equation
    # mean + STANDARD_DEVIATIONS * sqrt(mean) = callers_per_upstream.
    root = (
        math.sqrt(STANDARD_DEVIATIONS**2 + 4 * callers_per_upstream)
        - STANDARD_DEVIATIONS
    ) / 2
    return min(upstreams, int(root**2 * upstreams / callers))


def choose_subset(own_name: str, names: list[str], size: int) -> list[str]:
    """Return a subset of the upstreams by rendezvous hashing.

    The subset holds the names with the lowest hashes of caller and upstream. Callers
    need no coordination, and an upstream that joins or leaves changes one member of
    the subsets of few callers.

    Args:
        own_name: Name of the caller.
        names: Names of all upstreams.
        size: Size of the subset.
    """
    if size >= len(names):
        return list(names)
    ranked = sorted(
        names, key=lambda name: (hash_to_unit_interval(f"{own_name}|{name}"), name)
    )
    return ranked[:size]
