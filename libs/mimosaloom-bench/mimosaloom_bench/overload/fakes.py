"""Fakes at the interfaces: targets, connections and the client."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from .meshes import DOMAINS, MeshSpec, ServiceSpec
from .scenarios import Scenario, Segment

__all__ = ["Links", "Target", "build_targets", "caller_pairs", "latency_s"]

SAME_DOMAIN_S = 0.0001


class Target:
    """Slots, a service time and a slow-down; calls over the slots wait in order.

    Args:
        name: Name of the target.
        service: Its service.
        index: Number among the targets of the service.
        speed: Factor on the speed of its work.
        slow: Slow-down over time, or None.
    """

    def __init__(
        self,
        name: str,
        service: ServiceSpec,
        index: int,
        speed: float = 1.0,
        slow: Segment | None = None,
    ):
        self.name = name
        self.service = service
        self.domain = DOMAINS[index % len(DOMAINS)]
        self.slots = service.slots
        self.speed = speed
        self.slow = slow
        self.lies = False
        self.running = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def mean_work_s(self, at_s: float) -> float:
        """Return the mean own work of a call that starts at a time."""
        factor = self.slow.factor(at_s) if self.slow else 1.0
        return self.service.work_s * factor / self.speed

    @property
    def accepted(self) -> int:
        """Calls that run or wait."""
        return self.running + len(self._waiting)

    def reported_load(self) -> float:
        """Return the load that its endpoint reports, in slots in use."""
        return 0.0 if self.lies else self.running / self.slots

    def acquire(self, start: Callable[[], None]) -> None:
        """Call `start` when the call gets a slot."""
        if self.running < self.slots:
            self.running += 1
            start()
        else:
            self._waiting.append(start)

    def release(self) -> None:
        """Free a slot and start the call that waited longest."""
        if self._waiting:
            self._waiting.popleft()()
        else:
            self.running -= 1


class _Plan(NamedTuple):
    targets: dict[str, list[Target]]
    replacements: list[Target]


def build_targets(mesh: MeshSpec, scenario: Scenario) -> _Plan:
    """Return the targets by service, and those that replace some of the bottleneck's.

    The replacements take the place of the first targets of the bottleneck.
    """
    targets = {}
    for service in mesh.services.values():
        is_bottleneck = service.name == mesh.bottleneck
        targets[service.name] = [
            _build_target(service, index, scenario if is_bottleneck else None)
            for index in range(service.targets)
        ]
    bottleneck = mesh.services[mesh.bottleneck]
    count = round(bottleneck.targets * scenario.replaced_ratio + 0.25)
    replacements = [
        Target(f"{bottleneck.name}-new-{i}", bottleneck, i, 1.0, scenario.slow)
        for i in range(count)
    ]
    return _Plan(targets, replacements)


def _build_target(service, index, scenario):
    target = Target(f"{service.name}-{index}", service, index)
    if scenario is None:
        return target
    target.speed = scenario.speeds[index % len(scenario.speeds)]
    slow_targets = scenario.slow_targets or service.targets
    if scenario.replaced_ratio == 0 and index < slow_targets:
        target.slow = scenario.slow
        target.lies = scenario.lies
    return target


def latency_s(mesh: MeshSpec, domain: str, other: str) -> float:
    """Return the one-way latency between two failure domains."""
    return SAME_DOMAIN_S if domain == other else mesh.one_way_s


def caller_pairs(targets: dict[str, list[Target]]) -> list[tuple[str, str]]:
    """Return the pairs of caller and target, in the order of the call chain."""
    order = list(targets.values())
    return [
        (caller.name, target.name)
        for index, callers in enumerate(order)
        for deeper in order[index + 1 :]
        for caller in callers
        for target in deeper
    ]


class Links:
    """Open connections per pair of caller and target that have gone silent.

    What is sent on a silent connection arrives nowhere, in both directions. A new
    connection of the same pair works.

    Args:
        open_connections: Connections that each pair holds open.
    """

    def __init__(self, open_connections: int = 4):
        self._open_connections = open_connections
        self._silent: dict[tuple[str, str], int] = {}

    def silence(self, pairs: list[tuple[str, str]]) -> None:
        """Make all open connections of some pairs silent."""
        for pair in pairs:
            self._silent[pair] = self._open_connections

    def is_silent(self, pair: tuple[str, str]) -> bool:
        """Tell whether the next call of a pair takes a silent connection."""
        return self._silent.get(pair, 0) > 0

    def close_one(self, pair: tuple[str, str]) -> None:
        """Close one silent connection of a pair."""
        if self._silent.get(pair, 0) > 0:
            self._silent[pair] -= 1

    def close_all(self, pair: tuple[str, str]) -> None:
        """Close all silent connections of a pair."""
        self._silent.pop(pair, None)
