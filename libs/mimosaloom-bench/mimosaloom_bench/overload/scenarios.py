"""Scenarios of the overload bench: load over time, and faults."""

import math
import random
from typing import NamedTuple

from mimosaloom_model import new_request_id

from .meshes import MeshSpec, class_rates

__all__ = ["SCENARIOS", "Request", "Scenario", "Silence", "Slowdown", "make_requests"]

WARM_UP_S = 6.0
COOL_DOWN_S = 8.0
FIXED_WORK_RATIO = 0.6


class Slowdown(NamedTuple):
    """A slow-down whose factor changes linearly from its start to its end.

    Attributes:
        start_s: Start of the slow-down.
        end_s: End of the slow-down.
        first_factor: Factor on service times at the start.
        last_factor: Factor on service times at the end.
    """

    start_s: float
    end_s: float
    first_factor: float
    last_factor: float

    def factor(self, at_s: float) -> float:
        """Return the factor at a time; 1 before and after the slow-down."""
        if not self.start_s <= at_s < self.end_s:
            return 1.0
        part = (at_s - self.start_s) / (self.end_s - self.start_s)
        return self.first_factor + part * (self.last_factor - self.first_factor)


class Silence(NamedTuple):
    """A fault in which open connections become silent and stay so.

    Attributes:
        at_s: When the connections become silent.
        pair_ratio: Share of the pairs of caller and target that are affected.
    """

    at_s: float
    pair_ratio: float


class Scenario(NamedTuple):
    """A simulated overload.

    Attributes:
        name: Name of the scenario.
        demand_factor: Factor on the normal arrival rate during the overload.
        overload_s: Length of the overload in seconds.
        speeds: Speed factors that the targets of the bottleneck get in turn; their
            mean is 1.
        slowdown: Slow-down of targets of the bottleneck, or None.
        slowed_target_count: How many of these targets slow down; 0 means all.
        replaced_ratio: Share of these targets that are replaced at the start of the
            overload. `slowdown` then applies to the replacements only, as their cold
            start.
        silence: Connections that become silent, or None.
        reports_zero_load: Whether the slowed targets report a load of zero.
    """

    name: str
    demand_factor: float
    overload_s: float = 10.0
    speeds: tuple[float, ...] = (1.0,)
    slowdown: Slowdown | None = None
    slowed_target_count: int = 0
    replaced_ratio: float = 0.0
    silence: Silence | None = None
    reports_zero_load: bool = False

    @property
    def start_s(self) -> float:
        """Start of the overload, in seconds of virtual time."""
        return WARM_UP_S

    @property
    def end_s(self) -> float:
        """End of the overload, in seconds of virtual time."""
        return WARM_UP_S + self.overload_s

    @property
    def run_end_s(self) -> float:
        """End of the run, in seconds of virtual time."""
        return self.end_s + COOL_DOWN_S


_FOUR_TIMES_SLOWER = Slowdown(WARM_UP_S, WARM_UP_S + 10.0, 4.0, 4.0)
_COLD_START = Slowdown(WARM_UP_S, WARM_UP_S + 5.0, 4.0, 1.0)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("deep-slow", 3.0, slowdown=_FOUR_TIMES_SLOWER),
        Scenario("mixed-hardware", 2.0, speeds=(3 / 7, 6 / 7, 12 / 7)),
        Scenario("surge", 10.0),
        Scenario(
            "cold-start", 1.0, overload_s=5.0, slowdown=_COLD_START, replaced_ratio=0.5
        ),
        Scenario("silent-connections", 1.2, silence=Silence(WARM_UP_S, 0.34)),
        Scenario(
            "lying-load",
            1.5,
            slowdown=_FOUR_TIMES_SLOWER,
            slowed_target_count=1,
            reports_zero_load=True,
        ),
    )
}


class Request(NamedTuple):
    """A request as the client sends it.

    Attributes:
        request_id: Identifier, the same in all attempts of the client.
        class_name: Name of the request class.
        at_s: When the client sends the first attempt.
        entry_index: Index of the entry node for the first attempt, modulo the number
            of entry nodes.
        work_factors: Factor on the mean own work at each service of the path; their
            mean is 1.
    """

    request_id: str
    class_name: str
    at_s: float
    entry_index: int
    work_factors: tuple[float, ...]


def make_requests(mesh: MeshSpec, scenario: Scenario, seed: int) -> list[Request]:
    """Return the arrivals of a run, sorted by time.

    The arrivals of each class are spaced evenly with jitter, so that 1 s windows can
    be compared within 5%. A service time is a fixed 0.6 of the mean plus an
    exponentially distributed part.
    """
    rng = random.Random(f"{mesh.name}/{scenario.name}/{seed}")
    phases = [
        (0.0, scenario.start_s, 1.0),
        (scenario.start_s, scenario.end_s, scenario.demand_factor),
        (scenario.end_s, scenario.run_end_s, 1.0),
    ]
    requests = []
    for class_name, rate_per_s in class_rates(mesh).items():
        hops = len(mesh.classes[class_name].path)
        for start_s, end_s, demand_factor in phases:
            interval_s = 1 / (rate_per_s * demand_factor)
            for index in range(round((end_s - start_s) / interval_s)):
                at_s = start_s + (index + rng.random()) * interval_s
                requests.append(_make_request(rng, class_name, at_s, hops))
    return sorted(requests, key=lambda request: (request.at_s, request.request_id))


def _make_request(rng, class_name, at_s, hops):
    work_factors = tuple(_work_factor(rng.random()) for _ in range(hops))
    return Request(
        new_request_id(rng), class_name, at_s, rng.randrange(60), work_factors
    )


def _work_factor(uniform: float) -> float:
    return FIXED_WORK_RATIO - (1 - FIXED_WORK_RATIO) * math.log(1 - uniform)
