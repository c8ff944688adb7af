"""Failure detection by heartbeats between neighbours in the overlay."""

from collections.abc import Iterable

__all__ = ["HeartbeatMonitor"]


class HeartbeatMonitor:
    """Finds the neighbours of a node that no longer send heartbeats.

    Args:
        timeout_s: Seconds without a heartbeat after which a neighbour is suspected.
        now_s: Current time on the monotonic clock, in seconds.
    """

    def __init__(self, timeout_s: float, now_s: float):
        self._timeout_s = timeout_s
        self._last_check_s = now_s
        self._last_heartbeat_s: dict[str, float] = {}

    def watch(self, names: Iterable[str], now_s: float) -> None:
        """Set the neighbours to monitor.

        The timeout of a new neighbour starts now.
        """
        self._last_heartbeat_s = {
            name: self._last_heartbeat_s.get(name, now_s) for name in names
        }

    def record_heartbeat(self, name: str, now_s: float) -> None:
        """Record a heartbeat, or another message that shows the neighbour is alive."""
        if name in self._last_heartbeat_s:
            self._last_heartbeat_s[name] = max(self._last_heartbeat_s[name], now_s)

    def find_silent(self, now_s: float) -> list[str]:
        """Return the neighbours to suspect, sorted by name.

        Call this several times per timeout. If more than half the timeout has passed
        since the last call, this node itself is assumed to have been paused. The
        timeouts of all neighbours then start again, because their heartbeats may still
        be unread.
        """
        since_last_check_s = now_s - self._last_check_s
        self._last_check_s = now_s
        if since_last_check_s > self._timeout_s / 2:
            self._last_heartbeat_s = dict.fromkeys(self._last_heartbeat_s, now_s)
        cutoff_s = now_s - self._timeout_s
        return sorted(
            name
            for name, heartbeat_s in self._last_heartbeat_s.items()
            if heartbeat_s <= cutoff_s
        )
