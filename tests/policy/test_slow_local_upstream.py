"""Plays calls of each failure domain to targets that differ in speed."""

import heapq
import itertools
import math
import random

import pytest

from mimosaloom_policy import Candidate, Router

SPEEDS = {"a": 0.5, "b": 1.0, "c": 1.0, "d": 1.5}
SLOTS = 14
MEAN_WORK_S = 0.24
WORK_SIGMA = 0.5
CALLS_PER_S = 8
LENGTH_S = 60.0
OBJECTIVE_S = 0.6


def simulate_calls(objective_s, seed):
    """Simulate one caller in each failure domain.

    Args:
        objective_s: Objective that the router gets.
        seed: Seed of the arrivals and of the work.

    Returns:
        The share of calls that end within `OBJECTIVE_S`, and the share that leave the
        failure domain of their caller, by failure domain.
    """
    rng = random.Random(seed)
    upstreams = [
        Candidate(f"up-{d}", "127.0.0.1", 1, d, SLOTS, 300, "1") for d in SPEEDS
    ]
    routers = {}
    for domain in SPEEDS:
        routers[domain] = Router("s", domain, domain, rng, local_load_limit=0.7)
        routers[domain].set_candidates(upstreams, 0.0)
    running = dict.fromkeys(SPEEDS, 0)
    asked, met, left = ({d: 0 for d in SPEEDS} for _ in range(3))
    numbers, events = itertools.count(), []

    def end_call(domain, name, start_s, now_s):
        elapsed_s, target = now_s - start_s, name[-1]
        running[target] -= 1
        routers[domain].finish(name, now_s, elapsed_s=elapsed_s, kind=None)
        routers[domain].record_load(name, running[target] / SLOTS, now_s)
        met[domain] += elapsed_s <= OBJECTIVE_S

    for domain in SPEEDS:
        now_s = 0.0
        while now_s < LENGTH_S:
            now_s += rng.expovariate(CALLS_PER_S)
            heapq.heappush(events, (now_s, next(numbers), domain, None))
    while events:
        now_s, _, domain, call = heapq.heappop(events)
        if call is not None:
            end_call(domain, *call, now_s)
            continue
        picked = routers[domain].pick(now_s, objective_s=objective_s)
        routers[domain].start(picked.name, now_s)
        running[picked.failure_domain] += 1
        asked[domain] += 1
        left[domain] += picked.failure_domain != domain
        work_s = MEAN_WORK_S * math.exp(rng.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))
        end_s = now_s + work_s / SPEEDS[picked.failure_domain]
        heapq.heappush(events, (end_s, next(numbers), domain, (picked.name, now_s)))
    return (
        {d: met[d] / asked[d] for d in SPEEDS},
        {d: left[d] / asked[d] for d in SPEEDS},
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_beside_a_slow_upstream_meet_their_objective(seed):
    """Guards against callers that are bound to the slow upstream of their own domain.

    The targets of a service differ in speed by a factor of three, and a caller prefers
    that of its own failure domain, however slow it is for calls with a short objective.
    """
    met_before, _ = simulate_calls(math.inf, seed)
    met, left = simulate_calls(OBJECTIVE_S, seed)
    assert met["a"] > met_before["a"] + 0.1
    assert min(met[d] for d in "bcd") > 0.9
    assert max(left[d] for d in "bcd") < 0.1
