"""The whole path of a request over real sockets.

A client sends it to the node on its own instance (the origin), which forwards it to the
node beside a target, which runs it on the target.
"""

import asyncio
import contextlib
import time

import pytest
from platform_adapter.cluster import run_cluster, wait_until

pytestmark = pytest.mark.sockets

NON_IDEMPOTENT = {"routeType": "non_idempotent"}
# For tests that are not about time. A stall of the event loop counts against the time
# of a request, at each node.
NO_HURRY = {"timeoutMs": 30_000}


async def start_pair(cluster, **route):
    """Start a node of a calling service (front) and one of a called service (back)."""
    front = await cluster.add_member("front-1", "front")
    back = await cluster.add_member("back-1", "back")
    route = {"pathPrefix": "/b/", "service": "back", **route}
    await cluster.configure(1, [route])
    await cluster.announce_all()
    return front, back


async def add_second_target(cluster, front):
    """Start another node of the called service; wait until the caller knows it."""
    other = await cluster.add_member("back-2", "back")
    await other.announce()
    await wait_until(lambda: front.sees_all_available(cluster.members))
    return other


async def start_three(cluster, **third_route):
    """Start a pair, and a node of a third service that the called service calls."""
    front, back = await start_pair(cluster)
    third = await cluster.add_member("third-1", "third")
    routes = [
        {"pathPrefix": "/b/", "service": "back", "priority": 1},
        {"pathPrefix": "/t/", "service": "third", **third_route},
    ]
    await cluster.configure(2, routes)
    await cluster.announce_all()
    return front, back, third


def test_request_crosses_both_hops_unchanged():
    """Guards against a changed method, path, query or body, and lost headers."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        response = await front.send_request(
            "/b/x?y=1&z=%20",
            method="PUT",
            body=b"payload",
            headers=(("X-More", "kept"), ("Mimosaloom-Caller-Service", "forged")),
        )
        assert (response.status, response.body) == (200, b"done:payload")
        assert response.header("Mimosaloom-Response-Signature") == "sig.i-back-1"
        assert response.header("Mimosaloom-Hop-Result") is None
        line, headers, body = back.target.requests[0]
        assert (line, body) == ("PUT /b/x?y=1&z=%20 HTTP/1.1", b"payload")
        assert headers["X-More"] == "kept"
        assert headers["Mimosaloom-Attempt-Id"] == "id-1"
        assert headers["Mimosaloom-Caller-Service"] == "front"
        assert headers["Mimosaloom-Expect-Instance"] == "i-back-1"
        assert 0 < int(headers["Mimosaloom-Timeout-Ms"]) <= 2000
        assert "Mimosaloom-Hop" not in headers

    run_cluster(scenario)


def test_request_without_a_configuration_gets_503_and_no_404():
    """Guards against a node that answers 404 because it has no configuration yet."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        response = await front.send_request("/b/x")
        assert response.status == 503
        assert float(response.header("Retry-After")) > 0
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == 503
        await cluster.configure(3, [{"pathPrefix": "/b/", "service": "front"}])
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == 200
        assert (await front.send_request("/none/x")).status == 404
        assert (await front.send_request("/b/x", host="other.example")).status == 404

    run_cluster(scenario)


@pytest.mark.parametrize("mode", ["lose", "cut", "garbage", "unsigned"])
def test_non_idempotent_request_that_may_have_run_is_not_refused(mode):
    """Guards against 503 for a request that has run, and against a second run."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = [mode]
        response = await front.send_request("/b/x", method="POST", body=b"1")
        assert response.status == 502
        assert len(back.target.runs + other.target.runs) == 1

    run_cluster(scenario)


@pytest.mark.parametrize("mode", ["lose", "cut", "garbage", "unsigned", "reject"])
def test_idempotent_request_is_retried_on_another_target(mode):
    """Guards against failing an idempotent request because one target failed."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = [mode]
        # Both targets share the list, so only the one reached first is in that mode.
        response = await front.send_request("/b/x")
        if response.status != 200:
            pytest.fail(f"{mode}: {response}")
        assert len(back.target.requests + other.target.requests) == 2

    run_cluster(scenario)


