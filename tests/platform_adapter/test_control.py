"""Configuration, announcements and membership over real sockets."""

import asyncio

import msgspec
import pytest
from platform_adapter.cluster import run_cluster, until
from platform_adapter.standins import build_document

from mimosaloom_model import SystemClock
from mimosaloom_relay.peers import encode_record

pytestmark = pytest.mark.sockets

FRONT_ROUTE = {"pathPrefix": "/f/", "service": "front"}


def test_configuration_never_goes_back():
    """Guards against an older or invalid version that replaces a newer one."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await cluster.configure(7, [FRONT_ROUTE])
        bad = [
            build_document(3, [{"pathPrefix": "/old/", "service": "front"}], ["front"]),
            build_document(9, [{"pathPrefix": "/x/", "service": "none"}], ["front"]),
            build_document(9, [{"pathPrefix": "/x", "service": "front"}], ["front"]),
            b"not json",
            b"",
        ]
        for document in bad:
            cluster.store.put("keyed.op", "config", document)
        cluster.store.put("keyed.op", "other", build_document(11, [], ["front"]))
        await cluster.configure(12, [FRONT_ROUTE])
        assert front.node.version == 12

    run_cluster(scenario)


def test_dropped_history_is_read_anew():
    """Guards against a node that misses a version because its history is gone."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        cluster.store.is_down = True
        cluster.store.put("keyed.op", "config", b"x")
        await until(lambda: front.node.metrics.store_lost._value.get() == 2)
        document = build_document(2, [FRONT_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        cluster.store.drop_history("keyed.op")
        cluster.store.is_down = False
        await until(lambda: front.node.version == 2)

    run_cluster(scenario)


def test_newer_version_spreads_with_requests_while_the_store_is_away():
    """Guards against nodes that miss a change because the store turns them away."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        cluster.store.is_down = True
        routes = [{"pathPrefix": "/b/", "service": "back"}, FRONT_ROUTE]
        document = build_document(2, routes, ["back", "front"])
        back.node.put_configuration(document, "store")
        assert (await front.ask("/b/x")).status == 200
        await until(lambda: front.node.version == 2)

    run_cluster(scenario)


def test_node_that_starts_while_the_store_is_away_learns_from_its_peers():
    """Guards against a restarted node that serves nobody until the store is back."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await front.announce()
        cluster.store.is_down = True
        late = await cluster.add("back-1", "back")
        await late.announce()
        record = encode_record(late.node.own_record.build())
        front.node.put_record("back-1", record)
        assert (await front.ask("/b/x")).status == 200
        await until(lambda: late.node.version == 1)
        await until(lambda: late.node.upstreams.peers.get("front-1") is not None)

    run_cluster(scenario)


def test_lost_answer_of_an_append_is_repeated():
    """Guards against a target that stays unknown because one answer was lost."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        cluster.store.loses_answers = True
        await front.announce()
        await until(lambda: cluster.store.calls.count("/-/log-append") >= 2)
        cluster.store.loses_answers = False
        assert "front-1" in cluster.store.newest("keyed.nodes")

    run_cluster(scenario)


def test_late_record_of_an_earlier_incarnation_is_replaced():
    """Guards against an old record that hides the node that lives."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await front.announce()
        await until(lambda: "front-1" in cluster.store.newest("keyed.nodes"))
        current = cluster.store.newest("keyed.nodes")["front-1"]
        cluster.store.put("keyed.nodes", "front-1", b"")
        await until(lambda: cluster.store.newest("keyed.nodes").get("front-1"))
        assert cluster.store.newest("keyed.nodes")["front-1"] == current

    run_cluster(scenario)


def test_draining_target_gets_no_new_request():
    """Guards against work for a target that has said that it leaves."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back")
        other = await cluster.add("back-2", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        assert (await back.announce("draining")).status == 200
        for number in range(8):
            assert (await front.ask("/b/x", f"id-{number}")).status == 200
        assert back.target.runs == []
        assert len(other.target.runs) == 8
        assert (await back.leave()).status == 200

    run_cluster(scenario)


def test_drained_target_that_the_store_does_not_name_is_left_out():
    """Guards against a target that refuses all calls and hides the level of others."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back")
        await cluster.add("back-2", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        upstreams = front.node.upstreams
        cluster.store.is_down = True
        await back.announce("draining", born=1000)
        for number in range(40):
            assert (await front.ask("/b/x", f"id-{number}")).status == 200
            if not upstreams.peers.get("back-1").is_available:
                break
        await until(lambda: not upstreams.peers.get("back-1").is_available)
        now_s = SystemClock().monotonic_s()
        upstreams.levels.observe("back", "r-b", "back-2", 0.2, now_s)
        assert upstreams.levels.level("back", "r-b", now_s) == 0.2
        back.sequence = 0
        await back.announce(born=2000)
        await until(lambda: upstreams.peers.get("back-1").is_available)

    run_cluster(scenario)


def test_late_answer_of_a_target_that_left_teaches_no_level():
    """Guards against the open level of a target that takes no more calls."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        back.target.modes = ["hold"]
        asking = asyncio.ensure_future(front.ask("/b/x"))
        await until(lambda: back.target.runs)
        upstreams = front.node.upstreams
        await back.announce("draining")
        await until(lambda: not upstreams.has_upstream("back"))
        back.target.released.set()
        assert (await asking).status == 200
        now_s = SystemClock().monotonic_s()
        upstreams.levels.observe("back", "r-b", "back-2", 0.2, now_s)
        assert upstreams.levels.level("back", "r-b", now_s) == 0.2

    run_cluster(scenario)


def test_leave_without_draining_ends_new_work():
    """Guards against targets that leave at once and are still sent requests."""

    async def scenario(cluster):
        back = await cluster.add("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        await back.leave()
        assert (await back.ask("/b/x")).status == 503
        assert back.target.runs == []

    run_cluster(scenario)


def test_forged_and_broken_heartbeats_name_no_target():
    """Guards against heartbeats of another writer that change what is known."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await front.announce()
        known = front.node.own_target.announcement
        info = {"service": "other", "zone": "z", "slots": 8}
        assert (await front.announce(info=info)).status == 400
        assert (await front.announce(info={"service": "front"})).status == 400
        assert (await front.announce(address="10.9.9.9:1")).status == 400
        assert (await front.announce(address=7)).status == 400
        assert (await front.announce(born="soon")).status == 400
        assert (await front.announce("sleeping")).status == 400
        path = "/-/instances/i-x"
        address = front.node.addresses.announcements
        assert (await front.call(address, "PUT", path, b"\xff\x00")).status == 400
        assert front.node.own_target.announcement == known

    run_cluster(scenario)


def test_target_that_starts_again_takes_requests():
    """Guards against a target that is left out after a crash under the same id."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce("draining", born=1000)
        assert (await front.ask("/f/x", "id-1")).status == 503
        front.sequence = 0
        await front.announce(born=2000)
        assert (await front.ask("/f/x", "id-2")).status == 200
        await front.announce("draining", born=1000)
        assert (await front.ask("/f/x", "id-3")).status == 200

    run_cluster(scenario)


def test_late_leave_of_an_earlier_start_changes_nothing():
    """Guards against a live target that an old message under its id takes out."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce(born=2000)
        assert (await front.leave(b'{"born": 1000}')).status == 200
        assert (await front.ask("/f/x", "id-1")).status == 200
        assert (await front.leave(b'{"born": 2000}')).status == 200
        assert (await front.ask("/f/x", "id-2")).status == 503

    run_cluster(scenario)


@pytest.mark.parametrize("is_silent", [True, False])
def test_lost_node_is_left_out_until_it_answers(is_silent):
    """Guards against requests that wait for a node that is gone or cut off."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        back = await cluster.add("back-1", "back")
        route = {"pathPrefix": "/b/", "service": "back", "timeoutMs": 300}
        await cluster.configure(1, [route])
        await cluster.announce_all()
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        if not is_silent:
            silent.close()
            await silent.wait_closed()
        lost = msgspec.structs.replace(
            front.node.upstreams.peers.get("back-1"), name="back-2", port=port
        )
        front.node.put_record("back-2", encode_record(lost))
        back.node.put_record("back-2", encode_record(lost))
        peers = front.node.upstreams.peers
        for number in range(40):
            await front.ask("/b/x", f"id-{number}")
            if peers.is_unreachable("back-2"):
                break
        assert peers.is_unreachable("back-2")
        for number in range(100, 110):
            assert (await front.ask("/b/x", f"id-{number}")).status == 200
        silent.close()

    run_cluster(scenario)


@pytest.mark.parametrize("is_silent", [True, False])
def test_node_that_is_cut_off_is_not_ready(is_silent):
    """Guards against clients that are kept at a node which reaches nobody.

    Nodes that were killed refuse connections; the one that is left stays ready.
    """

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        route = {"pathPrefix": "/b/", "service": "back", "timeoutMs": 300}
        await cluster.configure(1, [route])
        await front.announce()
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        if not is_silent:
            silent.close()
            await silent.wait_closed()
        own = front.node.upstreams.peers.get("front-1")
        for number in range(5):
            name = f"back-{number}"
            record = msgspec.structs.replace(own, name=name, port=port, service="back")
            front.node.put_record(name, encode_record(record))
        await front.ask("/b/x")
        peers = front.node.upstreams.peers
        if is_silent:
            names = [f"back-{number}" for number in range(5)]
            await until(lambda: all(peers.is_unreachable(name) for name in names))
        else:
            await until(lambda: peers.is_unreachable("back-0"))
            for number in range(5):
                await front.ask("/b/x", f"id-{number}")
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == (503 if is_silent else 200)
        silent.close()

    run_cluster(scenario)


def test_status_shows_what_is_in_force_by_resource():
    """Guards against operators who can't tell what a node has accepted."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        address = front.node.addresses.metrics
        empty = await front.call(address, "GET", "/status")
        assert msgspec.json.decode(empty.body)["in_force"]["version"] == 0
        await cluster.configure(4, [{**FRONT_ROUTE, "priority": 1}])
        await cluster.announce_all()
        status = msgspec.json.decode((await front.call(address, "GET", "/status")).body)
        assert status["in_force"]["version"] == 4
        route = status["in_force"]["RequestClass"]["r-f"]
        assert (route["shares"], route["priority"]) == ({"front": 1}, 1)
        assert status["in_force"]["Service"]["front"]["max_connections"] == 100
        assert status["upstreams"]["front-1"]["is_available"]
        assert status["target"]["target_id"] == "i-front-1"
        assert status["is_ready"]
        metrics = await front.call(address, "GET", "/metrics")
        assert b"mimosaloom_configuration_version 4.0" in metrics.body
        assert (await front.call(address, "GET", "/other")).status == 400

    run_cluster(scenario)
