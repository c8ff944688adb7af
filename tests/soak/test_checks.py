"""Tests that the checks of a soak find each broken rule, and excuse what is allowed."""

import random

import pytest
from platform_adapter.store_standin import FakeStore
from soak.bad_requests import BadRequest, find_unbounded_ends
from soak.callers import Exchange
from soak.checks import STABLE_S, Disturbance, find_broken_rules, find_late_runs
from soak.machines import build_machines
from soak.operations import Operations
from soak.targets import DRAIN_S, Leave, Run

MACHINE = build_machines(0, ["alpha", "beta"], 1)[0]
ONCE, OFTEN = "/once-alpha/x", "/often-alpha/x"
SENT_S = 100.0


class Clock:
    """Time of the operator."""

    now_s = 0.0


def build_exchange(path=ONCE, **fields):
    """Return an answered request, with other fields where given."""
    values = {
        "request_id": "id-1",
        "machine": MACHINE,
        "host": "h.example",
        "path": path,
        "is_idempotent": path == OFTEN,
        "sent_s": SENT_S,
        "ended_s": SENT_S + 0.5,
        "status": 200,
        "is_own_answer": True,
        "was_accepted": True,
        **fields,
    }
    return Exchange(**values)


def find_rules(exchange, services, *, disturbances=(), published_s=(0.0,)):
    """Return the rules that a request breaks.

    Args:
        exchange: The request.
        services: Services that ran it.
        disturbances: Faults near it.
        published_s: When the operator published a version; each one after the first
            moves the routes of the request to the service beta.
    """
    clock = Clock()
    operations = Operations(
        FakeStore(), ["alpha", "beta"], random.Random(1), lambda: clock.now_s
    )
    for at_s in published_s:
        clock.now_s = at_s
        operations.publish()
    moved = {"/once-alpha/": "beta", "/often-alpha/": "beta"}
    operations.versions[1:] = [
        version._replace(services=moved) for version in operations.versions[1:]
    ]
    runs = [Run("id-1", service, "i-1", SENT_S + 0.1) for service in services]
    findings = find_broken_rules([exchange], runs, operations, list(disturbances))
    return [finding.rule for finding in findings]


@pytest.mark.parametrize(
    ("exchange", "services", "rules"),
    [
        (build_exchange(), ["alpha"], []),
        (build_exchange(), ["alpha", "alpha"], ["TWICE"]),
        (build_exchange(OFTEN), ["alpha", "alpha"], []),
        (build_exchange(status=503), ["alpha"], ["REFUSED"]),
        (build_exchange(status=503), [], []),
        (build_exchange(OFTEN, status=503), ["alpha"], []),
        (build_exchange(status=502), ["alpha"], []),
        (build_exchange(is_own_answer=False), ["alpha"], ["MIXED"]),
        (build_exchange(), [], ["MIXED"]),
        (build_exchange(), ["beta"], ["CONFIG"]),
        (build_exchange(status=404), [], ["DENIED"]),
        (build_exchange("/other/x", status=404), [], []),
        (build_exchange(status=0), ["alpha"], ["LOST"]),
        (build_exchange(status=0, ended_s=SENT_S + 0.1), [], []),
        (build_exchange(status=0, was_accepted=False), [], []),
    ],
)
def test_broken_rules_are_found(exchange, services, rules):
    """Guards against a soak that passes because it does not look."""
    assert find_rules(exchange, services) == rules


@pytest.mark.parametrize(
    ("published_s", "services", "rules"),
    [
        ((0.0, SENT_S - 2.5), ["alpha"], ["CONFIG"]),
        ((0.0, SENT_S - 1.5), ["alpha"], []),
        ((0.0, SENT_S - 1.5), ["beta"], []),
        ((0.0, SENT_S + 0.05), ["beta"], []),
    ],
)
def test_version_may_be_in_force_late_by_the_allowed_time(published_s, services, rules):
    """Guards against other bounds than the platform's on a change."""
    found = find_rules(build_exchange(), services, published_s=published_s)
    assert found == rules