def test_rejected_non_idempotent_request_is_retried_on_another_target():
    """Guards against giving up although the target promised not to have run it."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = ["reject"]
        response = await front.send_request("/b/x", method="POST", body=b"1")
        assert response.status == 200
        assert len(back.target.runs + other.target.runs) == 1

    run_cluster(scenario)


def test_all_targets_reject():
    """Guards against a refusal that does not say when to retry."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT)
        back.target.modes = ["reject"] * 5
        response = await front.send_request("/b/x", method="POST", body=b"1")
        assert response.status == 503
        assert float(response.header("Retry-After")) > 0
        assert back.target.runs == []

    run_cluster(scenario)


def test_late_copy_of_a_rejection_does_not_answer_the_next_attempt():
    """Guards against refusing a request as not run although its second attempt ran.

    All attempts of a request carry its id, so the copy seems to belong to each of them.
    """

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT)
        back.target.modes = ["reject-twice"]
        response = await front.send_request("/b/x", method="POST", body=b"1")
        assert len(back.target.runs) == 1
        assert (response.status, response.body) == (200, b"done:1")

    run_cluster(scenario)


@pytest.mark.parametrize("sender", ["front-1", "back-1"])
def test_late_copy_of_a_rejection_without_an_id_does_not_answer_the_next_request(
    sender,
):
    """Guards against refusing a request as not run although the target runs it."""

    async def scenario(cluster):
        _, back = await start_pair(cluster, **NON_IDEMPOTENT, **NO_HURRY)
        member = cluster.members[sender]
        back.target.modes = ["reject-unnamed-twice"]
        await member.send_request("/b/x", "first", method="POST")
        # Together they use all open connections, also the one with the rejection.
        ids = [f"id-{number}" for number in range(5)]
        answers = await asyncio.gather(
            *(member.send_request("/b/x", id_, method="POST") for id_ in ids)
        )
        for request_id, answer in zip(ids, answers, strict=True):
            assert answer.status != 503 or request_id not in back.target.runs
        assert len(back.target.runs) == len(set(back.target.runs))

    run_cluster(scenario)


@pytest.mark.parametrize("mode", ["extra", "extra-after", "no-length", "chunked"])
def test_unusual_framing_yields_the_answer_of_the_request(mode):
    """Guards against the answer of another request, or an answer with extra bytes."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = [mode]
        for number in range(3):
            response = await front.send_request(
                "/b/x", f"id-{number}", method="POST", body=b"%d" % number
            )
            assert (response.status, response.body) == (200, b"done:%d" % number)
            assert response.header("Mimosaloom-Attempt-Id") == f"id-{number}"

    run_cluster(scenario)


def test_failed_answer_of_the_target_is_forwarded_with_its_signature():
    """Guards against a failed answer of a target that is hidden or changed."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT)
        back.target.modes = ["error"]
        response = await front.send_request("/b/x", method="POST", body=b"1")
        assert response.status == 500
        assert response.header("Mimosaloom-Response-Signature") == "sig.i-back-1"

    run_cluster(scenario)


def test_large_bodies_are_streamed():
    """Guards against truncating or changing bodies too large to hold in memory."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        body = bytes(range(256)) * 8192
        response = await front.send_request("/b/x", method="POST", body=body)
        assert response.status == 200
        assert response.body == b"done:" + body
        assert back.target.requests[0][2] == body

    run_cluster(scenario)


@contextlib.asynccontextmanager
async def watch_stalls():
    """Collect the times in seconds for which the event loop did not run."""
    stalls_s = []

    async def tick():
        while True:
            start_s = time.monotonic()
            await asyncio.sleep(0.01)
            stalls_s.append(max(0.0, time.monotonic() - start_s - 0.02))

    ticking = asyncio.ensure_future(tick())
    try:
        yield stalls_s
    finally:
        ticking.cancel()


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_that_stalls_midway_ends_at_the_deadline(method):
    """Guards against a caller that waits for the rest of an answer without an end."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT, timeoutMs=400)
        back.target.modes = ["large-stall"]
        start_s = time.monotonic()
        host, port = front.node.addresses.outbound
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            f"{method} /b/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
            "Mimosaloom-Attempt-Id: id-1\r\n\r\n".encode()
        )
        raw = bytearray()
        async with watch_stalls() as stalls_s:
            with contextlib.suppress(ConnectionResetError):
                while piece := await asyncio.wait_for(reader.read(1 << 20), 5):
                    raw += piece
            elapsed_s = time.monotonic() - start_s
        # The final answer is due half a second after the time of the route.
        assert 0.3 < elapsed_s < 0.4 + 0.5 + sum(stalls_s)
        assert b"Content-Length: 800000" in raw
        assert len(raw) < 800_000
        await wait_until(lambda: back.target.disconnected == ["id-1"])
        writer.close()

    run_cluster(scenario)


