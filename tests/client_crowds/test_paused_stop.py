"""Nodes as real processes that are paused while they stop."""

import asyncio
import signal

import pytest
from client_crowds.nodes import Nodes

pytestmark = pytest.mark.sockets

REQUESTS = 12
# Times after SIGTERM.
PAUSE_AT_S = 1.0
RESUME_AT_S = (2.5, 4.9)
END_TIMEOUT_S = 15.0


def build_request(number):
    """Return the head of a request with an id of its own."""
    return (
        f"POST /often-beta/x HTTP/1.1\r\nHost: h.example\r\n"
        f"Mimosaloom-Attempt-Id: paused-{number}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("resume_at_s", RESUME_AT_S)
@pytest.mark.parametrize("paused", [0, 1])
def test_request_of_a_pause_within_a_stop_gets_an_answer(paused, resume_at_s, tmp_path):
    """Guards against a stop that ends before what has arrived meanwhile is read."""

    async def run():
        nodes = Nodes(tmp_path)
        try:
            await nodes.start()
            process = nodes.processes[paused]
            process.signal(signal.SIGTERM)
            await asyncio.sleep(PAUSE_AT_S)
            process.pause()
            sending = [
                asyncio.ensure_future(nodes.send_request(build_request(number)))
                for number in range(REQUESTS)
            ]
            await asyncio.sleep(resume_at_s - PAUSE_AT_S)
            process.resume()
            statuses = await asyncio.gather(*sending)
            async with asyncio.timeout(END_TIMEOUT_S):
                while process.is_running:
                    await asyncio.sleep(0.05)
            assert process.exit_code == 0
            assert set(statuses) <= {200, 503}
            ran = sorted(r.request_id for r in nodes.runs if "paused" in r.request_id)
            served = [n for n, status in enumerate(statuses) if status == 200]
            assert ran == sorted(f"paused-{n}" for n in served)
        finally:
            await nodes.close()

    asyncio.run(run())
