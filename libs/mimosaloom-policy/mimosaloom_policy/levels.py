"""Admission levels of other services, learned from their answers.

The admission level of an upstream is the rank below which it admits calls. A caller
does not send calls that would be refused, except for a few probes, which find out
whether the level has risen.
"""

import random

__all__ = ["LevelTable"]

LEVEL_MAX_AGE_S = 2.0
PROBE_RATIO = 0.01
# Minimum time between two probes of one service and class. It bounds the probes when
# the offered load is many times the capacity.
PROBE_INTERVAL_S = 0.5


class LevelTable:
    """Levels per service and request class as seen by one caller.

    Args:
        rng: Chooses the calls above the level that are sent as probes.
        own_service: Service of the node itself. `lowest_level` ignores its levels.
            Otherwise nodes of one service that report each other's levels in their
            answers would hold each other's level down permanently.
    """

    def __init__(self, rng: random.Random, own_service: str = ""):
        self._rng = rng
        self._own_service = own_service
        self._levels: dict[tuple[str, str], dict[str, tuple[float, float]]] = {}
        self._levels_below: dict[tuple[str, str], tuple[float, float]] = {}
        self._last_probe_s: dict[tuple[str, str], float] = {}

    def record_levels(
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
            service: Service that answered.
            class_name: Request class.
            upstream: Upstream that answered.
            level: Admission level of the upstream.
            now_s: Current time on the monotonic clock.
            level_below: Lowest level of the services that the upstream calls for the
                class; None if not known.
        """
        levels = self._levels.setdefault((service, class_name), {})
        levels[upstream] = (level, now_s)
        if level_below is not None:
            self._levels_below[service, class_name] = (level_below, now_s)

    def remove_other_upstreams(self, service: str, names: frozenset[str]) -> None:
        """Remove the levels of upstreams that have left or are draining.

        To be called on each change of the candidates: the high level of a target that
        takes no more calls would hide the lower levels of the others.

        Args:
            service: Service of the upstreams.
            names: Names of the upstreams to keep.
        """
        for (known_service, _), levels in self._levels.items():
            if known_service == service:
                for name in levels.keys() - names:
                    del levels[name]

    def level(self, service: str, class_name: str, now_s: float) -> float:
        """Return the level below which a call can be sent to a service.

        This is the highest level among the upstreams that answered within
        `LEVEL_MAX_AGE_S`, or 1 if there is none: a request can be served as long as one
        upstream admits it, and `refusing_upstreams` returns those that don't. The level
        of the services below, as the latest answer reported it, is an upper bound. Only
        the latest report counts, because all upstreams call the same services. The
        maximum over several reports would keep an outdated high level for up to
        `LEVEL_MAX_AGE_S`, and these delays would add up over the services of a path.
        """
        levels = self._levels.get((service, class_name), {})
        below, below_s = self._levels_below.get((service, class_name), (1.0, now_s))
        fresh = [
            level for level, at_s in levels.values() if now_s - at_s <= LEVEL_MAX_AGE_S
        ]
        if now_s - below_s <= LEVEL_MAX_AGE_S:
            return min(below, max(fresh, default=1.0))
        return max(fresh, default=1.0)

    def refusing_upstreams(
        self, service: str, class_name: str, rank: float, now_s: float
    ) -> frozenset[str]:
        """Return the upstreams that would refuse a rank; none if all of them would.

        The names are to be passed to `Router.pick` as `exclude`, so that upstreams with
        spare capacity get the calls that others would refuse.
        """
        levels = self._levels.get((service, class_name), {})
        names = frozenset(
            name
            for name, (level, at_s) in levels.items()
            if level <= rank and now_s - at_s <= LEVEL_MAX_AGE_S
        )
        return names if len(names) < len(levels) else frozenset()

    def lowest_level(self, class_name: str, now_s: float) -> float:
        """Return the lowest level of a class among the called services; 1 if none."""
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
        """Return whether a call may be sent, by its rank or as a probe.

        Args:
            service: Service that is called.
            class_name: Request class.
            rank: Rank of the request.
            now_s: Current time on the monotonic clock.
            depth: Hops from the root call. At depth 0, `PROBE_RATIO` of the calls
                above the level may be probes. Deeper calls above the level are rare,
                because the entry service refuses most of them. Any of these may be a
                probe, so that a probe of the entry service reaches the deepest
                service. Both are limited to one per `PROBE_INTERVAL_S`.
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
