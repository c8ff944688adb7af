"""Guards how nodes refuse invalid requests and handle retries of clients."""

import asyncio
import json
import random

import pytest
from mesh.fakes import FEE, LOOKUP, Chain, run_with_timeout

from mimosaloom_mesh import Endpoint, Request, Response
from mimosaloom_model import CONTEXT_HEADER, CallContext, ErrorKind, encode_context
from mimosaloom_policy import RetryReason, mint_key

pytestmark = pytest.mark.sockets

CONTEXT = CallContext("0" * 32, "call-1", LOOKUP, 5000)
TOO_DEEP = CallContext("0" * 32, "call-1", LOOKUP, 5000, depth=30)


def _refusal_count(node, kind):
    name = "mimosaloom_refusals_total"
    return node.metrics.registry.get_sample_value(name, {"kind": kind})


async def _send(chain, listener, request):
    address = chain.nodes["a-0"].addresses[listener]
    endpoint = Endpoint(listener, f"http://127.0.0.1:{address.port}", 8)
    return await chain.client.send(endpoint, request, timeout_s=5.0)


@pytest.mark.parametrize(
    ("listener", "path", "headers", "size", "kind"),
    [
        ("egress", "/a/x", (), 0, ErrorKind.CONTEXT_MISSING),
        ("egress", "/a/x", ((CONTEXT_HEADER, "{"),), 0, ErrorKind.BAD_CONTEXT),
        (
            "egress",
            "/a/x",
            ((CONTEXT_HEADER, encode_context(CONTEXT)),),
            0,
            ErrorKind.DEADLINE_TOO_SHORT,
        ),
        ("ingress", "/x", ((CONTEXT_HEADER, "x" * 2000),), 0, ErrorKind.BAD_CONTEXT),
        ("ingress", "/x", (), 0, ErrorKind.UNKNOWN_CLASS),
        (
            "ingress",
            "/x",
            (("Mimosaloom-Class", "nobody"),),
            0,
            ErrorKind.UNKNOWN_CLASS,
        ),
        (
            "ingress",
            "/x",
            (("Mimosaloom-Class", LOOKUP),),
            2000,
            ErrorKind.BODY_TOO_LARGE,
        ),
        (
            "ingress",
            "/x",
            (("Mimosaloom-Class", LOOKUP), ("Mimosaloom-Timeout-Ms", "-1")),
            0,
            ErrorKind.BAD_REQUEST,
        ),
        (
            "ingress",
            "/x",
            (
                ("Mimosaloom-Class", LOOKUP),
                ("Mimosaloom-Timeout-Ms", "0000000199999999"),
            ),
            0,
            ErrorKind.BAD_REQUEST,
        ),
        (
            "ingress",
            "/x",
            (
                ("Mimosaloom-Class", LOOKUP),
                ("Mimosaloom-Timeout-Ms", "00000001" + 30 * "9"),
            ),
            0,
            ErrorKind.BAD_REQUEST,
        ),
        (
            "ingress",
            "/x",
            (("Mimosaloom-Class", LOOKUP), ("Mimosaloom-Timeout-Ms", 5000 * "9")),
            0,
            ErrorKind.BAD_REQUEST,
        ),
        (
            "ingress",
            "/x",
            ((CONTEXT_HEADER, encode_context(TOO_DEEP)),),
            0,
            ErrorKind.DEPTH_EXCEEDED,
        ),
        ("ingress", "/.mimosaloom/resolve", (), 0, ErrorKind.BAD_REQUEST),
    ],
)
def test_invalid_request_is_refused_and_counted(listener, path, headers, size, kind):
    """An invalid request must be refused by kind, counted, and not reach the target."""

    async def body():
        async with Chain(["a"], max_body_bytes=1000) as chain:
            request = Request("POST", path, headers, b"x" * size)
            response = await _send(chain, listener, request)
            refusal = json.loads(response.body)
            assert (refusal["kind"], refusal["ran"]) == (kind.value, "no")
            assert _refusal_count(chain.nodes["a-0"], kind.value) == 1
            assert not chain.targets["a-0"].runs

    run_with_timeout(body)


