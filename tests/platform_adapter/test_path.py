"""The whole path over real sockets: client, origin, target's node, target."""

import asyncio

import pytest
from platform_adapter.cluster import run_cluster, until

pytestmark = pytest.mark.sockets

ONCE = {"routeType": "non_idempotent"}


async def start_pair(cluster, **route):
    """Start a node of a service that is called and one of a service that calls it."""
    front = await cluster.add("front-1", "front")
    back = await cluster.add("back-1", "back")
    route = {"pathPrefix": "/b/", "service": "back", **route}
    await cluster.configure(1, [route])
    await cluster.announce_all()
    return front, back


async def add_second_target(cluster, front):
    """Start one more node of the service that is called, known to its caller."""
    other = await cluster.add("back-2", "back")
    await other.announce()
    await until(lambda: front.knows_all(cluster.members))
    return other


async def start_three(cluster, **third_route):
    """Start a pair, and a node of a third service that the second one calls."""
    front, back = await start_pair(cluster)
    third = await cluster.add("third-1", "third")
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
        response = await front.ask(
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


def test_no_configuration_is_a_refusal_and_no_404():
    """Guards against a node without configuration that denies proper requests."""

    async def scenario(cluster):
        front = await cluster.add("front-1", "front")
        response = await front.ask("/b/x")
        assert response.status == 503
        assert float(response.header("Retry-After")) > 0
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == 503
        await cluster.configure(3, [{"pathPrefix": "/b/", "service": "front"}])
        ready = await front.call(front.node.addresses.ready, "GET", "/-/readyz")
        assert ready.status == 200
        assert (await front.ask("/none/x")).status == 404
        assert (await front.ask("/b/x", host="other.example")).status == 404

    run_cluster(scenario)


@pytest.mark.parametrize("mode", ["lose", "cut", "garbage", "unsigned"])
def test_doubtful_run_of_a_non_idempotent_request_is_never_a_refusal(mode):
    """Guards against 503 for a request that has run, and against a second run."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **ONCE)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = [mode]
        response = await front.ask("/b/x", method="POST", body=b"1")
        assert response.status == 502
        assert len(back.target.runs + other.target.runs) == 1

    run_cluster(scenario)


@pytest.mark.parametrize("mode", ["lose", "cut", "garbage", "unsigned", "reject"])
def test_idempotent_request_moves_to_another_target(mode):
    """Guards against a failure of one target that ends a request that may repeat."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = [mode]
        # Only the first target of the two is in that mode when it is reached.
        response = await front.ask("/b/x")
        if response.status != 200:
            pytest.fail(f"{mode}: {response}")
        assert len(back.target.requests + other.target.requests) == 2

    run_cluster(scenario)


def test_rejected_non_idempotent_request_moves_on():
    """Guards against giving up where the target promised that nothing ran."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **ONCE)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = ["reject"]
        response = await front.ask("/b/x", method="POST", body=b"1")
        assert response.status == 200
        assert len(back.target.runs + other.target.runs) == 1

    run_cluster(scenario)


def test_all_targets_reject():
    """Guards against a refusal without the time to come back."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **ONCE)
        back.target.modes = ["reject"] * 5
        response = await front.ask("/b/x", method="POST", body=b"1")
        assert response.status == 503
        assert float(response.header("Retry-After")) > 0
        assert back.target.runs == []

    run_cluster(scenario)


@pytest.mark.parametrize("mode", ["extra", "extra-after", "no-length", "chunked"])
def test_unusual_framing_gives_the_own_answer(mode):
    """Guards against another request's answer, or bytes after it, in an answer."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = [mode]
        for number in range(3):
            response = await front.ask(
                "/b/x", f"id-{number}", method="POST", body=b"%d" % number
            )
            assert (response.status, response.body) == (200, b"done:%d" % number)
            assert response.header("Mimosaloom-Attempt-Id") == f"id-{number}"

    run_cluster(scenario)


def test_failure_of_the_target_is_passed_on_with_its_signature():
    """Guards against a target's own failure that is hidden or changed."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, **ONCE)
        back.target.modes = ["error"]
        response = await front.ask("/b/x", method="POST", body=b"1")
        assert response.status == 500
        assert response.header("Mimosaloom-Response-Signature") == "sig.i-back-1"

    run_cluster(scenario)


def test_large_bodies_pass_in_pieces():
    """Guards against bodies over the held size that are cut or changed."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        body = bytes(range(256)) * 8192
        response = await front.ask("/b/x", method="POST", body=body)
        assert response.status == 200
        assert response.body == b"done:" + body
        assert back.target.requests[0][2] == body

    run_cluster(scenario)


def test_early_answer_to_a_long_request_does_not_spoil_the_next():
    """Guards against the rest of a body that is read as the next request."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["early"]
        body = b"x" * 2_000_000
        await front.ask("/b/x", "id-1", method="POST", body=body)
        response = await front.ask("/b/x", "id-2", method="POST", body=b"2")
        assert (response.status, response.body) == (200, b"done:2")
        assert [r for r in back.target.runs if r != "id-1"] == ["id-2"]

    run_cluster(scenario)


def test_answer_is_due_at_the_routes_timeout():
    """Guards against a request that is held past its time, and against a promise."""

    async def scenario(cluster):
        front, back = await start_pair(cluster, timeoutMs=150, **ONCE)
        back.target.modes = ["hold"]
        response = await front.ask("/b/x", method="POST", body=b"1")
        assert response.status in (502, 504)
        assert back.target.runs == ["id-1"]

    run_cluster(scenario)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_client_that_leaves_cancels_only_what_may_repeat(is_idempotent):
    """Guards against work for a client that is gone, and against cut fees."""

    async def scenario(cluster):
        options = {} if is_idempotent else ONCE
        front, back = await start_pair(cluster, **options)
        back.target.modes = ["hold"]
        asking = asyncio.ensure_future(front.ask("/b/x", method="POST", body=b"1"))
        await until(lambda: back.target.runs)
        asking.cancel()
        if is_idempotent:
            await until(lambda: back.target.dropped == ["id-1"])
        else:
            await until(lambda: not front.node._servers["outbound"].tasks)
            assert back.target.dropped == []
            back.target.released.set()
            await until(lambda: not back.node.target_side.sendings)
            assert back.target.dropped == []

    run_cluster(scenario)


def test_call_of_a_target_inherits_the_rank_of_its_request():
    """Guards against calls that are refused under a request that was admitted."""

    async def scenario(cluster):
        front, back, third = await start_three(cluster, priority=5)
        back.target.modes = ["hold"]
        asking = asyncio.ensure_future(front.ask("/b/x", "root"))
        await until(lambda: back.target.runs)
        parent = back.node.target_side.find_parent("root.call")
        assert (parent.priority, parent.root_id, parent.depth) == (1, "root", 0)
        response = await back.ask("/t/y", "root.call")
        assert response.status == 200
        assert third.target.requests[0][1]["Mimosaloom-Caller-Service"] == "back"
        back.target.released.set()
        assert (await asking).status == 200

    run_cluster(scenario)


def test_own_failure_of_one_target_is_repeated_on_another():
    """Guards against targets that fail part of their requests and look fast by it."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = ["error"]
        assert (await front.ask("/b/x")).status == 200
        assert len(back.target.runs + other.target.runs) == 2

    run_cluster(scenario)


def test_failure_after_a_failed_call_is_not_repeated():
    """Guards against repeats that multiply the work of all services below."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        routes = [
            {"pathPrefix": "/b/", "service": "back"},
            {"pathPrefix": "/gone/", "service": "gone"},
        ]
        await cluster.configure(2, routes)
        back.target.modes = other.target.modes = ["hold-error"]
        asking = asyncio.ensure_future(front.ask("/b/x", "root"))
        await until(lambda: back.target.runs or other.target.runs)
        runner = back if back.target.runs else other
        assert (await runner.ask("/none/y", "root.call")).status == 404
        assert (await runner.ask("/gone/y", "root.call2")).status == 503
        back.target.released.set()
        other.target.released.set()
        assert (await asking).status == 500
        assert len(back.target.runs + other.target.runs) == 1

    run_cluster(scenario)


