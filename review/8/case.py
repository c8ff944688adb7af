"""The nodes are restarted in turn while an upstream that has left still serves."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, run_case  # noqa: E402
from http_io import call  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
STABLE_S = 3.0
# Between the signals to two nodes, and from the end of a process to its next start.
GAP_S = 1.0
RESTART_S = 0.5
# The last heartbeat before the leave arrives this long after it was sent.
HEARTBEAT_DELAY_S = 7.0
# How long the upstream serves after its leave was acknowledged.
SERVES_S = 15.0
WORK_S = 0.5
ROUTES = [
    {
        "name": "orders",
        "pathPrefix": "/orders/",
        "routeType": "non_idempotent",
        "timeoutMs": 2500,
        "sloMs": 2000,
        "priority": 0,
        "service": "desk",
        "attempts": 2,
    }
]


async def work(_) -> int:
    """Work on a request."""
    await asyncio.sleep(WORK_S)
    return 200


async def restart(deployment: Deployment, node, delay_s: float) -> None:
    """Stop a node after a delay, and start it again."""
    await asyncio.sleep(delay_s)
    deployment.note(f"{node.name} gets SIGTERM")
    await node.stop()
    deployment.note(f"{node.name} has ended")
    await asyncio.sleep(RESTART_S)
    node.start()


async def play(deployment: Deployment) -> int:
    """Play the case and judge what the upstream has seen."""
    await deployment.start(["desk", "desk", "desk"], ROUTES)
    nodes, leaving = deployment.nodes, deployment.upstreams[0]
    for upstream in deployment.upstreams:
        upstream.work = work
    for node in nodes:
        deployment.start_clients(node, "POST", "/orders/1", per_s=10)
    await asyncio.sleep(3.0)

    leaving.stop_heartbeats()
    late_heartbeat, sent_s = leaving.build_heartbeat("ready"), time.monotonic()
    deployment.note(f"{leaving.instance_id} sends heartbeat {leaving.sequence}: ready")
    await asyncio.sleep(0.3)
    leaving.is_leaving = True
    answer = await call(
        "127.0.0.1",
        leaving.admin_port,
        "DELETE",
        f"/-/instances/{leaving.instance_id}",
        body=b'{"born":%d}' % leaving.born_ms,
        timeout_s=1.0,
    )
    acknowledged_s = time.monotonic()
    if answer is None or answer.status != 200:
        deployment.note("the leave was not acknowledged")
        return NOT_RUN
    deployment.note(f"{leaving.instance_id} has left, acknowledged", acknowledged_s)
    deployment.store.on_append = lambda topic, key: deployment.note(
        f"the store has got a record of {key}: "
        f"{(deployment.store.newest(topic, key) or b'none').decode()}"
    )
    await asyncio.sleep(0.2)
    restarts = []
    if HAS_TROUBLE:
        # The node beside the upstream that leaves comes last.
        order = [*nodes[1:], nodes[0]]
        restarts = [
            asyncio.ensure_future(restart(deployment, node, GAP_S * index))
            for index, node in enumerate(order)
        ]
    await asyncio.sleep(sent_s + HEARTBEAT_DELAY_S - time.monotonic())
    status = await leaving.send_heartbeat(late_heartbeat)
    deployment.note(f"the delayed heartbeat arrives, answered with {status}")
    await asyncio.gather(*restarts)
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
