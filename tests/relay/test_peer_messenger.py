"""Tests of messages between nodes of any size, over real sockets."""

import asyncio
import random

import msgspec
import pytest

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address, SystemClock
from mimosaloom_relay import Answer, DecisionLog, HttpClient, RelayServer
from mimosaloom_relay.peer_messenger import MAX_MESSAGE_BYTES, PeerMessenger
from mimosaloom_relay.peers import PeerRecord, decode_records

pytestmark = pytest.mark.sockets


def new_messenger(client, log):
    """Return a messenger of a node that knows no other."""
    return PeerMessenger("front-1", client, list, log, rng=random.Random(1))


async def ask(body):
    """Return what a node gets from one that answers with a body, and what it logs."""
    clock = SystemClock()

    async def handle(incoming):
        return Answer(Response(200, (), body))

    server = RelayServer(handle, lambda: Response(500, (), b""))
    address = await server.listen(Address("127.0.0.1", 0))
    client = HttpClient(clock, lambda: None)
    log, lines = DecisionLog(clock, lambda reason: None), []
    log.change = lambda kind, **fields: lines.append((kind, fields))
    messenger = new_messenger(client, log)
    response = await messenger.send(address, Request("GET", "/nodes"), 5.0)
    client.close()
    server.close()
    return response, lines


@pytest.mark.parametrize("count", [300, 900, 5200])
def test_records_of_all_nodes_are_read_whole(count):
    """Guards against a list over 256 KiB that is read as an empty one."""
    records = [
        PeerRecord(
            *(f"sidecar-sala-centro-{n}", "10.1.0.8", 7620, "sala-centro", "consultas"),
            *(f"sidecar-sala-centro-{n}-1796438950-7f3a91c2", "i-7f3a91c2", 72, True),
            target_born_ms=1_796_438_950_000,
        )
        for n in range(count)
    ]
    response, lines = asyncio.run(ask(msgspec.json.encode(records)))
    assert decode_records(response.body) == records
    assert lines == []


def test_message_over_the_bound_is_logged_and_not_read_as_empty():
    """Guards against a message without an end, and one that is lost without a word."""
    response, lines = asyncio.run(ask(b"x" * (MAX_MESSAGE_BYTES + 1)))
    assert response is None
    assert [kind for kind, _ in lines] == ["message_too_large"]


def test_large_message_that_breaks_off_is_a_failure():
    """Guards against a part of a message that is taken for all of it."""

    async def run():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n")
            writer.write(b"[" * 500_000)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        clock = SystemClock()
        client = HttpClient(clock, lambda: None)
        messenger = new_messenger(client, DecisionLog(clock, lambda reason: None))
        address = Address("127.0.0.1", port)
        outcome = await messenger.send(address, Request("GET", "/nodes"), 5.0)
        client.close()
        server.close()
        return outcome

    assert isinstance(asyncio.run(run()), FailedSend)
