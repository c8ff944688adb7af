"""Tests of the HTTP client against servers that write any bytes, over real sockets."""

import asyncio
import socket
import struct

import pytest

from mimosaloom_mesh.messages import Request
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address, ErrorKind, SystemClock
from mimosaloom_platform.headers import HEADER_NAMES
from mimosaloom_policy import Candidate
from mimosaloom_relay import Answer, DecisionLog, HttpClient, Incoming, http_client
from mimosaloom_relay.bodies import MAX_BUFFERED_BYTES
from mimosaloom_relay.client_connections import MAX_HEAD_LINES
from mimosaloom_relay.hop_messages import HOP_RESULT_HEADER, HopContext
from mimosaloom_relay.hops import HopSender

pytestmark = pytest.mark.sockets

ID = "Request-Id"
RESET = struct.pack("ii", 1, 0)
BODY = b"0123456789"
LARGE_BODY = b"x" * (2 * MAX_BUFFERED_BYTES)
FRAMINGS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + BODY,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
    "trailers": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"a\r\n0123456789\r\n0\r\nDigest: x\r\n\r\n",
    "until reset": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
    "compressed": b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
    b"Content-Length: 10\r\n\r\n" + BODY,
}


def build_answer(request_id, body):
    """Return a whole answer with an id."""
    head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def serve(answer):
    """Start a server; `answer` writes after each head that it has read."""

    async def handle(reader, writer):
        number = 0
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await answer(head, number, writer)
                number += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, Address("127.0.0.1", server.sockets[0].getsockname()[1])


async def send(client, address, request_id):
    """Send a request whose answer is recognized by its id; return the outcome."""
    return await client.send(
        address,
        Request("GET", "/", ((ID, request_id),)),
        expected_id=(ID, request_id),
    )


@pytest.mark.parametrize("place", ["head", "trailers"])
@pytest.mark.parametrize("extra", [0, 1])
def test_answer_with_more_lines_than_the_limit_is_given_up(place, extra):
    """Guards against lines of answers that take memory, but hardly any letters."""
    start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    in_head = MAX_HEAD_LINES - 1 + extra if place == "head" else 0
    in_trailers = MAX_HEAD_LINES + extra if place == "trailers" else 0
    body = b"\r\na\r\n" + BODY + b"\r\n0\r\n"
    whole = start + b"x:y\r\n" * in_head + body + b"x:y\r\n" * in_trailers + b"\r\n"

    async def run():
        async def answer(head, number, writer):
            writer.write(whole)

        server, address = await serve(answer)
        client = HttpClient(SystemClock(), lambda: None)
        outcome = await client.send(address, Request("GET", "/"))
        client.close()
        server.close()
        return outcome

    outcome = asyncio.run(run())
    assert isinstance(outcome, FailedSend) == bool(extra)
    if not extra:
        assert outcome.response.body == BODY
        assert len(outcome.response.headers) == 1 + in_head


@pytest.mark.parametrize("framing", FRAMINGS)
def test_answer_that_breaks_off_at_any_byte_is_never_a_whole_one(framing):
    """Guards against a broken-off answer that reaches the caller as a success."""
    whole = FRAMINGS[framing]
    has_end = framing != "until reset"

    async def run():
        async def answer(head, number, writer):
            writer.write(whole[: cuts.pop(0)])
            await writer.drain()
            if not has_end:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.close()

        cuts = list(range(len(whole) + (not has_end)))
        server, address = await serve(answer)
        client = HttpClient(SystemClock(), lambda: None)
        outcomes = [await send(client, address, "a") for _ in list(cuts)]
        cuts.append(len(whole))
        last = await send(client, address, "a")
        client.close()
        server.close()
        return outcomes, last

    outcomes, last = asyncio.run(run())
    assert all(isinstance(outcome, FailedSend) for outcome in outcomes)
    if has_end:
        assert isinstance(last, Answer)
        assert last.response.body == BODY


@pytest.mark.parametrize("split", range(0, 60, 7))
@pytest.mark.parametrize("moment", ["with the answer", "idle", "with the next"])
def test_second_copy_of_an_answer_never_reaches_the_next_caller(split, moment):
    """Guards against a late copy on a connection that is in use again.

    The copy comes in two pieces: behind the answer, while the connection is idle, or
    when the next request has been sent.
    """

    async def run():
        copy = build_answer("a", b"answer of a")

        async def answer(head, number, writer):
            request_id = head.split(f"{ID}: ".encode())[1].split(b"\r\n")[0].decode()
            body = f"answer of {request_id}".encode()
            if number == 1 and moment == "with the next":
                writer.write(copy[:split])
                await asyncio.sleep(0)
                writer.write(copy[split:])
            writer.write(build_answer(request_id, body))
            if number == 0 and moment == "with the answer":
                writer.write(copy[:split])
            if number == 0 and moment == "idle":
                await asyncio.sleep(0.01)
                writer.write(copy[:split])
                await asyncio.sleep(0.01)
                writer.write(copy[split:])

        server, address = await serve(answer)
        client = HttpClient(SystemClock(), lambda: None)
        outcomes = []
        for request_id in ("a", "b", "c", "d"):
            outcomes.append(await send(client, address, request_id))
            await asyncio.sleep(0.03 if moment == "idle" else 0)
        client.close()
        server.close()
        return outcomes

    for request_id, outcome in zip("abcd", asyncio.run(run()), strict=True):
        if isinstance(outcome, Answer):
            assert outcome.response.body == f"answer of {request_id}".encode()
        else:
            assert request_id != "a"


