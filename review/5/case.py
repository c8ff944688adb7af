"""The leave of a target that restarted after a step of its clock is confirmed in vain.

The target of machine `b` starts, ends soon after and starts again under the same id.
The disruption is that the clock of its machine steps back by 2.4 s in between, so that
the second start bears an earlier time than the first. Later it says that it drains,
gets 200 and serves on for a while. The rule is checked at the target: no request may
reach it later than `drainMs` after the confirmation. The record also names the orders
that are cut when the target ends.
"""

import asyncio
import time
from pathlib import Path

from standins.deployment import (
    Connection,
    build_route,
    request_headers,
    run_case,
)

FOLDER = Path(__file__).parent
CLOCK_STEP_MS = 2400
FIRST_RUN_S, RESTART_S = 1.0, 0.5
QUIET_S = 3.0
STABLE_S = 3.0
DRAIN_S = 2.0
SERVES_ON_S = 8.0
WORK_S, PAUSE_S = 0.2, 0.1


async def scenario(deployment, has_trouble):
    """Run the case; return whether the rule held."""
    front = deployment.add("a", "front")
    back = deployment.add("b", "orders")
    other = deployment.add("c", "orders")
    targets = {m.name: deployment.new_target(m) for m in (front, other)}
    for machine in deployment.machines.values():
        machine.start()
    for target in targets.values():
        await target.start()
    deployment.configure(
        [build_route("order", "/orders/", "orders", routeType="non_idempotent")]
    )
    await deployment.wait_until_ready()
    first = deployment.new_target(back)
    await first.start()
    deployment.note(f"{first.id} started, born {first.born_ms}")
    await asyncio.sleep(FIRST_RUN_S)
    await first.end()
    await asyncio.sleep(RESTART_S)
    leaving = deployment.new_target(back)
    leaving.id = first.id
    if has_trouble:
        leaving.born_ms -= CLOCK_STEP_MS
        deployment.note(f"the clock of b has stepped back by {CLOCK_STEP_MS} ms")
    leaving.work_s = targets["c"].work_s = WORK_S
    await leaving.start()
    deployment.note(f"{leaving.id} started again, born {leaving.born_ms}")
    await asyncio.sleep(QUIET_S)
    stop, failed = asyncio.Event(), set()
    clients = [
        asyncio.ensure_future(call(deployment, front, n, stop, failed))
        for n in range(4)
    ]
    await asyncio.sleep(STABLE_S + 2)
    ran_before = len(leaving.runs)
    leaving.stop_beating()
    leaving.is_leaving = True
    status = await leaving.tell("PUT", leaving.build_heartbeat("draining"))
    confirmed_s = time.monotonic()
    deployment.note(f"draining {leaving.id} answered {status}")
    assert status == 200
    end_s = confirmed_s + SERVES_ON_S
    while time.monotonic() < end_s:
        await asyncio.sleep(1.5)
        await leaving.tell("PUT", leaving.build_heartbeat("draining"))
    ended_s = time.monotonic()
    await leaving.end()
    deployment.note(f"{leaving.id} ends")
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    cut = [r for r, at_s in leaving.runs if at_s > ended_s - 1 and r in failed]
    late_runs = [r for r, at_s in leaving.runs if at_s > confirmed_s + DRAIN_S]
    deployment.note(
        f"{len(late_runs)} requests reached {leaving.id} later than {DRAIN_S} s after "
        f"the confirmation, {ran_before} before it; {len(targets['c'].runs)} ran at "
        f"the other target; requests cut when it ended: {cut}"
    )
    assert targets["c"].runs
    assert ran_before
    return not late_runs


async def call(deployment, front, client, stop, failed):
    """Send one request after the other until told to stop."""
    connection, number = None, 0
    # So that some requests are under way at each moment.
    await asyncio.sleep(client * (WORK_S + PAUSE_S) / 4)
    while not stop.is_set():
        number += 1
        request_id = f"r{client}-{number}"
        try:
            if connection is None:
                connection = await Connection.open(front.ports["outbound"])
            deployment.note(f"send {request_id}")
            answer = await connection.call(
                "POST", f"/orders/{request_id}", request_headers(request_id), b"{}"
            )
            deployment.note(f"answer {request_id} {answer.status}")
            if answer.status != 200:
                failed.add(request_id)
            if answer.headers.get("connection") == "close":
                connection.close()
                connection = None
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            deployment.note(f"answer {request_id} none: {error!r}")
            failed.add(request_id)
            connection = None
        await asyncio.sleep(PAUSE_S)


run_case(scenario, FOLDER)
