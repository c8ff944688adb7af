"""Targets that leave, while their nodes stop, restart or are killed."""

import asyncio

import msgspec
import pytest
from platform_adapter.cluster import run_cluster, wait_until

from mimosaloom_relay.leave_exchange import STORE_TIMEOUT_S, TIMEOUT_S

pytestmark = pytest.mark.sockets

# A stall of the event loop counts against the time of a request, at each node.
BACK_ROUTE = {"pathPrefix": "/b/", "service": "back", "timeoutMs": 30_000}
FRONT_ROUTE = {"pathPrefix": "/f/", "service": "front"}
# A target takes a later answer for none.
MAX_ACKNOWLEDGEMENT_S = 1.0


@pytest.mark.parametrize("is_running", [False, True])
def test_node_that_stops_after_its_target_has_left_is_not_listed(is_running):
    """Guards against upstreams that stay listed for ever after they have left.

    While the target runs, its leave stays in the store.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front", grace_s=6.0)
        other = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [FRONT_ROUTE])
        await cluster.announce_all()
        await front.leave()
        if not is_running:
            front.target.crash()
        await front.node.stop()
        names = lambda: cluster.store.newest_values("keyed.nodes").keys()  # noqa: E731
        await wait_until(lambda: ("front-1" in names()) == is_running)
        assert cluster.is_leaving_in_store("front-1") == is_running
        await wait_until(lambda: other.node.upstreams.peers.get("front-1") is None)

    run_cluster(scenario)


@pytest.mark.parametrize("stops", [1, 2])
def test_leave_outlives_planned_restarts_of_all_nodes(stops):
    """Guards against a leave that is removed by the stop of the node beside it."""

    async def scenario(cluster):
        await cluster.add_member("front-1", "front", grace_s=6.0)
        back = await cluster.add_member("back-1", "back", grace_s=6.0)
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        assert (await back.leave()).status == 200
        for _ in range(stops):
            nodes = [member.node for member in cluster.members.values()]
            await asyncio.gather(*(node.stop() for node in nodes))
            front, back = [
                await cluster.restart(name) for name in ("front-1", "back-1")
            ]
            await wait_until(lambda node=back.node: node.version == 1)
        await back.announce()
        assert back.node.own_target.is_leaving
        await check_unused(back.target, (front, back))

    run_cluster(scenario)


async def check_unused(target, members):
    """Send requests to several nodes for a while; none may reach a target."""
    for number in range(20):
        for member in members:
            await member.send_request("/b/x", f"{member.target.port}-{number}")
        await asyncio.sleep(0.01)
    assert target.runs == []


@pytest.mark.parametrize("is_store_late", [False, True])
def test_leave_that_the_store_has_not_got_outlives_its_node(is_store_late):
    """Guards against requests to a target whose node has forgotten that it left."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        cluster.store.is_down = True
        assert (await back.leave()).status == 200
        await wait_until(lambda: not front.sees_all_available(cluster.members))
        cluster.store.is_down = is_store_late
        restarted = await cluster.restart("back-1")
        await restarted.announce()
        cluster.store.is_down = False
        await wait_until(lambda: restarted.node.version == 1)
        await wait_until(lambda: restarted.node.own_target.is_leaving)
        await check_unused(back.target, (front, restarted))

    run_cluster(scenario)


@pytest.mark.parametrize("is_delete", [False, True])
def test_acknowledged_leave_outlives_all_nodes(is_delete):
    """Guards against a leave that is acknowledged before the store has it."""

    async def scenario(cluster):
        await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        cluster.store.answer_delay_s = 0.1
        answer = await (back.leave() if is_delete else back.announce("draining"))
        assert answer.status == 200
        assert cluster.is_leaving_in_store("back-1")
        cluster.store.answer_delay_s = 0.0
        for task in cluster.tasks:
            task.cancel()
        front, back = [await cluster.restart(name) for name in ("front-1", "back-1")]
        await wait_until(lambda: back.node.version == 1)
        await back.announce()
        await check_unused(back.target, (front, back))

    run_cluster(scenario)


