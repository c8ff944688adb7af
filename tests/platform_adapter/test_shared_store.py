"""Nodes that read the store through a few of them, over real sockets."""

import asyncio

import pytest
from platform_adapter.cluster import WAIT_TIMEOUT_S, run_cluster, wait_until
from platform_adapter.standins import build_document

from mimosaloom_relay import READER_RECORDS_POLL
from mimosaloom_relay.reader_role import ASKED_S

pytestmark = pytest.mark.sockets

ROUTE = {"pathPrefix": "/f/", "service": "front"}
# One failure domain with this many nodes has three readers.
NODES = 7
READERS = 3
# While the nodes learn of each other, some are readers for a while, and each of these
# ends its last poll.
SETTLE_S = ASKED_S + READER_RECORDS_POLL.wait_s + WAIT_TIMEOUT_S


async def start_fleet(cluster):
    """Start nodes that know each other; return the readers and the others."""
    for number in range(NODES):
        await cluster.add_member(f"front-{number}", "front")
    await cluster.configure(1, [ROUTE])
    await cluster.announce_all()
    store = cluster.store
    async with asyncio.timeout(SETTLE_S):
        while (
            store.count_waiting_reads("keyed.nodes") != READERS
            or store.count_waiting_reads("keyed.op") != NODES
        ):
            await asyncio.sleep(0.005)
    members = list(cluster.members.values())
    readers = [m for m in members if m.node.reader_role.is_reader]
    assert len(readers) == READERS
    return readers, [m for m in members if m not in readers]


def publish(cluster, version):
    """Publish a configuration without waiting for it."""
    document = build_document(version, [ROUTE], ["front"])
    cluster.store.put("keyed.op", "config", document)


def count_record_calls(member):
    """Return how often a node has called the store for records of nodes."""
    registry = member.node.metrics.registry
    kinds = ("newest", "poll", "catch_up")
    values = (
        registry.get_sample_value(
            "mimosaloom_store_calls_total", {"topic": "keyed.nodes", "kind": kind}
        )
        for kind in kinds
    )
    return sum(value or 0 for value in values)


def test_change_of_one_node_costs_calls_of_the_readers_only():
    """Guards against calls to the store that grow with the square of the nodes."""

    async def scenario(cluster):
        _, others = await start_fleet(cluster)
        calls = [count_record_calls(member) for member in others]
        leaving = cluster.members["front-0"]
        await leaving.announce("draining")
        for member in cluster.members.values():
            peers = member.node.upstreams.peers
            await wait_until(lambda p=peers: p.get("front-0").is_leaving)
        assert [count_record_calls(member) for member in others] == calls

    run_cluster(scenario)


def test_change_is_in_force_although_each_open_poll_is_lost_and_nothing_is_sent():
    """Guards against nodes that wait for a lost poll while no request carries news."""

    async def scenario(cluster):
        await start_fleet(cluster)
        cluster.store.lose_open_reads()
        publish(cluster, 2)
        for member in cluster.members.values():
            await wait_until(lambda m=member: m.node.version == 2)

    run_cluster(scenario)


def test_change_is_in_force_although_all_readers_are_killed_and_polls_are_lost():
    """Guards against nodes that depend on readers that are gone."""

    async def scenario(cluster):
        readers, others = await start_fleet(cluster)
        for member in readers:
            await member.node.close()
        cluster.store.lose_open_reads()
        publish(cluster, 2)
        for member in others:
            await wait_until(lambda m=member: m.node.version == 2)

    run_cluster(scenario)


def test_nodes_read_through_others_when_their_reader_stops():
    """Guards against a planned stop of a reader that delays what others learn."""

    async def scenario(cluster):
        readers, others = await start_fleet(cluster)
        for member in readers[1:]:
            member.node.record_fanout.stop()
        await cluster.add_member("front-new", "front")
        await cluster.members["front-new"].announce()
        for member in others:
            peers = member.node.upstreams.peers
            await wait_until(lambda p=peers: p.get("front-new") is not None)

    run_cluster(scenario)


def test_records_of_a_restored_store_reach_all_nodes():
    """Guards against offsets of a lost history at nodes that read through others."""

    async def scenario(cluster):
        await start_fleet(cluster)
        copy = cluster.store.take_copy()
        await cluster.members["front-1"].announce("draining")
        for member in cluster.members.values():
            peers = member.node.upstreams.peers
            await wait_until(lambda p=peers: p.get("front-1").is_leaving)
        cluster.store.restore(copy)
        cluster.store.cut_reads()
        await cluster.add_member("front-new", "front")
        await cluster.members["front-new"].announce()
        for member in cluster.members.values():
            peers = member.node.upstreams.peers
            await wait_until(lambda p=peers: p.get("front-new") is not None)
            await wait_until(lambda p=peers: p.get("front-1").is_leaving)

    run_cluster(scenario)


def test_change_reaches_nodes_whose_readers_the_store_turns_away():
    """Guards against nodes that are behind as only their readers can't read."""

    async def scenario(cluster):
        readers, others = await start_fleet(cluster)
        for member in readers:
            # As if the store no longer answered this node.
            member.node.record_fanout.note_configuration_answer = lambda: None
        cluster.store.lose_open_reads()
        publish(cluster, 2)
        for member in others:
            await wait_until(lambda m=member: m.node.version == 2)

    run_cluster(scenario)


def test_nodes_that_wait_for_news_are_no_open_requests():
    """Guards against a planned stop that waits for other nodes until the kill."""

    async def scenario(cluster):
        readers, _ = await start_fleet(cluster)
        fanouts = [member.node.record_fanout for member in readers]
        await wait_until(lambda: sum(f.waiting_count for f in fanouts) > 0)
        for member in cluster.members.values():
            assert member.node.count_open_requests() == 0

    run_cluster(scenario)
