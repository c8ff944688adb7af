"""Bounds on what all clients of a node together may take of its process.

They answer crowds of clients that send odd or endless requests: what a node holds for
them stays a fixed share of what its process may take, so that it lives and ordinary
callers still find room.
"""

import math
from collections.abc import Iterable
from typing import Protocol

from mimosaloom_model import Clock

__all__ = [
    "ParsingPace",
    "choose_backlog",
    "choose_dispensable",
    "choose_max_connections",
    "choose_max_overlapping",
    "choose_received_bytes",
]

MAX_BACKLOG = 1024
RECEIVED_MEMORY_RATIO = 0.125
# A connection may hold this much in the buffer of its socket.
CONNECTION_COST_BYTES = 64 * 1024
CONNECTIONS_MEMORY_RATIO = 0.25
# A running request needs two more sockets at most: to another node, and there from that
# node to its target.
CONNECTIONS_SOCKETS_RATIO = 1 / 3

# Short parts of requests, such as header lines and chunks of a byte. One takes about a
# microsecond, so this is a tenth of a processor.
PARTS_PER_S = 100_000
PARTS_BURST_S = 2.5
# Memory that a started request takes on its way through the system: its task, the hop
# to another node and the connection for it.
STARTED_COST_BYTES = 20 * 1024
OVERLAPPING_MEMORY_RATIO = 0.1
# Each started request needs a connection to another node or to the own target.
OVERLAPPING_SOCKETS_RATIO = 0.25


class Connection(Protocol):
    """A connection of a client.

    Attributes:
        has_served: Whether a request on it was answered.
        stalled_s: Time without progress.
    """

    has_served: bool
    stalled_s: float

    @property
    def is_awaiting_client(self) -> bool:
        """Whether no request is started or complete."""


class ParsingPace:
    """Spreads the parsing of many short parts over time.

    Answers clients that send requests of very many header lines or of very small
    chunks: all of them together get a tenth of a processor, and ordinary requests are
    parsed in between. A single request of 250,000 parts waits for nothing.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # When the parts so far would be parsed at `PARTS_PER_S`.
        self._parsed_at_s = -math.inf

    def delay_s(self, parts: int) -> float:
        """Return how long to wait in seconds after some parts were parsed."""
        now_s = self._clock.monotonic_s()
        start_s = max(self._parsed_at_s, now_s - PARTS_BURST_S)
        self._parsed_at_s = start_s + parts / PARTS_PER_S
        return max(0.0, self._parsed_at_s - now_s)


def choose_max_overlapping(memory_bytes: int, max_sockets: int) -> int:
    """Return how many requests may be started when one more starts beside others.

    Answers clients that send many requests on each connection before they read an
    answer.

    Args:
        memory_bytes: Memory that the process may take.
        max_sockets: Sockets that the process may have.
    """
    by_memory = int(OVERLAPPING_MEMORY_RATIO * memory_bytes / STARTED_COST_BYTES)
    return min(by_memory, int(OVERLAPPING_SOCKETS_RATIO * max_sockets))


def choose_received_bytes(memory_bytes: int) -> int:
    """Return what the requests of all clients may hold beyond ordinary ones.

    Answers clients that send many header lines or large bodies, complete or not.

    Args:
        memory_bytes: Memory that the process may take.
    """
    return int(RECEIVED_MEMORY_RATIO * memory_bytes)


def choose_backlog(max_sockets: int) -> int:
    """Return how many connections may wait to be accepted, and so come at once.

    Args:
        max_sockets: Sockets that the process may have.
    """
    return min(MAX_BACKLOG, max_sockets // 4)


def choose_max_connections(memory_bytes: int, max_sockets: int) -> int:
    """Return how many connections clients may have.

    Answers clients that open connections and send nothing, or parts of requests.

    Args:
        memory_bytes: Memory that the process may take.
        max_sockets: Sockets that the process may have.
    """
    by_memory = int(CONNECTIONS_MEMORY_RATIO * memory_bytes / CONNECTION_COST_BYTES)
    return min(by_memory, int(CONNECTIONS_SOCKETS_RATIO * max_sockets))


def choose_dispensable(
    connections: Iterable[Connection], newest: Connection
) -> Connection:
    """Return the connection that closes for a new one when there are too many.

    Those that never had a request answered come first, then those without progress for
    longest. Connections with a complete request stay; if all have one, the new one
    closes.

    Args:
        connections: All connections.
        newest: The new one.
    """
    others = (c for c in connections if c is not newest and c.is_awaiting_client)
    return min(others, key=lambda c: (c.has_served, -c.stalled_s), default=newest)
