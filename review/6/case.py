"""Upstreams turn slow for some seconds, so that requests run until their deadline."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S, SPREAD = 0.2, 0.3
# From the end of the time that an upstream is given to its answer 504.
ANSWER_S = 0.005
SLOW_FACTOR, SLOW_S = 12.0, 9.0
# `recoveryS`, far more than `stableMs`: what follows is steady state.
RECOVERY_S = 15.0
STEADY_S = 20.0
MIN_REQUESTS = 20
# Least ratio between the served shares of the added and the first routes.
MIN_RATIO = 0.25


class Work:
    """Work of an upstream, which stops at the time that it is given.

    Attributes:
        factor: How many times as long the work takes.
    """

    def __init__(self, seed: int):
        self.factor = 1.0
        self._rng = random.Random(seed)

    async def __call__(self, request) -> int:
        """Work on a request; return the status of the answer."""
        spread = self._rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        work_s = self.factor * WORK_S * spread
        timeout_s = int(request.headers["mimosaloom-timeout-ms"]) / 1000
        if work_s < timeout_s:
            await asyncio.sleep(work_s)
            return 200
        await asyncio.sleep(timeout_s + ANSWER_S)
        return 504


def build_route(name: str, service: str) -> dict:
    """Return a route for requests that run once."""
    return {
        "name": name,
        "pathPrefix": f"/{name}/",
        "routeType": "non_idempotent",
        "timeoutMs": 1000,
        "sloMs": 500,
        "priority": 0,
        "service": service,
        "attempts": 2,
    }


def start_clients(deployment: Deployment, path: str) -> None:
    """Send requests on all machines."""
    for node in deployment.nodes:
        deployment.start_clients(node, "POST", path, per_s=5, timeout_ms=2000)


async def play(deployment: Deployment) -> int:
    """Play the case; compare how often both routes are served afterwards."""
    first, added = build_route("lookup", "front"), build_route("orders", "desk")
    await deployment.start(["desk", "desk", "front", "front"], [first])
    works = [Work(seed) for seed, _ in enumerate(deployment.upstreams)]
    for upstream, work in zip(deployment.upstreams, works, strict=True):
        upstream.work = work
    start_clients(deployment, "/lookup/1")
    await asyncio.sleep(1.0)
    deployment.publish("r9", [first, added])
    deployment.note("configuration r9 adds the route of orders")
    await asyncio.sleep(3.0)
    start_clients(deployment, "/orders/1")
    await asyncio.sleep(6.0)
    for work in works[:2] if HAS_TROUBLE else []:
        work.factor = SLOW_FACTOR
    deployment.note(f"desk works {works[0].factor} times as long")
    await asyncio.sleep(SLOW_S)
    for work in works:
        work.factor = 1.0
    healthy_s = time.monotonic()
    deployment.note("desk works as usual")
    await asyncio.sleep(RECOVERY_S + STEADY_S)
    return judge(deployment, healthy_s)


def judge(deployment: Deployment, healthy_s: float) -> int:
    """Compare the served shares of the two routes in steady state."""
    shares = []
    for path in ("/lookup/1", "/orders/1"):
        steady = [
            sent
            for sent in deployment.sent.values()
            if sent.path == path
            and 0 < sent.at_s - healthy_s - RECOVERY_S < STEADY_S - 3
        ]
        statuses = sorted({str(sent.status) for sent in steady})
        served = sum(sent.status == 200 for sent in steady)
        shares.append(served / max(1, len(steady)))
        deployment.note(
            f"{path} in steady state: {served} of {len(steady)} served, "
            f"answers {', '.join(statuses)}"
        )
        if len(steady) < MIN_REQUESTS:
            return NOT_RUN
    desk = deployment.upstreams[:2]
    runs = [r for r in deployment.runs if r.upstream in desk and r.at_s > healthy_s + 1]
    deployment.note(f"{len(runs)} runs at desk since 1 s after it works as usual")
    if not shares[0]:
        return NOT_RUN
    return BROKEN if shares[1] < MIN_RATIO * shares[0] else HELD


run_case(play, FOLDER / "record.txt")
