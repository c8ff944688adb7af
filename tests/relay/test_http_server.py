"""Test of the shutdown of the HTTP server."""

import asyncio
import socket

import pytest

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address
from mimosaloom_relay import Answer, RelayServer

pytestmark = pytest.mark.sockets


def test_close_sends_the_data_already_written():
    """Guards against an answer that is cut off because the process ends too early."""
    body = b"x" * 60_000

    async def handle(incoming):
        return Answer(Response(200, (), body))

    async def run():
        server = RelayServer(handle, lambda: Response(500))
        address = await server.listen(Address("127.0.0.1", 0))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, tuple(address))
        while not server.connections:
            await asyncio.sleep(0)
        (connection,) = server.connections
        accepted = connection.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        received = len(await loop.sock_recv(sock, 100))
        while server.tasks:
            await asyncio.sleep(0)
        assert server.has_unsent
        server.close()
        while part := await loop.sock_recv(sock, 65536):
            received += len(part)
        sock.close()
        assert received > len(body)
        assert not server.has_unsent

    asyncio.run(run())