def test_slow_store_has_a_leave_before_it_is_acknowledged():
    """Guards against a leave in memory only, as other nodes answer before the store."""

    async def scenario(cluster):
        await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        cluster.store.answer_delay_s = 0.45
        assert (await back.leave()).status == 200
        assert cluster.is_leaving_in_store("back-1")

    run_cluster(scenario)


@pytest.mark.parametrize("fault", ["slow", "rejecting"])
@pytest.mark.parametrize("is_delete", [False, True])
def test_leave_that_neither_store_nor_nodes_keep_is_not_revoked(fault, is_delete):
    """Guards against a late heartbeat that puts a target in use which has left.

    All nodes are killed right after the acknowledgement; the store has got nothing.
    """

    async def scenario(cluster):
        await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        if fault == "slow":
            cluster.store.answer_delay_s = 2.0
        else:
            cluster.store.is_down = True
        back.target.is_healthy = False
        answer = await (back.leave() if is_delete else back.announce("draining"))
        assert answer.status == 200
        for task in cluster.tasks:
            task.cancel()
        assert not cluster.is_leaving_in_store("back-1")
        cluster.store.answer_delay_s, cluster.store.is_down = 0.0, False
        front, back = [await cluster.restart(name) for name in ("front-1", "back-1")]
        await wait_until(lambda: back.node.version == 1)
        await back.announce()
        await check_unused(back.target, (front, back))

    run_cluster(scenario)


@pytest.mark.parametrize("is_silent", [False, True])
def test_acknowledged_leave_is_known_to_others_while_the_store_is_away(is_silent):
    """Guards against a leave that only one process knows of when it is acknowledged."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        start = back.node.own_target.start_key
        # The message that is sent without waiting for its answer is lost.
        back.node.messenger.broadcast = lambda request, timeout_s: None
        cluster.store.is_silent, cluster.store.is_down = is_silent, not is_silent
        assert STORE_TIMEOUT_S + TIMEOUT_S < MAX_ACKNOWLEDGEMENT_S
        assert (await back.announce("draining")).status == 200
        assert front.node.upstreams.peers.find_left_start("back-1") == start

    run_cluster(scenario)


def test_leave_before_the_first_heartbeat_after_a_restart_is_kept_by_all_nodes():
    """Guards against a late heartbeat that revokes a leave that has been confirmed.

    The store is away, and the node that confirms the leave starts anew twice.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        cluster.store.is_down = True
        restarted = await cluster.restart("back-1")
        start = msgspec.json.encode({"born": 5})
        assert (await restarted.leave(start)).status == 200
        await restarted.announce(born=5)
        assert restarted.node.own_target.is_leaving
        cluster.store.is_down = False
        await wait_until(lambda: restarted.node.version == 1)
        await wait_until(lambda: not front.sees_all_available(cluster.members))
        restarted = await cluster.restart("back-1")
        await wait_until(lambda: restarted.node.version == 1)
        await restarted.announce(born=5)
        await wait_until(lambda: restarted.node.own_target.is_leaving)
        await check_unused(back.target, (front, restarted))

    run_cluster(scenario)


@pytest.mark.parametrize("is_delete", [False, True])
def test_leave_of_a_target_that_restarted_with_an_earlier_time_is_respected(is_delete):
    """Guards against a confirmed leave that is ignored after a step of the clock."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await front.announce()
        await back.announce(born=10_000)
        await wait_until(lambda: front.sees_all_available(cluster.members))
        back.sequence = 0
        await back.announce(born=7_600)
        assert (
            await front.send_request("/b/x", "before", timeout_ms=30_000)
        ).status == 200
        if is_delete:
            answer = await back.leave(msgspec.json.encode({"born": 7_600}))
        else:
            answer = await back.announce("draining", born=7_600)
        assert answer.status == 200
        await wait_until(lambda: not front.sees_all_available(cluster.members))
        for number in range(10):
            await front.send_request("/b/x", f"after-{number}")
            await back.send_request("/b/x", f"beside-{number}")
        assert back.target.runs == ["before"]

    run_cluster(scenario)
