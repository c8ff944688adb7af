"""The upstreams of each service that a caller can choose from."""

import random
from collections.abc import Hashable

from mimosaloom_model import Clock
from mimosaloom_policy import Candidate, LevelTable, Router

from .directory import Directory

__all__ = ["RouterTable"]


class RouterTable:
    """Holds a router for each service and updates it from the directory.

    Args:
        name: Name of the caller; selects its subset of upstreams.
        failure_domain: Failure domain of the caller.
        directory: Provides the upstreams of each service.
        levels: Admission levels of upstreams; those of removed and of draining
            upstreams are dropped.
        clock: Source of time.
        rng: Source of random choices.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        directory: Directory,
        levels: LevelTable,
        *,
        clock: Clock,
        rng: random.Random,
    ):
        self._name = name
        self._failure_domain = failure_domain
        self._directory = directory
        self._levels = levels
        self._clock = clock
        self._rng = rng
        self._routers: dict[str, tuple[Hashable, Router]] = {}
        self._draining: set[str] = set()

    def router(self, service: str) -> Router:
        """Return the router of a service with its current upstreams."""
        version = self._directory.version
        cached = self._routers.get(service)
        if cached is not None and cached[0] == version:
            return cached[1]
        router = cached[1] if cached else self._new_router(service)
        candidates = self.candidates(service)
        now_s = self._clock.monotonic_s()
        router.set_candidates(
            candidates, now_s, callers=self._count_callers(service, len(candidates))
        )
        names = frozenset(c.name for c in candidates if not c.is_draining)
        self._levels.remove_other_upstreams(service, names)
        self._routers[service] = (version, router)
        return router

    def max_connections_per_upstream(self, service: str) -> int:
        """Return the largest number of connections to each upstream of a service."""
        return self.router(service).connections_per_upstream

    def _count_callers(self, service: str, upstreams: int) -> int:
        """Return the number of nodes that may call a service.

        It includes the nodes of the service itself, which forward requests to each
        other.
        """
        services = self._directory.catalog().services.values()
        calling = [s.name for s in services if service in s.calls]
        count = sum(len(self._directory.candidates(name)) for name in calling)
        return count + upstreams

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams; those whose answers announced a drain are marked."""
        return [
            candidate._replace(is_draining=True)
            if candidate.incarnation in self._draining
            else candidate
            for candidate in self._directory.candidates(service)
        ]

    def mark_draining(self, service: str, incarnation: str) -> None:
        """Mark an incarnation as draining, so that no more calls are sent to it."""
        if incarnation in self._draining:
            return
        self._draining.add(incarnation)
        cached = self._routers.get(service)
        if cached is not None:
            # Without a version, the next call updates the candidates of the service.
            self._routers[service] = (None, cached[1])

    def _new_router(self, service: str) -> Router:
        return Router(service, self._name, self._failure_domain, self._rng)
