"""Requests that a client sends on a connection before earlier ones are answered."""

import asyncio
import contextlib
import itertools
import math
import re
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_mesh.messages import Response, find_header
from mimosaloom_model import Address
from mimosaloom_relay import Answer, RelayServer, new_event_loop
from mimosaloom_relay.answer_sizes import WINDOW_ANSWERS, AnswerSizes, ByteBudget
from mimosaloom_relay.bodies import MAX_BUFFERED_BYTES, Body
from mimosaloom_relay.connections import FlowControl, PauseReason
from mimosaloom_relay.pipeline import (
    MAX_HELD_BYTES,
    MAX_OVERLAPPING,
    MAX_WAITING,
    Pipeline,
)

pytestmark = pytest.mark.sockets

LOOPBACK = Address("127.0.0.1", 0)
TIMEOUT_S = 10.0
ALONE_PATH = "/alone"


def new_pipeline():
    """Return a pipeline of requests that are texts; those with an x don't overlap."""
    return Pipeline(lambda request: "x" not in request)


def start_all(pipeline):
    """Start all requests that may start now, and return them."""
    return list(iter(pipeline.start_next, None))


def test_request_that_may_not_overlap_runs_alone():
    """Guards against a non-idempotent request beside one whose answer may close."""
    pipeline = new_pipeline()
    for request in ("a", "b", "x", "c", "d"):
        pipeline.add(request, 0)
    assert start_all(pipeline) == ["a", "b"]
    pipeline.remove("a")
    assert start_all(pipeline) == []
    pipeline.remove("b")
    assert start_all(pipeline) == ["x"]
    pipeline.remove("x")
    assert start_all(pipeline) == ["c", "d"]


def test_bound_on_overlapping_requests():
    """Guards against one client that takes all places of the node."""
    pipeline = new_pipeline()
    requests = [f"r{n}" for n in range(2 * MAX_OVERLAPPING)]
    for request in requests:
        pipeline.add(request, 0)
    assert start_all(pipeline) == requests[:MAX_OVERLAPPING]
    pipeline.remove(requests[0])
    assert start_all(pipeline) == [requests[MAX_OVERLAPPING]]
    assert pipeline.overlapping_count == MAX_OVERLAPPING - 1


def test_bound_on_held_bytes():
    """Guards against answers behind a slow one that take all memory."""
    pipeline = new_pipeline()
    for request in ("a", "b"):
        pipeline.add(request, 10)
    assert start_all(pipeline) == ["a", "b"]
    pipeline.hold_answer("b", MAX_HELD_BYTES)
    pipeline.add("c", 0)
    assert start_all(pipeline) == []
    pipeline.remove("a")
    assert start_all(pipeline) == ["c"]
    pipeline.remove("b")
    assert pipeline.held_bytes == 0


def test_bounds_on_reading_ahead():
    """Guards against requests that are read but not started and take all memory."""
    pipeline = new_pipeline()
    pipeline.add("first", 0)
    assert start_all(pipeline) == ["first"]
    for number in range(MAX_WAITING):
        assert not pipeline.is_full
        pipeline.add(f"x{number}", 0)
    assert pipeline.is_full
    pipeline.remove("x3")
    assert not pipeline.is_full
    pipeline.add("large", MAX_HELD_BYTES + 1)
    pipeline.remove("x4")
    assert pipeline.is_full
    pipeline.remove("large")
    assert not pipeline.is_full


