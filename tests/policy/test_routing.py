"""Tests of the router, compared with a brute-force choice, and of subsets."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import ErrorKind
from mimosaloom_policy import Candidate, Router, routing
from mimosaloom_policy.subset import choose_subset, plan_subset


def make_candidate(name, domain="a", is_draining=False, max_connections=300):
    """Return an upstream."""
    return Candidate(
        name, "127.0.0.1", 1, domain, 35, max_connections, "1", is_draining
    )


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["x", "y"]),
        st.sampled_from(["start", "answer", "refuse", "fail"]),
        st.floats(0.01, 2.0),
        st.floats(0.0, 0.4),
    ),
    max_size=25,
)
DOMAINS = {"x": "a", "y": "b"}


def plain_cost(name, history, now_s):
    """Compute the cost of an upstream from all events so far."""
    in_flight, latencies, error_ratio, at_s = 0, [], 0.0, 0.0
    for upstream, event, elapsed_s, event_s in history:
        if upstream != name:
            continue
        in_flight = max(0, in_flight + (1 if event == "start" else -1))
        if event == "start":
            continue
        error_ratio *= math.exp((at_s - event_s) / routing.ERROR_DECAY_S)
        error_ratio += 0.2 * ((event != "answer") - error_ratio)
        at_s = event_s
        if event != "refuse":
            latencies.append(elapsed_s)
    latency_s = smooth_latency(latencies) if latencies else other_latency(name, history)
    error_ratio *= math.exp((at_s - now_s) / routing.ERROR_DECAY_S)
    domain_cost = 1.0 if DOMAINS[name] == "a" else routing.OTHER_DOMAIN_COST
    return (in_flight + 1) * latency_s * (1 + 10 * error_ratio) * domain_cost


def smooth_latency(latencies):
    """Return the exponentially smoothed latency."""
    value = latencies[0]
    for latency_s in latencies:
        value = 0.8 * value + 0.2 * latency_s
    return value


def other_latency(name, history):
    """Return the latency that is assumed for an upstream without answers."""
    other = [e[2] for e in history if e[0] != name and e[1] in ("answer", "fail")]
    return smooth_latency(other) if other else routing.INITIAL_LATENCY_S


KINDS = {
    "answer": None,
    "refuse": ErrorKind.OVERLOADED,
    "fail": ErrorKind.CONNECTION_LOST,
}


def check_against_brute_force(events):
    """Pass the events to a router and compare each choice with the plain cost."""
    router = Router("billing", "me", "a", random.Random(1))
    router.set_candidates([make_candidate(n, d) for n, d in DOMAINS.items()], 0.0)
    history, now_s = [], 0.0
    for name, event, elapsed_s, step_s in events:
        now_s += step_s
        history.append((name, event, elapsed_s, now_s))
        if event == "start":
            router.start(name, now_s)
        else:
            router.finish(name, now_s, elapsed_s=elapsed_s, kind=KINDS[event])
        costs = {n: plain_cost(n, history, now_s) for n in DOMAINS}
        if abs(costs["x"] - costs["y"]) > 1e-3 * max(costs.values()):
            assert router.pick(now_s).name == min(costs, key=costs.get)


@given(EVENTS)
def test_choice_of_two_matches_brute_force(events):
    """Guards against counts that drift and refusals that attract calls."""
    check_against_brute_force(events)


REFUSALS = [("x", "answer", 0.1, 0.0), ("y", "answer", 0.12, 0.0)]
REFUSALS += [("x", "refuse", 0.01, 0.0)]


def test_comparison_finds_a_router_that_ignores_refusals(monkeypatch):
    """Verifies that the comparison rejects a router without a cost of refusals."""
    check_against_brute_force(REFUSALS)
    monkeypatch.setattr(routing, "ERROR_COST", 0.0)
    with pytest.raises(AssertionError):
        check_against_brute_force(REFUSALS)


def test_excluded_and_draining_upstreams_get_no_calls():
    """Guards against calls to a draining target and retries on the same target."""
    router = Router("billing", "me", "a", random.Random(1))
    names = ["x", "y", "z"]
    router.set_candidates([make_candidate(n, is_draining=n == "y") for n in names], 0.0)
    picked = {router.pick(0.0, frozenset({"x"})).name for _ in range(50)}
    assert picked == {"z"}
    assert router.pick(0.0, frozenset({"x", "z"})) is None


def share_of(router, name, now_s, draws=400):
    """Return the share of picks that choose an upstream."""
    return sum(router.pick(now_s).name == name for _ in range(draws)) / draws


def test_slow_target_loses_traffic_within_a_second():
    """Guards against a slow target that keeps its share of the calls."""
    router = Router("billing", "me", "a", random.Random(1))
    router.set_candidates([make_candidate(n) for n in ("x", "y", "z")], 0.0)
    for step in range(50):
        now_s = step / 50
        name = router.pick(now_s).name
        router.start(name, now_s)
        latency_s = 0.6 if name == "x" else 0.15
        router.finish(name, now_s, elapsed_s=latency_s, kind=None)
    assert share_of(router, "x", 1.0) < 0.05


def test_share_of_a_new_upstream_grows_at_a_different_time_per_caller():
    """Guards against a cold target that gets calls of all callers at once."""
    starts = set()
    for caller in range(20):
        router = Router("billing", f"caller-{caller}", "a", random.Random(caller))
        old = [make_candidate("x"), make_candidate("y")]
        router.set_candidates(old, 0.0)
        router.set_candidates([*old, make_candidate("new")], 10.0)
        assert share_of(router, "new", 10.0, 50) == 0.0
        assert share_of(router, "new", 14.0) > 0.1
        starts.add(round(router.cost("new", 10.8), 6))
    assert len(starts) > 5


def test_hint_of_an_idle_target_attracts_no_calls():
    """Guards against a target that reports to be idle while it is saturated."""
    router = Router("billing", "me", "a", random.Random(1))
    router.set_candidates([make_candidate("x"), make_candidate("y")], 0.0)
    before = router.cost("x", 0.0)
    router.record_load("x", 0.0, 0.0)
    assert router.cost("x", 0.0) == before
    router.record_load("y", 1.0, 0.0)
    assert router.cost("x", 0.0) < router.cost("y", 0.0)


def count_connections(names, callers, choose):
    """Return the connections of each upstream after all callers chose a subset."""
    plan = plan_subset(len(names), callers, 300)
    connections = dict.fromkeys(names, 0)
    for caller in range(callers):
        for name in choose(f"caller-{caller}", names, plan.size):
            connections[name] += plan.connections
    return connections


@pytest.mark.parametrize("callers", [10, 75, 200, 2000, 5000])
def test_subsets_hold_the_connections_of_each_upstream(callers):
    """Guards against callers that together exceed the connections of an upstream."""
    names = [f"billing-{number}" for number in range(60)]
    connections = count_connections(names, callers, choose_subset)
    assert min(connections.values()) > 0
    assert max(connections.values()) <= 300


def test_few_callers_share_all_connections():
    """Guards against the connection limit of a large mesh in a small one."""
    plan = plan_subset(3, 4, 300)
    assert plan.size == 3
    assert plan.connections == 300 // 4


def test_subset_check_finds_callers_that_choose_the_same_subset():
    """Verifies that the count exceeds the bound if callers choose the same subset."""
    names = [f"billing-{number}" for number in range(60)]
    connections = count_connections(names, 2000, lambda _, all_, size: all_[:size])
    assert max(connections.values()) > 300


def test_subset_changes_little_when_an_upstream_leaves():
    """Guards against a surge of new connections after one upstream leaves."""
    names = [f"billing-{number}" for number in range(60)]
    for caller in range(20):
        before = choose_subset(f"caller-{caller}", names, 8)
        after = choose_subset(f"caller-{caller}", names[1:], 8)
        assert len(set(after) - set(before)) <= 1
