"""Upstreams that a caller can choose from, service by service."""

import random
from collections.abc import Hashable

from mimosaloom_model import Clock
from mimosaloom_policy import Candidate, LevelTable, Router

from .directory import Directory

__all__ = ["Routes"]


class Routes:
    """Keeps a router for each service up to date with the directory.

    Args:
        name: Name of the caller, for the choice of its subset of upstreams.
        failure_domain: Failure domain of the caller.
        directory: Upstreams of each service.
        levels: Levels of upstreams; told which ones are left.
        clock: Source of time.
        rng: Source of choices.
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
        """Return the router of a service with its present upstreams."""
        version = self._directory.version
        known = self._routers.get(service)
        if known is not None and known[0] == version:
            return known[1]
        router = known[1] if known else self._new_router(service)
        candidates = self.candidates(service)
        now_s = self._clock.monotonic_s()
        router.set_candidates(
            candidates, now_s, callers=self._count_callers(service, len(candidates))
        )
        names = frozenset(c.name for c in candidates if not c.is_draining)
        self._levels.keep_upstreams(service, names)
        self._routers[service] = (version, router)
        return router

    def connections_to(self, service: str) -> int:
        """Return how many connections may be held to each upstream of a service."""
        return self.router(service).connections_per_upstream

    def _count_callers(self, service: str, upstreams: int) -> int:
        """Return the nodes that may call a service.

        Nodes of the service itself pass requests on to each other.
        """
        services = self._directory.catalog().services.values()
        calling = [s.name for s in services if service in s.calls]
        count = sum(len(self._directory.candidates(name)) for name in calling)
        return count + upstreams

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams, marked with what their answers said of leaving."""
        return [
            candidate._replace(is_draining=True)
            if candidate.incarnation in self._draining
            else candidate
            for candidate in self._directory.candidates(service)
        ]

    def mark_draining(self, service: str, incarnation: str) -> None:
        """Send no more calls to an incarnation that leaves."""
        if incarnation in self._draining:
            return
        self._draining.add(incarnation)
        known = self._routers.get(service)
        if known is not None:
            # The next call builds the candidates of the service anew.
            self._routers[service] = (None, known[1])

    def _new_router(self, service: str) -> Router:
        return Router(service, self._name, self._failure_domain, self._rng)
