"""Simulation of load on a path of three services.

It runs the real decision code on a virtual clock.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from mimosaloom_policy import Admission, Arrival, LevelTable, Refuse, rank_request
from mimosaloom_relay.call_graph import CallGraph

ORIGINS = 8
CALLS_TO_LAST = 3
HOP_S = 0.001
TICK_S = 0.05
TIMEOUT_S = 2.0
MAX_HOPS = 3
PRIORITY = 2


class Service(NamedTuple):
    """A service of the path.

    Attributes:
        name: Name of the service.
        targets: Number of targets.
        slots: Number of calls that each target runs at once.
        work_s: Time in seconds that a target works on a call.
    """

    name: str
    targets: int
    slots: int
    work_s: float


FIRST = Service("first", 4, 60, 0.08)
MIDDLE = Service("middle", 4, 60, 0.01)
LAST = Service("last", 3, 12, 0.04)


class _Target:
    """A target and the decision state of the node beside it."""

    def __init__(self, service: Service, name: str, levels: LevelTable):
        self.service = service
        self.name = name
        self.levels = levels
        self.graph = CallGraph(levels, lambda service: True)
        self.admission = Admission(service.slots, 0.0)
        self.waiting: dict[str, Callable[[bool], None]] = {}
        self.is_leaving = False


class PathLoad:
    """Simulates requests of clients along the path.

    Args:
        requests_per_s: Rate of the clients' requests.
        leave_s: Time at which two of the three targets of the last service leave.
        seed: Seed of the arrivals and random choices.
        has_merged_levels: Whether a node reports a single level, the minimum of its own
            and of those further down the path, in place of both.
    """

    def __init__(
        self,
        *,
        requests_per_s: float,
        leave_s: float,
        seed: int,
        has_merged_levels: bool = False,
    ):
        self.outcomes: dict[int, Counter[str]] = defaultdict(Counter)
        self._rng = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._leave_s = leave_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self._has_merged_levels = has_merged_levels
        self._origins = [LevelTable(self._rng) for _ in range(ORIGINS)]
        self._targets = {
            service.name: [
                _Target(service, f"{service.name}-{number}", LevelTable(self._rng))
                for number in range(service.targets)
            ]
            for service in (FIRST, MIDDLE, LAST)
        }

    def run(self, run_s: float) -> None:
        """Run the simulation for a number of seconds on the virtual clock."""
        self._schedule(0.0, self._send_next)
        self._schedule(self._leave_s, self._remove_targets_of_last_service)
        for targets in self._targets.values():
            for target in targets:
                self._schedule(TICK_S, lambda t=target: self._tick(t))
        while self._events and self._events[0][0] <= run_s:
            self._now_s, _, act = heapq.heappop(self._events)
            act()

    def _schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        item = (self._now_s + delay_s, next(self._numbers), act)
        heapq.heappush(self._events, item)

    def _remove_targets_of_last_service(self) -> None:
        for target in self._targets[LAST.name][1:]:
            target.is_leaving = True
        names = frozenset({self._targets[LAST.name][0].name})
        for target in self._targets[MIDDLE.name]:
            target.levels.remove_other_upstreams(LAST.name, names)

    def _tick(self, target: _Target) -> None:
        self._apply(target, target.admission.tick(self._now_s))
        self._schedule(TICK_S, lambda: self._tick(target))

    def _send_next(self) -> None:
        self._schedule(self._rng.expovariate(self._requests_per_s), self._send_next)
        second = int(self._now_s)
        request_id = f"r{next(self._numbers)}"
        levels = self._rng.choice(self._origins)
        if not levels.admits(
            FIRST.name, FIRST.name, rank_request(request_id, PRIORITY), self._now_s
        ):
            self.outcomes[second]["refused"] += 1
            return

        def end(has_run: bool, is_success: bool) -> None:
            outcome = "answered" if is_success else "failed" if has_run else "refused"
            self.outcomes[second][outcome] += 1

        self._call(levels, FIRST, request_id, 0, end)

    def _call(self, levels, service, request_id, depth, end, tried=()) -> None:
        """Offer a call to one target after another until one admits it."""
        targets = [
            target
            for target in self._targets[service.name]
            if not target.is_leaving and target.name not in tried
        ]
        if not targets or len(tried) == MAX_HOPS:
            end(False, False)
            return
        target = self._rng.choice(targets)
        key = f"{request_id}/{next(self._numbers)}"

        def answer(has_run: bool, is_success: bool) -> None:
            if not target.is_leaving:
                self._report_level(target, levels)
            if has_run:
                end(True, is_success)
            else:
                again = (*tried, target.name)
                self._call(levels, service, request_id, depth, end, again)

        def start(is_admitted: bool) -> None:
            if not is_admitted:
                self._schedule(HOP_S, lambda: answer(False, False))
                return
            self._schedule(
                service.work_s,
                lambda: self._call_next_service(target, key, depth, done),
            )

        def done(is_success: bool) -> None:
            decisions = target.admission.finish(key, self._now_s, is_success=is_success)
            self._apply(target, decisions)
            self._schedule(HOP_S, lambda: answer(True, is_success))

        target.waiting[key] = start
        arrival = Arrival(
            key,
            service.name,
            PRIORITY,
            False,
            rank_request(request_id, PRIORITY),
            self._now_s + TIMEOUT_S,
            depth,
        )
        self._apply(target, target.admission.offer(arrival, self._now_s))

    def _report_level(self, target: _Target, levels: LevelTable) -> None:
        name, level = target.service.name, target.admission.level
        below = target.graph.level_below(name, self._now_s)
        if self._has_merged_levels:
            level, below = min(level, below), None
        levels.record_levels(
            name, name, target.name, level, self._now_s, level_below=below
        )

    def _apply(self, target: _Target, decisions) -> None:
        for decision in decisions:
            start = target.waiting.pop(decision.call_key)
            start(not isinstance(decision, Refuse))

    def _call_next_service(self, target, key, depth, done) -> None:
        request_id = key.partition("/")[0]
        below = {FIRST.name: MIDDLE, MIDDLE.name: LAST}.get(target.service.name)
        if below is None:
            done(True)
            return
        left = 1 if below is MIDDLE else CALLS_TO_LAST

        def call(left: int) -> None:
            if not left:
                done(True)
                return
            target.graph.record_call(
                target.service.name, below.name, below.name, self._now_s
            )
            self._call(
                target.levels,
                below,
                request_id,
                depth + 1,
                lambda _, is_success: call(left - 1) if is_success else done(False),
            )

        call(left)
