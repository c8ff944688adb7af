"""What a server answers when requests hold more memory than they may."""

import asyncio

import pytest

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address
from mimosaloom_relay import Answer, RelayServer, new_event_loop

pytestmark = pytest.mark.sockets

LIMIT_BYTES = 200_000
TIMEOUT_S = 10.0
LARGE_REQUEST = (
    b"PUT /large HTTP/1.1\r\nContent-Length: 180000\r\n\r\n" + 180_000 * b"x"
)
MANY_LINES_REQUEST = b"GET /lines HTTP/1.1\r\n" + 300 * b"x:y\r\n" + b"\r\n"
SMALL_REQUEST = b"GET /small HTTP/1.1\r\nContent-Length: 0\r\n\r\n"


class Server:
    """A server whose requests are held until the test releases them.

    Attributes:
        relay: The server.
        seen: Paths of the requests that were started.
        released: Lets them end.
    """

    def __init__(self):
        self.relay = RelayServer(self.handle, lambda: Response(500))
        self.relay.received.limit_bytes = LIMIT_BYTES
        self.relay.refuse = lambda request: Response(503, (("Retry-After", "1"),))
        self.seen = []
        self.released = asyncio.Event()
        self.address = None
        self.writers = []

    async def handle(self, incoming):
        """Answer a request once it is released."""
        self.seen.append(incoming.request.path)
        await self.released.wait()
        return Answer(Response(200, (), b"done"))

    async def send(self, data):
        """Send bytes on a new connection; return its reader."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        await writer.drain()
        self.writers.append(writer)
        return reader

    async def wait_used(self, least_bytes):
        """Wait until the requests hold some memory."""
        while self.relay.received.used_bytes < least_bytes:
            await asyncio.sleep(0.001)


def run(scenario):
    """Run a coroutine function with a server."""

    async def run_server():
        server = Server()
        server.address = await server.relay.listen(Address("127.0.0.1", 0))
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(server)
        finally:
            for writer in server.writers:
                writer.close()
            server.relay.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run_server())


def test_incomplete_request_gives_way_to_a_complete_one():
    """Guards against callers that wait behind requests that never end."""

    async def scenario(server):
        stalled = await server.send(LARGE_REQUEST[:-1])
        await server.wait_used(150_000)
        complete = await server.send(LARGE_REQUEST[:-100_000])
        answer = await stalled.read()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 1\r\n" in answer
        assert b"\r\nConnection: close\r\n" in answer
        server.writers[1].write(100_000 * b"x")
        server.released.set()
        assert (await complete.readline()).startswith(b"HTTP/1.1 200 ")
        assert server.seen == ["/large"]

    run(scenario)


def test_large_request_is_refused_while_started_ones_take_the_memory():
    """Guards against started requests that are cut off, and against a false promise."""

    async def scenario(server):
        first = await server.send(LARGE_REQUEST)
        while not server.seen:
            await asyncio.sleep(0.001)
        second = await server.send(MANY_LINES_REQUEST)
        small = await server.send(SMALL_REQUEST)
        assert (await second.readline()).startswith(b"HTTP/1.1 503 ")
        server.released.set()
        for reader in (first, small):
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        assert sorted(server.seen) == ["/large", "/small"]
        # The connection that was refused is still in use.
        server.writers[1].write(SMALL_REQUEST)
        await second.readuntil(b"HTTP/1.1 200 ")

    run(scenario)


def test_memory_is_free_after_the_requests():
    """Guards against a server that refuses requests when it holds none."""

    async def scenario(server):
        server.released.set()
        for _ in range(5):
            reader = await server.send(LARGE_REQUEST)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        await server.send(LARGE_REQUEST[:-1])
        await server.wait_used(150_000)
        for writer in server.writers:
            writer.transport.abort()
        while server.relay.connections:
            await asyncio.sleep(0.001)
        assert server.relay.received.used_bytes == 0

    run(scenario)