def test_large_answer_is_delivered_whole_to_a_slow_reader_after_the_deadline():
    """Guards against an answer that is there and is cut as its time has passed."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, timeoutMs=500)
        back.target.modes = ["huge"]
        host, port = front.node.addresses.outbound
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"GET /b/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            b"Mimosaloom-Attempt-Id: id-1\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head
        await asyncio.sleep(1.2)
        body = await asyncio.wait_for(reader.read(-1), 10)
        assert len(body) == 12_000_000
        writer.close()

    run_cluster(scenario)


def test_large_answer_to_a_client_that_has_left_is_not_kept():
    """Guards against answers that nobody reads and that hold memory and connections."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NON_IDEMPOTENT, **NO_HURRY)
        back.target.modes = ["hold-large"] * 5
        for number in range(5):
            host, port = front.node.addresses.outbound
            _, writer = await asyncio.open_connection(host, port)
            writer.write(
                b"POST /b/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
                b"Mimosaloom-Attempt-Id: id-%d\r\n\r\n" % number
            )
            await wait_until(lambda n=number: len(back.target.runs) == n + 1)
            writer.close()
        await wait_until(lambda: not front.node.count_open_connections()["outbound"])
        back.target.released.set()
        await wait_until(lambda: not back.node.count_open_connections()["target"])

    run_cluster(scenario)


def test_large_answers_leave_no_connections_behind():
    """Guards against two descriptors that each large answer costs for good."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NO_HURRY)
        body = b"x" * 600_000
        for number in range(12):
            response = await front.send_request(
                "/b/x", f"id-{number}", method="POST", body=body, timeout_ms=30_000
            )
            assert response.body == b"done:" + body
        await asyncio.sleep(0.05)
        assert front.node.count_open_connections()["node"] <= 2
        assert back.node.count_open_connections()["inbound"] <= 2
        assert back.node.count_open_connections()["target"] <= 2

    run_cluster(scenario)


def test_early_answer_to_a_long_request_does_not_affect_the_next_one():
    """Guards against reading the rest of a body as the next request."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["early"]
        body = b"x" * 2_000_000
        await front.send_request("/b/x", "id-1", method="POST", body=body)
        response = await front.send_request("/b/x", "id-2", method="POST", body=b"2")
        assert (response.status, response.body) == (200, b"done:2")
        assert [r for r in back.target.runs if r != "id-1"] == ["id-2"]

    run_cluster(scenario)


def test_request_is_answered_at_the_timeout_of_its_route():
    """Guards against an answer after the timeout, or a 503 although the request ran."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, timeoutMs=150, **NON_IDEMPOTENT)
        back.target.modes = ["hold"]
        response = await front.send_request("/b/x", method="POST", body=b"1")
        assert response.status in (502, 504)
        assert back.target.runs == ["id-1"]

    run_cluster(scenario)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_client_that_disconnects_cancels_only_an_idempotent_request(is_idempotent):
    """Guards against work for a client that has gone, and against interrupted payments.

    A non-idempotent request, such as the payment of a fee, runs to its end.
    """

    async def scenario(cluster):
        options = {} if is_idempotent else NON_IDEMPOTENT
        front, back = await start_pair(cluster, **options)
        back.target.modes = ["hold"]
        pending = asyncio.ensure_future(
            front.send_request("/b/x", method="POST", body=b"1")
        )
        await wait_until(lambda: back.target.runs)
        pending.cancel()
        if is_idempotent:
            await wait_until(lambda: back.target.disconnected == ["id-1"])
        else:
            await wait_until(lambda: not front.node._servers["outbound"].tasks)
            assert back.target.disconnected == []
            back.target.released.set()
            await wait_until(lambda: not back.node.target_side.detached_runs)
            assert back.target.disconnected == []

    run_cluster(scenario)


def test_call_of_a_target_inherits_the_priority_and_root_of_its_request():
    """Guards against refusing the calls made for a request that was admitted."""

    async def scenario(cluster):
        front, back, third = await start_three(cluster, priority=5)
        back.target.modes = ["hold"]
        pending = asyncio.ensure_future(front.send_request("/b/x", "root"))
        await wait_until(lambda: back.target.runs)
        parent = back.node.target_side.find_parent("root.call")
        assert (parent.priority, parent.root_id, parent.depth) == (1, "root", 0)
        response = await back.send_request("/t/y", "root.call")
        assert response.status == 200
        assert third.target.requests[0][1]["Mimosaloom-Caller-Service"] == "back"
        back.target.released.set()
        assert (await pending).status == 200

    run_cluster(scenario)


def test_request_that_one_target_fails_is_retried_on_another():
    """Guards against errors from a target that seems fast because it fails requests."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = ["error"]
        assert (await front.send_request("/b/x")).status == 200
        assert len(back.target.runs + other.target.runs) == 2

    run_cluster(scenario)


