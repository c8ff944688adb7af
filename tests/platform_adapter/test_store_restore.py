"""The store comes back from an older copy and reuses offsets, over real sockets."""

import asyncio

import msgspec
import pytest
from platform_adapter.cluster import WAIT_TIMEOUT_S, run_cluster, wait_until
from platform_adapter.standins import build_document

from mimosaloom_platform.store import MAX_CONCURRENT_CALLS, StoreClient
from mimosaloom_relay import LONG_POLL, Batch
from mimosaloom_relay.peers import encode_record

pytestmark = pytest.mark.sockets

FRONT_ROUTE = {"pathPrefix": "/f/", "service": "front"}
ADDED_ROUTE = {"pathPrefix": "/added/", "service": "front"}
BACK_ROUTE = {"pathPrefix": "/b/", "service": "back"}


def test_configuration_at_a_reused_offset_is_put_in_force():
    """Guards against nodes that read on from an offset of the lost history.

    The records below that offset are never read, and nodes answer 404 for a route that
    was acknowledged.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        await cluster.announce_all()
        copy = cluster.store.take_copy()
        await cluster.configure(4, [FRONT_ROUTE])
        cluster.store.restore(copy)
        document = build_document(6, [FRONT_ROUTE, ADDED_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        cluster.store.cut_reads()
        await wait_until(lambda: front.node.version == 6)
        assert (await front.send_request("/added/x")).status == 200

    run_cluster(scenario)


def test_node_that_took_an_answer_of_the_lost_history_learns_from_a_peer():
    """Guards against a node that reads on from an old offset without a failed read.

    An answer that waited in the connection of a paused node is followed by a read from
    its offset, which the restored store may have reused already.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        copy = cluster.store.take_copy()
        await cluster.configure(4, [BACK_ROUTE])
        cluster.store.restore(copy)
        document = build_document(6, [BACK_ROUTE, ADDED_ROUTE], ["back", "front"])
        cluster.store.put("keyed.op", "config", document)
        # Only the appends of one node go to the restored store.
        await back.announce("draining", born=1)
        await back.announce(born=2)
        await wait_until(lambda: back.node.version == 6)
        while front.node.version < 6:
            assert (await front.send_request("/b/x")).status in (200, 503)
            await asyncio.sleep(0.01)

    run_cluster(scenario)


def test_node_without_any_traffic_notices_a_restore_with_its_next_poll():
    """Guards against a node that waits in the lost history for the length of a poll."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        await cluster.configure(1, [FRONT_ROUTE])
        copy = cluster.store.take_copy()
        await cluster.configure(4, [FRONT_ROUTE])
        cluster.store.restore(copy)
        document = build_document(6, [FRONT_ROUTE, ADDED_ROUTE], ["front"])
        cluster.store.put("keyed.op", "config", document)
        await wait_until(lambda: front.node.version == 6)

    run_cluster(scenario)


def test_nodes_publish_their_records_again_after_a_restore():
    """Guards against services without an upstream because the records are gone."""

    async def scenario(cluster):
        copy = cluster.store.take_copy()
        front = await cluster.add_member("front-1", "front")
        await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        await wait_until(lambda: has_records(cluster, "front-1", "back-1"))
        cluster.store.restore(copy)
        cluster.store.cut_reads()
        await wait_until(lambda: has_records(cluster, "front-1", "back-1"))
        for number in range(5):
            assert (await front.send_request("/b/x", f"id-{number}")).status == 200

    run_cluster(scenario)


def test_node_that_can_not_reach_the_restored_store_stays_an_upstream():
    """Guards against taking a node for gone because a restored store lacks its record.

    The node serves, but can't write its record again.
    """

    async def scenario(cluster):
        copy = cluster.store.take_copy()
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        await wait_until(lambda: has_records(cluster, "front-1", "back-1"))
        back.node.own_record.send = lambda record: None
        cluster.store.restore(copy)
        cluster.store.cut_reads()
        await wait_until(lambda: has_records(cluster, "front-1"))
        # Longer than the grace period for missing records.
        await asyncio.sleep(2.5)
        assert (await front.send_request("/b/x")).status == 200

    run_cluster(scenario)


def test_older_record_of_a_restored_store_does_not_replace_a_newer_one():
    """Guards against leaving out a target because of the record of an earlier state."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        await back.announce("draining", born=1)
        await wait_until(lambda: not front.sees_all_available(cluster.members))
        copy = cluster.store.take_copy()
        back.sequence = 0
        await back.announce(born=2)
        await wait_until(lambda: front.sees_all_available(cluster.members))
        back.node.own_record.send = lambda record: None
        reads = cluster.store.calls.count("/-/log-newest")
        cluster.store.restore(copy)
        cluster.store.cut_reads()
        await wait_until(
            lambda: cluster.store.calls.count("/-/log-newest") >= reads + 4
        )
        for number in range(20):
            assert (await front.send_request("/b/x", f"id-{number}")).status == 200
            await asyncio.sleep(0.01)

    run_cluster(scenario)


