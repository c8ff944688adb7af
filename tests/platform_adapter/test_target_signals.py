"""Targets that name a rate limit or say in their answers that they leave."""

import asyncio

import pytest
from platform_adapter.cluster import run_cluster, wait_until

from mimosaloom_relay.leave_exchange import LeaveExchange

pytestmark = pytest.mark.sockets

BACK_ROUTE = {"pathPrefix": "/b/", "service": "back"}
LIMIT_PER_S = 5.0
WINDOW_S = 4.0
# Requests in a window from nodes that know the limit, by the rules of the platform.
ALLOWED_IN_WINDOW = int(1.5 * LIMIT_PER_S * WINDOW_S + 5)
# All requests of a test are answered within one window.
TIMEOUT_MS = 1000
BURST = 60


async def start_limited_back(cluster, *names):
    """Start a front and the named targets, the first of which names a limit."""
    front = await cluster.add_member("front-1", "front")
    for name in names:
        await cluster.add_member(name, "back")
    await cluster.configure(1, [BACK_ROUTE])
    await cluster.announce_all()
    limited = cluster.members[names[0]]
    limited.target.signals = [f"Server-Limit: {LIMIT_PER_S}"]
    number = 0
    while not limited.target.runs:
        await front.send_request("/b/x", f"first-{number}")
        number += 1
    return front, limited


async def send_burst(member, prefix):
    """Send many requests at once; return their statuses."""
    sending = (
        member.send_request("/b/x", f"{prefix}-{number}", timeout_ms=TIMEOUT_MS)
        for number in range(BURST)
    )
    return [response.status for response in await asyncio.gather(*sending)]


def test_target_gets_no_more_requests_than_the_limit_that_it_names():
    """Guards against a limit that is not read, or that is not kept."""

    async def scenario(cluster):
        front, back = await start_limited_back(cluster, "back-1")
        statuses = await send_burst(front, "id")
        assert set(statuses) <= {200, 503}
        assert 1 <= len(back.target.runs) <= ALLOWED_IN_WINDOW

    run_cluster(scenario)


def test_restarted_node_keeps_the_limit_that_its_target_named():
    """Guards against a burst at a target in need because its node has restarted."""

    async def scenario(cluster):
        front, back = await start_limited_back(cluster, "back-1")
        await send_burst(front, "before")
        back.target.runs.clear()
        restarted = await cluster.restart("back-1")
        await restarted.announce()
        peers, incarnation = front.node.upstreams.peers, restarted.node.incarnation
        await wait_until(lambda: peers.get("back-1").incarnation == incarnation)
        await wait_until(lambda: peers.get("back-1").is_available)
        await send_burst(front, "after")
        assert len(back.target.runs) <= ALLOWED_IN_WINDOW

    run_cluster(scenario)


def test_requests_above_the_limit_of_a_target_go_to_another():
    """Guards against requests that fail although another target has room."""

    async def scenario(cluster):
        front, limited = await start_limited_back(cluster, "back-1", "back-2")
        for number in range(BURST):
            response = await front.send_request("/b/x", f"id-{number}")
            assert response.status == 200
        assert len(limited.target.runs) <= ALLOWED_IN_WINDOW

    run_cluster(scenario)


def test_target_that_names_no_limit_any_more_gets_all_requests():
    """Guards against a limit that stays in force after the target has recovered."""

    async def scenario(cluster):
        front, back = await start_limited_back(cluster, "back-1")
        back.target.signals = []
        served = 0
        while served < BURST:
            response = await front.send_request("/b/x", f"id-{served}")
            served = served + 1 if response.status == 200 else 0

    run_cluster(scenario)


