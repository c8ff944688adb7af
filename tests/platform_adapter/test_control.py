"""Configuration, announcements and membership over real sockets."""

import asyncio
import random

import msgspec
import pytest
from platform_adapter.cluster import WAIT_TIMEOUT_S, run_cluster, wait_until
from platform_adapter.standins import build_document

from mimosaloom_model import SystemClock
from mimosaloom_platform.program import MAX_BACKOFF_S, RECORD_BATCH_DELAY_S
from mimosaloom_platform.store import StoreClient
from mimosaloom_policy import Backoff
from mimosaloom_relay import StoreEra, TopicFollower, TopicHandlers
from mimosaloom_relay.peers import encode_record
from mimosaloom_relay.topic_follower import NEWEST_REPEAT_S

pytestmark = pytest.mark.sockets

FRONT_ROUTE = {"pathPrefix": "/f/", "service": "front"}
# After this time without a disturbance, the rules with a time bound hold.
STABLE_S = 3.0


def test_configuration_version_never_decreases():
    """Guards against an older or invalid version that replaces a newer one."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
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


def test_newest_version_is_read_after_the_history_was_dropped():
    """Guards against a node that misses a version because the store dropped history."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        cluster.store.is_down = True
        for topic in ("keyed.op", "keyed.nodes"):
            cluster.store.put(topic, "other", b"")
        await wait_until(lambda: front.node.metrics.store_lost._value.get() == 2)
        document = build_document(2, [FRONT_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        cluster.store.drop_history("keyed.op")
        cluster.store.is_down = False
        await wait_until(lambda: front.node.version == 2)

    run_cluster(scenario)


def test_version_is_put_in_force_although_an_open_poll_is_never_answered():
    """Guards against a node that waits for a poll whose answer is lost."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await wait_until(lambda: cluster.store.has_waiting_reads(2))
        cluster.store.lose_open_reads()
        document = build_document(2, [FRONT_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        await wait_until(lambda: front.node.version == 2)

    run_cluster(scenario)


def test_lost_read_of_the_newest_records_is_repeated_in_time():
    """Guards against a node that is behind when the store counts as stable again."""
    assert NEWEST_REPEAT_S + MAX_BACKOFF_S < STABLE_S

    async def scenario(cluster):
        cluster.store.is_silent = True
        front = await cluster.add_member("front-1", "front")
        document = build_document(1, [FRONT_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        await wait_until(lambda: cluster.store.calls.count("/-/log-newest") == 2)
        await wait_until(lambda: front.node.metrics.store_lost._value.get() == 2)
        cluster.store.is_silent = False
        async with asyncio.timeout(STABLE_S):
            await wait_until(lambda: front.node.version == 1)

    run_cluster(scenario)


def test_versions_are_followed_although_each_answer_of_the_store_takes_seconds():
    """Guards against a node that gives up each read just before its answer."""

    async def scenario(cluster):
        cluster.store.answer_delay_s = NEWEST_REPEAT_S + 0.5
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        document = build_document(2, [FRONT_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        await wait_until(lambda: front.node.version == 2)

    run_cluster(scenario)


def test_version_is_read_although_all_open_connections_are_silent():
    """Guards against a read on one silent connection after the other."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce()
        await wait_until(lambda: cluster.store.has_waiting_reads(2))
        cluster.store.silence_open_connections()
        calls = len(cluster.store.calls)
        document = build_document(2, [FRONT_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        await wait_until(lambda: front.node.version == 2)
        newest = cluster.store.calls[calls:].count("/-/log-newest")
        assert newest == 1

    run_cluster(scenario)


def test_node_is_found_although_the_open_polls_are_never_answered():
    """Guards against a node that misses others because it lost the poll for them."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        # The target of back-1 is checked before its use, by what this says of it.
        routes = [FRONT_ROUTE, {"pathPrefix": "/b/", "service": "back"}]
        await cluster.configure(1, routes)
        await front.announce()
        await wait_until(
            lambda: "front-1" in cluster.store.newest_values("keyed.nodes")
        )
        await wait_until(lambda: cluster.store.has_waiting_reads(2))
        cluster.store.lose_open_reads()
        await cluster.add_member("back-1", "back")
        await cluster.announce_all()

    run_cluster(scenario)


def test_added_route_is_served_although_one_poll_for_records_is_lost_alone():
    """Guards against a node that does not know the targets of a new route's service."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        middle = await cluster.add_member("middle-1", "middle")
        routes = [FRONT_ROUTE, {"pathPrefix": "/m/", "service": "middle"}]
        await cluster.configure(1, routes)
        await cluster.announce_all()
        await wait_until(lambda: cluster.store.has_waiting_reads(4))
        cluster.store.lose_one_open_read("keyed.nodes")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(2, [*routes, {"pathPrefix": "/b/", "service": "back"}])
        await back.announce()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for member in (front, middle):
                status = 0
                while status != 200:
                    for path in ("/f/x", "/m/x", "/b/x"):
                        status = (await member.send_request(path)).status
                    await asyncio.sleep(0.02)

    run_cluster(scenario)


def test_newer_version_spreads_with_requests_while_the_store_is_down():
    """Guards against nodes that miss a change because the store refuses their calls."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        cluster.store.is_down = True
        routes = [{"pathPrefix": "/b/", "service": "back"}, FRONT_ROUTE]
        document = build_document(2, routes, ["back", "front"])
        back.node.put_configuration(document, "store")
        assert (await front.send_request("/b/x")).status == 200
        await wait_until(lambda: front.node.version == 2)

    run_cluster(scenario)


def test_node_started_while_the_store_is_down_gets_the_state_from_its_peers():
    """Guards against a restarted node that serves no request until the store is up."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await front.announce()
        cluster.store.is_down = True
        late = await cluster.add_member("back-1", "back")
        await late.announce()
        # Others know it from before its start. The hops that come until it has the
        # configuration, and can check its target, are refused.
        record = late.node.own_record.build()
        known = msgspec.structs.replace(record, is_available=True)
        front.node.put_record("back-1", encode_record(known))
        status = 503
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while status != 200:
                status = (await front.send_request("/b/x")).status
                assert status in (200, 503)
        await wait_until(lambda: late.node.version == 1)
        await wait_until(lambda: late.node.upstreams.peers.get("front-1") is not None)

    run_cluster(scenario)


def test_append_whose_answer_was_lost_is_repeated():
    """Guards against a target that stays unknown because one answer was lost."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        cluster.store.loses_answers = True
        await front.announce()
        await wait_until(lambda: cluster.store.calls.count("/-/log-append") >= 2)
        cluster.store.loses_answers = False
        assert "front-1" in cluster.store.newest_values("keyed.nodes")

    run_cluster(scenario)


def test_late_record_of_an_earlier_incarnation_is_replaced():
    """Guards against an old record that overwrites the record of the running node."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce()
        await wait_until(
            lambda: "front-1" in cluster.store.newest_values("keyed.nodes")
        )
        current = cluster.store.newest_values("keyed.nodes")["front-1"]
        cluster.store.put("keyed.nodes", "front-1", b"")
        await wait_until(
            lambda: cluster.store.newest_values("keyed.nodes").get("front-1")
        )
        assert cluster.store.newest_values("keyed.nodes")["front-1"] == current

    run_cluster(scenario)


def test_draining_target_gets_no_new_request():
    """Guards against new requests to a target that has announced that it drains."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        other = await cluster.add_member("back-2", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        assert (await back.announce("draining")).status == 200
        for number in range(8):
            assert (await front.send_request("/b/x", f"id-{number}")).status == 200
        assert back.target.runs == []
        assert len(other.target.runs) == 8
        assert (await back.leave()).status == 200

    run_cluster(scenario)


def test_draining_target_is_left_out_while_the_store_is_down():
    """Guards against counting the high admission level of a draining target.

    The target refuses all calls, so its level would hide the lower levels of the other
    targets.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.add_member("back-2", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        upstreams = front.node.upstreams
        cluster.store.is_down = True
        await back.announce("draining", born=1000)
        for number in range(40):
            assert (await front.send_request("/b/x", f"id-{number}")).status == 200
            if not upstreams.peers.get("back-1").is_available:
                break
        await wait_until(lambda: not upstreams.peers.get("back-1").is_available)
        now_s = SystemClock().monotonic_s()
        upstreams.levels.record_levels("back", "r-b", "back-2", 0.2, now_s)
        assert upstreams.levels.level("back", "r-b", now_s) == 0.2
        back.sequence = 0
        await back.announce(born=2000)
        await wait_until(lambda: upstreams.peers.get("back-1").is_available)

    run_cluster(scenario)


def test_late_answer_of_a_draining_target_does_not_set_the_level():
    """Guards against counting the level of a target that accepts no more calls."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        back.target.modes = ["hold"]
        pending = asyncio.ensure_future(front.send_request("/b/x"))
        await wait_until(lambda: back.target.runs)
        upstreams = front.node.upstreams
        await back.announce("draining")
        await wait_until(lambda: not upstreams.has_upstream("back"))
        back.target.released.set()
        assert (await pending).status == 200
        now_s = SystemClock().monotonic_s()
        upstreams.levels.record_levels("back", "r-b", "back-2", 0.2, now_s)
        assert upstreams.levels.level("back", "r-b", now_s) == 0.2

    run_cluster(scenario)


def test_target_that_leaves_without_draining_gets_no_new_request():
    """Guards against requests to a target that left without draining first."""

    async def scenario(cluster):
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", "service": "back"}])
        await cluster.announce_all()
        await back.leave()
        assert (await back.send_request("/b/x")).status == 503
        assert back.target.runs == []

    run_cluster(scenario)


def test_foreign_and_malformed_heartbeats_are_rejected():
    """Guards against heartbeats of another sender that change the known target."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
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


def test_restarted_target_gets_requests():
    """Guards against leaving out a target that restarts with its old id after a crash.

    A late heartbeat of the earlier start must not make it unavailable either.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce("draining", born=1000)
        assert (await front.send_request("/f/x", "id-1")).status == 503
        front.sequence = 0
        await front.announce(born=2000)
        assert (await front.send_request("/f/x", "id-2")).status == 200
        await front.announce("draining", born=1000)
        assert (await front.send_request("/f/x", "id-3")).status == 200

    run_cluster(scenario)


def test_late_leave_of_an_earlier_start_is_ignored():
    """Guards against a late leave message that makes a running target unavailable.

    The message is of an earlier start of the target with the same id.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await front.announce(born=2000)
        assert (await front.leave(b'{"born": 1000}')).status == 200
        assert (await front.send_request("/f/x", "id-1")).status == 200
        assert (await front.leave(b'{"born": 2000}')).status == 200
        assert (await front.send_request("/f/x", "id-2")).status == 503

    run_cluster(scenario)


@pytest.mark.parametrize("is_silent", [True, False])
def test_unreachable_node_is_left_out(is_silent):
    """Guards against requests that wait for a node that has stopped or is cut off."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
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
            await front.send_request("/b/x", f"id-{number}")
            if peers.is_unreachable("back-2"):
                break
        assert peers.is_unreachable("back-2")
        for number in range(100, 110):
            assert (await front.send_request("/b/x", f"id-{number}")).status == 200
        silent.close()

    run_cluster(scenario)


@pytest.mark.parametrize("is_silent", [True, False])
def test_isolated_node_is_not_ready(is_silent):
    """Guards against clients that keep using a node which reaches no other node.

    If the other nodes refuse connections, they were killed and this node is not cut
    off, so it stays ready.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        route = {"pathPrefix": "/b/", "service": "back", "timeoutMs": 300}
        await cluster.configure(1, [route])
        await front.announce()
        await wait_until(lambda: front.node.own_target.is_available)
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
        await front.send_request("/b/x")
        peers = front.node.upstreams.peers
        if is_silent:
            names = [f"back-{number}" for number in range(5)]
            await wait_until(lambda: all(peers.is_unreachable(name) for name in names))
        else:
            await wait_until(lambda: peers.is_unreachable("back-0"))
            for number in range(5):
                await front.send_request("/b/x", f"id-{number}")
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == (503 if is_silent else 200)
        silent.close()

    run_cluster(scenario)


def test_status_shows_the_resources_in_force():
    """Guards against operators who can't see what is in force at a node."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
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


def test_records_that_arrive_together_are_read_in_few_calls():
    """Guards against one call to the store for each record at each node.

    At the start of all nodes, these calls would grow with the square of their number.
    """
    record_count = 40

    async def scenario(cluster):
        applied = set()
        store = StoreClient(cluster.store_url)
        record_key = lambda record: applied.add(record.key)  # noqa: E731
        follower = TopicFollower(
            store,
            StoreEra(),
            "keyed.news",
            TopicHandlers(record_key, record_key),
            backoff=Backoff(random.Random(1)),
            choose_batch_delay_s=lambda: RECORD_BATCH_DELAY_S,
        )
        following = asyncio.ensure_future(follower.run())
        await wait_until(lambda: "/-/log-read" in cluster.store.calls)
        for number in range(record_count):
            cluster.store.put("keyed.news", f"key-{number}", b"1")
            await asyncio.sleep(0.002)
        await wait_until(lambda: len(applied) == record_count)
        following.cancel()
        store.close()
        assert cluster.store.calls.count("/-/log-read") < record_count / 4

    run_cluster(scenario)


def test_node_follows_the_store_after_an_answer_with_an_absurd_era():
    """Guards against one malformed answer that ends the reading of the store."""

    async def scenario(cluster):
        cluster.store.era = "9" * 5000
        front = await cluster.add_member("front-1", "front")
        await wait_until(lambda: len(cluster.store.calls) >= 2)
        cluster.store.era = 1
        await cluster.configure(1, [FRONT_ROUTE])
        await cluster.announce_all()
        assert (await front.send_request("/f/x")).status == 200

    run_cluster(scenario)


def test_node_follows_the_store_after_an_unexpected_error_of_its_client():
    """Guards against a reading loop that ends for good by one exception."""

    async def scenario(cluster):
        read_newest = StoreClient.read_newest
        failures = []

        async def fail_at_first(self, topic):
            if len(failures) < 2:
                failures.append(topic)
                raise RuntimeError("the handle is closed")
            return await read_newest(self, topic)

        StoreClient.read_newest = fail_at_first
        try:
            front = await cluster.add_member("front-1", "front")
            await cluster.configure(1, [FRONT_ROUTE])
            await cluster.announce_all()
            assert (await front.send_request("/f/x")).status == 200
        finally:
            StoreClient.read_newest = read_newest
        assert len(failures) == 2

    run_cluster(scenario)
