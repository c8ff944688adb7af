"""Simulated targets and connections of both meshes."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from .meshes import DOMAINS, MeshSpec, ServiceSpec
from .scenarios import Scenario, Slowdown

__all__ = [
    "Links",
    "Target",
    "build_targets",
    "list_connection_pairs",
    "one_way_latency_s",
]

SAME_DOMAIN_LATENCY_S = 0.0001


class Target:
    """A target with a number of slots; calls without a free slot queue in order.

    Args:
        name: Name of the target.
        service: Service of the target.
        index: Number of the target within its service; it selects the failure domain.
        speed: Factor on the speed of its work.
        slowdown: Slow-down over time, or None.
    """

    def __init__(
        self,
        name: str,
        service: ServiceSpec,
        index: int,
        speed: float = 1.0,
        slowdown: Slowdown | None = None,
    ):
        self.name = name
        self.service = service
        self.domain = DOMAINS[index % len(DOMAINS)]
        self.slots = service.slots
        self.speed = speed
        self.slowdown = slowdown
        self.reports_zero_load = False
        self.running = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def mean_work_s(self, at_s: float) -> float:
        """Return the mean time for a call's own work, without sub-calls.

        Args:
            at_s: When the call starts.
        """
        factor = self.slowdown.factor(at_s) if self.slowdown else 1.0
        return self.service.work_s * factor / self.speed

    @property
    def accepted_calls(self) -> int:
        """Number of calls that run or wait."""
        return self.running + len(self._waiting)

    def reported_load(self) -> float:
        """Return the load that the target reports, as the share of slots in use."""
        return 0.0 if self.reports_zero_load else self.running / self.slots

    def acquire(self, start: Callable[[], None]) -> None:
        """Take a slot and call `start`, or queue `start` until a slot is free."""
        if self.running < self.slots:
            self.running += 1
            start()
        else:
            self._waiting.append(start)

    def release(self) -> None:
        """Free a slot, or pass it to the call that has waited longest."""
        if self._waiting:
            self._waiting.popleft()()
        else:
            self.running -= 1


class _TargetPlan(NamedTuple):
    targets: dict[str, list[Target]]
    replacements: list[Target]


def build_targets(mesh: MeshSpec, scenario: Scenario) -> _TargetPlan:
    """Return the targets by service, and the replacements at the bottleneck.

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
    # The 0.25 makes a half round up; `round` alone rounds it to the even number.
    count = round(bottleneck.targets * scenario.replaced_ratio + 0.25)
    replacements = [
        Target(f"{bottleneck.name}-new-{i}", bottleneck, i, 1.0, scenario.slowdown)
        for i in range(count)
    ]
    return _TargetPlan(targets, replacements)


def _build_target(service, index, scenario):
    target = Target(f"{service.name}-{index}", service, index)
    if scenario is None:
        return target
    target.speed = scenario.speeds[index % len(scenario.speeds)]
    slowed_target_count = scenario.slowed_target_count or service.targets
    if scenario.replaced_ratio == 0 and index < slowed_target_count:
        target.slowdown = scenario.slowdown
        target.reports_zero_load = scenario.reports_zero_load
    return target


def one_way_latency_s(mesh: MeshSpec, domain: str, other: str) -> float:
    """Return the one-way latency between two failure domains."""
    return SAME_DOMAIN_LATENCY_S if domain == other else mesh.cross_domain_latency_s


def list_connection_pairs(targets: dict[str, list[Target]]) -> list[tuple[str, str]]:
    """Return every pair of a caller and a target further down the call chain."""
    order = list(targets.values())
    return [
        (caller.name, target.name)
        for index, callers in enumerate(order)
        for deeper in order[index + 1 :]
        for caller in callers
        for target in deeper
    ]


class Links:
    """Tracks the silent connections of each pair of caller and target.

    Nothing that is sent on a silent connection arrives, in either direction. A new
    connection of the same pair works.

    Args:
        open_connections: Connections that each pair holds open.
    """

    def __init__(self, open_connections: int = 4):
        self._open_connections = open_connections
        self._silent: dict[tuple[str, str], int] = {}

    def silence(self, pairs: list[tuple[str, str]]) -> None:
        """Make all open connections of the given pairs silent."""
        for pair in pairs:
            self._silent[pair] = self._open_connections

    def is_silent(self, pair: tuple[str, str]) -> bool:
        """Return whether the next call of a pair uses a silent connection."""
        return self._silent.get(pair, 0) > 0

    def close_one(self, pair: tuple[str, str]) -> None:
        """Close one silent connection of a pair."""
        if self._silent.get(pair, 0) > 0:
            self._silent[pair] -= 1

    def close_all(self, pair: tuple[str, str]) -> None:
        """Close all silent connections of a pair."""
        self._silent.pop(pair, None)
