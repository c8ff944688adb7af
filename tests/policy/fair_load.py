"""Simulation of organisations that compete for the room of one service.

It runs the real decision code of origins and targets on a virtual clock.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from mimosaloom_policy import (
    Admission,
    Arrival,
    FairRank,
    LevelTable,
    Refuse,
    rank_request,
)

HOP_S = 0.001
TICK_S = 0.05
TIMEOUT_S = 2.0
MAX_HOPS = 3
SERVICE = "service"


class Demand(NamedTuple):
    """What the clients of an organisation ask for.

    Attributes:
        name: Name of the organisation.
        requests_per_s: Rate of new requests.
        weight: Weight of the organisation.
        priority: Priority of its requests.
        start_s: When the requests begin.
        end_s: When they end.
        repeats: How often a refused client comes back.
        repeat_s: Mean time after which it does.
    """

    name: str
    requests_per_s: float
    weight: float = 1.0
    priority: int = 2
    start_s: float = 0.0
    end_s: float = 1e9
    repeats: int = 0
    repeat_s: float = 0.5


class Room(NamedTuple):
    """Where requests enter and what runs them.

    Attributes:
        origins: Number of origins; a request enters at any of them.
        targets: Number of targets of the service.
        slots: Requests that each target runs at once.
        work_s: Time in seconds that a target works on a request.
    """

    origins: int = 1
    targets: int = 1
    slots: int = 20
    work_s: float = 0.02

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all targets can run."""
        return self.targets * self.slots / self.work_s


class _Origin:
    def __init__(self, rng: random.Random, now_s: float, weights: dict[str, float]):
        self.levels = LevelTable(rng)
        self.fair_rank = FairRank(now_s)
        self.fair_rank.set_weights(weights)


