"""Admission levels of other services, learned from their answers."""

import random

__all__ = ["LevelTable"]

LEVEL_MAX_AGE_S = 2.0
PROBE_RATIO = 0.01


class LevelTable:
    """Levels per service and request class as seen by one caller.

    Args:
        rng: Chooses the calls above the level that are let through as probes.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._levels: dict[tuple[str, str], dict[str, tuple[float, float]]] = {}

    def observe(
        self, service: str, class_name: str, upstream: str, level: float, now_s: float
    ) -> None:
        """Record the level that an answer carried."""
        levels = self._levels.setdefault((service, class_name), {})
        levels[upstream] = (level, now_s)

    def level(self, service: str, class_name: str, now_s: float) -> float:
        """Return the mean level over the upstreams heard from lately; 1 if none."""
        levels = self._levels.get((service, class_name), {})
        fresh = [
            level for level, at_s in levels.values() if now_s - at_s <= LEVEL_MAX_AGE_S
        ]
        return sum(fresh) / len(fresh) if fresh else 1.0

    def lowest(self, class_name: str, now_s: float) -> float:
        """Return the lowest level of a class over all services; 1 if none."""
        services = [service for service, name in self._levels if name == class_name]
        return min((self.level(s, class_name, now_s) for s in services), default=1.0)

    def admits(self, service: str, class_name: str, rank: float, now_s: float) -> bool:
        """Tell whether a call may be sent; a small share passes as a probe."""
        if rank < self.level(service, class_name, now_s):
            return True
        return self._rng.random() < PROBE_RATIO