@pytest.mark.parametrize("is_missing", [True, False])
def test_record_that_arrives_while_its_node_is_asked_is_kept(is_missing):
    """Guards against an older store that wins over a record written after its restore.

    A node that is slow to answer may publish its record again meanwhile.
    """

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [BACK_ROUTE])
        await cluster.announce_all()
        node = front.node
        current = encode_record(node.upstreams.peers.get("back-1"))
        older = encode_record(
            msgspec.structs.replace(back.node.own_record.build(), is_available=False)
        )
        asked = asyncio.Event()

        async def publish_and_stay_silent(address, path, timeout_s):
            node.put_record("back-1", current)
            asked.set()

        node.peer_prober.fetch = publish_and_stay_silent
        if is_missing:
            node.put_record_names({"front-1"})
        else:
            node.put_restored_record("back-1", older)
        await asked.wait()
        await asyncio.sleep(0.01)
        assert front.sees_all_available(cluster.members)

    run_cluster(scenario)


def test_read_that_was_given_up_leaves_no_error_in_the_log(caplog):
    """Guards against error lines for polls that a new era of the store has ended."""

    async def scenario(cluster):
        store = StoreClient(cluster.store_url)
        reading = asyncio.ensure_future(store.read("keyed.op", 0, LONG_POLL))
        await wait_until(lambda: cluster.store.calls)
        reading.cancel()
        await asyncio.wait([reading])
        cluster.store.cut_reads()
        for _ in range(20):
            await asyncio.sleep(0.005)
        store.close()
        assert not [r for r in caplog.records if r.name == "tornado.application"]

    run_cluster(scenario)


def has_records(cluster, *names):
    """Whether the store holds the records of the named nodes."""
    return set(names) <= set(cluster.store.newest_values("keyed.nodes"))


def test_reads_that_were_given_up_take_no_place():
    """Guards against calls that wait behind polls that nobody needs any more."""

    async def scenario(cluster):
        store = StoreClient(cluster.store_url)
        for _ in range(MAX_CONCURRENT_CALLS):
            reading = asyncio.ensure_future(store.read("keyed.op", 0, LONG_POLL))
            await asyncio.sleep(0.01)
            reading.cancel()
            await asyncio.wait([reading])
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            assert isinstance(await store.read_newest("keyed.op"), Batch)
        store.close()

    run_cluster(scenario)


def test_call_that_is_cancelled_after_the_client_is_closed_raises_nothing():
    """Guards against a traceback at each stop of a node, whose polls are open then."""

    async def scenario(cluster):
        store = StoreClient(cluster.store_url)
        reading = asyncio.ensure_future(store.read("keyed.op", 0, LONG_POLL))
        await wait_until(lambda: cluster.store.has_waiting_reads(1))
        store.close()
        reading.cancel()
        await asyncio.wait([reading])
        assert reading.cancelled()

    run_cluster(scenario)
