"""Decides whether this node is cut off, or other nodes are down."""

__all__ = ["Isolation"]

# With fewer silent nodes, it is as likely that those nodes are down as that this one is
# cut off.
MIN_SILENT_NODES = 3
SILENT_RATIO = 0.6


class Isolation:
    """Tracks the silent nodes: those that do not even refuse a connection.

    A node that is cut off can serve almost nothing, while other nodes would serve its
    clients, so it has to report that it is not ready. A refused connection shows that
    the instance is reachable, so nodes whose process was killed do not count as silent.
    """

    def __init__(self):
        self._silent: set[str] = set()

    def record_silent(self, name: str) -> None:
        """Record that a node did not respond to a probe in time."""
        self._silent.add(name)

    def record_reachable(self, name: str) -> None:
        """Record that a node, or its instance, responded."""
        self._silent.discard(name)

    def is_isolated(self, others: int) -> bool:
        """Return whether this node appears to be cut off.

        Args:
            others: Number of known nodes without this one.
        """
        return len(self._silent) >= max(MIN_SILENT_NODES, SILENT_RATIO * others)
