"""Plays requests of uneven cost to uneven targets on a virtual clock."""

import bisect
import heapq
import itertools
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from mimosaloom_model import ErrorKind
from mimosaloom_policy import Candidate, Router, WorkMeter

DOMAINS = "abcd"
SPEEDS = (0.7, 0.7, 1.7)
TIMEOUT_S = 2.0
CLASS_NAME = "c"
WORK_SIGMA = 0.5
LONG_RATIO = 0.03
LONG_FACTOR = 7.0
SLOW_PACE = 2.5
SLOW_LENGTH_S = 0.6
SLOW_TIME_RATIO = 0.15
LOCAL_LOAD_LIMIT = 0.7
# What the queue of a target holds, relative to its slots; it rejects further requests.
QUEUE_RATIO = 1.0
# Targets that a request may reach; a further one is tried after a rejection only.
MAX_TRIES = 3


@dataclass
class Load:
    """A load on the targets of one service.

    Attributes:
        targets: Number of targets; their speeds are `SPEEDS` by turns.
        slots: Slots of each.
        load_ratio: Load relative to the capacity without slow moments.
        mean_work_s: Mean work of a request at speed 1.
        origins: Number of origins, in the failure domains by turns.
        length_s: Time in which requests arrive.
        warmup_s: Time whose requests don't count.
        report_delay_s: Age of an estimate when the origin hears it.
        objective_s: Objective of the requests.
        has_tail: Whether some requests take `LONG_FACTOR` times as long.
        has_slow_moments: Whether machines are slow at times.
        lost_ratio: Share of the estimates that get lost.
        told_pace: Returns the pace that a target tells, from its index and true pace.
        speed_at: Returns the speed of a target, from its index and the time.
        joins_s: Time at which a target joins, by its index.
        rejecting: Indices of targets that reject all requests.
    """

    targets: int = 39
    slots: int = 54
    load_ratio: float = 0.15
    mean_work_s: float = 0.29
    origins: int = 78
    length_s: float = 16.0
    warmup_s: float = 6.0
    report_delay_s: float = 0.1
    objective_s: float = 0.6
    has_tail: bool = True
    has_slow_moments: bool = True
    lost_ratio: float = 0.0
    told_pace: object = lambda index, pace: pace
    speed_at: object = lambda index, now_s: SPEEDS[index % len(SPEEDS)]
    joins_s: dict = field(default_factory=dict)
    rejecting: frozenset = frozenset()

    @property
    def rate_per_s(self):
        """Requests a second."""
        speed = sum(SPEEDS[i % len(SPEEDS)] for i in range(self.targets))
        return self.load_ratio * speed * self.slots / self.mean_work_s


class Figures(NamedTuple):
    """Outcome of a load.

    Attributes:
        mean_s: Mean time to the end; a request that is not done in time counts with the
            timeout.
        p99_s: The time within which 99 in 100 end.
        in_time_ratio: Share that ends within the timeout.
        met_ratio: Share that ends within the objective.
        fast_ratio: Share that went to the fast targets.
        sent: Requests by the index of the target and the whole second.
    """

    mean_s: float
    p99_s: float
    in_time_ratio: float
    met_ratio: float
    fast_ratio: float
    sent: Counter


class Pace:
    """Pace of a machine that is slow for moments.

    Args:
        rng: Source of the moments.
        is_uneven: Whether there are any.
    """

    def __init__(self, rng, is_uneven):
        self._edges, self._paces = [0.0], [1.0]
        gap_s = SLOW_LENGTH_S * (1 / SLOW_TIME_RATIO - 1)
        now_s = rng.expovariate(1 / gap_s)
        while is_uneven and now_s < 200.0:
            self._edges += [now_s, now_s + SLOW_LENGTH_S]
            self._paces += [SLOW_PACE, 1.0]
            now_s += SLOW_LENGTH_S + rng.expovariate(1 / gap_s)

    def at(self, now_s):
        """Return the pace at a time."""
        return self._paces[bisect.bisect_right(self._edges, now_s) - 1]

    def end_of(self, work_s, start_s):
        """Return when work that starts at a time is done."""
        index = bisect.bisect_right(self._edges, start_s) - 1
        now_s = start_s
        while index + 1 < len(self._edges):
            done_s = (self._edges[index + 1] - now_s) / self._paces[index]
            if done_s >= work_s:
                break
            work_s -= done_s
            index += 1
            now_s = self._edges[index]
        return now_s + work_s * self._paces[index]


