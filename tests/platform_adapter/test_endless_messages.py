"""Messages without end: what a node reads and holds of them stays small."""

import asyncio

import pytest
from platform_adapter.cluster import WAIT_TIMEOUT_S, run_cluster, wait_until

pytestmark = pytest.mark.sockets

ROUTE = {"pathPrefix": "/b/", "service": "back"}
# What a node may read of a head, and what the sockets of both ends may hold.
MAX_READ_BYTES = 16 * 1024 * 1024
HEAD_MODES = ["endless-status", "endless-header", "endless-headers"]
HEAD_MODES += ["endless-interim", "endless-trailers"]


async def start_nodes(cluster):
    """Start a front and two targets behind it."""
    front = await cluster.add_member("front-1", "front")
    for name in ("back-1", "back-2"):
        await cluster.add_member(name, "back")
    await cluster.configure(1, [ROUTE])
    await cluster.announce_all()
    return front


@pytest.mark.parametrize("mode", HEAD_MODES)
def test_node_gives_up_an_answer_whose_head_never_ends(mode):
    """Guards against a node that runs out of memory because of one answer."""

    async def scenario(cluster):
        front = await start_nodes(cluster)
        targets = [cluster.members[name].target for name in ("back-1", "back-2")]
        targets[0].modes = [mode]
        number = 0
        while not targets[0].runs:
            await front.send_request("/b/x", f"id-{number}", timeout_ms=5000)
            number += 1
        await wait_until(lambda: targets[0].disconnected)
        assert targets[0].endless_bytes <= MAX_READ_BYTES
        assert (await front.send_request("/b/x", "later")).status == 200

    run_cluster(scenario)


def test_node_closes_an_endless_body_when_its_caller_has_left():
    """Guards against a target that writes for ever to a node without a reader."""

    async def scenario(cluster):
        front = await start_nodes(cluster)
        back = cluster.members["back-1"].target
        cluster.members["back-2"].target.modes = ["endless-body"]
        back.modes = ["endless-body"]
        address = front.node.addresses.outbound
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b"GET /b/x HTTP/1.1\r\nHost: h.example\r\nMimosaloom-Attempt-Id: id-1\r\n"
            b"Mimosaloom-Timeout-Ms: 5000\r\n\r\n"
        )
        await reader.readexactly(1024 * 1024)
        writer.transport.abort()
        targets = [cluster.members[name].target for name in ("back-1", "back-2")]
        await wait_until(lambda: any(target.disconnected for target in targets))

    run_cluster(scenario)


def test_node_closes_an_endless_answer_to_its_health_check():
    """Guards against a connection that stays open for an answer that nobody reads."""

    async def scenario(cluster):
        front = await start_nodes(cluster)
        back = cluster.members["back-1"].target
        back.has_endless_health = True
        restarted = await cluster.restart("back-1")
        await wait_until(lambda: "health" in back.disconnected)
        await wait_until(lambda: restarted.node.own_target.is_available)
        assert (await front.send_request("/b/x")).status == 200

    run_cluster(scenario)


@pytest.mark.parametrize("start", [b"GET /", b"GET /b/x HTTP/1.1\r\nX: "])
def test_node_refuses_a_request_whose_head_never_ends(start):
    """Guards against a node that runs out of memory because of one client."""

    async def scenario(cluster):
        front = await start_nodes(cluster)
        address = front.node.addresses.outbound
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(start + b"x" * MAX_READ_BYTES)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            assert (await reader.readline()).startswith(b"HTTP/1.1 431 ")
        writer.transport.abort()

    run_cluster(scenario)