def test_stopped_pipeline_starts_nothing():
    """Guards against a request passed on whose answer a close cuts off."""
    pipeline = new_pipeline()
    for request in ("a", "x", "b"):
        pipeline.add(request, 0)
    start_all(pipeline)
    assert pipeline.stop_starting() == ["x", "b"]
    pipeline.remove("a")
    pipeline.add("c", 0)
    assert start_all(pipeline) == []


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "add-alone", "finish", "hold", "remove"]),
            st.integers(0, 400_000),
        ),
        max_size=200,
    )
)
def test_order_and_bounds_hold_for_any_sequence(steps):
    """Guards against lost or reordered requests, and miscounted bytes."""
    pipeline = new_pipeline()
    expected, started, removed = [], [], set()
    sizes = {}
    for number, (step, size_bytes) in enumerate(steps):
        if step.startswith("add"):
            request = f"{'x' if step == 'add-alone' else 'r'}{number}"
            expected.append(request)
            sizes[request] = size_bytes
            pipeline.add(request, size_bytes)
        elif step == "finish" and started:
            pipeline.remove(started.pop(0))
        elif step == "hold" and started:
            request = started[size_bytes % len(started)]
            sizes[request] = size_bytes
            pipeline.hold_answer(request, size_bytes)
        elif step == "remove" and expected:
            removed.add(expected[-1])
            pipeline.remove(expected.pop())
        for request in start_all(pipeline):
            assert request == expected.pop(0)
            started.append(request)
        assert pipeline.held_bytes == sum(sizes[request] for request in started)
        assert pipeline.first_started == (started[0] if started else None)
        assert pipeline.last_started == (started[-1] if started else None)
        assert len(started) <= MAX_OVERLAPPING
        assert len(started) <= 1 or not any("x" in request for request in started)
        assert started or not expected
        assert pipeline.is_idle == (not started)


def test_bytes_of_answers_are_reserved_before_the_requests_start():
    """Guards against a slow reader whose finished answers fill the memory of a node."""
    budget = ByteBudget(math.inf)
    pipeline = Pipeline(lambda r: True, lambda r: MAX_BUFFERED_BYTES, budget)
    requests = [f"r{n}" for n in range(40)]
    for request in requests:
        pipeline.add(request, 0)
    # The first one is written at once and reserves nothing.
    fitting = 1 + MAX_HELD_BYTES // MAX_BUFFERED_BYTES
    assert start_all(pipeline) == requests[:fitting]
    assert budget.used_bytes == MAX_HELD_BYTES
    for request in requests[1:fitting]:
        pipeline.hold_answer(request, 1000)
    assert start_all(pipeline) == requests[fitting : fitting + 3]
    pipeline.clear()
    assert budget.used_bytes == 0


def test_budget_holds_over_all_connections():
    """Guards against many slow readers, each within the bound of its connection."""
    budget = ByteBudget(3 * MAX_BUFFERED_BYTES)
    pipelines = [
        Pipeline(lambda r: True, lambda r: MAX_BUFFERED_BYTES, budget)
        for _ in range(50)
    ]
    for pipeline in pipelines:
        for request in ("a", "b"):
            pipeline.add(request, 0)
    # Each connection goes on with one request at a time.
    assert [len(start_all(p)) for p in pipelines] == [2, 2, 2] + [1] * 47
    assert budget.used_bytes <= budget.limit_bytes
    pipelines[0].remove("a")
    pipelines[0].remove("b")
    assert start_all(pipelines[-1]) == ["b"]


def test_sizes_of_answers_are_learned_and_forgotten():
    """Guards against a class that is slow for ever after one large answer."""
    sizes = AnswerSizes()
    assert sizes.expect("a") == MAX_BUFFERED_BYTES
    sizes.record("a", 700_000)
    for _ in range(WINDOW_ANSWERS):
        sizes.record("a", 500)
        assert sizes.expect("a") == 700_000
    for _ in range(WINDOW_ANSWERS):
        sizes.record("a", 500)
    assert sizes.expect("a") == 500
    sizes.drop_unused({"b"})
    assert sizes.expect("a") == MAX_BUFFERED_BYTES


