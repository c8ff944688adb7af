"""Requests that certainly have not run are refused with 503, so that callers may retry.

Callers send a request that is not safe to repeat again only after such a refusal.
"""

import asyncio
import contextlib
import socket

import msgspec
import pytest
from platform_adapter.cluster import run_cluster, wait_until

pytestmark = pytest.mark.sockets
NON_IDEMPOTENT = {"routeType": "non_idempotent"}
FULL_SLOTS = 7


async def start_pair(cluster, **route):
    """Start a node that calls a service, and a node with a target of that service."""
    front = await cluster.add_member("front-1", "front")
    back = await cluster.add_member("back-1", "back")
    await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back", **route}])
    await cluster.announce_all()
    return front, back


def check_refusal(response, target=None, request_id="id-1"):
    """Check that a response promises that the request has not run, and is true."""
    body = msgspec.json.decode(response.body)
    assert (response.status, body["ran"]) == (503, "no"), body
    assert float(response.header("Retry-After")) > 0
    if target is not None:
        assert request_id not in target.runs


@contextlib.contextmanager
def listen_without_accepting(port):
    """Listen on a port of loopback where no further connection can be opened."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(0)
        for _ in range(3):
            # Fills the queue of connections that wait to be accepted.
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", port))
        yield


async def learn_service_time(member, target, duration_s):
    """Let a request run on a target for some time, so that its node learns the time."""
    target.modes = ["hold"]
    running = asyncio.ensure_future(member.send_request("/b/x", "long"))
    await wait_until(lambda: "long" in target.runs)
    await asyncio.sleep(duration_s)
    target.released.set()
    assert (await running).status == 200


@pytest.mark.parametrize("sender", ["front-1", "back-1"])
def test_time_that_is_too_short_for_the_target(sender):
    """Guards against a 504 for a request that its node has not sent to the target."""

    async def scenario(cluster):
        _, back = await start_pair(cluster)
        member = cluster.members[sender]
        await learn_service_time(member, back.target, 0.3)
        check_refusal(await member.send_request("/b/x", timeout_ms=60), back.target)

    run_cluster(scenario)


def test_time_that_ran_out_while_the_origin_was_paused():
    """Guards against a 504 for a request that was sent to no node."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        front.node.origin.recent_pause_s = lambda: 5.0
        check_refusal(await front.send_request("/b/x"), back.target)

    run_cluster(scenario)


@pytest.mark.parametrize("route", [{}, NON_IDEMPOTENT])
@pytest.mark.parametrize("sender", ["front-1", "back-1"])
def test_time_that_ran_out_while_its_target_was_connected_to(
    monkeypatch, route, sender
):
    """Guards against a doubt about a request of which no byte was written."""
    # The node beside the target answers first, also on a busy machine.
    monkeypatch.setattr("mimosaloom_relay.origin.DEADLINE_SLACK_S", 3.0)

    async def scenario(cluster):
        _, back = await start_pair(cluster, **route)
        back.target.crash()
        with listen_without_accepting(back.target.port):
            response = await cluster.members[sender].send_request(
                "/b/x", method="POST", timeout_ms=200
            )
            check_refusal(response, back.target)

    run_cluster(scenario)


@pytest.mark.parametrize("route", [{}, NON_IDEMPOTENT])
def test_time_that_ran_out_while_the_upstream_was_connected_to(route):
    """Guards against a doubt about a hop of which no byte was written."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **route)
        back.node.own_record.send = lambda record: None
        port = back.node.addresses.inbound.port
        await back.node.close()
        front.node.origin.recent_pause_s = lambda: 0.0
        with listen_without_accepting(port):
            response = await front.send_request("/b/x", method="POST", timeout_ms=200)
            check_refusal(response, back.target)

    run_cluster(scenario)


def test_time_that_ran_out_in_the_queue_of_the_own_target():
    """Guards against a doubt about a request that this node itself has held back."""

    async def scenario(cluster):
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        back.target.modes = ["hold"] * FULL_SLOTS
        running = [
            asyncio.ensure_future(back.send_request("/b/x", f"held-{number}"))
            for number in range(FULL_SLOTS)
        ]
        await wait_until(lambda: len(back.target.runs) == FULL_SLOTS)
        # The queue is not looked through, as if the event loop were late.
        back.node.target_side.close()
        check_refusal(await back.send_request("/b/x", timeout_ms=200), back.target)
        back.target.released.set()
        await asyncio.gather(*running)
        assert "id-1" not in back.target.runs

    run_cluster(scenario)


@pytest.mark.parametrize("route", [{}, NON_IDEMPOTENT])
@pytest.mark.parametrize("sender", ["front-1", "back-1"])
@pytest.mark.parametrize("mode", ["hang", "hold", "lose"])
def test_request_that_was_written_is_never_refused(route, sender, mode):
    """Guards against a promise for a request that a target has received."""

    async def scenario(cluster):
        _, back = await start_pair(cluster, **route)
        back.target.modes = [mode] * 5
        response = await cluster.members[sender].send_request(
            "/b/x", method="POST", timeout_ms=200
        )
        assert response.status in (502, 504)
        assert response.header("Retry-After") is None

    run_cluster(scenario)


def test_request_that_has_run_elsewhere_is_not_refused():
    """Guards against a promise by a later attempt for one that may have run before."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["lose"]
        # The second attempt finds too little time.
        back.node.target_side.recent_pause_s = lambda: 5.0 if back.target.runs else 0.0
        response = await front.send_request("/b/x", method="POST")
        assert response.status in (502, 504)
        assert response.header("Retry-After") is None

    run_cluster(scenario)


@pytest.mark.parametrize(("route", "statuses"), [({}, {503}), (NON_IDEMPOTENT, {504})])
def test_request_that_goes_on_without_its_caller_is_not_refused(
    monkeypatch, route, statuses
):
    """Guards against a promise for a request that is still to be written."""
    # The origin gives up while the connection to its own target is being opened.
    monkeypatch.setattr("mimosaloom_relay.origin.DEADLINE_SLACK_S", -0.15)

    async def scenario(cluster):
        _, back = await start_pair(cluster, **route)
        back.target.crash()
        with listen_without_accepting(back.target.port):
            response = await back.send_request("/b/x", method="POST", timeout_ms=200)
            assert response.status in statuses
            is_detached = bool(back.node.target_side.detached_runs)
            assert is_detached == (route == NON_IDEMPOTENT)

    run_cluster(scenario)
