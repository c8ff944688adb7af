"""Admission levels of other services, learned from their answers."""

import random

__all__ = ["LevelTable"]

LEVEL_MAX_AGE_S = 2.0
PROBE_RATIO = 0.01
# Bounds the probes of one class when the offered load is many times the capacity.
PROBE_INTERVAL_S = 0.5


class LevelTable:
    """Levels per service and request class as seen by one caller.

    Args:
        rng: Chooses the calls above the level that are let through as probes.
        own_service: Service of the node itself. Its level is left out of `lowest`:
            nodes of one service that pass each other's levels on in their answers
            would hold each other's level down for good.
    """

    def __init__(self, rng: random.Random, own_service: str = ""):
        self._rng = rng
        self._own_service = own_service
        self._levels: dict[tuple[str, str], dict[str, tuple[float, float]]] = {}
        self._levels_below: dict[tuple[str, str], tuple[float, float]] = {}
        self._last_probe_s: dict[tuple[str, str], float] = {}

    def observe(
        self,
        service: str,
        class_name: str,
        upstream: str,
        level: float,
        now_s: float,
        *,
        level_below: float | None = None,
    ) -> None:
        """Record the levels that an answer carried.

        Args:
            service: The service that answered.
            class_name: Request class.
            upstream: The upstream that answered.
            level: Its own level.
            now_s: Current time on the monotonic clock.
            level_below: Level of the services that it calls for the class; None if
                not known.
        """
        levels = self._levels.setdefault((service, class_name), {})
        levels[upstream] = (level, now_s)
        if level_below is not None:
            self._levels_below[service, class_name] = (level_below, now_s)

    def keep_upstreams(self, service: str, names: frozenset[str]) -> None:
        """Forget the upstreams of a service that are gone or draining.

        Call this with each change of the candidates: the open level of a target
        that takes no more calls would hide the levels of the others.
        """
        for (known_service, _), levels in self._levels.items():
            if known_service == service:
                for name in levels.keys() - names:
                    del levels[name]

    def level(self, service: str, class_name: str, now_s: float) -> float:
        """Return the highest level of the upstreams heard from lately; 1 if none.

        A request fits as long as one upstream takes it; `refusing` names those that
        don't. Of the services further down the latest answer tells: all upstreams
        call the same ones, and the ages of the highest levels would add up over the
        services of a path.
        """
        levels = self._levels.get((service, class_name), {})
        below, below_s = self._levels_below.get((service, class_name), (1.0, now_s))
        fresh = [
            level for level, at_s in levels.values() if now_s - at_s <= LEVEL_MAX_AGE_S
        ]
        if now_s - below_s <= LEVEL_MAX_AGE_S:
            return min(below, max(fresh, default=1.0))
        return max(fresh, default=1.0)

    def refusing(
        self, service: str, class_name: str, rank: float, now_s: float
    ) -> frozenset[str]:
        """Return the upstreams that would refuse a rank; none if all would.

        Give the names to `Router.pick` as `exclude`, so that upstreams with room
        take the calls that others can't.
        """
        levels = self._levels.get((service, class_name), {})
        names = frozenset(
            name
            for name, (level, at_s) in levels.items()
            if level <= rank and now_s - at_s <= LEVEL_MAX_AGE_S
        )
        return names if len(names) < len(levels) else frozenset()

    def lowest(self, class_name: str, now_s: float) -> float:
        """Return the lowest level of a class over the deeper services; 1 if none."""
        services = [
            service
            for service, name in self._levels
            if name == class_name and service != self._own_service
        ]
        return min((self.level(s, class_name, now_s) for s in services), default=1.0)

    def admits(
        self,
        service: str,
        class_name: str,
        rank: float,
        now_s: float,
        *,
        depth: int = 0,
    ) -> bool:
        """Tell whether a call may be sent; a small share passes as a probe.

        Args:
            service: The service that is called.
            class_name: Request class.
            rank: Rank of the request.
            now_s: Current time on the monotonic clock.
            depth: Hops from the root. Calls below the root above the level are
                rare, as the entry refuses most; of these one in each interval is let
                through, so that a probe of the entry reaches the deepest service.
        """
        if rank < self.level(service, class_name, now_s):
            return True
        if depth == 0 and self._rng.random() >= PROBE_RATIO:
            return False
        return self._try_start_probe((service, class_name), now_s)

    def _try_start_probe(self, key: tuple[str, str], now_s: float) -> bool:
        if now_s - self._last_probe_s.get(key, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S:
            return False
        self._last_probe_s[key] = now_s
        return True