class Gate:
    """A handler that holds requests until the test releases them.

    Requests name in their path what is answered: `/alone` may not overlap, `/N` is
    answered with its own path.

    Attributes:
        server: The server that uses it.
        running: Paths of the requests that are held, in order.
        seen: Paths of all requests that were passed to it.
        cancelled: Paths of the requests that were cancelled.
        incoming: The last request that was passed to it.
        answers: Answers by path, or exceptions, in place of the usual one.
    """

    def __init__(self, may_overlap=lambda request: request.path != ALONE_PATH):
        self.server = RelayServer(
            self.handle, lambda: Response(500, (), b"crash"), may_overlap=may_overlap
        )
        self.running = {}
        self.seen = []
        self.cancelled = []
        self.incoming = None
        self.answers = {}
        self.reader = self.writer = None

    async def handle(self, incoming):
        """Answer a request when it is released."""
        path = incoming.request.path
        self.incoming = incoming
        self.seen.append(path)
        released = self.running[path] = asyncio.get_running_loop().create_future()
        try:
            await released
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        finally:
            del self.running[path]
        answer = self.answers.get(path, Answer(Response(200, (), path.encode())))
        if isinstance(answer, Exception):
            raise answer
        return answer

    def release(self, *paths):
        """Let requests end that are held."""
        for path in paths:
            if not self.running[path].done():
                self.running[path].set_result(None)

    async def wait_running(self, *paths):
        """Wait until exactly these requests are held."""
        await wait_until(lambda: list(self.running) == list(paths))

    def send(self, *paths, headers="", method="GET", version="1.1"):
        """Write requests without a body in one piece."""
        self.write("".join(head(path, headers, method, version) for path in paths))

    def write(self, text):
        """Write bytes or text to the server."""
        self.writer.write(text if isinstance(text, bytes) else text.encode())

    async def read_answer(self, *, has_body=True):
        """Read one answer with a length; return its status, headers and body."""
        raw = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = raw.strip().split("\r\n")
        headers = tuple(tuple(row.split(": ", 1)) for row in rows)
        status = int(line.split(" ")[1])
        length = int(find_header(headers, "Content-Length") or 0) if has_body else 0
        return status, headers, await self.reader.readexactly(length)

    async def read_bodies(self, count):
        """Read some answers; return their bodies as text."""
        return [(await self.read_answer())[2].decode() for _ in range(count)]

    async def release_and_read(self, count):
        """Release all requests, the newest first, and read their bodies as text."""
        reading = asyncio.ensure_future(self.read_bodies(count))
        while not reading.done():
            assert len(self.running) <= MAX_OVERLAPPING
            self.release(*list(self.running)[::-1])
            await asyncio.sleep(0)
        return await reading

    async def read_to_end(self):
        """Read until the server closes the connection."""
        return await self.reader.read(-1)


def head(path, headers="", method="GET", version="1.1"):
    """Return a request without a body."""
    return f"{method} {path} HTTP/{version}\r\nHost: h\r\n{headers}\r\n"


async def wait_until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def run(scenario, **options):
    """Run a scenario with a handler and a connection to its server."""

    async def main():
        gate = Gate(**options)
        address = await gate.server.listen(LOOPBACK)
        gate.reader, gate.writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(gate)
        finally:
            gate.writer.close()
            gate.server.close()
            for task in list(gate.server.tasks):
                task.cancel()

    run_loop(main())


