"""Choice of an upstream for a call."""

import random
from dataclasses import dataclass
from typing import NamedTuple

from mimosaloom_model import Kind

__all__ = ["Candidate", "Router"]

INITIAL_DELAY_S = 0.01
DELAY_SMOOTHING = 0.2


class Candidate(NamedTuple):
    """An upstream as its callers see it.

    Attributes:
        name: Name of the upstream.
        host: IP address of its node's ingress.
        port: Port of its node's ingress.
        failure_domain: Failure domain of the upstream.
        slots: Declared concurrency.
        max_connections: Connections that the target accepts.
        incarnation: Incarnation of its node.
        is_draining: Whether it is leaving.
    """

    name: str
    host: str
    port: int
    failure_domain: str
    slots: int
    max_connections: int
    incarnation: str
    is_draining: bool = False


@dataclass
class _Stats:
    in_flight: int = 0
    delay_s: float = INITIAL_DELAY_S


class Router:
    """Chooses among the upstreams of one service for one caller.

    Args:
        service: The service that is called.
        own_name: Name of the caller's node, for the choice of a subset.
        own_domain: Failure domain of the caller.
        rng: Chooses the two candidates that are compared.
    """

    def __init__(
        self, service: str, own_name: str, own_domain: str, rng: random.Random
    ):
        self.service = service
        self._own_name = own_name
        self._own_domain = own_domain
        self._rng = rng
        self._candidates: dict[str, Candidate] = {}
        self._stats: dict[str, _Stats] = {}

    def set_candidates(self, candidates: list[Candidate], now_s: float) -> None:
        """Replace the list of upstreams; statistics of those that stay are kept."""
        self._candidates = {candidate.name: candidate for candidate in candidates}
        self._stats = {
            name: self._stats.get(name, _Stats()) for name in self._candidates
        }

    def pick(
        self, now_s: float, exclude: frozenset[str] = frozenset()
    ) -> Candidate | None:
        """Return the upstream for a call, or None if there is none to try.

        Args:
            now_s: Current time on the monotonic clock.
            exclude: Names already tried for this call.
        """
        names = [
            name
            for name, candidate in self._candidates.items()
            if name not in exclude and not candidate.is_draining
        ]
        if not names:
            return None
        sample = self._rng.sample(names, min(2, len(names)))
        return self._candidates[min(sample, key=self._cost)]

    def start(self, name: str, now_s: float) -> None:
        """Record that a call was sent to an upstream."""
        if name in self._stats:
            self._stats[name].in_flight += 1

    def finish(
        self, name: str, now_s: float, *, elapsed_s: float, kind: Kind | None
    ) -> None:
        """Record the end of a call; `kind` is None for the target's own answer."""
        stats = self._stats.get(name)
        if stats is None:
            return
        stats.in_flight -= 1
        if kind is None:
            stats.delay_s += DELAY_SMOOTHING * (elapsed_s - stats.delay_s)

    def _cost(self, name: str) -> float:
        stats = self._stats[name]
        return (stats.in_flight + 1) * stats.delay_s