async def start_leaving_back(cluster):
    """Start a front and two targets, the first of which has said that it leaves."""
    front = await cluster.add_member("front-1", "front")
    for name in ("back-1", "back-2"):
        await cluster.add_member(name, "back", grace_s=6.0)
    await cluster.configure(1, [BACK_ROUTE])
    await cluster.announce_all()
    leaving = cluster.members["back-1"]
    leaving.target.signals = ["Server-Leaving: 1"]
    number = 0
    while not leaving.target.runs:
        await front.send_request("/b/x", f"first-{number}")
        number += 1
    leaving.target.runs.clear()
    return front, leaving


def forget_record(store, name):
    """Remove the records of a node, so that its next incarnation knows nothing."""
    records = store.topics["keyed.nodes"]
    records[:] = [(key, b"" if key == name else value) for key, value in records]


async def send_rounds(member, prefix):
    """Send requests, a few at a time; each has to be answered with 200."""
    for turn in range(5):
        sending = (
            member.send_request("/b/x", f"{prefix}-{turn}-{number}")
            for number in range(6)
        )
        assert {response.status for response in await asyncio.gather(*sending)} == {200}


def test_target_that_says_in_an_answer_that_it_leaves_gets_no_more_requests():
    """Guards against requests to a target that leaves without a heartbeat."""

    async def scenario(cluster):
        front, leaving = await start_leaving_back(cluster)
        await leaving.announce()
        await send_rounds(front, "id")
        assert leaving.target.runs == []

    run_cluster(scenario)


@pytest.mark.parametrize("is_store_late", [False, True])
def test_restarted_node_does_not_forget_that_its_target_leaves(is_store_late):
    """Guards against requests to a leaving target because its node has restarted."""

    async def scenario(cluster):
        front, leaving = await start_leaving_back(cluster)
        await wait_until(lambda: cluster.is_leaving_in_store("back-1"))
        cluster.store.is_down = is_store_late
        restarted = await cluster.restart("back-1")
        await restarted.announce()
        cluster.store.is_down = False
        await wait_until(lambda: not restarted.node.own_target.is_available)
        peers, incarnation = front.node.upstreams.peers, restarted.node.incarnation
        await wait_until(lambda: peers.get("back-1").incarnation == incarnation)
        await send_rounds(front, "id")
        assert leaving.target.runs == []

    run_cluster(scenario)


def test_origin_remembers_that_a_target_leaves_although_its_node_has_forgotten():
    """Guards against an origin that relies on what a restarted node knows."""

    async def scenario(cluster):
        front, leaving = await start_leaving_back(cluster)
        forget_record(cluster.store, "back-1")
        restarted = await cluster.restart("back-1")
        await restarted.announce()
        peers, incarnation = front.node.upstreams.peers, restarted.node.incarnation
        await wait_until(lambda: peers.get("back-1").incarnation == incarnation)
        await send_rounds(front, "id")
        assert leaving.target.runs == []

    run_cluster(scenario)


def test_origin_remembers_that_a_target_leaves_over_a_planned_restart_of_its_node(
    monkeypatch,
):
    """Guards against an origin that forgets a start together with its record."""
    # The restarted node would learn it from others, and publish no available target.
    monkeypatch.setattr(LeaveExchange, "ask", lambda exchange: None)

    async def scenario(cluster):
        front, leaving = await start_leaving_back(cluster)
        await leaving.node.stop()
        peers = front.node.upstreams.peers
        await wait_until(lambda: peers.get("back-1") is None)
        forget_record(cluster.store, "back-1")
        restarted = await cluster.restart("back-1")
        await restarted.announce()
        await wait_until(lambda: front.sees_all_available(cluster.members))
        await send_rounds(front, "id")
        assert leaving.target.runs == []

    run_cluster(scenario)


def test_target_that_starts_again_gets_requests():
    """Guards against a target that stays idle because its last start has left."""

    async def scenario(cluster):
        front, leaving = await start_leaving_back(cluster)
        leaving.target.signals = []
        leaving.sequence = 0
        await leaving.announce(born=2)
        number = 0
        while not leaving.target.runs:
            await front.send_request("/b/x", f"id-{number}")
            number += 1

    run_cluster(scenario)