class FairLoad:
    """Simulates the clients of several organisations.

    Args:
        demands: Demands of the organisations.
        room: Origins and targets.
        seed: Seed of the arrivals and random choices.
        is_fair: Whether ranks follow from the demands of the organisations.
        restart_s: When the first origin restarts and loses its state.

    Attributes:
        offered: Requests by second and organisation, repeats included.
        served: Requests that were run, by second of their arrival and organisation.
        repeats: Requests that came back, by name of the organisation.
    """

    def __init__(
        self,
        demands: list[Demand],
        room: Room,
        *,
        seed: int,
        is_fair: bool = True,
        restart_s: float | None = None,
    ):
        self.offered: dict[int, Counter[str]] = defaultdict(Counter)
        self.served: dict[int, Counter[str]] = defaultdict(Counter)
        self.repeats: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._room = room
        self._is_fair = is_fair
        self._weights = {demand.name: demand.weight for demand in demands}
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._origins = [self._make_origin() for _ in range(room.origins)]
        self._targets = [Admission(room.slots, 0.0) for _ in range(room.targets)]
        self._waiting: dict[str, Callable[[bool], None]] = {}
        for demand in demands:
            delay_s = demand.start_s + self._rng.expovariate(demand.requests_per_s)
            self._schedule(delay_s, lambda d=demand: self._send_next(d))
        for admission in self._targets:
            self._schedule(TICK_S, lambda a=admission: self._tick(a))
        if restart_s is not None:
            self._schedule(restart_s, self._restart_origin)

    def demand_ratio(self) -> float:
        """Return the largest demand ratio that an origin sees now."""
        return max(
            origin.fair_rank.demand_ratio(self._now_s) for origin in self._origins
        )

    def run(self, run_s: float) -> None:
        """Run the simulation for a number of seconds on the virtual clock."""
        while self._events and self._events[0][0] <= run_s:
            self._now_s, _, act = heapq.heappop(self._events)
            act()

    def _make_origin(self) -> _Origin:
        return _Origin(self._rng, self._now_s, self._weights)

    def _restart_origin(self) -> None:
        self._origins[0] = self._make_origin()

    def _schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        item = (self._now_s + delay_s, next(self._numbers), act)
        heapq.heappush(self._events, item)

    def _tick(self, admission: Admission) -> None:
        self._apply(admission.tick(self._now_s))
        self._schedule(TICK_S, lambda: self._tick(admission))

    def _send_next(self, demand: Demand) -> None:
        if self._now_s >= demand.end_s:
            return
        delay_s = self._rng.expovariate(demand.requests_per_s)
        self._schedule(delay_s, lambda: self._send_next(demand))
        self._send(demand, demand.repeats)

    def _send(self, demand: Demand, repeats: int) -> None:
        second = int(self._now_s)
        self.offered[second][demand.name] += 1
        origin = self._rng.choice(self._origins)
        request_id = f"r{next(self._numbers)}"
        rank = self._rank(origin, demand, request_id)

        def end(is_served: bool) -> None:
            if is_served:
                self.served[second][demand.name] += 1
            elif repeats:
                self.repeats[demand.name] += 1
                delay_s = demand.repeat_s * self._rng.uniform(0.5, 1.5)
                self._schedule(delay_s, lambda: self._send(demand, repeats - 1))

        name = f"p{demand.priority}"
        if origin.levels.admits(SERVICE, name, rank, self._now_s):
            self._call(origin, demand, rank, request_id, end)
        else:
            end(False)

    def _rank(self, origin: _Origin, demand: Demand, request_id: str) -> float:
        if not self._is_fair:
            return rank_request(request_id, demand.priority)
        rank = origin.fair_rank.rank(
            demand.name, request_id, demand.priority, self._now_s
        )
        origin.fair_rank.record_request(demand.name, demand.priority, self._now_s)
        return rank

    def _call(self, origin, demand, rank, request_id, end, tried=()) -> None:
        """Offer a request to one target after another until one admits it."""
        name = f"p{demand.priority}"
        refusing = origin.levels.refusing_upstreams(SERVICE, name, rank, self._now_s)
        numbers = [
            number
            for number in range(len(self._targets))
            if number not in tried and str(number) not in refusing
        ]
        if not numbers or len(tried) == MAX_HOPS:
            end(False)
            return
        number = self._rng.choice(numbers)
        admission = self._targets[number]
        key = f"{request_id}/{len(tried)}"

        def answer(is_served: bool) -> None:
            level = admission.level
            origin.levels.record_levels(SERVICE, name, str(number), level, self._now_s)
            if is_served:
                end(True)
            else:
                again = (*tried, number)
                self._call(origin, demand, rank, request_id, end, again)

        def start(is_admitted: bool) -> None:
            delay_s = self._room.work_s if is_admitted else HOP_S
            self._schedule(delay_s, finish if is_admitted else lambda: answer(False))

        def finish() -> None:
            self._apply(admission.finish(key, self._now_s, is_success=True))
            self._schedule(HOP_S, lambda: answer(True))

        self._waiting[key] = start
        deadline_s = self._now_s + TIMEOUT_S
        is_protected = demand.priority == 0
        arrival = Arrival(
            key, name, demand.priority, is_protected, rank, deadline_s, depth=0
        )
        self._apply(admission.offer(arrival, self._now_s))

    def _apply(self, decisions) -> None:
        for decision in decisions:
            start = self._waiting.pop(decision.call_key)
            start(not isinstance(decision, Refuse))


def compute_fair_shares(
    wanted: dict[str, float], weights: dict[str, float], room: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares, by filling in small steps.

    Args:
        wanted: What each organisation asks for.
        weights: Weight of each organisation.
        room: What there is for all.
    """
    shares = dict.fromkeys(wanted, 0.0)
    left = room
    while left > 1e-9 * room:
        open_weights = {
            name: weights[name]
            for name, most in wanted.items()
            if shares[name] < most - 1e-9
        }
        if not open_weights:
            break
        step = left / sum(open_weights.values())
        for name, weight in open_weights.items():
            given = min(step * weight, wanted[name] - shares[name])
            shares[name] += given
            left -= given
    return shares