@pytest.mark.parametrize("framing", ["length", "chunked", "trailers"])
def test_hop_whose_answer_breaks_off_at_any_byte_gives_no_answer(framing):
    """Guards against an empty or short success when a node ends while it answers."""
    result = f"\r\n{HOP_RESULT_HEADER}: {{}}\r\n".encode()
    whole = FRAMINGS[framing].replace(b"\r\n", result, 1)
    context = HopContext("a", "s", "r", 0, False, 1000, "c", "a")
    unreachable = []

    async def run():
        async def answer(head, number, writer):
            writer.write(whole[: cuts.pop(0)])
            await writer.drain()
            writer.close()

        cuts = [*range(len(whole)), len(whole)]
        server, address = await serve(answer)
        clock = SystemClock()
        client = HttpClient(clock, lambda: None, detects_silence=True)
        sender = HopSender(
            HEADER_NAMES,
            client,
            DecisionLog(clock, lambda reason: None),
            unreachable.append,
        )
        upstream = Candidate("n", address.host, address.port, "z", 8, 8, "n-0")
        incoming = Incoming(Request("POST", "/", (("Host", "h"),)))
        replies = [
            await sender.send(upstream, context, incoming, lambda: None)
            for _ in list(cuts)
        ]
        client.close()
        server.close()
        return replies

    *broken, last = asyncio.run(run())
    assert all(reply.answer is None and reply.result.was_sent for reply in broken)
    kinds = {reply.result.kind for reply in broken}
    assert kinds == {ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_TRUNCATED}
    assert last.answer.response.body == BODY
    assert unreachable


async def load_large(client, address, count):
    """Receive some answers that are streamed, one after the other."""
    for _ in range(count):
        outcome = await client.send(address, Request("GET", "/"))
        pieces = [piece async for piece in outcome.streamed_body.pieces()]
        assert b"".join(pieces) == LARGE_BODY
        assert outcome.streamed_body.is_complete


@pytest.mark.parametrize("is_last", [False, True])
def test_connection_of_a_streamed_answer_is_used_again_or_closed(is_last):
    """Guards against a descriptor that each large answer costs for good."""

    async def run():
        connections = []

        async def answer(head, number, writer):
            connections.append(number)
            option = "close" if is_last else "keep-alive"
            head = f"HTTP/1.1 200 OK\r\nConnection: {option}\r\n"
            head += f"Content-Length: {len(LARGE_BODY)}\r\n\r\n"
            writer.write(head.encode() + LARGE_BODY)

        server, address = await serve(answer)
        client = HttpClient(SystemClock(), lambda: None)
        await load_large(client, address, 5)
        await asyncio.sleep(0.05)
        has_open = client.has_open_connection(address)
        client.close()
        server.close()
        return connections, has_open

    connections, has_open = asyncio.run(run())
    assert connections == ([0] * 5 if is_last else [0, 1, 2, 3, 4])
    assert has_open is not is_last


def test_connection_that_is_too_old_to_be_used_is_closed(monkeypatch):
    """Guards against idle connections that stay open until the peer closes them."""
    monkeypatch.setattr(http_client, "MAX_IDLE_S", 0.1)

    async def run():
        async def answer(head, number, writer):
            writer.write(FRAMINGS["length"])

        server, address = await serve(answer)
        client = HttpClient(SystemClock(), lambda: None)
        await client.send(address, Request("GET", "/"))
        assert client.has_open_connection(address)
        async with asyncio.timeout(2):
            while client.has_open_connection(address):
                await asyncio.sleep(0.02)
        server.close()

    asyncio.run(run())


def test_answer_that_names_no_request_is_the_last_on_its_connection():
    """Guards against a late copy of it that answers a later request."""

    async def run():
        connections = []

        async def answer(head, number, writer):
            connections.append(number)
            writer.write(FRAMINGS["length"])

        server, address = await serve(answer)
        client = HttpClient(SystemClock(), lambda: None)
        outcomes = [await send(client, address, "a") for _ in range(3)]
        client.close()
        server.close()
        return outcomes, connections

    outcomes, connections = asyncio.run(run())
    assert all(isinstance(outcome, Answer) for outcome in outcomes)
    assert connections == [0, 0, 0]
