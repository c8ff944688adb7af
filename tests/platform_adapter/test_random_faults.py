"""Guarantees to callers under seeded random faults, over real sockets.

The guarantees must hold in every interleaving, so the result of a test does not depend
on the order in which the sockets are served.
"""

import asyncio
import random

import pytest
from platform_adapter.cluster import run_cluster, wait_until

pytestmark = pytest.mark.sockets

# Modes of `FakeTarget` that are drawn for each request.
MODES = ["ok"] * 6 + ["lose", "cut", "garbage", "unsigned", "reject", "error", "extra"]
MODES += ["extra-after", "no-length", "chunked"]
REQUEST_COUNT = 150
ROUTES = [
    {"pathPrefix": "/once/", "service": "back", "routeType": "non_idempotent"},
    {"pathPrefix": "/often/", "service": "back"},
]


class SentRequest:
    """A request of a client.

    `response` stays None if the client disconnects before the answer arrives.
    """

    def __init__(self, request_id, path, body):
        self.request_id = request_id
        self.path = path
        self.body = body
        self.response = None


async def send(member, request, rng):
    """Send one request; some clients disconnect before the answer arrives."""
    pending = asyncio.ensure_future(
        member.send_request(
            request.path, request.request_id, method="POST", body=request.body
        )
    )
    if rng.random() < 0.1:
        await asyncio.sleep(rng.uniform(0, 0.01))
        pending.cancel()
    await asyncio.wait({pending})
    if not pending.cancelled():
        request.response = pending.result()


async def send_all(senders, rng):
    """Send all requests, each from a random sender; return them when all have ended."""
    requests, sending = [], []
    for number in range(REQUEST_COUNT):
        path = rng.choice(["/once/x", "/often/x"])
        requests.append(SentRequest(f"id-{number}", path, b"%d" % number))
        member = rng.choice(senders)
        sending.append(asyncio.ensure_future(send(member, requests[-1], rng)))
        await asyncio.sleep(rng.uniform(0, 0.003))
    await asyncio.gather(*sending)
    return requests


async def inject_faults(cluster, rng):
    """Abort connections, drain and restart targets, and publish new versions."""
    version = 1
    backs = [m for name, m in cluster.members.items() if name.startswith("back")]
    for _ in range(12):
        await asyncio.sleep(rng.uniform(0, 0.03))
        member = rng.choice(backs)
        match rng.randrange(4):
            case 0:
                await member.announce("draining", born=member.born)
            case 1:
                member.born += 1
                await member.announce(born=member.born)
            case 2:
                version += 1
                await cluster.configure(version, ROUTES)
            case 3:
                for connection in list(member.node._servers["inbound"].connections):
                    if rng.random() < 0.5:
                        connection.transport.abort()


def check_guarantees(cluster, requests):
    """Compare the responses that clients got with what the targets ran."""
    runs = [run for m in cluster.members.values() for run in m.target.runs]
    received = {}
    for member in cluster.members.values():
        for line, headers, body in member.target.requests:
            received.setdefault(headers["Mimosaloom-Attempt-Id"], []).append(
                (line.split()[1], body)
            )
    for request in requests:
        count = runs.count(request.request_id)
        for path, body in received.get(request.request_id, []):
            assert (path, body) == (request.path, request.body)
        if request.path.startswith("/once/"):
            assert count <= 1, request.request_id
        response = request.response
        if response is None:
            continue
        assert response.status in (200, 500, 502, 503, 504)
        if response.status == 503 and request.path.startswith("/once/"):
            assert count == 0, request.request_id
        if response.status == 200:
            assert response.body == b"done:" + request.body
            assert response.header("Mimosaloom-Attempt-Id") == request.request_id
            assert response.header("Mimosaloom-Response-Signature")


@pytest.mark.parametrize("seed", range(6))
def test_guarantees_hold_under_random_faults(seed):
    """Guards against duplicate runs, false refusals and swapped answers."""

    async def scenario(cluster):
        rng = random.Random(seed)
        await cluster.add_member("front-1", "front")
        for number in range(3):
            await cluster.add_member(f"back-{number}", "back")
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        for member in cluster.members.values():
            member.born = 1
            member.target.modes = [rng.choice(MODES) for _ in range(2 * REQUEST_COUNT)]
        injecting = asyncio.ensure_future(inject_faults(cluster, rng))
        requests = await send_all(list(cluster.members.values()), rng)
        await injecting
        await wait_until(
            lambda: not any(m.node.count_open_requests() for m in members(cluster))
        )
        check_guarantees(cluster, requests)
        assert any(r.response and r.response.status == 200 for r in requests)

    run_cluster(scenario)


@pytest.mark.parametrize("seed", range(100, 104))
def test_guarantees_hold_while_nodes_restart(seed):
    """Guards against a restarted node that repeats requests its target already ran."""

    async def scenario(cluster):
        rng = random.Random(seed)
        front = await cluster.add_member("front-1", "front")
        backs = [f"back-{number}" for number in range(3)]
        for name in backs:
            await cluster.add_member(name, "back")
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        for name in backs:
            modes = [rng.choice(MODES) for _ in range(2 * REQUEST_COUNT)]
            cluster.members[name].target.modes = modes

        async def restart_backs() -> None:
            for _ in range(6):
                await asyncio.sleep(rng.uniform(0, 0.05))
                await cluster.restart(rng.choice(backs))

        restarting = asyncio.ensure_future(restart_backs())
        requests = await send_all([front], rng)
        await restarting
        await wait_until(
            lambda: not any(m.node.count_open_requests() for m in members(cluster))
        )
        check_guarantees(cluster, requests)
        for name in backs:
            await wait_until(
                lambda n=name: cluster.members[n].node.own_target.is_available
            )
        assert any(r.response and r.response.status == 200 for r in requests)

    run_cluster(scenario)


def members(cluster):
    """Return all nodes with their targets."""
    return cluster.members.values()