def test_request_does_not_run_where_a_service_that_it_calls_is_missing():
    """Guards against runs on a node that is cut off, which fail at their first call."""

    async def scenario(cluster):
        front, back, third = await start_three(cluster)
        back.target.modes = ["hold"]
        asking = asyncio.ensure_future(front.ask("/b/x", "root"))
        await until(lambda: back.target.runs)
        assert (await back.ask("/t/y", "root.call")).status == 200
        back.target.released.set()
        assert (await asking).status == 200
        assert third.target.runs == ["root.call"]
        back.node.upstreams.mark_unreachable("third-1")
        refused = await back.ask("/b/x", "second")
        assert refused.status == 503
        assert refused.header("Retry-After")
        assert back.target.runs == ["root"]
        back.node.upstreams.mark_reachable("third-1")
        assert (await back.ask("/b/x", "again")).status == 200

    run_cluster(scenario)


def test_body_that_was_passed_on_is_not_sent_again_in_part():
    """Guards against a repeat that carries only the rest of a long body."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        other = await add_second_target(cluster, front)
        back.target.modes = other.target.modes = ["reject"]
        body = b"x" * 2_000_000
        response = await front.ask("/b/x", method="POST", body=body)
        assert response.status == 503
        received = [r[2] for r in back.target.requests + other.target.requests]
        assert received == [body]

    run_cluster(scenario)


def test_two_copies_of_an_idempotent_request_end_alike():
    """Guards against a copy whose end fails because the other one has ended."""

    async def scenario(cluster):
        front, back = await start_pair(cluster)
        back.target.modes = ["hold", "hold"]
        asking = [asyncio.ensure_future(front.ask("/b/x", "same")) for _ in range(2)]
        await until(lambda: len(back.target.runs) == 2)
        back.target.released.set()
        assert [(await copy).status for copy in asking] == [200, 200]
        assert back.target.runs == ["same", "same"]

    run_cluster(scenario)