def run_loop(main):
    """Run a coroutine in an event loop of the kind that nodes use."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main)


def count_closes(raw):
    """Return how many answers announce the close, and how many there are."""
    return raw.count(b"Connection: close"), raw.count(b"HTTP/1.1 ")


def test_requests_run_at_once_and_are_answered_in_order():
    """Guards against requests that wait for those before, and swapped answers."""

    async def scenario(gate):
        gate.send("/0", "/1", "/2")
        await gate.wait_running("/0", "/1", "/2")
        assert gate.server.overlapping_count == 2
        gate.release("/2")
        await gate.wait_running("/0", "/1")
        gate.release("/1")
        await gate.wait_running("/0")
        assert len(gate.server.tasks) == 3
        gate.release("/0")
        assert await gate.read_bodies(3) == ["/0", "/1", "/2"]
        await wait_until(lambda: not gate.server.tasks)
        assert gate.server.overlapping_count == 0

    run(scenario)


def test_by_default_requests_run_one_after_another():
    """Guards against overlap on listeners that have not asked for it."""

    async def scenario(gate):
        gate.server.may_overlap = RelayServer(
            gate.handle, lambda: Response(500)
        ).may_overlap
        gate.send("/0", "/1")
        for path in ("/0", "/1"):
            await gate.wait_running(path)
            assert gate.server.overlapping_count == 0
            gate.release(path)
            assert await gate.read_bodies(1) == [path]

    run(scenario)


def test_request_that_may_not_overlap_waits_and_holds_back_others():
    """Guards against a non-idempotent request that runs beside others."""

    async def scenario(gate):
        gate.send("/0", "/1", ALONE_PATH, "/3", "/4")
        await gate.wait_running("/0", "/1")
        gate.release("/1")
        await gate.wait_running("/0")
        gate.release("/0")
        assert await gate.read_bodies(2) == ["/0", "/1"]
        await gate.wait_running(ALONE_PATH)
        assert gate.incoming.read_at_s is not None
        gate.release(ALONE_PATH)
        await gate.wait_running("/3", "/4")
        gate.release("/4", "/3")
        assert await gate.read_bodies(3) == [ALONE_PATH, "/3", "/4"]

    run(scenario)


def test_request_that_starts_at_once_has_no_read_time():
    """Guards against a time of arrival that differs from that of earlier versions."""

    async def scenario(gate):
        gate.send("/0")
        await gate.wait_running("/0")
        assert gate.incoming.read_at_s is None

    run(scenario)


def test_more_requests_than_the_bounds_are_all_answered():
    """Guards against requests that are lost when reading pauses and continues."""
    count = 4 * (MAX_OVERLAPPING + MAX_WAITING)

    async def scenario(gate):
        paths = [f"/{number}" for number in range(count)]
        padding = f"X: {'y' * 4000}\r\n"
        # The event loop reads at most 256 KiB at once, which is fewer requests.
        sending = asyncio.ensure_future(write_slowly(gate, paths, padding))
        await wait_until(lambda: len(gate.running) == MAX_OVERLAPPING)
        (connection,) = gate.server.connections
        await wait_until(lambda: not connection.transport.is_reading())
        assert len(gate.seen) == MAX_OVERLAPPING
        assert await gate.release_and_read(count) == paths
        await sending

    run(scenario)


async def write_slowly(gate, paths, headers):
    """Write requests as fast as the server reads them."""
    for path in paths:
        gate.send(path, headers=headers)
        await gate.writer.drain()


def test_large_answers_behind_a_slow_one_are_bounded():
    """Guards against finished answers that take all memory while they are held."""

    async def scenario(gate):
        body = b"x" * MAX_BUFFERED_BYTES
        paths = [f"/{number}" for number in range(40)]
        gate.answers = dict.fromkeys(paths[1:], Answer(Response(200, (), body)))
        gate.send("/0", "/1", "/2", "/3", "/4", "/5")
        await gate.wait_running(*paths[:6])
        gate.release(*paths[1:6])
        await gate.wait_running("/0")
        gate.send(*paths[6:])
        (connection,) = gate.server.connections
        await wait_until(lambda: len(connection._pipeline._waiting) == 34)
        assert gate.seen == paths[:6]
        assert await gate.release_and_read(40) == ["/0", *[body.decode()] * 39]

    run(scenario)


def test_slow_reader_does_not_make_the_server_start_more():
    """Guards against answers that pile up for a client that does not read."""

    async def scenario(gate):
        body = b"x" * MAX_BUFFERED_BYTES
        paths = [f"/{number}" for number in range(200)]
        gate.answers = dict.fromkeys(paths, Answer(Response(200, (), body)))
        gate.reader._transport.pause_reading()
        gate.send(*paths)
        (connection,) = await accepted(gate)
        stable = 0
        while stable < 50:
            before = len(gate.seen)
            gate.release(*list(gate.running))
            await asyncio.sleep(0.001)
            stable = stable + 1 if len(gate.seen) == before else 0
        assert len(gate.seen) < len(paths)
        assert connection._pipeline.held_bytes <= MAX_OVERLAPPING * MAX_BUFFERED_BYTES
        assert connection.transport.get_write_buffer_size() <= 2 * MAX_BUFFERED_BYTES
        gate.reader._transport.resume_reading()
        assert await gate.release_and_read(200) == [body.decode()] * 200

    run(scenario)


async def accepted(gate):
    """Return the connections of the server once there is one."""
    await wait_until(lambda: gate.server.connections)
    return gate.server.connections


def new_streamed_answer(pieces, aborted, headers=()):
    """Return a streamed answer; its body breaks off at a piece that is None."""
    body = Body(lambda: None, lambda: aborted.append(True))
    for piece in pieces:
        if piece is None:
            body.fail("broken off")
        else:
            body.feed(piece)
    body.finish()
    return Answer(Response(200, headers), body)


def test_streamed_answer_is_read_only_at_its_turn():
    """Guards against a streamed body between the bytes of an earlier answer."""

    async def scenario(gate):
        aborted = []
        piece = b"y" * (MAX_BUFFERED_BYTES + 1)
        length = (("Content-Length", str(2 * len(piece))),)
        for path in ("/0", "/1"):
            answer = new_streamed_answer([piece, piece], aborted, length)
            gate.answers[path] = answer
        gate.send("/0", "/1", "/2")
        await gate.wait_running("/0", "/1", "/2")
        gate.release("/2", "/1")
        await gate.wait_running("/0")
        assert not gate.answers["/1"].streamed_body.is_consumed
        gate.release("/0")
        bodies = await gate.read_bodies(3)
        assert [len(body) for body in bodies[:2]] == [2 * len(piece)] * 2
        assert bodies[2] == "/2"
        assert not aborted

    run(scenario)


def test_client_that_leaves_cancels_all_of_its_requests():
    """Guards against work for a client that is gone, and a held upstream."""

    async def scenario(gate):
        aborted = []
        gate.answers["/2"] = new_streamed_answer([b"part"], aborted)
        gate.send("/0", "/1", "/2", ALONE_PATH)
        await gate.wait_running("/0", "/1", "/2")
        gate.release("/2")
        await gate.wait_running("/0", "/1")
        gate.writer.close()
        await wait_until(lambda: not gate.server.tasks)
        assert gate.cancelled == ["/0", "/1"]
        assert aborted == [True]
        assert ALONE_PATH not in gate.seen

    run(scenario)


def test_answer_that_breaks_off_aborts_the_requests_behind():
    """Guards against answers that the client takes as the rest of a broken one."""

    async def scenario(gate):
        aborted = []
        gate.answers["/0"] = new_streamed_answer([b"part", None], aborted)
        gate.send("/0", "/1")
        await gate.wait_running("/0", "/1")
        gate.release("/0")
        with contextlib.suppress(ConnectionError):
            assert (await gate.read_to_end()).count(b"HTTP/1.1 ") <= 1
        await wait_until(lambda: not gate.server.tasks)
        assert (gate.cancelled, aborted) == (["/1"], [True])

    run(scenario)


def test_answer_that_closes_does_so_after_the_started_requests():
    """Guards against requests that were passed on and get no answer."""

    async def scenario(gate):
        last = Response(200, (), b"last", is_last=True)
        gate.answers["/1"] = Answer(last)
        gate.send("/0", "/1", "/2", ALONE_PATH, "/4")
        await gate.wait_running("/0", "/1", "/2")
        gate.release("/0", "/1")
        await gate.wait_running("/2")
        assert await gate.read_bodies(2) == ["/0", "last"]
        gate.send("/5")
        gate.release("/2")
        raw = await gate.read_to_end()
        assert count_closes(raw) == (1, 1)
        assert raw.endswith(b"/2")
        assert gate.seen == ["/0", "/1", "/2"]

    run(scenario)


def test_requests_after_the_last_answer_are_read_and_dropped():
    """Guards against a reset that takes the last answer with it."""

    async def scenario(gate):
        gate.answers["/0"] = Answer(Response(200, (), b"last", is_last=True))
        gate.send("/0", ALONE_PATH)
        await gate.wait_running("/0")
        gate.release("/0")
        await wait_until(lambda: not gate.server.tasks)
        (connection,) = gate.server.connections
        gate.send(*[f"/{number}" for number in range(2 * MAX_WAITING)])
        gate.write("no http\r\n\r\n")
        await wait_until(lambda: connection._has_stopped_parsing)
        assert connection.transport.is_reading()
        assert connection._pipeline.is_idle
        raw = await gate.read_to_end()
        assert count_closes(raw) == (1, 1)
        assert gate.seen == ["/0"]

    run(scenario)


def test_reading_continues_when_all_reasons_to_pause_are_gone():
    """Guards against a full body that is read on because requests were answered."""
    is_reading = []
    control = FlowControl()
    control.transport = SimpleNamespace(
        pause_reading=lambda: is_reading.append(False),
        resume_reading=lambda: is_reading.append(True),
        is_closing=lambda: False,
    )
    control.resume_reading(PauseReason.BODY)
    control.pause_reading(PauseReason.BODY)
    control.pause_reading(PauseReason.REQUESTS)
    control.pause_reading(PauseReason.BODY)
    control.resume_reading(PauseReason.REQUESTS)
    assert is_reading == [False]
    control.resume_reading(PauseReason.BODY)
    assert is_reading == [False, True]


def test_close_asked_for_by_the_client():
    """Guards against a close before the answers of earlier requests."""

    async def scenario(gate):
        gate.send("/0", "/1")
        gate.send("/2", headers="Connection: close\r\n")
        await gate.wait_running("/0", "/1", "/2")
        gate.release("/2", "/1", "/0")
        assert await gate.read_bodies(2) == ["/0", "/1"]
        raw = await gate.read_to_end()
        assert count_closes(raw) == (1, 1)
        assert raw.endswith(b"/2")

    run(scenario)


@pytest.mark.parametrize(
    ("bad", "status"),
    [("no http\r\n\r\n", 400), (f"GET / HTTP/1.1\r\nX: {'y' * 70000}", 431)],
)
def test_malformed_request_is_answered_after_those_before(bad, status):
    """Guards against an error that overtakes answers or cancels their requests."""

    async def scenario(gate):
        gate.send("/0", "/1", ALONE_PATH)
        gate.write(bad)
        gate.send("/4")
        await gate.wait_running("/0", "/1")
        gate.release("/1", "/0")
        await gate.wait_running(ALONE_PATH)
        gate.release(ALONE_PATH)
        raw = await gate.read_to_end()
        statuses = [int(code) for code in re.findall(rb"HTTP/1.1 (\d+)", raw)]
        assert statuses == [200, 200, 200, status]
        assert count_closes(raw) == (1, 4)
        assert "/4" not in gate.seen

    run(scenario)


def test_half_request_at_the_end_holds_nothing_up():
    """Guards against answers that wait for the rest of a later request."""

    async def scenario(gate):
        gate.send("/0", "/1")
        text = head("/2")
        gate.write(text[:20])
        await gate.wait_running("/0", "/1")
        gate.release("/1", "/0")
        assert await gate.read_bodies(2) == ["/0", "/1"]
        assert gate.server.is_receiving
        gate.write(text[20:])
        await gate.wait_running("/2")
        gate.release("/2")
        assert await gate.read_bodies(1) == ["/2"]

    run(scenario)


def test_large_request_never_overlaps():
    """Guards against a streamed body that is passed on beside other requests."""

    async def scenario(gate):
        size = 2 * MAX_BUFFERED_BYTES
        body = b"b" * size
        gate.send("/0")
        gate.write(head("/1", f"Content-Length: {size}\r\n", "PUT").encode())
        await gate.wait_running("/0")
        gate.write(body[:-1])
        (connection,) = gate.server.connections
        await wait_until(lambda: not connection.transport.is_reading())
        assert len(gate.server.tasks) == 1
        gate.release("/0")
        await gate.wait_running("/1")
        streamed = gate.incoming.streamed_body
        received = [piece async for piece in take(streamed, size - 1)]
        gate.write(body[-1:])
        gate.send("/2")
        received += [piece async for piece in streamed.pieces()]
        assert b"".join(received) == body
        assert gate.seen == ["/0", "/1"]
        gate.release("/1")
        await gate.wait_running("/2")
        gate.release("/2")
        assert await gate.read_bodies(3) == ["/0", "/1", "/2"]

    run(scenario)


async def take(body, size):
    """Yield the pieces of a body up to a size in bytes."""
    async for piece in body.pieces():
        yield piece
        size -= len(piece)
        if size <= 0:
            return


def test_interim_response_follows_earlier_answers():
    """Guards against an interim response that is taken for an answer in front."""

    async def scenario(gate):
        gate.send("/0", "/1")
        expect = "Expect: 100-continue\r\nContent-Length: 2\r\n"
        gate.write(head("/2", expect, "PUT"))
        await gate.wait_running("/0", "/1")
        await wait_until(lambda: gate.server.is_receiving)
        gate.release("/1", "/0")
        assert await gate.read_bodies(2) == ["/0", "/1"]
        assert (await gate.read_answer())[0] == 100
        gate.write("ok")
        await gate.wait_running("/2")
        assert gate.incoming.request.body == b"ok"
        gate.release("/2")
        assert await gate.read_bodies(1) == ["/2"]

    run(scenario)


def test_no_interim_response_after_the_body_has_come():
    """Guards against an interim response that a client no longer waits for."""

    async def scenario(gate):
        gate.send("/0")
        expect = "Expect: 100-continue\r\nContent-Length: 2\r\n"
        gate.write(head("/1", expect, "PUT") + "o")
        await gate.wait_running("/0")
        await wait_until(lambda: gate.server.is_receiving)
        gate.release("/0")
        assert await gate.read_bodies(1) == ["/0"]
        gate.write("k")
        await gate.wait_running("/1")
        gate.release("/1")
        assert await gate.read_bodies(1) == ["/1"]

    run(scenario)


def test_crash_of_a_handler_fails_only_its_request():
    """Guards against a crash that leaves the requests behind without an answer."""

    async def scenario(gate):
        gate.answers["/1"] = ValueError("test")
        gate.send("/0", "/1", "/2")
        await gate.wait_running("/0", "/1", "/2")
        gate.release("/1", "/2", "/0")
        assert await gate.read_bodies(3) == ["/0", "crash", "/2"]

    run(scenario)


def test_answer_that_cannot_be_written_ends_the_connection():
    """Guards against requests that wait for ever behind one without an answer."""

    async def scenario(gate):
        failures = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failures.append(context)
        )
        gate.answers["/0"] = Answer(Response(200, (("X", "\u20ac"),), b""))
        gate.send("/0", "/1")
        await gate.wait_running("/0", "/1")
        gate.release("/0")
        with contextlib.suppress(ConnectionError):
            assert await gate.read_to_end() == b""
        await wait_until(lambda: not gate.server.tasks)
        assert gate.cancelled == ["/1"]

    run(scenario)


def test_server_that_stops_answers_all_started_requests():
    """Guards against a stop that cuts off answers that are held."""

    async def scenario(gate):
        gate.send("/0", "/1", "/2", ALONE_PATH, "/4")
        await gate.wait_running("/0", "/1", "/2")
        gate.server.announce_close()
        gate.release("/1", "/2")
        await gate.wait_running("/0")
        assert len(gate.server.tasks) == 3
        gate.release("/0")
        raw = await gate.read_to_end()
        assert count_closes(raw) == (1, 3)
        assert raw.endswith(b"/2")
        assert gate.seen == ["/0", "/1", "/2"]
        assert not gate.server.tasks

    run(scenario)


def test_server_that_stops_starts_no_more_beside_others():
    """Guards against a stop that a client puts off by further requests."""

    async def scenario(gate):
        gate.send("/0")
        await gate.wait_running("/0")
        gate.server.announce_close()
        gate.send("/1")
        (connection,) = gate.server.connections
        await wait_until(lambda: connection._pipeline._waiting)
        gate.release("/0")
        assert count_closes(await gate.read_to_end()) == (1, 1)
        assert gate.seen == ["/0"]

    run(scenario)


def test_answers_without_a_body_keep_the_framing():
    """Guards against a body after HEAD or 204 that is taken for the next answer."""

    async def scenario(gate):
        gate.answers["/1"] = Answer(Response(204))
        gate.send("/0", method="HEAD")
        gate.send("/1", "/2")
        await gate.wait_running("/0", "/1", "/2")
        gate.release("/2", "/1", "/0")
        status, headers, _ = await gate.read_answer(has_body=False)
        assert (status, find_header(headers, "Content-Length")) == (200, "2")
        status, headers, _ = await gate.read_answer()
        assert (status, find_header(headers, "Content-Length")) == (204, None)
        assert await gate.read_bodies(1) == ["/2"]

    run(scenario)


def test_http_1_0_request_never_overlaps():
    """Guards against requests behind an answer that ends with the connection."""

    async def scenario(gate):
        gate.answers["/1"] = new_streamed_answer([b"to the end"], [])
        gate.send("/0")
        gate.send("/1", version="1.0", headers="Connection: keep-alive\r\n")
        gate.send("/2")
        await gate.wait_running("/0")
        gate.release("/0")
        await gate.wait_running("/1")
        gate.release("/1")
        raw = await gate.read_to_end()
        assert count_closes(raw) == (1, 2)
        assert raw.endswith(b"to the end")
        assert gate.seen == ["/0", "/1"]

    run(scenario)


KINDS = ("plain", "alone", "head", "empty", "streamed", "chunked", "crash", "upload")


@given(
    requests=st.lists(
        st.tuples(st.sampled_from(KINDS), st.integers(0, 5)), min_size=1, max_size=25
    ),
    cuts=st.lists(st.integers(0, 2000), max_size=8),
    last=st.integers(0, 60),
)
def test_each_answer_belongs_to_its_request(requests, cuts, last):
    """Guards against lost, swapped or mixed answers, whatever ends first."""
    run_loop(check_sequence(requests, cuts, last))


def build_answer(path, *, is_last):
    """Return the answer to a request, of the kind that its path names."""
    kind = path.partition("-")[2]
    body = path.encode()
    if kind in ("streamed", "chunked"):
        length = (("Content-Length", str(len(body))),)
        headers = length if kind == "streamed" else ()
        answer = new_streamed_answer([body[:2], body[2:]], [], headers)
        response = answer.response._replace(is_last=is_last)
        return answer._replace(response=response)
    status = 204 if kind == "empty" else 200
    headers = (("X-Path", path),)
    body = b"" if kind == "empty" else body
    return Answer(Response(status, headers, body, is_last=is_last))


async def check_sequence(requests, cuts, last):
    """Send requests in pieces, and compare the answers with what each asked for.

    Args:
        requests: Kind of each request, and after how many steps of the event loop it
            is answered.
        cuts: Where the bytes are split.
        last: Number of the request whose answer closes the connection, if there is
            one.
    """
    steps = {f"/{n}-{kind}": delay for n, (kind, delay) in enumerate(requests)}
    final = f"/{last}-{requests[last][0]}" if last < len(requests) else None
    if final is not None and final.endswith("crash"):
        final = None
    running, seen, alone = set(), [], []

    async def handle(incoming):
        path = incoming.request.path
        kind = path.partition("-")[2]
        running.add(path)
        seen.append(path)
        if kind == "alone":
            alone.append(set(running))
        for _ in range(steps[path]):
            await asyncio.sleep(0)
        running.discard(path)
        if kind == "crash":
            raise ZeroDivisionError
        assert incoming.request.body == (path.encode() if kind == "upload" else b"")
        return build_answer(path, is_last=path == final)

    server = RelayServer(
        handle,
        lambda: Response(500, (), b"crash"),
        may_overlap=lambda request: not request.path.endswith("alone"),
    )
    address = await server.listen(LOOPBACK)
    reader, writer = await asyncio.open_connection(*address)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            sending = asyncio.ensure_future(send_pieces(writer, list(steps), cuts))
            paths = iter(steps)
            for path in paths:
                if await check_answer(reader, path):
                    break
            await sending
            unanswered = list(paths)
            assert not unanswered or final in seen
            assert not set(unanswered) & set(seen)
            assert seen == list(steps)[: len(seen)]
            assert all(len(paths) == 1 for paths in alone)
            if final is not None:
                assert await reader.read(-1) == b""
    finally:
        writer.close()
        server.close()


async def send_pieces(writer, paths, cuts):
    """Write a request for each path, split at some positions."""
    parts = []
    for path in paths:
        kind = path.partition("-")[2]
        if kind == "upload":
            length = f"Content-Length: {len(path)}\r\n"
            parts.append(head(path, length, "PUT") + path)
        else:
            parts.append(head(path, method="HEAD" if kind == "head" else "GET"))
    data = "".join(parts).encode()
    edges = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
    for start, end in itertools.pairwise(edges):
        writer.write(data[start:end])
        await asyncio.sleep(0)


async def check_answer(reader, path):
    """Read the answer to a request; return whether it is the last."""
    kind = path.partition("-")[2]
    raw = (await reader.readuntil(b"\r\n\r\n")).decode()
    status = {"empty": 204, "crash": 500}.get(kind, 200)
    assert raw.startswith(f"HTTP/1.1 {status} ")
    if kind == "chunked":
        chunks = b"2\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n"
        body = path.encode()
        expected = chunks % (body[:2], len(body) - 2, body[2:])
    elif kind == "crash":
        expected = b"crash"
    else:
        expected = b"" if kind in ("empty", "head") else path.encode()
    if kind in ("head", "empty"):
        assert f"X-Path: {path}\r\n" in raw
    assert await reader.readexactly(len(expected)) == expected
    return "Connection: close" in raw