def test_truncated_request_is_not_forwarded():
    """A request whose sender fails while sending must not reach the target."""

    async def body():
        async with Chain(["a"]) as chain:
            port = chain.nodes["a-0"].addresses["ingress"].port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"POST /x HTTP/1.1\r\nHost: a\r\nMimosaloom-Class: {LOOKUP}\r\n"
            writer.write(head.encode() + b"Content-Length: 10\r\n\r\nhalf")
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()
            assert (await chain.send_request("a-0", LOOKUP, b"next")).status == 200
            assert list(chain.targets["a-0"].runs) == [b"next"]

    run_with_timeout(body)


def test_retry_with_the_same_key_joins_the_run():
    """A client that gives up and repeats its request must not cause a second fee.

    It may repeat the request at another node.
    """

    async def body():
        async with Chain(["a"], upstreams_each=2) as chain:
            target = chain.targets["a-0"]
            target.release.clear()
            issued = await _send(chain, "ingress", Request("POST", "/.mimosaloom/key"))
            key = json.loads(issued.body)["key"]
            headers = (("Idempotency-Key", key),)
            first = asyncio.ensure_future(chain.send_request("a-0", FEE, b"1", headers))
            await target.started.wait()
            first.cancel()
            again = asyncio.ensure_future(chain.send_request("a-0", FEE, b"1", headers))
            forwarded = asyncio.ensure_future(
                chain.send_request("a-1", FEE, b"1", headers)
            )
            await asyncio.sleep(0)
            target.release.set()
            response = await again
            assert (response.status, response.body) == (200, b"a-0:1")
            answer_headers = dict(response.headers)
            assert answer_headers["Idempotency-Key"] == key
            assert (
                answer_headers["Mimosaloom-Owner"] == json.loads(issued.body)["owner"]
            )
            assert (await forwarded).body == response.body
            conflict = await chain.send_request("a-1", FEE, b"2", headers)
            assert json.loads(conflict.body)["kind"] == "key_conflict"
            assert target.runs == {b"1": 1}
            assert not chain.targets["a-1"].runs

    run_with_timeout(body)


def _key_of_gone_owner():
    return mint_key("a-0", "0000000000001-00000000", 0.0, random.Random(1))


@pytest.mark.parametrize(
    ("key", "kind"),
    [
        (_key_of_gone_owner(), "outcome_unknown"),
        ("order-7", "bad_request"),
        ("1790000000-abcdefgh", "bad_request"),
    ],
)
def test_key_without_an_available_owner_does_not_run(key, kind):
    """A key that has no owner, or whose owner is gone, must not cause a new run."""

    async def body():
        async with Chain(["a"], upstreams_each=2) as chain:
            headers = (("Idempotency-Key", key),)
            response = await chain.send_request("a-1", FEE, b"1", headers)
            assert json.loads(response.body)["kind"] == kind
            assert not chain.targets["a-0"].runs
            assert not chain.targets["a-1"].runs

    run_with_timeout(body)


def test_key_of_any_format_is_accepted_for_an_idempotent_class():
    """A lookup with a UUID as its idempotency key must not be refused."""

    async def body():
        async with Chain(["a"]) as chain:
            headers = (("Idempotency-Key", "4b1c7a52-0d9e-4f5a-9c38-2f6f6f1f7a10"),)
            response = await chain.send_request("a-0", LOOKUP, b"1", headers)
            assert (response.status, response.body) == (200, b"a-0:1")

    run_with_timeout(body)


@pytest.mark.parametrize("cause", ["caller_gone", "deadline"])
def test_unwanted_work_is_cancelled_at_the_target(cause):
    """The target must not work for a caller that has disconnected or timed out."""

    async def body():
        async with Chain(["a", "b"]) as chain:
            deep = chain.targets["b-0"]
            deep.release.clear()
            # Long enough for the call to reach the deep target on a busy machine.
            timeout = "1500" if cause == "deadline" else "5000"
            headers = (("Mimosaloom-Timeout-Ms", timeout),)
            pending = asyncio.ensure_future(
                chain.send_request("a-0", LOOKUP, b"1", headers)
            )
            await deep.started.wait()
            if cause == "caller_gone":
                pending.cancel()
            else:
                response = await pending
                assert json.loads(response.body)["kind"] == "deadline_exceeded"
            await deep.on_cancel.wait()
            assert deep.cancelled == [deep.contexts[0].call_id]
            assert deep.contexts[0].remaining_ms <= int(timeout)

    run_with_timeout(body)