def test_failure_caused_by_a_failed_call_is_not_retried():
    """Guards against retries that multiply the work of all services further down."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        routes = [
            {"pathPrefix": "/b/", "service": "back"},
            {"pathPrefix": "/gone/", "service": "gone"},
        ]
        await cluster.configure(2, routes)
        back.target.modes = other.target.modes = ["hold-error"]
        pending = asyncio.ensure_future(front.send_request("/b/x", "root"))
        await wait_until(lambda: back.target.runs or other.target.runs)
        runner = back if back.target.runs else other
        assert (await runner.send_request("/none/y", "root.call")).status == 404
        assert (await runner.send_request("/gone/y", "root.call2")).status == 503
        back.target.released.set()
        other.target.released.set()
        assert (await pending).status == 500
        assert len(back.target.runs + other.target.runs) == 1

    run_cluster(scenario)


def test_request_is_refused_where_a_service_that_it_calls_is_unreachable():
    """Guards against requests on an isolated node that fail at their first call."""

    async def scenario(cluster):
        front, back, third = await start_three(cluster)
        back.target.modes = ["hold"]
        pending = asyncio.ensure_future(front.send_request("/b/x", "root"))
        await wait_until(lambda: back.target.runs)
        assert (await back.send_request("/t/y", "root.call")).status == 200
        back.target.released.set()
        assert (await pending).status == 200
        assert third.target.runs == ["root.call"]
        back.node.upstreams.mark_unreachable("third-1")
        refused = await back.send_request("/b/x", "second")
        assert refused.status == 503
        assert refused.header("Retry-After")
        assert back.target.runs == ["root"]
        back.node.upstreams.mark_reachable("third-1")
        assert (await back.send_request("/b/x", "again")).status == 200

    run_cluster(scenario)


def test_request_with_a_streamed_body_is_not_retried():
    """Guards against a retry that carries only the rest of a long body."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = ["reject"]
        body = b"x" * 2_000_000
        response = await front.send_request("/b/x", method="POST", body=body)
        assert response.status == 503
        received = [r[2] for r in back.target.requests + other.target.requests]
        assert received == [body]

    run_cluster(scenario)


def test_two_copies_of_an_idempotent_request_both_succeed():
    """Guards against a copy that fails because the other copy has ended before it."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["hold", "hold"]
        pending = [
            asyncio.ensure_future(front.send_request("/b/x", "same")) for _ in range(2)
        ]
        await wait_until(lambda: len(back.target.runs) == 2)
        back.target.released.set()
        assert [(await copy).status for copy in pending] == [200, 200]
        assert back.target.runs == ["same", "same"]

    run_cluster(scenario)


@pytest.mark.parametrize("size", [4, 300_000])
def test_trailers_of_a_request_are_no_headers(size):
    """Guards against an id, host or time that a client sets behind the body."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **NO_HURRY)
        host, port = front.node.addresses.outbound
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /b/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            b"Mimosaloom-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"%x\r\n%b\r\n0\r\nMimosaloom-Attempt-Id: id-2\r\nX-Trailer: y\r\n\r\n"
            % (size, b"x" * size)
        )
        answer = await asyncio.wait_for(reader.read(-1), 5)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert back.target.runs == ["id-1"]
        _, headers, body = back.target.requests[0]
        assert "X-Trailer" not in headers
        assert len(body) == size
        writer.close()

    run_cluster(scenario)
