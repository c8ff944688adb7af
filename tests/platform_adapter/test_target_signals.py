"""Targets that name a rate limit or say in their answers that they leave."""

import asyncio

import pytest
from platform_adapter.cluster import run_cluster, wait_until

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