@pytest.mark.parametrize("class_name", [FEE, LOOKUP])
def test_target_killed_during_a_call(class_name):
    """A fee whose target crashed may have been issued, so it must not run again.

    A lookup is idempotent and is retried.
    """

    async def body():
        received = []

        async def die(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            received.append(await reader.readexactly(1))
            writer.transport.abort()

        dying = await asyncio.start_server(die, "127.0.0.1", 0)
        port = dying.sockets[0].getsockname()[1]
        urls = {f"b-{number}": f"http://127.0.0.1:{port}" for number in range(2)}
        async with Chain(["a", "b"], upstreams_each=2, target_urls=urls) as chain:
            response = await chain.send_request("a-0", class_name, b"1")
            refusal = json.loads(response.body)
            if class_name == FEE:
                assert refusal["kind"] == "outcome_unknown"
                assert refusal["ran"] == "maybe"
                assert received == [b"1"]
            else:
                assert refusal["kind"] == "failed_downstream"
                assert len(received) > 1
        dying.close()

    run_with_timeout(body)


@pytest.mark.parametrize(
    ("refusing", "headers", "kind", "ran"),
    [
        ("a-0", (("Mimosaloom-Ran", "no"),), "overloaded", "no"),
        ("a-0", (), "target_failed", "yes"),
        ("b-0", (("Mimosaloom-Ran", "no"),), "failed_downstream", "yes"),
        ("b-0", (), "failed_downstream", "yes"),
    ],
)
def test_not_run_means_that_nothing_ran(refusing, headers, kind, ran):
    """A downstream refusal must not be reported as "not run" after a target started."""

    async def body():
        async with Chain(["a", "b"], retries=0) as chain:
            chain.targets[refusing].reply = Response(503, headers)
            response = await chain.send_request("a-0", FEE, b"1")
            refusal = json.loads(response.body)
            assert (refusal["kind"], refusal["ran"]) == (kind, ran)

    run_with_timeout(body)


def test_target_that_made_a_sub_call_can_not_claim_that_nothing_ran():
    """A target that refuses a call after a sub-call has run a part of the call."""

    async def body():
        async with Chain(["a", "b"], retries=0) as chain:
            target = chain.targets["a-0"]
            make_sub_call = target.server.handle

            async def call_then_refuse(request):
                await make_sub_call(request)
                return Response(503, (("Mimosaloom-Ran", "no"),))

            target.server.handle = call_then_refuse
            response = await chain.send_request("a-0", FEE, b"1")
            assert chain.targets["b-0"].runs == {b"1": 1}
            assert json.loads(response.body)["kind"] == "failed_downstream"

    run_with_timeout(body)


def test_retries_over_all_hops_stay_within_the_allowance():
    """Retries at several hops must not multiply."""

    async def body():
        async with Chain(["a", "b", "c"], upstreams_each=4, retries=3) as chain:
            for number in range(4):
                chain.targets[f"c-{number}"].reply = Response(500)
            response = await chain.send_request("a-0", LOOKUP, b"1")
            assert response.status == 502
            runs = [
                sum(chain.targets[f"{service}-{n}"].runs[b"1"] for n in range(4))
                for service in "abc"
            ]
            retries = sum(
                node.metrics.registry.get_sample_value(
                    "mimosaloom_retries_total", {"reason": reason}
                )
                or 0
                for node in chain.nodes.values()
                for reason in RetryReason
            )
            assert 0 < retries <= 3
            assert runs[2] <= 1 + 3

    run_with_timeout(body)


def test_refused_retry_does_not_hide_an_attempt_that_ran():
    """The refusal of a retry must not hide that the first attempt ran."""

    async def body():
        async with Chain(["a"], upstreams_each=2) as chain:
            chain.targets["a-0"].reply = Response(500)
            chain.targets["a-1"].reply = Response(503, (("Mimosaloom-Ran", "no"),))
            response = await chain.send_request("a-0", LOOKUP, b"1")
            refusal = json.loads(response.body)
            assert (refusal["kind"], refusal["ran"]) == ("target_failed", "yes")
            assert chain.targets["a-1"].runs[b"1"] >= 1

    run_with_timeout(body)
