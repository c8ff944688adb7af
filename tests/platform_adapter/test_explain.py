"""Explains a failed request from its id and the log lines of the nodes alone."""

import asyncio
import os
from datetime import timedelta

import pytest
from eliot import add_destinations, remove_destination
from platform_adapter.log_lines import collect_lines

from mimosaloom_cli.explain import explain_request, format_explanation
from mimosaloom_model import ManualClock
from mimosaloom_relay import DecisionLog, log_to_descriptor

pytestmark = pytest.mark.sockets
ROUTE = {"pathPrefix": "/b/", "service": "back", "routeType": "non_idempotent"}


async def start_pair(cluster, **route):
    """Start a node that calls a service, and a node with a target of that service."""
    front = await cluster.add_member("front-1", "front")
    back = await cluster.add_member("back-1", "back")
    await cluster.configure(1, [{**ROUTE, **route}])
    await cluster.announce_all()
    return front, back


def test_refused_under_overload():
    """Guards against a refusal whose inputs are missing in the log."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, timeoutMs=400)
        back.target.modes = ["hold"] * 60
        pending = [
            front.send_request("/b/x", f"id-{n}", method="POST") for n in range(60)
        ]
        found = await asyncio.gather(*pending)
        refused.extend(n for n, r in enumerate(found) if r.status == 503)

    refused = []
    lines = collect_lines(scenario)
    explanation = explain_request(f"id-{refused[0]}", lines)
    assert "room" in explanation.cause or "slot" in explanation.cause
    hop = next(x for x in explanation.lines if x.message_type == "hop_refused")
    assert {"in_flight", "queued", "limit", "level", "priority"} <= hop.fields.keys()


def test_outcome_unknown_after_a_lost_answer():
    """Guards against a 502 whose log lines don't show which target gave no answer."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["lose"]
        assert (await front.send_request("/b/x", "id-7", method="POST")).status == 502

    explanation = explain_request("id-7", collect_lines(scenario))
    assert explanation.cause.startswith("a connection was lost after")
    kinds = [line.message_type for line in explanation.lines]
    assert kinds == ["target_gave_no_answer", "request_finished"]
    assert explanation.lines[0].fields["target_id"] == "i-back-1"


def test_deadline_passed_at_a_slow_target():
    """Guards against a timeout whose log lines name no target."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, timeoutMs=200)
        back.target.modes = ["hold"]
        assert (await front.send_request("/b/x", "id-7", method="POST")).status == 504

    lines = [*collect_lines(scenario), "not a log line", '{"torn": ']
    explanation = explain_request("id-7", lines)
    assert explanation.cause.startswith("no answer came within its time")
    assert explanation.skipped_count == 2
    assert explanation.lines[0].fields["remaining_ms"] <= 200
    report = list(format_explanation("id-7", explanation))
    assert report[-1] == "2 lines could not be read"
    assert "target_gave_no_answer" in report[0]


def stop_clock(log):
    """Stop the clock of a log, so that no room for lines is gained while a test runs.

    On a slow machine, room for another success would be gained between two requests.
    """
    clock = ManualClock()
    clock.advance(timedelta(seconds=log._clock.monotonic_s()))
    log._clock = clock


def test_failed_answer_of_a_target_is_logged_after_many_successes():
    """Guards against sampling failed answers of targets like successful ones."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        for member in (front, back):
            stop_clock(member.node.log)
        back.target.modes = ["ok"] * 80 + ["error"]
        for number in range(81):
            response = await front.send_request("/b/x", f"id-{number}", method="POST")
        assert response.status == 500

    lines = collect_lines(scenario)
    found = explain_request("id-80", lines).lines
    assert [line.message_type for line in found] == [
        "target_answered",
        "request_finished",
    ]
    assert not explain_request("id-79", lines).lines


def test_flood_drops_successes_and_keeps_failures():
    """Guards against unbounded logs, and against losing lines of failed requests."""
    written, dropped = [], []

    def destination(message):
        written.append(message["message_type"])

    add_destinations(destination)
    try:
        log = DecisionLog(ManualClock(), dropped.append)
        for number in range(5000):
            log.success("answered", request_id=str(number))
        for number in range(100):
            log.failure("failed", request_id=str(number))
    finally:
        remove_destination(destination)
    assert written.count("failed") == 100
    assert written.count("answered") < 100
    assert len(dropped) == 5000 - written.count("answered")


def test_pipe_without_a_reader_does_not_block():
    """Guards against a node that blocks because nothing reads its output."""
    reader, writer = os.pipe()
    dropped = []
    remove = log_to_descriptor(writer, dropped.append, node="n")
    try:
        log = DecisionLog(ManualClock(), lambda reason: None)
        for _ in range(200):
            log.failure("failed", detail="x" * 2000)
    finally:
        remove()
        os.close(reader)
        os.close(writer)
    assert "unwritable" in dropped
