"""Scenarios: demand over time, and what goes wrong."""

import math
import random
from typing import NamedTuple

from mimosaloom_model import new_request_id

from .meshes import MeshSpec, class_rates

__all__ = ["SCENARIOS", "Request", "Scenario", "Segment", "Silence", "make_requests"]

WARM_UP_S = 6.0
AFTER_S = 8.0
FIXED_WORK_RATIO = 0.6


class Segment(NamedTuple):
    """A slow-down of some targets; the factor changes evenly over the time.

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
        """Return the factor at a time; 1 outside the segment."""
        if not self.start_s <= at_s < self.end_s:
            return 1.0
        part = (at_s - self.start_s) / (self.end_s - self.start_s)
        return self.first_factor + part * (self.last_factor - self.first_factor)


class Silence(NamedTuple):
    """Open connections that go silent for good.

    Attributes:
        at_s: When they go silent.
        pair_ratio: Share of the pairs of caller and target that it hits.
    """

    at_s: float
    pair_ratio: float


class Scenario(NamedTuple):
    """A scripted overload.

    Attributes:
        name: Name of the scenario.
        demand: Factor on the normal arrivals during the overload.
        overload_s: Length of the overload.
        speeds: Speeds of the bottleneck's targets, in turn; their mean is 1.
        slow: Slow-down of targets of the bottleneck, or None.
        slow_targets: How many of its targets slow down; 0 means all.
        replaced_ratio: Share of its targets that are replaced at the start of the
            overload; the new ones are cold, with the slow-down `slow`.
        silence: Connections that go silent, or None.
        lies: Whether the slow targets report no load.
    """

    name: str
    demand: float
    overload_s: float = 10.0
    speeds: tuple[float, ...] = (1.0,)
    slow: Segment | None = None
    slow_targets: int = 0
    replaced_ratio: float = 0.0
    silence: Silence | None = None
    lies: bool = False

    @property
    def start_s(self) -> float:
        """Start of the overload."""
        return WARM_UP_S

    @property
    def end_s(self) -> float:
        """End of the overload."""
        return WARM_UP_S + self.overload_s

    @property
    def run_s(self) -> float:
        """End of the run."""
        return self.end_s + AFTER_S


_SLOW_4 = Segment(WARM_UP_S, WARM_UP_S + 10.0, 4.0, 4.0)
_COLD = Segment(WARM_UP_S, WARM_UP_S + 5.0, 4.0, 1.0)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("deep-slow", 3.0, slow=_SLOW_4),
        Scenario("mixed-hardware", 2.0, speeds=(3 / 7, 6 / 7, 12 / 7)),
        Scenario("surge", 10.0),
        Scenario("cold-start", 1.0, overload_s=5.0, slow=_COLD, replaced_ratio=0.5),
        Scenario("silent-connections", 1.2, silence=Silence(WARM_UP_S, 0.34)),
        Scenario("lying-load", 1.5, slow=_SLOW_4, slow_targets=1, lies=True),
    )
}


class Request(NamedTuple):
    """A request as its client makes it.

    Attributes:
        request_id: The same in all attempts of the client.
        class_name: Request class.
        at_s: Arrival at the client.
        entry: Number by which the client chooses an entry node.
        work: Factor on the mean own work at each service of the path; mean 1.
    """

    request_id: str
    class_name: str
    at_s: float
    entry: int
    work: tuple[float, ...]


def make_requests(mesh: MeshSpec, scenario: Scenario, seed: int) -> list[Request]:
    """Return the arrivals of a run in order of time.

    The arrivals of each class are spaced evenly with a jitter, so that 1 s windows
    can be compared within 5%; service times vary around 0.6 of the mean plus an
    exponential part.
    """
    rng = random.Random(f"{mesh.name}/{scenario.name}/{seed}")
    phases = [
        (0.0, scenario.start_s, 1.0),
        (scenario.start_s, scenario.end_s, scenario.demand),
        (scenario.end_s, scenario.run_s, 1.0),
    ]
    requests = []
    for class_name, rate_per_s in class_rates(mesh).items():
        hops = len(mesh.classes[class_name].path)
        for start_s, end_s, demand in phases:
            interval_s = 1 / (rate_per_s * demand)
            for index in range(round((end_s - start_s) / interval_s)):
                at_s = start_s + (index + rng.random()) * interval_s
                requests.append(_make_request(rng, class_name, at_s, hops))
    return sorted(requests, key=lambda request: (request.at_s, request.request_id))


def _make_request(rng, class_name, at_s, hops):
    work = tuple(_work_factor(rng.random()) for _ in range(hops))
    return Request(new_request_id(rng), class_name, at_s, rng.randrange(60), work)


def _work_factor(unit: float) -> float:
    return FIXED_WORK_RATIO - (1 - FIXED_WORK_RATIO) * math.log(1 - unit)
