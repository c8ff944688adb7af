"""Tells whether this node is cut off, or others are gone."""

__all__ = ["Isolation"]

# With fewer silent nodes, a loss of those nodes is as likely as a cut of this one.
MIN_SILENT_NODES = 3
SILENT_RATIO = 0.6


class Isolation:
    """Counts the nodes that give no sign at all, not even a refused connection.

    A node that is cut off can serve almost nothing, while its clients would be served
    elsewhere: it has to say that it is not ready. A refused connection shows that the
    instance is reached, so nodes that were killed do not count.
    """

    def __init__(self):
        self._silent: set[str] = set()

    def record_silent(self, name: str) -> None:
        """Record that a node did not answer a question in time."""
        self._silent.add(name)

    def record_reachable(self, name: str) -> None:
        """Record that a node, or its instance, gave a sign."""
        self._silent.discard(name)

    def is_isolated(self, others: int) -> bool:
        """Return whether this node seems to be the one that is cut off.

        Args:
            others: Known nodes without this one.
        """
        return len(self._silent) >= max(MIN_SILENT_NODES, SILENT_RATIO * others)
