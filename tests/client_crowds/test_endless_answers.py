"""Targets whose answers never end, against nodes as real processes."""

import asyncio

import pytest
from client_crowds.crowds import build_head
from client_crowds.endless_target import ENDLESS_ANSWERS
from client_crowds.nodes import AFTERWARDS_S, CROWD_S, MEMORY_BYTES, Nodes

pytestmark = pytest.mark.sockets

CALLERS = 24
# Pause of a caller after an answer.
PAUSE_S = 0.02


async def call_forever(nodes, number, *, stops_reading):
    """Send requests one after the other; read what comes, or the head only."""
    turn = 0
    while True:
        turn += 1
        reader, writer = await asyncio.open_connection(*nodes.outbound)
        try:
            request_id = f"call-{number}-{turn}"
            writer.write(
                build_head("Connection: close", method="GET", request_id=request_id)
            )
            line = await reader.readline()
            while stops_reading and line.startswith(b"HTTP/1.1 200 "):
                await asyncio.sleep(PAUSE_S)
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()
        await asyncio.sleep(PAUSE_S)


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_node_outlives_endless_answers(name, tmp_path):
    """Guards against a target that ends the nodes on its way by its answers."""

    async def run():
        nodes = Nodes(tmp_path)
        try:
            await nodes.start()
            async with nodes.endless_answers(name):
                callers = [
                    asyncio.ensure_future(
                        call_forever(nodes, number, stops_reading=number % 2 == 0)
                    )
                    for number in range(CALLERS)
                ]
                peak = await nodes.watch(CROWD_S)
                for caller in callers:
                    caller.cancel()
                await asyncio.gather(*callers, return_exceptions=True)
            await asyncio.sleep(AFTERWARDS_S)
            status = await nodes.send_request()
            assert all(process.is_running for process in nodes.processes)
            assert peak.memory_bytes <= MEMORY_BYTES
            assert status == 200
        finally:
            await nodes.close()

    asyncio.run(run())
