"""Heartbeats between neighbours: which ones have been silent for too long."""

from collections.abc import Iterable

__all__ = ["HeartbeatMonitor"]


class HeartbeatMonitor:
    """Watches the neighbours of a node.

    Args:
        timeout_s: Silence after which a neighbour is suspected.
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, timeout_s: float, now_s: float):
        self._timeout_s = timeout_s
        self._checked_s = now_s
        self._heard_s: dict[str, float] = {}

    def watch(self, names: Iterable[str], now_s: float) -> None:
        """Set the neighbours to watch; a new one has the whole timeout to speak."""
        self._heard_s = {name: self._heard_s.get(name, now_s) for name in names}

    def hear(self, name: str, now_s: float) -> None:
        """Record a sign of life."""
        if name in self._heard_s:
            self._heard_s[name] = max(self._heard_s[name], now_s)

    def find_silent(self, now_s: float) -> list[str]:
        """Return the neighbours to suspect; call this several times per timeout.

        After a pause of this node itself, which is a gap of over half the timeout
        between two calls, every neighbour gets the whole timeout again: their
        heartbeats may wait unread.
        """
        gap_s = now_s - self._checked_s
        self._checked_s = now_s
        if gap_s > self._timeout_s / 2:
            self._heard_s = dict.fromkeys(self._heard_s, now_s)
        limit_s = now_s - self._timeout_s
        return sorted(n for n, heard_s in self._heard_s.items() if heard_s <= limit_s)