@pytest.mark.parametrize(
    ("disturbance", "rules"),
    [
        (Disturbance("", SENT_S - 9, SENT_S - 2.5, False, "x"), []),
        (Disturbance("", SENT_S - 9, SENT_S - 3.5, False, "x"), ["DENIED"]),
        (Disturbance(MACHINE.name, SENT_S + 0.2, SENT_S + 1, False, "x"), []),
        (Disturbance("beta-0", SENT_S - 9, SENT_S + 9, False, "x"), ["DENIED"]),
    ],
)
def test_only_a_disturbed_node_is_excused(disturbance, rules):
    """Guards against excuses for nodes that no fault has touched."""
    exchange = build_exchange(status=404)
    assert find_rules(exchange, [], disturbances=[disturbance]) == rules


@pytest.mark.parametrize("is_planned", [True, False])
def test_planned_stop_excuses_no_lost_request(is_planned):
    """Guards against planned stops that cut off requests."""
    stop = Disturbance(MACHINE.name, SENT_S - 1, SENT_S + 1, is_planned, "stop")
    found = find_rules(build_exchange(status=0), ["alpha"], disturbances=[stop])
    assert found == (["LOST"] if is_planned else [])


@pytest.mark.parametrize(
    ("retries", "is_late", "is_broken"),
    [
        (3, True, False),
        (4, True, True),
        (9, False, False),
    ],
)
def test_request_that_goes_on_to_targets_after_it_has_ended_three_is_found(
    retries, is_late, is_broken
):
    """Guards against a check that misses ends, or counts those of before the bound."""
    bad = BadRequest(OFTEN, "")
    times_s = [SENT_S + number / 10 for number in range(3)]
    start_s = times_s[-1] + (STABLE_S + 0.1 if is_late else 0.1)
    times_s += [start_s + number / 10 for number in range(retries)]
    exchanges = [
        build_exchange(OFTEN, request_id=f"id-{number}", sent_s=at_s, ended_s=at_s)
        for number, at_s in enumerate(times_s)
    ]
    runs = [
        Run(f"id-{number}", "alpha", f"t-{number}", at_s)
        for number, at_s in enumerate(times_s)
    ]
    found = find_unbounded_ends([bad], exchanges, runs, [])
    assert [finding.rule for finding in found] == (["BUDGET"] if is_broken else [])
    everywhere = [Disturbance("", 0.0, 10 * SENT_S, False, "store down")]
    assert not find_unbounded_ends([bad], exchanges, runs, everywhere)


LEAVING = "i-leaving"


def find_late(at_s, *, sent_s=SENT_S, disturbances=()):
    """Return the findings on a run at a target whose leave was acknowledged at 0 s."""
    exchange = build_exchange(sent_s=sent_s, ended_s=at_s + 0.1)
    runs = [Run(exchange.request_id, "alpha", LEAVING, at_s)]
    leaves = [Leave(LEAVING, "machine", 0.0)]
    return find_late_runs([exchange], runs, leaves, list(disturbances))


def test_run_at_a_target_that_has_left_is_found():
    """Guards against a check of leaves that finds nothing."""
    assert [finding.rule for finding in find_late(SENT_S)] == ["DRAIN"]
    assert not find_late(DRAIN_S, sent_s=DRAIN_S)


@pytest.mark.parametrize("machine", ["", "machine", MACHINE.name])
def test_late_run_is_excused_while_a_machine_is_not_in_touch(machine):
    """Guards against findings on requests of machines that were just started."""
    near = Disturbance(machine, SENT_S - 9.0, SENT_S - STABLE_S + 0.1, False, "kill")
    assert not find_late(SENT_S, disturbances=[near])
    assert find_late(SENT_S, disturbances=[near._replace(end_s=SENT_S - STABLE_S - 1)])
