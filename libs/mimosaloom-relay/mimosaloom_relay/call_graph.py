"""Calls that the requests of each class make, learned from the calls themselves."""

from collections.abc import Callable

from mimosaloom_policy import LevelTable

__all__ = ["CallGraph"]

# A call that a class no longer makes affects its admission for at most this long.
EDGE_MAX_AGE_S = 5.0


class CallGraph:
    """Finds the lowest admission level, and missing services, among a class's calls.

    To shed root requests, a node needs the level of the deepest service on the path: a
    request that is refused half-way has cost work at every hop above. Each node records
    the calls of its own target, and answers carry the lowest level upwards one hop at a
    time.

    Args:
        levels: Admission levels of the services that are called.
        has_upstream: Returns whether a service has a reachable upstream.
    """

    def __init__(self, levels: LevelTable, has_upstream: Callable[[str], bool]):
        self._levels = levels
        self._has_upstream = has_upstream
        self._edges: dict[str, dict[tuple[str, str], float]] = {}

    def record_call(
        self, parent_class: str, service: str, class_name: str, now_s: float
    ) -> None:
        """Record that a request has called a service.

        Args:
            parent_class: Class of the request that makes the call.
            service: Service that is called.
            class_name: Class of the call.
            now_s: Current time on the monotonic clock.
        """
        self._edges.setdefault(parent_class, {})[service, class_name] = now_s

    def level_below(self, class_name: str, now_s: float) -> float:
        """Return the lowest admission level of a class's calls; 1 without calls."""
        edges = self._recent_edges(class_name, now_s)
        return min((self._levels.level(*edge, now_s) for edge in edges), default=1.0)

    def find_missing_service(self, class_name: str, now_s: float) -> str | None:
        """Return a service that a class calls and that has no upstream; None if none.

        This protects against a node that is cut off together with its target: each
        request there would fail at its first call, after the work before that call is
        done.
        """
        edges = self._recent_edges(class_name, now_s)
        missing = (service for service, _ in edges if not self._has_upstream(service))
        return next(missing, None)

    def clear(self) -> None:
        """Remove all calls, since a new configuration may change their services."""
        self._edges.clear()

    def _recent_edges(self, class_name: str, now_s: float) -> list[tuple[str, str]]:
        edges = self._edges.get(class_name)
        if not edges:
            return []
        return [key for key, at_s in edges.items() if now_s - at_s <= EDGE_MAX_AGE_S]
