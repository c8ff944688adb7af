"""Crowds of clients that don't behave, against nodes as real processes."""

import asyncio

import pytest
from client_crowds.crowds import CROWDS, build_head, build_short_lines
from client_crowds.nodes import AFTERWARDS_S, MEMORY_BYTES, Nodes, run_crowd

pytestmark = pytest.mark.sockets

# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
CLOSE_TIMEOUT_S = 30.0


def run_nodes(scenario, folder, **options):
    """Run a coroutine function with two nodes that are ready."""

    async def run():
        nodes = Nodes(folder, **options)
        try:
            await nodes.start()
            await scenario(nodes)
        finally:
            await nodes.close()

    asyncio.run(run())


@pytest.mark.parametrize("name", CROWDS)
def test_node_outlives_crowd(name, tmp_path):
    """Guards against clients that end or block a node by what it holds for them."""
    max_fds = CROWDS[name].max_fds

    async def scenario(nodes):
        peak = await run_crowd(name, nodes)
        await asyncio.sleep(AFTERWARDS_S)
        status = await nodes.send_request()
        assert all(process.is_running for process in nodes.processes)
        assert peak.memory_bytes <= MEMORY_BYTES
        assert peak.sockets <= max_fds - RESERVED_FDS
        assert peak.descriptors <= max_fds
        assert status == 200

    run_nodes(scenario, tmp_path, max_fds=max_fds)


ODD_REQUESTS = {
    "short-lines": (build_short_lines("odd"), b""),
    "single-byte-chunks": (
        build_head("Transfer-Encoding: chunked"),
        b"1\r\nc\r\n" * 100_000 + b"0\r\n\r\n",
    ),
    "large-chunks": (
        build_head("Transfer-Encoding: chunked"),
        b"%x\r\n%b\r\n" % (1024 * 1024, b"c" * 1024 * 1024) * 15 + b"0\r\n\r\n",
    ),
    "largest-body": (
        build_head(f"Content-Length: {16 * 1024 * 1024}"),
        b"c" * 16 * 1024 * 1024,
    ),
}


@pytest.mark.parametrize("name", ODD_REQUESTS)
def test_odd_request_is_served_in_calm(name, tmp_path):
    """Guards against bounds that refuse a single request inside the limits."""

    async def scenario(nodes):
        assert await nodes.send_request(*ODD_REQUESTS[name]) == 200

    run_nodes(scenario, tmp_path)


STALLED_REQUESTS = {
    "before-the-request": b"",
    "after-empty-lines": b"\r\n\r\n",
    "in-the-head": build_head()[:-2],
    "in-the-body": build_head("Content-Length: 2") + b"a",
    "in-the-chunks": build_head("Transfer-Encoding: chunked") + b"1\r\na\r\n",
}


@pytest.mark.parametrize("name", STALLED_REQUESTS)
def test_stalled_connection_is_closed(name, tmp_path):
    """Guards against connections that a client keeps open for ever."""

    async def scenario(nodes):
        reader, writer = await asyncio.open_connection(*nodes.outbound)
        writer.write(STALLED_REQUESTS[name])
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                answer = await reader.read()
        finally:
            writer.transport.abort()
        is_started = name.startswith("in-")
        assert answer.startswith(b"HTTP/1.1 408 " if is_started else b"")
        assert is_started or not answer

    run_nodes(scenario, tmp_path, headerTimeoutMs=1000, idleTimeoutMs=2000)
