"""Memory that all connections of clients hold for requests that are not answered."""

import math
from typing import Protocol

__all__ = ["ORDINARY_BYTES", "ReceiveBudget", "RequestHolder"]

# What each connection may hold besides the budget: an ordinary request. The bound on
# connections bounds their sum.
ORDINARY_BYTES = 16 * 1024


class RequestHolder(Protocol):
    """A connection that holds requests."""

    @property
    def evictable_bytes(self) -> int:
        """Bytes of requests that are not started, which `evict` frees."""

    def evict(self) -> None:
        """Refuse the requests that are not started, and close the connection."""


class ReceiveBudget:
    """Decides which connections are closed when all of them hold too much.

    Answers crowds of clients that send large or odd requests, and mostly don't complete
    them. The connection that holds the most without a started request is closed first,
    so that callers with ordinary requests keep theirs.

    Args:
        limit_bytes: Bytes that all connections may hold beyond `ORDINARY_BYTES` each.

    Attributes:
        used_bytes: Bytes that they hold beyond that.
    """

    def __init__(self, limit_bytes: float = math.inf):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._excess_bytes: dict[RequestHolder, int] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than they may."""
        return self.used_bytes > self.limit_bytes

    def update(self, holder: RequestHolder, held_bytes: int) -> None:
        """Record what a connection holds now."""
        excess_bytes = held_bytes - ORDINARY_BYTES
        if excess_bytes > 0:
            self.used_bytes += excess_bytes - self._excess_bytes.get(holder, 0)
            self._excess_bytes[holder] = excess_bytes
        elif holder in self._excess_bytes:
            self.used_bytes -= self._excess_bytes.pop(holder)

    def make_room(
        self, *, spared: RequestHolder | None = None, least_bytes: int = 0
    ) -> None:
        """Close connections until the rest hold no more than they may.

        Args:
            spared: Connection that is not closed.
            least_bytes: Connections that hold less without a started request are not
                closed.
        """
        while self.is_exceeded:
            found = max(
                (holder for holder in self._excess_bytes if holder is not spared),
                key=lambda holder: holder.evictable_bytes,
                default=None,
            )
            if found is None or found.evictable_bytes <= least_bytes:
                return
            found.evict()
