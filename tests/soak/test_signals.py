"""Tests that a soak finds requests above a limit or to a target that leaves."""

import pytest
from soak.checks import Disturbance
from soak.signals import LimitSpan, find_broken_signals
from soak.targets import Run
from soak.test_checks import MACHINE, build_exchange

START_S = 100.0
SPAN = LimitSpan("i-1", 2.0, START_S, START_S + 20)
ALLOWED = 17


def told(at_s, **signal):
    """Return a request whose answer carries a signal of the target."""
    return build_exchange(
        request_id="told", sent_s=at_s - 0.1, ended_s=at_s, target_id="i-1", **signal
    )


def send(count, at_s, target_id="i-1"):
    """Return requests of the machine that reach a target at a time."""
    ids = [f"id-{number}" for number in range(count)]
    exchanges = [build_exchange(request_id=i, sent_s=at_s - 0.01) for i in ids]
    return exchanges, [Run(i, "alpha", target_id, at_s) for i in ids]


def find_rules(first, exchanges, runs, *, limits=(), disturbances=()):
    """Return the broken rules."""
    found = find_broken_signals([first, *exchanges], runs, limits, list(disturbances))
    return [finding.rule for finding in found]


@pytest.mark.parametrize(
    ("count", "at_s", "told_at_s", "rules"),
    [
        (ALLOWED, START_S + 5, START_S + 1, []),
        (ALLOWED + 1, START_S + 5, START_S + 1, ["LIMIT"]),
        (ALLOWED + 1, START_S + 2.9, START_S + 1, []),
        (ALLOWED + 1, START_S + 5, START_S + 4.6, []),
        (ALLOWED + 1, START_S + 21, START_S + 1, []),
    ],
)
def test_requests_above_a_limit_are_found(count, at_s, told_at_s, rules):
    """Guards against a soak that does not count, or counts what is allowed."""
    exchanges, runs = send(count, at_s)
    first = told(told_at_s, names_limit=True)
    assert find_rules(first, exchanges, runs, limits=[SPAN]) == rules


@pytest.mark.parametrize(("what", "rules"), [("kill", []), ("store busy", ["LIMIT"])])
def test_only_a_machine_that_has_restarted_or_was_cut_off_is_excused(what, rules):
    """Guards against excuses for machines that no fault has touched."""
    exchanges, runs = send(ALLOWED + 1, START_S + 8)
    first = told(START_S + 1, names_limit=True)
    fault = Disturbance(MACHINE.name, START_S + 2, START_S + 3, False, what)
    found = find_rules(first, exchanges, runs, limits=[SPAN], disturbances=[fault])
    assert found == rules


@pytest.mark.parametrize(
    ("at_s", "target_id", "rules"),
    [
        (START_S + 1.9, "i-1", []),
        (START_S + 2.1, "i-1", ["DRAIN"]),
        (START_S + 2.1, "i-2", []),
    ],
)
def test_request_to_a_target_that_has_said_that_it_leaves_is_found(
    at_s, target_id, rules
):
    """Guards against a soak that does not look at leaving targets."""
    exchanges, runs = send(1, at_s, target_id)
    first = told(START_S, is_target_leaving=True)
    assert find_rules(first, exchanges, runs) == rules
