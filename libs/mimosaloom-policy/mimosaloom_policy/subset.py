"""Subsets of upstreams that keep the connections of each target bounded."""

import math
from typing import NamedTuple

from mimosaloom_model import hash_unit

__all__ = ["SubsetPlan", "choose_subset", "plan_subset"]

# Hashing spreads callers like independent draws; the number on one upstream stays
# below the mean plus this many standard deviations but for one in a million.
STANDARD_DEVIATIONS = 5.0
MIN_SUBSET_SIZE = 2
CONNECTIONS_PER_UPSTREAM = 4


class SubsetPlan(NamedTuple):
    """How one caller spreads its connections.

    Attributes:
        size: Upstreams that it uses.
        connections: Connections that it may hold to each of them.
    """

    size: int
    connections: int


def plan_subset(upstreams: int, callers: int, max_connections: int) -> SubsetPlan:
    """Return the plan with which no upstream exceeds its connections.

    Connections are given up before the second upstream is, so that a caller is not
    tied to one target.

    Args:
        upstreams: Number of upstreams of the service.
        callers: Number of callers of the service; 0 if not known.
        max_connections: Connections that one upstream accepts.
    """
    connections = CONNECTIONS_PER_UPSTREAM
    size = _max_subset_size(upstreams, callers, max_connections / connections)
    while size < min(MIN_SUBSET_SIZE, upstreams) and connections > 1:
        connections -= 1
        size = _max_subset_size(upstreams, callers, max_connections / connections)
    if size == upstreams:
        # Every caller uses every upstream, so the connections can be shared out.
        connections = max(connections, max_connections // max(1, callers))
    return SubsetPlan(max(1, size), connections)


def _max_subset_size(upstreams: int, callers: int, callers_per_upstream: float) -> int:
    if callers <= callers_per_upstream:
        return upstreams
    # Solves mean + DEVIATIONS * sqrt(mean) = callers_per_upstream for the mean.
    root = (
        math.sqrt(STANDARD_DEVIATIONS**2 + 4 * callers_per_upstream)
        - STANDARD_DEVIATIONS
    ) / 2
    return min(upstreams, int(root**2 * upstreams / callers))


def choose_subset(own_name: str, names: list[str], size: int) -> list[str]:
    """Return the names with the lowest hash together with the caller's name.

    The choice needs no agreement between callers, and a name that comes or goes
    changes one place in the subsets of few callers.

    Args:
        own_name: The caller.
        names: All upstreams.
        size: How many to choose.
    """
    if size >= len(names):
        return list(names)
    ranked = sorted(names, key=lambda name: (hash_unit(f"{own_name}|{name}"), name))
    return ranked[:size]
