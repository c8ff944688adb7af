"""Requests that are malformed, ambiguous or too large, over real sockets."""

import asyncio
import socket

import pytest
from platform_adapter.cluster import run_cluster

pytestmark = pytest.mark.sockets

HEAD = (
    "POST /b/x HTTP/1.1\r\nHost: h.example\r\nMimosaloom-Attempt-Id: id-1\r\n"
    "Mimosaloom-Timeout-Ms: 500\r\n"
)
SMUGGLED_REQUEST = "GET /b/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n"

MALFORMED_REQUESTS = {
    "length-and-chunks": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    f"0\r\n\r\n{SMUGGLED_REQUEST}",
    "two-lengths": f"Content-Length: 0\r\nContent-Length: 60\r\n\r\n{SMUGGLED_REQUEST}",
    "no-number": "Content-Length: +5\r\n\r\nhello",
    "chunk-size": "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
    "unknown-coding": f"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n{SMUGGLED_REQUEST}",
    "space-before-colon": f"Content-Length : 60\r\n\r\n{SMUGGLED_REQUEST}",
    "bare-carriage-return": "X: a\rContent-Length: 60\r\n\r\n",
    "no-version": "\r\n",
}


async def send_raw(member, data: bytes) -> bytes:
    """Send bytes as a client and return all that arrives until the connection ends."""
    address = member.node.addresses.outbound
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(-1), 3)
    finally:
        writer.close()


async def start_node(cluster):
    """Start a node with its target, and a route to that target."""
    front = await cluster.add_member("front-1", "front")
    await cluster.configure(1, [{"pathPrefix": "/b/", "service": "front"}])
    await cluster.announce_all()
    return front


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_malformed_request_is_refused_and_connection_closed(name):
    """Guards against request smuggling, and against forwarding part of a request."""

    async def scenario(cluster):
        front = await start_node(cluster)
        head = "POST /b/x\r\n" if name == "no-version" else HEAD
        answer = await send_raw(front, (head + MALFORMED_REQUESTS[name]).encode())
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert answer.count(b"HTTP/1.1") == 1
        assert front.target.requests == []

    run_cluster(scenario)


def test_endless_head_is_refused():
    """Guards against a client that exhausts the memory with one endless head."""

    async def scenario(cluster):
        front = await start_node(cluster)
        rows = "".join(f"X-{n}: {'y' * 1000}\r\n" for n in range(100))
        answer = await send_raw(front, (HEAD + rows).encode())
        assert answer.startswith(b"HTTP/1.1 431 ")

    run_cluster(scenario)


@pytest.mark.parametrize("is_chunked", [True, False])
def test_body_over_the_limit_is_refused(is_chunked):
    """Guards against forwarding a body that exceeds the configured limit."""

    async def scenario(cluster):
        front = await start_node(cluster)
        limits = front.node.origin.configuration.limits
        front.node.origin.configuration = front.node.origin.configuration._replace(
            limits=limits._replace(max_body_bytes=400_000)
        )
        body = b"x" * 500_000
        if is_chunked:
            head = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
            data = head.encode() + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            data = (HEAD + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        answer = await send_raw(front, data)
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert front.target.runs == []

    run_cluster(scenario)


def test_pipelined_requests_are_answered_in_order():
    """Guards against pipelined answers that are sent in the wrong order."""

    async def scenario(cluster):
        front = await start_node(cluster)
        requests = [
            f"GET /b/x HTTP/1.1\r\nHost: h.example\r\nMimosaloom-Attempt-Id: id-{n}\r\n"
            f"{'Connection: close' if n == 4 else 'X: y'}\r\n\r\n"
            for n in range(5)
        ]
        answer = await send_raw(front, "".join(requests).encode())
        positions = [answer.index(f"Attempt-Id: id-{n}\r".encode()) for n in range(5)]
        assert positions == sorted(positions)
        assert answer.count(b"HTTP/1.1 200") == 5

    run_cluster(scenario)


def test_slow_reader_gets_the_whole_answer():
    """Guards against a slow client whose full receive window is taken for silence."""

    async def scenario(cluster):
        front = await start_node(cluster)
        body = b"x" * 4_000_000
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, tuple(front.node.addresses.outbound))
        head = HEAD.replace("500", "20000") + f"Content-Length: {len(body)}\r\n\r\n"
        sending = asyncio.ensure_future(loop.sock_sendall(sock, head.encode() + body))
        received = await loop.sock_recv(sock, 1000)
        # The client reads nothing for longer than the node tolerates a silent peer.
        await asyncio.sleep(1.5)
        while len(received) < len(body) and (part := await loop.sock_recv(sock, 65536)):
            received += part
        await sending
        sock.close()
        assert received.endswith(body[-1000:])
        assert len(received) > len(body)

    run_cluster(scenario)


def test_upgrade_is_ignored():
    """Guards against an unsolicited second answer after the proper one."""

    async def scenario(cluster):
        front = await start_node(cluster)
        head = HEAD.replace("POST", "GET")
        answer = await send_raw(
            front, f"{head}Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n".encode()
        )
        assert answer.count(b"HTTP/1.1 ") == 1
        assert answer.startswith(b"HTTP/1.1 200 ")

    run_cluster(scenario)


@pytest.mark.parametrize("timeout", ["1" + 400 * "0", 5000 * "9", "-1", "1e3", ""])
def test_unusable_timeout_leaves_that_of_the_route(timeout):
    """Guards against a timeout of many digits that ends as an internal failure."""

    async def scenario(cluster):
        front = await start_node(cluster)
        response = await front.send_request("/b/x", timeout_ms=timeout)
        assert response.status == 200

    run_cluster(scenario)
