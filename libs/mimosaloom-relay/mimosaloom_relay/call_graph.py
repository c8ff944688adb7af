"""Which calls the requests of a class make, learned from the calls themselves."""

from mimosaloom_policy import LevelTable

__all__ = ["CallGraph"]

# A class that makes no such call any more is not held back by it for longer.
EDGE_MAX_AGE_S = 5.0


class CallGraph:
    """Tells how far the services below a class admit requests.

    Shedding at the root needs the level of the deepest service on the path: a request
    that is refused half-way has cost work at every hop above. Each node knows the calls
    of its own target, and answers carry the result upwards one hop at a time.

    Args:
        levels: Levels of the services that are called.
    """

    def __init__(self, levels: LevelTable):
        self._levels = levels
        self._edges: dict[str, dict[tuple[str, str], float]] = {}

    def record_call(
        self, parent_class: str, service: str, class_name: str, now_s: float
    ) -> None:
        """Record that a request of one class has called a service with another."""
        self._edges.setdefault(parent_class, {})[service, class_name] = now_s

    def level_below(self, class_name: str, now_s: float) -> float:
        """Return the lowest level of the calls that a class makes; 1 if none."""
        edges = self._edges.get(class_name, {})
        fresh = [key for key, at_s in edges.items() if now_s - at_s <= EDGE_MAX_AGE_S]
        return min((self._levels.level(*key, now_s) for key in fresh), default=1.0)
