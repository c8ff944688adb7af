"""Promises to callers under random faults, seeded, over real sockets.

What holds must hold in each interleaving, so the order in which the sockets are served
does not change the verdict.
"""

import asyncio
import random

import pytest
from platform_adapter.cluster import run_cluster, until

pytestmark = pytest.mark.sockets

MODES = ["ok"] * 6 + ["lose", "cut", "garbage", "unsigned", "reject", "error", "extra"]
MODES += ["extra-after", "no-length", "chunked"]
REQUESTS = 150
ROUTES = [
    {"pathPrefix": "/once/", "service": "back", "routeType": "non_idempotent"},
    {"pathPrefix": "/often/", "service": "back"},
]


class Seen:
    """What the client of one request saw."""

    def __init__(self, request_id, path, body):
        self.request_id = request_id
        self.path = path
        self.body = body
        self.response = None


async def send(member, seen, rng):
    """Send one request; some clients leave before their answer."""
    asking = asyncio.ensure_future(
        member.ask(seen.path, seen.request_id, method="POST", body=seen.body)
    )
    if rng.random() < 0.1:
        await asyncio.sleep(rng.uniform(0, 0.01))
        asking.cancel()
    await asyncio.wait({asking})
    if not asking.cancelled():
        seen.response = asking.result()


async def send_all(senders, rng):
    """Send all requests, each from one of some members; return what clients saw."""
    all_seen, sending = [], []
    for number in range(REQUESTS):
        path = rng.choice(["/once/x", "/often/x"])
        all_seen.append(Seen(f"id-{number}", path, b"%d" % number))
        member = rng.choice(senders)
        sending.append(asyncio.ensure_future(send(member, all_seen[-1], rng)))
        await asyncio.sleep(rng.uniform(0, 0.003))
    await asyncio.gather(*sending)
    return all_seen


async def disturb(cluster, rng):
    """Break connections, drain and restart targets, publish versions."""
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


def check(cluster, all_seen):
    """Compare what clients saw with what the targets ran."""
    runs = [run for m in cluster.members.values() for run in m.target.runs]
    received = {}
    for member in cluster.members.values():
        for line, headers, body in member.target.requests:
            received.setdefault(headers["Mimosaloom-Attempt-Id"], []).append(
                (line.split()[1], body)
            )
    for seen in all_seen:
        count = runs.count(seen.request_id)
        for path, body in received.get(seen.request_id, []):
            assert (path, body) == (seen.path, seen.body)
        if seen.path.startswith("/once/"):
            assert count <= 1, seen.request_id
        response = seen.response
        if response is None:
            continue
        assert response.status in (200, 500, 502, 503, 504)
        if response.status == 503 and seen.path.startswith("/once/"):
            assert count == 0, seen.request_id
        if response.status == 200:
            assert response.body == b"done:" + seen.body
            assert response.header("Mimosaloom-Attempt-Id") == seen.request_id
            assert response.header("Mimosaloom-Response-Signature")


@pytest.mark.parametrize("seed", range(6))
def test_promises_hold_under_random_faults(seed):
    """Guards against runs that happen twice, false refusals and crossed answers."""

    async def scenario(cluster):
        rng = random.Random(seed)
        await cluster.add("front-1", "front")
        for number in range(3):
            await cluster.add(f"back-{number}", "back")
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        for member in cluster.members.values():
            member.born = 1
            member.target.modes = [rng.choice(MODES) for _ in range(2 * REQUESTS)]
        disturbing = asyncio.ensure_future(disturb(cluster, rng))
        all_seen = await send_all(list(cluster.members.values()), rng)
        await disturbing
        await until(lambda: not any(m.node._count_open() for m in members(cluster)))
        check(cluster, all_seen)
        assert any(s.response and s.response.status == 200 for s in all_seen)

    run_cluster(scenario)


@pytest.mark.parametrize("seed", range(100, 104))
def test_promises_hold_while_nodes_restart(seed):
    """Guards against a restarted node that runs again what its target has run."""

    async def scenario(cluster):
        rng = random.Random(seed)
        front = await cluster.add("front-1", "front")
        backs = [f"back-{number}" for number in range(3)]
        for name in backs:
            await cluster.add(name, "back")
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        for name in backs:
            modes = [rng.choice(MODES) for _ in range(2 * REQUESTS)]
            cluster.members[name].target.modes = modes

        async def restart_some() -> None:
            for _ in range(6):
                await asyncio.sleep(rng.uniform(0, 0.05))
                await cluster.restart(rng.choice(backs))

        restarting = asyncio.ensure_future(restart_some())
        all_seen = await send_all([front], rng)
        await restarting
        await until(lambda: not any(m.node._count_open() for m in members(cluster)))
        check(cluster, all_seen)
        for name in backs:
            await until(lambda n=name: cluster.members[n].node.own_target.is_available)
        assert any(s.response and s.response.status == 200 for s in all_seen)

    run_cluster(scenario)


def members(cluster):
    """Return all nodes with their targets."""
    return cluster.members.values()
