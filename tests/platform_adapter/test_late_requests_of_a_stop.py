"""Requests that arrive while a node stops, and what is left of them at its end."""

import asyncio

import pytest
from platform_adapter.cluster import run_cluster, wait_until
from platform_adapter.standins import FakeTarget

from mimosaloom_mesh.messages import Request
from mimosaloom_relay import Answer

pytestmark = pytest.mark.sockets

GRACE_S = 6.0
# Longer than any stop.
TIMEOUT_MS = 30_000
ROUTES = [
    {
        "pathPrefix": f"/{service[0]}/",
        "service": service,
        "routeType": "non_idempotent",
        "timeoutMs": TIMEOUT_MS,
    }
    for service in ("front", "back")
]
# Hops are accepted for somewhat longer than this after the signal.
LATE_S = 2.0
HEADERS = (
    ("Host", "h.example"),
    ("Mimosaloom-Attempt-Id", "late"),
    ("Mimosaloom-Timeout-Ms", str(TIMEOUT_MS)),
)


class TimedTarget(FakeTarget):
    """A target that works for a given time, and stops work at the time it is given.

    Attributes:
        work_s: Time that the work of a request takes.
    """

    def __init__(self):
        super().__init__()
        self.work_s = 0.0

    async def run(self, request_id: str) -> None:
        """Work until the end of the work or of the time."""
        await super().run(request_id)
        timeout_s = int(self.requests[-1][1]["Mimosaloom-Timeout-Ms"]) / 1000
        await asyncio.sleep(min(self.work_s, timeout_s))
        self.status = "200" if self.work_s < timeout_s else "504"


async def start_pair(cluster):
    """Start a node of a calling service and one beside a timed target."""
    target = TimedTarget()
    await target.listen()
    front = await cluster.add_member("front-1", "front", grace_s=GRACE_S)
    back = await cluster.add_member("back-1", "back", grace_s=GRACE_S, target=target)
    await cluster.configure(1, ROUTES)
    await cluster.announce_all()
    return front, back


async def end(member):
    """Stop a node and close all of its connections, as the end of the process does."""
    await member.node.stop()
    await member.node.close()


async def send_to(cluster, member):
    """Send a request to a node and return the outcome."""
    request = Request("POST", "/b/x", HEADERS, b"1")
    return await cluster.client.send(member.node.addresses.outbound, request)


@pytest.mark.parametrize("is_store_down", [False, True])
@pytest.mark.parametrize("stopping", ["front-1", "back-1"])
def test_late_request_with_long_work_gets_an_answer(stopping, is_store_down):
    """Guards against a request that was taken late and is cut at the end of a stop."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.work_s = 20.0
        cluster.store.is_down = is_store_down
        ending = asyncio.ensure_future(end(cluster.members[stopping]))
        await asyncio.sleep(LATE_S)
        outcome = await send_to(cluster, front)
        assert isinstance(outcome, Answer)
        # It is the target's own answer.
        assert (outcome.response.status, outcome.response.body) == (504, b"done:1")
        assert back.target.runs == ["late"]
        await ending

    run_cluster(scenario)


def test_late_request_that_can_not_end_in_time_does_not_run():
    """Guards against work that the end of a stop interrupts for certain."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.work_s = 4.0
        assert (await send_to(cluster, front)).response.status == 200
        ending = asyncio.ensure_future(end(front))
        await asyncio.sleep(LATE_S)
        response = (await send_to(cluster, front)).response
        assert response.status == 503
        assert response.header("Retry-After") is not None
        assert back.target.runs == ["late"]
        await ending

    run_cluster(scenario)


def test_upload_that_lasts_over_a_stop_gets_an_answer():
    """Guards against a body that arrives slowly and whose request is cut."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.work_s = 20.0
        reader, writer = await asyncio.open_connection(*front.node.addresses.outbound)
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS)
        writer.write(
            f"POST /b/x HTTP/1.1\r\n{head}Content-Length: 300001\r\n\r\n".encode()
        )
        ending = asyncio.ensure_future(end(front))
        await asyncio.sleep(LATE_S)
        writer.write(b"x" * 300_000)
        await asyncio.sleep(LATE_S)
        writer.write(b"x")
        assert (await reader.readline()).split()[1:2] == [b"504"]
        assert back.target.runs == ["late"]
        writer.close()
        await ending

    run_cluster(scenario)


def test_large_answer_is_read_to_its_end_over_a_stop():
    """Guards against an answer that is cut although its client still reads it."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["huge"]
        outcome = await send_to(cluster, front)
        ending = asyncio.ensure_future(end(front))
        size = 0
        async for piece in outcome.streamed_body.pieces():
            size += len(piece)
            await asyncio.sleep(0.02)
        assert (outcome.streamed_body.failure, size) == ("", 12_000_000)
        await ending

    run_cluster(scenario)


def test_stop_waits_for_the_calls_of_its_target():
    """Guards against a stop that leaves no way for the calls of a running request."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["hold"]
        pending = asyncio.ensure_future(
            front.send_request("/b/x", "parent", method="POST", timeout_ms=TIMEOUT_MS)
        )
        await wait_until(lambda: back.target.runs)
        ending = asyncio.ensure_future(end(back))
        # Later than new requests are taken.
        await asyncio.sleep(3.5)
        response = await back.send_request("/f/y", "parent.1", timeout_ms=TIMEOUT_MS)
        assert response.status == 200
        back.target.released.set()
        assert (await pending).status == 200
        await ending

    run_cluster(scenario)


def test_late_request_for_an_upgrade_gets_an_answer():
    """Guards against a request that is cut as no other protocol is supported."""

    async def scenario(cluster):
        front, _ = await start_pair(cluster)
        ending = asyncio.ensure_future(end(front))
        await asyncio.sleep(LATE_S)
        reader, writer = await asyncio.open_connection(*front.node.addresses.outbound)
        headers = (*HEADERS, ("Connection", "upgrade"), ("Upgrade", "h2c"))
        head = "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write(f"GET /b/x HTTP/1.1\r\n{head}\r\n".encode())
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.endswith(b"done:")
        writer.close()
        await ending

    run_cluster(scenario)
