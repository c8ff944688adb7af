"""A node that has restarted confirms that its target leaves, and forgets it.

While the store is away, the node of machine `b` is killed and starts again. Before its
next heartbeat, the target of `b` leaves: it sends DELETE, gets 200 and serves on for a
while. A heartbeat from before arrives three seconds late. The rule is checked at the
target: no request may reach it later than `drainMs` after the confirmation. Only those
are counted that come when all nodes have been undisturbed for `stableMs`. The record
also names the orders that are cut when the target ends.
"""

import asyncio
import signal
import time
from pathlib import Path

from standins.deployment import (
    Connection,
    build_route,
    request_headers,
    run_case,
)

FOLDER = Path(__file__).parent
DRAIN_S = 2.0
STABLE_S = 3.0
STORE_AWAY_S = 4.0
LATE_S = 3.0
# The target serves on for `drainMs` and some seconds more.
SERVES_ON_S = 12.0
WORK_S, PAUSE_S = 0.2, 0.1


async def scenario(deployment, has_trouble):
    """Run the case; return whether the rule held."""
    front = deployment.add("a", "front")
    back = deployment.add("b", "orders")
    other = deployment.add("c", "orders")
    targets = {m.name: deployment.new_target(m) for m in (front, back, other)}
    for machine in deployment.machines.values():
        machine.start()
    for name, target in targets.items():
        target.work_s = WORK_S
        await target.start(beats=name != "b")
    deployment.configure(
        [build_route("order", "/orders/", "orders", routeType="non_idempotent")]
    )
    await deployment.wait_until_ready()
    leaving = targets["b"]
    assert await leaving.tell("PUT", leaving.build_heartbeat()) == 200
    await asyncio.sleep(4)
    stop, failed = asyncio.Event(), set()
    clients = [
        asyncio.ensure_future(call(deployment, front, n, stop, failed))
        for n in range(4)
    ]
    await asyncio.sleep(2)
    assert leaving.runs, "the target of b got no requests before"
    assert await leaving.tell("PUT", leaving.build_heartbeat()) == 200
    disturbed_until_s = 0.0
    if has_trouble:
        deployment.store.is_down = True
        deployment.note("the store is away")
        await back.end(signal.SIGKILL)
        deployment.note("node b killed")
        back.start()
        started_s = time.monotonic()
        # The next heartbeat is due 1.5 s after the last one; the target leaves before.
        await wait_for_port(back.ports["admin"])
        deployment.note("node b started again")
        disturbed_until_s = started_s + STORE_AWAY_S
    late_beat = leaving.build_heartbeat()
    deployment.note(f"heartbeat {leaving.sequence} of {leaving.id} sent, on its way")
    sent_s = time.monotonic()
    leaving.is_leaving = True
    status = await leaving.tell("DELETE", b'{"born": %d}' % leaving.born_ms)
    confirmed_s = time.monotonic()
    deployment.note(f"DELETE of {leaving.id} answered {status}")
    assert status == 200
    await asyncio.sleep(sent_s + LATE_S - time.monotonic())
    deployment.note("the late heartbeat arrives")
    await leaving.tell("PUT", late_beat)
    if has_trouble:
        await asyncio.sleep(max(0.0, disturbed_until_s - time.monotonic()))
        deployment.store.is_down = False
        disturbed_until_s = time.monotonic()
        deployment.note("the store is back")
    await asyncio.sleep(confirmed_s + SERVES_ON_S - time.monotonic())
    ended_s = time.monotonic()
    await leaving.end()
    deployment.note(f"{leaving.id} ends")
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    cut = [r for r, at_s in leaving.runs if at_s > ended_s - 1 and r in failed]
    earliest_s = max(confirmed_s + DRAIN_S, disturbed_until_s + STABLE_S)
    late_runs = [r for r, at_s in leaving.runs if at_s > earliest_s]
    all_late = [r for r, at_s in leaving.runs if at_s > confirmed_s + DRAIN_S]
    deployment.note(
        f"{len(late_runs)} requests reached {leaving.id} later than {DRAIN_S} s after "
        f"the confirmation, with all nodes undisturbed for {STABLE_S} s; "
        f"{len(all_late)} in all; {len(targets['c'].runs)} ran at the other target; "
        f"requests cut when it ended: {cut}"
    )
    assert targets["c"].runs
    return not late_runs


async def wait_for_port(port):
    """Wait until a listener accepts a connection."""
    async with asyncio.timeout(10):
        while True:
            try:
                (await Connection.open(port)).close()
                return
            except OSError:
                await asyncio.sleep(0.02)


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
