"""Requests that a client sends on one connection without waiting for answers."""

import asyncio
import contextlib
import re

import pytest
from platform_adapter.cluster import run_cluster, wait_until

from mimosaloom_relay.pipeline import MAX_HELD_BYTES

pytestmark = pytest.mark.sockets

COUNT = 10
ROUTES = [
    {"pathPrefix": "/b/", "service": "back", "timeoutMs": 5000},
    {"pathPrefix": "/n/", "service": "back", "routeType": "non_idempotent"},
]


async def start_pair(cluster):
    """Start a node of a calling service and one of a called service."""
    front = await cluster.add_member("front-1", "front")
    back = await cluster.add_member("back-1", "back")
    await cluster.configure(1, ROUTES)
    info = {"service": "back", "zone": "z", "slots": 2 * COUNT}
    await front.announce()
    await back.announce(info=info)
    for member in (front, back):
        await wait_until(lambda m=member: m.sees_all_available(cluster.members))
    return front, back


@contextlib.asynccontextmanager
async def connect(member):
    """Open a connection to the listener for clients."""
    reader, writer = await asyncio.open_connection(*member.node.addresses.outbound)
    try:
        yield reader, writer
    finally:
        writer.close()


def encode_requests(paths):
    """Return requests whose ids are their paths, the last of which asks for a close."""
    return "".join(
        f"PUT {path} HTTP/1.1\r\nHost: h.example\r\n"
        f"Mimosaloom-Attempt-Id: {path[1:]}\r\nContent-Length: {len(path)}\r\n"
        f"{'Connection: close' if path == paths[-1] else 'X: y'}\r\n\r\n{path}"
        for path in paths
    ).encode()


def read_bodies(raw):
    """Return the bodies of all answers with status 200."""
    return re.findall(rb"HTTP/1.1 200 .*?\r\n\r\ndone:([^H]*)", raw, re.DOTALL)


def count_overlapping(member):
    """Return the exported number of requests that overlap."""
    found = re.search(
        rb"^mimosaloom_overlapping_requests (\S+)",
        member.node.metrics.render(),
        re.MULTILINE,
    )
    return float(found[1])


async def answer_first(front, back):
    """Answer a request, so that the size of the answers of its class is known."""
    assert (await front.send_request("/b/first")).status == 200
    back.target.runs.clear()


async def load_all(front, target, paths):
    """Send pipelined requests, read nothing, and return which of them run."""
    known = len(target.runs)
    async with connect(front) as (reader, writer):
        writer.write(encode_requests(paths))
        await asyncio.sleep(0.5)
        return target.runs[known:], await reader.read(-1)


def test_request_behind_a_large_answer_that_breaks_off_does_not_run():
    """Guards against requests that ran and are cut off with an answer before them."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["large", "large-cut"]
        await answer_first(front, back)
        paths = [f"/b/{number}" for number in range(COUNT)]
        runs, raw = await load_all(front, back.target, paths)
        assert len(raw) < 800_000
        assert runs == ["b/0"]

    run_cluster(scenario)


@pytest.mark.parametrize("is_known", [True, False])
def test_answers_that_wait_behind_a_slow_reader_are_bounded(is_known):
    """Guards against slow readers whose answers fill the memory of a node."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["medium"] * (is_known + 6 * COUNT)
        if is_known:
            await answer_first(front, back)
        paths = [f"/b/{number}" for number in range(6 * COUNT)]
        async with connect(front) as (reader, writer):
            # The transport of the client stops reading at the limit of its stream.
            writer.write(encode_requests(paths))
            await asyncio.sleep(0.7)
            page = front.node.metrics.render()
            found = re.search(rb"^mimosaloom_held_bytes (\S+)", page, re.MULTILINE)
            assert 0 < float(found[1]) <= MAX_HELD_BYTES
            assert len(back.target.runs) < len(paths)
            raw = await asyncio.wait_for(reader.read(-1), 10)
        assert raw.count(b"HTTP/1.1 200") == len(paths)

    run_cluster(scenario)


def test_target_has_pipelined_requests_at_the_same_time():
    """Guards against requests that wait for the work of those before them.

    How large the answers of the class are is known, as one has been answered.
    """

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        await answer_first(front, back)
        back.target.modes = ["hold"] * COUNT
        paths = [f"/b/{number}" for number in range(COUNT)]
        async with connect(front) as (reader, writer):
            writer.write(encode_requests(paths))
            await wait_until(lambda: len(back.target.runs) == COUNT)
            assert count_overlapping(front) == COUNT - 1
            back.target.released.set()
            raw = await asyncio.wait_for(reader.read(-1), 5)
        assert read_bodies(raw) == [path.encode() for path in paths]
        assert sorted(back.target.runs) == [path[1:] for path in paths]
        assert count_overlapping(front) == 0

    run_cluster(scenario)


def test_non_idempotent_request_waits_for_those_before_it():
    """Guards against a second run of a request that a client sends again."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["hold"] * 2
        paths = ["/b/0", "/b/1", "/n/2", "/b/3"]
        async with connect(front) as (reader, writer):
            writer.write(encode_requests(paths))
            await wait_until(lambda: len(back.target.runs) == 2)
            assert count_overlapping(front) == 1
            assert sorted(back.target.runs) == ["b/0", "b/1"]
            back.target.released.set()
            raw = await asyncio.wait_for(reader.read(-1), 5)
        assert read_bodies(raw) == [path.encode() for path in paths]
        assert back.target.runs[2:] == ["n/2", "b/3"]

    run_cluster(scenario)


def test_client_that_leaves_ends_its_pipelined_requests():
    """Guards against targets that work on requests of a client that is gone."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        await answer_first(front, back)
        back.target.modes = ["hold"] * COUNT
        paths = [f"/b/{number}" for number in range(COUNT)]
        async with connect(front) as (_, writer):
            writer.write(encode_requests(paths))
            await wait_until(lambda: len(back.target.runs) == COUNT)
        await wait_until(lambda: len(back.target.disconnected) == COUNT)
        await wait_until(lambda: not front.node.count_open_requests())

    run_cluster(scenario)


def test_stop_waits_for_pipelined_requests():
    """Guards against a stop that cuts off requests behind the first of a connection."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["hold"] * 3
        async with connect(front) as (reader, writer):
            writer.write(encode_requests(["/b/0", "/b/1", "/b/2", "/n/3"]))
            await wait_until(lambda: len(back.target.runs) == 3)
            stopping = asyncio.ensure_future(front.node.stop())
            await wait_until(lambda: front.node.is_stopping)
            assert front.node.count_open_requests() >= 3
            back.target.released.set()
            raw = await asyncio.wait_for(reader.read(-1), 5)
            await stopping
        assert raw.count(b"HTTP/1.1 200 ") == 3
        assert raw.count(b"Connection: close") == 1
        assert len(back.target.runs) == 3

    run_cluster(scenario)
