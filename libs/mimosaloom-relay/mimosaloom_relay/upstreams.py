"""Upstreams of each service as known to this node, and the choice among them."""

import random

from mimosaloom_model import Clock
from mimosaloom_policy import Candidate, LevelTable, Router

from .call_graph import CallGraph
from .peers import PeerRecord, PeerTable

__all__ = ["Upstreams"]

# Load up to which upstreams in the failure domain of this node are preferred. Above it,
# calls begin to queue when the load of all callers varies by a third.
MAX_PREFERRED_LOAD = 0.7


class Upstreams:
    """Keeps one router per service and updates it when the known nodes change.

    Args:
        own_name: Name of this node.
        own_domain: Failure domain of this node.
        own_service: Service of the own target.
        clock: Source of time.
        rng: Source of the random choice among upstreams.
    """

    def __init__(
        self,
        own_name: str,
        own_domain: str,
        own_service: str,
        *,
        clock: Clock,
        rng: random.Random,
    ):
        self.peers = PeerTable()
        self.levels = LevelTable(rng, own_service)
        self.calls = CallGraph(self.levels, self.has_upstream)
        self._own_name = own_name
        self._own_domain = own_domain
        self._clock = clock
        self.rng = rng
        self._routers: dict[str, Router] = {}

    def router(self, service: str) -> Router:
        """Return the router of a service."""
        router = self._routers.get(service)
        if router is None:
            router = Router(
                service,
                self._own_name,
                self._own_domain,
                self.rng,
                local_load_limit=MAX_PREFERRED_LOAD,
            )
            self._routers[service] = router
            self._refresh_router(service)
        return router

    def put(self, record: PeerRecord) -> bool:
        """Store the record of a node; return False if it changes nothing."""
        return self._refresh_routers(self.peers.put(record))

    def remove(self, name: str) -> bool:
        """Remove a node; return False if it was not known."""
        return self._refresh_routers(self.peers.remove(name))

    def mark_unreachable(self, name: str) -> bool:
        """Exclude a node until it is marked reachable.

        Returns:
            False if the node is not known or already excluded.
        """
        record = self.peers.get(name)
        if record is None or not self.peers.mark_unreachable(name):
            return False
        return self._refresh_routers({record.service})

    def mark_left(self, name: str, start_key: str) -> bool:
        """Exclude one start of a node's target for good.

        Returns:
            False if the node is not known or the start already excluded.
        """
        if not self.peers.mark_left(name, start_key):
            return False
        return self._refresh_routers({self.peers.get(name).service})

    def mark_reachable(self, name: str) -> None:
        """Include a node that was marked unreachable."""
        record = self.peers.get(name)
        self.peers.mark_reachable(name)
        if record is not None:
            self._refresh_routers({record.service})

    def pick(
        self,
        service: str,
        exclude: frozenset[str],
        objective_s: float,
        class_name: str = "",
    ) -> Candidate | None:
        """Return an upstream for an attempt; None if none is left.

        Args:
            service: Service of the upstream.
            exclude: Names of upstreams that must not be returned.
            objective_s: Latency objective of the call in seconds.
            class_name: Class of the call.
        """
        now_s = self._clock.monotonic_s()
        router = self.router(service)
        return router.pick(now_s, exclude, objective_s, class_name=class_name)

    def expected_s(self, service: str, name: str, class_name: str) -> float | None:
        """Return the expected time to the end of a call; None if not known.

        Args:
            service: Service of the upstream.
            name: Name of the upstream.
            class_name: Class of the call.
        """
        now_s = self._clock.monotonic_s()
        return self.router(service).expected_s(name, class_name, now_s)

    def has_upstream(self, service: str) -> bool:
        """Return whether a service has a reachable upstream."""
        return self.router(service).has_upstreams

    def _refresh_routers(self, services: set[str]) -> bool:
        for service in services:
            if service in self._routers:
                self._refresh_router(service)
        return bool(services)

    def _refresh_router(self, service: str) -> None:
        candidates = self.peers.candidates(service)
        names = frozenset(candidate.name for candidate in candidates)
        self._routers[service].set_candidates(candidates, self._clock.monotonic_s())
        self.levels.remove_other_upstreams(service, names)
