"""Which calls the requests of a class make, learned from the calls themselves."""

from collections.abc import Callable

from mimosaloom_policy import LevelTable

__all__ = ["CallGraph"]

# A class that makes no such call any more is not held back by it for longer.
EDGE_MAX_AGE_S = 5.0


class CallGraph:
    """Tells how far the services below a class admit requests, and which are missing.

    Shedding at the root needs the level of the deepest service on the path: a request
    that is refused half-way has cost work at every hop above. Each node knows the calls
    of its own target, and answers carry the result upwards one hop at a time.

    Args:
        levels: Levels of the services that are called.
        has_upstream: Tells whether a service has an upstream that can be reached.
    """

    def __init__(self, levels: LevelTable, has_upstream: Callable[[str], bool]):
        self._levels = levels
        self._has_upstream = has_upstream
        self._edges: dict[str, dict[tuple[str, str], float]] = {}

    def record_call(
        self, parent_class: str, service: str, class_name: str, now_s: float
    ) -> None:
        """Record that a request of one class has called a service with another."""
        self._edges.setdefault(parent_class, {})[service, class_name] = now_s

    def level_below(self, class_name: str, now_s: float) -> float:
        """Return the lowest level of the calls that a class makes; 1 if none."""
        edges = self._fresh_edges(class_name, now_s)
        return min((self._levels.level(*edge, now_s) for edge in edges), default=1.0)

    def missing_below(self, class_name: str, now_s: float) -> str | None:
        """Return a service that a class calls and that has no upstream; None if none.

        This answers a node that is cut off with its target: each run there would fail
        at its first call, after the work before that call is done.
        """
        edges = self._fresh_edges(class_name, now_s)
        missing = (service for service, _ in edges if not self._has_upstream(service))
        return next(missing, None)

    def forget(self) -> None:
        """Forget all calls, since a new configuration may lead them elsewhere."""
        self._edges.clear()

    def _fresh_edges(self, class_name: str, now_s: float) -> list[tuple[str, str]]:
        edges = self._edges.get(class_name, {})
        return [key for key, at_s in edges.items() if now_s - at_s <= EDGE_MAX_AGE_S]
