"""Odd entries among those of the nodes, and messages that can't be read."""

import asyncio
import json
from functools import partial

import msgspec
import pytest
from platform_adapter.cluster import run_cluster, wait_until
from platform_adapter.test_foreign_messages import DEEP, RECORD

from mimosaloom_mesh.messages import Request
from mimosaloom_model import Address, ErrorKind, SystemClock
from mimosaloom_platform.announcements import decode_heartbeat
from mimosaloom_platform.store import StoreClient
from mimosaloom_relay import HttpClient, ReadFailed
from mimosaloom_relay.addresses import parse_address
from mimosaloom_relay.hop_messages import HopContext, HopResult, decode_header
from mimosaloom_relay.node import QUARANTINE_RECORD
from mimosaloom_relay.peers import decode_record, decode_records, encode_record
from mimosaloom_relay.quarantine_exchange import read_held_keys
from mimosaloom_relay.quota_messages import decode_question, decode_reply
from mimosaloom_relay.reader_messages import FollowReply, FollowRequest, decode_message

ODD_HOSTS = [
    "",
    "a\0b",
    "x" * 300,
    "\u00fcml\u00e4ut",
    "\u0661\u0662\u0667.0.0.1",
    "127.0.0.1:99999",
    "127.0.0.1\r\nX: y",
    "localhost",
    "fe80::1%x\0",
    "1.2.3",
]
# An array in which each element holds the next one, in MessagePack.
DEEP_MSGPACK = b"\x91" * 100_000
NESTED = b'{"x":' + DEEP + b"]" * len(DEEP) + b"}"


@pytest.mark.parametrize("host", ODD_HOSTS)
def test_record_with_a_host_that_is_no_address_is_ignored(host):
    """Guards against a name look-up in the path of a call, and errors of a connect."""
    for is_available in (True, False):
        record = msgspec.structs.replace(RECORD, host=host, is_available=is_available)
        assert decode_record(encode_record(record)) is None
        assert decode_records(msgspec.json.encode([record, RECORD])) == [RECORD]
    assert parse_address(f"{host}:80") is None


@pytest.mark.parametrize("port", ["-1", "0", "99999", "1e3", "", "9" * 5000, "\u0663"])
def test_port_out_of_range_is_no_address(port):
    """Guards against an origin whose port ends the task that asks it."""
    assert parse_address(f"127.0.0.1:{port}") is None


@pytest.mark.parametrize("host", ODD_HOSTS)
def test_send_to_an_odd_host_fails_as_unsent(host):
    """Guards against an error that ends the task which wanted to send a message."""

    async def send():
        client = HttpClient(SystemClock(), lambda: None)
        return await client.send(Address(host, 99999), Request("GET", "/"))

    assert asyncio.run(send()).kind is ErrorKind.CONNECT_FAILED


@pytest.mark.parametrize("body", [NESTED, DEEP, DEEP_MSGPACK])
def test_deeply_nested_message_between_nodes_is_ignored(body):
    """Guards against content that exceeds the recursion limit of a reader."""
    text = body.decode("latin-1")
    assert decode_header(text, HopContext) is None
    assert decode_header(text, HopResult) is None
    assert read_held_keys(body) is None
    assert decode_question(body) is None
    assert decode_reply(body) is None
    assert decode_message(body, FollowRequest) is None
    assert decode_message(body, FollowReply) is None


def test_sequence_that_no_log_line_can_hold_is_no_heartbeat():
    """Guards against a number of 400 digits after which no heartbeat is newer."""
    heartbeat = {
        "address": "127.0.0.1:1",
        "info": {"service": "s", "zone": "z", "slots": 8},
        "status": {"state": "ready", "seq": 10**400},
    }
    assert decode_heartbeat("i-1", json.dumps(heartbeat).encode()) is None


def test_deeply_nested_page_of_the_store_is_a_failed_read():
    """Guards against a page that ends the task which follows the store."""

    async def scenario(cluster):
        cluster.store.garbled_page = NESTED
        store = StoreClient(cluster.store_url)
        assert isinstance(await store.read_newest("keyed.nodes"), ReadFailed)
        store.close()

    run_cluster(scenario)


@pytest.mark.sockets
def test_odd_entries_disturb_no_request_and_no_task():
    """Guards against one writer's entries that fail requests or end a node's tasks."""
    entries = {
        QUARANTINE_RECORD: NESTED,
        "deep": DEEP,
        "nested": encode_record(RECORD)[:-1] + b',"x":' + NESTED + b"}",
        "number": json.dumps({**msgspec.to_builtins(RECORD), "x": 10**400}).encode(),
        "bytes": b"\xff\x00",
    }
    for number, host in enumerate(ODD_HOSTS):
        odd = msgspec.structs.replace(
            RECORD, name=f"odd-{number}", host=host, port=1, service="back"
        )
        entries[odd.name] = encode_record(odd)

    # A stall of the event loop counts against the time of a request, at each node.
    route = {"service": "back", "timeoutMs": 30_000}

    async def scenario(cluster):
        failed_tasks = []
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, [{"pathPrefix": "/b/", **route}])
        await cluster.announce_all()
        for name, value in entries.items():
            cluster.store.put("keyed.nodes", name, value)
        restarted = await cluster.restart("front-1")
        for member in (restarted, back):
            log, write = member.node.log, member.node.log.change

            def note(kind, write=write, **fields):
                failed_tasks.extend([fields] if kind == "task_failed" else [])
                write(kind, **fields)

            log.change = note
        await restarted.announce()
        await wait_until(lambda: restarted.sees_all_available(cluster.members))
        send = partial(restarted.send_request, timeout_ms=30_000)
        for number in range(60):
            answer = await send("/b/x", f"id-{number}")
            assert answer.status == 200, answer.body
        await cluster.configure(2, [{"pathPrefix": "/c/", **route}])
        assert (await send("/c/x", "last")).status == 200
        names = {r.name for r in restarted.node.upstreams.peers.records()}
        assert names == {front.node.settings.name, "back-1"}
        assert failed_tasks == []

    run_cluster(scenario)
