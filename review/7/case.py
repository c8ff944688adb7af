"""All nodes are killed right after one has acknowledged that its upstream leaves."""

import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
STABLE_S = 3.0
# From the kill to the start of the new processes.
DOWN_S = 1.0
# The last heartbeat before the leave arrives this long after it was sent.
HEARTBEAT_DELAY_S = 4.0
# How long the upstream serves after its leave was acknowledged.
SERVES_S = 10.0
ROUTES = [
    {
        "name": "orders",
        "pathPrefix": "/orders/",
        "routeType": "non_idempotent",
        "timeoutMs": 1500,
        "sloMs": 1000,
        "priority": 0,
        "service": "desk",
        "attempts": 2,
    }
]


def leave(upstream, pids: list[int]) -> float | None:
    """Announce the leave and kill the processes as soon as it is acknowledged.

    Returns:
        When the acknowledgement was read; None without one.
    """
    numbers = [upstream.admin_port, upstream.instance_id, upstream.born_ms, *pids]
    command = [sys.executable, "-B", str(FOLDER / "leave.py"), *map(str, numbers)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return float(done.stdout) if done.returncode == 0 else None


async def play(deployment: Deployment) -> int:
    """Play the case and judge what the upstream has seen."""
    await deployment.start(["desk", "desk", "front"], ROUTES)
    nodes, leaving = deployment.nodes, deployment.upstreams[0]
    for node in nodes:
        deployment.start_clients(node, "POST", "/orders/1", per_s=10)
    await asyncio.sleep(3.0)

    leaving.stop_heartbeats()
    late_heartbeat, sent_s = leaving.build_heartbeat("ready"), time.monotonic()
    deployment.note(f"{leaving.instance_id} sends heartbeat {leaving.sequence}: ready")
    await asyncio.sleep(0.5)
    leaving.is_leaving = True
    deployment.store.on_append = lambda topic, key: deployment.note(
        f"the store has got the record of {key}"
    )
    pids = [node.pid for node in nodes] if HAS_TROUBLE else []
    acknowledged_s = await asyncio.to_thread(leave, leaving, pids)
    if acknowledged_s is None:
        deployment.note("the leave was not acknowledged")
        return NOT_RUN
    deployment.note(f"{leaving.instance_id} has left, acknowledged", acknowledged_s)
    if HAS_TROUBLE:
        deployment.note("all nodes are killed", acknowledged_s)
        for node in nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            node.start()
        deployment.note("all nodes are started")
    await asyncio.sleep(sent_s + HEARTBEAT_DELAY_S - time.monotonic())
    status = await leaving.send_heartbeat(late_heartbeat)
    deployment.note(f"the delayed heartbeat arrives, answered with {status}")
    await asyncio.sleep(acknowledged_s + SERVES_S - time.monotonic())
    return judge(deployment, leaving, acknowledged_s)


def judge(deployment: Deployment, leaving, acknowledged_s: float) -> int:
    """Count the requests that nodes in touch sent to the upstream too late."""
    in_touch_s = max(node.touched_s for node in deployment.nodes) + STABLE_S
    due_s = max(acknowledged_s + DRAIN_S, in_touch_s)
    late = [
        run
        for run in deployment.runs
        if run.upstream is leaving
        and run.at_s > due_s
        and deployment.sent[run.request_id].at_s > in_touch_s
    ]
    served = sum(sent.status == 200 for sent in deployment.sent.values())
    deployment.note(f"{len(deployment.sent)} requests, {served} answered with 200")
    deployment.note(
        f"{len(late)} runs at {leaving.instance_id} later than drainMs after the "
        f"acknowledgement, of requests that were sent while all nodes were in touch"
    )
    for run in late[:3]:
        after_s = run.at_s - acknowledged_s
        deployment.note(f"{run.request_id} ran {after_s:.3f} s after it", run.at_s)
    if not served:
        return NOT_RUN
    return BROKEN if late else HELD


run_case(play, FOLDER / "record.txt")
