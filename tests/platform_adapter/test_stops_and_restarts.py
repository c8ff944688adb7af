"""Stops and restarts of nodes over real sockets, while their targets go on."""

import asyncio

import pytest
from platform_adapter.cluster import run_cluster, until

pytestmark = pytest.mark.sockets

FRONT_ROUTE = {"pathPrefix": "/f/", "service": "front"}


def test_stop_cuts_no_request():
    """Guards against a planned stop that cuts a request in flight."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front", grace_s=6.0)
        back = await cluster.add("back-1", "back", grace_s=6.0)
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        back.target.modes = ["hold"]
        asking = asyncio.ensure_future(front.ask("/b/x", method="POST", body=b"1"))
        await until(lambda: back.target.runs)
        stops = [asyncio.ensure_future(m.node.stop()) for m in (front, back)]
        await asyncio.sleep(0)
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == 503
        back.target.released.set()
        response = await asking
        assert (response.status, response.body) == (200, b"done:1")
        assert response.header("Connection") == "close"
        for stop in stops:
            await stop

    run_cluster(scenario)


def test_stopping_node_takes_no_request_that_it_can_not_finish():
    """Guards against late requests that the end of the process cuts.

    Clients go on to send where most nodes of their failure domain are out.
    """

    async def scenario(cluster):
        front = await cluster.add("front-1", "front", grace_s=4.0)
        back = await cluster.add("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        stopping = asyncio.ensure_future(front.node.stop())
        answers = []
        while not answers or answers[-1].status == 200:
            answers.append(await front.ask("/b/x", f"id-{len(answers)}"))
            await asyncio.sleep(0.02)
        assert not stopping.done()
        assert answers[-1].status == 503
        assert answers[-1].header("Connection") == "close"
        assert len(answers) > 10
        assert len(back.target.runs) == len(answers) - 1
        await stopping

    run_cluster(scenario)


def test_target_of_a_stopping_node_still_serves():
    """Guards against restarts in turn that take all targets of a service out."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back", grace_s=6.0)
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        stopping = asyncio.ensure_future(back.node.stop())
        await until(lambda: back.node.is_stopping)
        for number in range(5):
            assert (await front.ask("/b/x", f"id-{number}")).status == 200
        await stopping
        # The record stays for the next incarnation, but names no upstream.
        peers = front.node.upstreams.peers
        await until(lambda: not peers.get("back-1").is_available)
        assert not front.node.upstreams.has_upstream("back")
        assert (await front.ask("/b/x", "late")).status == 503
        assert "late" not in back.target.runs

    run_cluster(scenario)


@pytest.mark.parametrize("is_killed", [True, False])
def test_restarted_node_takes_up_its_target_before_the_next_heartbeat(is_killed):
    """Guards against a target that stands idle after each restart of its node."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front", grace_s=6.0)
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce(born=1000)
        await until(lambda: "front-1" in cluster.store.newest("keyed.nodes"))
        if not is_killed:
            await front.node.stop()
        again = await cluster.restart("front-1")
        await until(lambda: again.node.own_target.is_available)
        assert (await again.ask("/f/x", "id-1")).status == 200
        gate = again.node.target_side.admission
        await again.announce(born=1000)
        assert again.node.target_side.admission is gate
        await again.announce("draining", born=1000)
        assert (await again.ask("/f/x", "id-2")).status == 503

    run_cluster(scenario)


@pytest.mark.parametrize("trouble", ["leaving", "other", "gone"])
def test_restarted_node_takes_up_no_target_that_left(trouble):
    """Guards against requests to a target that has left, or to one in its place."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back")
        await cluster.configure(1, [FRONT_ROUTE])
        await cluster.announce_all()
        if trouble == "leaving":
            front.target.is_healthy = False
        elif trouble == "other":
            front.target.target_id = "i-new"
        else:
            front.target.close()
        again = await cluster.restart("front-1")
        await until(lambda: again.node.version == 1)
        await until(lambda: "front-1" not in cluster.store.newest("keyed.nodes"))
        assert not again.node.own_target.is_available
        await until(lambda: back.node.upstreams.peers.get("front-1") is None)
        assert not back.node.upstreams.has_upstream("front")
        assert (await back.ask("/f/x")).status == 503
        assert front.target.runs == []

    run_cluster(scenario)


def test_node_that_stops_after_its_target_leaves_no_record():
    """Guards against upstreams that are listed for good after they have left."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front", grace_s=6.0)
        await cluster.configure(1, [FRONT_ROUTE])
        await cluster.announce_all()
        await front.leave()
        await front.node.stop()
        await until(lambda: "front-1" not in cluster.store.newest("keyed.nodes"))

    run_cluster(scenario)