class Target:
    """A target with slots and a queue, and the meter beside it."""

    def __init__(self, index, load, rng):
        self.index, self.load = index, load
        self.name = f"up-{index}"
        self.pace = Pace(rng, load.has_slow_moments)
        self.meter = WorkMeter(load.slots)
        self.ends_s = []
        self.queue = deque()

    @property
    def is_full(self):
        """Whether the queue takes no more."""
        return len(self.queue) >= QUEUE_RATIO * self.load.slots

    def wait_s(self, now_s):
        """Return the wait of one more request, known from the work of all others."""
        if len(self.ends_s) < self.load.slots:
            return 0.0
        ends_s = list(self.ends_s)
        for work_s, _, _, deadline_s in self.queue:
            start_s = max(now_s, heapq.heappop(ends_s))
            end_s = self.end_of(work_s, start_s)
            heapq.heappush(ends_s, min(end_s, max(start_s, deadline_s)))
        return max(0.0, ends_s[0] - now_s)

    def end_of(self, work_s, start_s):
        """Return when work that starts at a time is done."""
        speed = self.load.speed_at(self.index, start_s)
        return self.pace.end_of(work_s / speed, start_s)


class Play:
    """One play of a load.

    Args:
        load: The load.
        policy: `latency`, `random`, `perfect` or `expected`.
        seed: Seed of the arrivals, the work and the slow moments, which are the same
            for all policies, and of the choices.
    """

    def __init__(self, load, policy, seed):
        self.load, self.policy = load, policy
        self.rng = random.Random(seed)
        self.choices = random.Random(seed + 1000)
        self.targets = [Target(i, load, self.rng) for i in range(load.targets)]
        self.by_name = {target.name: target for target in self.targets}
        self.routers = [
            Router(
                "s",
                f"node-{i}",
                DOMAINS[i % 4],
                self.choices,
                local_load_limit=LOCAL_LOAD_LIMIT,
            )
            for i in range(load.origins)
        ]
        self.events, self.numbers = [], itertools.count()
        self.times_s, self.sent = [], Counter()
        self.asked = self.fast = self.rejected = 0
        self.show_targets(0.0)

    def show_targets(self, now_s):
        """Tell all origins which targets there are."""
        joins_s = self.load.joins_s
        shown = [
            Candidate(
                t.name, "127.0.0.1", 1, DOMAINS[t.index % 4], self.load.slots, 300, "1"
            )
            for t in self.targets
            if joins_s.get(t.index, 0.0) <= now_s
        ]
        self.shown = shown
        for router in self.routers:
            router.set_candidates(shown, now_s)

    def push(self, at_s, action, *args):
        """Add an event."""
        heapq.heappush(self.events, (at_s, next(self.numbers), action, args))

    def run(self):
        """Play the load and return its figures."""
        load = self.load
        base_s = load.mean_work_s
        if load.has_tail:
            base_s /= 1 + LONG_RATIO * (LONG_FACTOR - 1)
        now_s = 0.0
        while now_s < load.length_s:
            now_s += self.rng.expovariate(load.rate_per_s)
            work_s = base_s * math.exp(self.rng.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))
            if self.rng.random() < LONG_RATIO and load.has_tail:
                work_s *= LONG_FACTOR
            origin = self.rng.randrange(load.origins)
            self.push(now_s, self.arrive, work_s, origin)
        for at_s in load.joins_s.values():
            self.push(at_s, self.show_targets)
        while self.events:
            now_s, _, action, args = heapq.heappop(self.events)
            if action == self.show_targets:
                action(now_s)
            else:
                action(*args, now_s)
        times_s = sorted(self.times_s)
        in_time = [time_s for time_s in times_s if time_s < TIMEOUT_S]
        met = bisect.bisect_right(times_s, load.objective_s)
        return Figures(
            sum(times_s) / len(times_s),
            times_s[int(0.99 * len(times_s))],
            len(in_time) / len(times_s),
            met / len(times_s),
            self.fast / self.asked,
            self.sent,
        )

    def choose(self, origin, tried, now_s):
        """Return the target of a request."""
        shown = [
            self.by_name[candidate.name]
            for candidate in self.shown
            if candidate.name not in tried
        ]
        if self.policy == "random":
            return self.choices.choice(shown)
        if self.policy == "perfect":
            mean_s = self.load.mean_work_s
            self.choices.shuffle(shown)

            def finish_s(target):
                if target.is_full:
                    return math.inf
                wait_s = target.wait_s(now_s)
                return wait_s + target.end_of(mean_s, now_s + wait_s) - now_s

            return min(shown, key=finish_s)
        picked = self.routers[origin].pick(
            now_s, tried, self.load.objective_s, class_name=CLASS_NAME
        )
        return self.by_name[picked.name]

    def arrive(self, work_s, origin, now_s):
        """Send a request to a target, or after a rejection to another."""
        if now_s >= self.load.warmup_s:
            self.asked += 1
        tried = frozenset()
        for _ in range(MAX_TRIES):
            target = self.choose(origin, tried, now_s)
            self.routers[origin].start(target.name, now_s)
            self.sent[target.index, int(now_s)] += 1
            if not target.is_full and target.index not in self.load.rejecting:
                break
            self.rejected += 1
            self.answer(target, origin, now_s, ErrorKind.TARGET_REJECTED, now_s)
            tried |= {target.name}
        else:
            self.record_time(now_s, TIMEOUT_S)
            return
        if now_s >= self.load.warmup_s:
            self.fast += SPEEDS[target.index % len(SPEEDS)] == max(SPEEDS)
        request = (work_s, origin, now_s, now_s + TIMEOUT_S)
        if len(target.ends_s) < self.load.slots:
            self.begin(target, request, now_s)
        else:
            target.queue.append(request)

    def record_time(self, start_s, elapsed_s):
        """Record the time of a request, unless it began in the warm-up."""
        if start_s >= self.load.warmup_s:
            self.times_s.append(elapsed_s)

    def begin(self, target, request, now_s):
        """Run a request on a target."""
        work_s, origin, start_s, deadline_s = request
        done_s = target.end_of(work_s, now_s)
        end_s = min(done_s, deadline_s)
        bisect.insort(target.ends_s, end_s)
        key = str(next(self.numbers))
        target.meter.record_start(key, CLASS_NAME, now_s)
        is_done = done_s < deadline_s
        self.push(end_s, self.end, target, key, origin, start_s, is_done)

    def end(self, target, key, origin, start_s, is_done, now_s):
        """End a request; the target begins with the next one."""
        target.ends_s.pop(bisect.bisect_left(target.ends_s, now_s))
        if is_done:
            pace = self.load.told_pace(target.index, target.pace.at(now_s))
            target.meter.observe_pace(pace, now_s)
        target.meter.record_end(key, now_s, is_success=is_done)
        kind = None if is_done else ErrorKind.DEADLINE_EXCEEDED
        self.answer(target, origin, start_s, kind, now_s)
        while target.queue and len(target.ends_s) < self.load.slots:
            request = target.queue.popleft()
            if request[3] > now_s:
                self.begin(target, request, now_s)
            else:
                self.answer(
                    target, request[1], request[2], ErrorKind.QUEUE_TIMEOUT, now_s
                )

    def answer(self, target, origin, start_s, kind, now_s):
        """Answer a request, with an estimate that the origin hears later."""
        if kind is not ErrorKind.TARGET_REJECTED:
            self.record_time(start_s, TIMEOUT_S if kind else now_s - start_s)
        router = self.routers[origin]
        router.finish(target.name, now_s, elapsed_s=now_s - start_s, kind=kind)
        load_ratio = (len(target.ends_s) + len(target.queue)) / self.load.slots
        estimate = target.meter.estimate(CLASS_NAME, len(target.queue), now_s)
        if self.choices.random() >= self.load.lost_ratio:
            heard_s = now_s + self.load.report_delay_s
            self.push(heard_s, self.hear, target, router, load_ratio, estimate)

    def hear(self, target, router, load_ratio, estimate, now_s):
        """Let an origin hear what the node beside a target has told."""
        router.record_load(target.name, load_ratio, now_s)
        if self.policy == "expected" and self.load.told_pace is not None:
            router.record_estimate(target.name, "1", CLASS_NAME, estimate, now_s)


def play(load, policy, seed):
    """Play a load and return its figures."""
    return Play(load, policy, seed).run()
