"""Steps that inject faults and stop, replace or restart processes."""

import asyncio
import json
import signal
import time

from ..deployment import get_json, post_json, start_upstreams
from ..processes import ChildProcess
from .registry import check, step
from .relay import Relay, start_relay
from .world import SCENARIO_SEED, PlannedStop, StepFailed, World, wait_until

__all__: list[str] = []

# Prefix of the ids of membership records that put a relay before a node. Of two records
# with the same incarnation, nodes keep the member that compares higher, so the relay
# listens on a port above that of its node.
RELAY_RECORD_PREFIX = "relay"


@step("the targets of {service:name} slow down {factor:g} times")
async def slow_service(world: World, service: str, factor: float) -> None:
    """Multiply the service time of all targets of a service."""
    names = [u.name for u in world.deployment.plan.upstreams()]
    chosen = [name for name in names if name.rpartition("-")[0] == service]
    if not chosen:
        raise StepFailed(f"unknown service {service}")
    for name in chosen:
        await world.control_target(name, slow_factor=factor)


@step("target {upstream:name} slows down {factor:g} times")
async def slow_target(world: World, upstream: str, factor: float) -> None:
    """Multiply the service time of one target."""
    await world.control_target(upstream, slow_factor=factor)


@step("target {upstream:name} sheds {share:g} of its calls")
async def shed_calls(world: World, upstream: str, share: float) -> None:
    """Make a target refuse a share of its calls regardless of its load."""
    await world.control_target(upstream, shed_ratio=share)


@step("target {upstream:name} cuts its next {count:d} answers")
async def cut_answers(world: World, upstream: str, count: int) -> None:
    """Make a target send only the first half of its next answers."""
    await world.control_target(upstream, cut_answers=count)


@step("{part:part} {upstream:name} is paused")
async def pause_process(world: World, part: str, upstream: str) -> None:
    """Suspend a process with SIGSTOP."""
    child = _find_process(world, part, upstream)
    child.send_signal(signal.SIGSTOP)
    world.paused_processes.append(child)


@step("{part:part} {upstream:name} is resumed")
async def resume_process(world: World, part: str, upstream: str) -> None:
    """Resume a paused process with SIGCONT."""
    child = _find_process(world, part, upstream)
    child.send_signal(signal.SIGCONT)
    world.paused_processes.remove(child)


@step("{part:part} {upstream:name} is killed")
async def kill_process(world: World, part: str, upstream: str) -> None:
    """Kill a process; callers stop sending orders to a killed node."""
    await _kill(world, _find_process(world, part, upstream))
    if part == "node":
        world.deployment.ingress_urls.pop(upstream)


@step("upstream {upstream:name} is replaced")
async def replace_upstream(world: World, upstream: str) -> None:
    """Kill a target and its node, and start new ones of the same upstream."""
    for part in ("node", "target"):
        await _kill(world, _find_process(world, part, upstream))
    await _start_upstream(world, upstream)


@step("upstream {upstream:name} starts again")
async def restart_upstream(world: World, upstream: str) -> None:
    """Start a target and a node of an upstream whose earlier ones have left."""
    world.require_upstream(upstream)
    await _start_upstream(world, upstream)


async def _start_upstream(world: World, upstream: str) -> None:
    plans = {u.name: u for u in world.deployment.plan.upstreams()}
    suffix = f"-again-{len(world.group.pids())}"
    await asyncio.to_thread(
        start_upstreams,
        world.deployment,
        [plans[upstream]],
        world.group,
        world.directory,
        seed=SCENARIO_SEED,
        suffix=suffix,
    )


@step("node {upstream:name} is drained")
async def drain_node(world: World, upstream: str) -> None:
    """Drain a node through its admin listener; callers stop sending orders to it."""
    await _perform_planned_stop(world, upstream, "drain")


@step("node {upstream:name} receives SIGTERM")
async def terminate_node(world: World, upstream: str) -> None:
    """Stop a node with SIGTERM, as the platform does; callers stop sending orders."""
    await _perform_planned_stop(world, upstream, "signal")


@step("node {upstream:name} is reported as drained but not told to")
async def skip_drain(world: World, upstream: str) -> None:
    """Record a drain without draining the node; for scenarios that must fail."""
    await _perform_planned_stop(world, upstream, "none")


@step("target {upstream:name} is killed in place of a drain")
async def kill_instead_of_drain(world: World, upstream: str) -> None:
    """Kill a target without draining its node; for scenarios that must fail."""
    await _perform_planned_stop(world, upstream, "kill")


async def _perform_planned_stop(world: World, upstream: str, method: str) -> None:
    """Record a planned stop of a node and stop it, or inject a fault instead.

    Args:
        world: State of the scenario.
        upstream: Upstream of the node.
        method: "drain" to use the admin listener, "signal" to send SIGTERM, "kill" to
            kill the target instead, "none" to leave the node running.
    """
    deployment = world.deployment
    world.require_upstream(upstream)
    stop = PlannedStop(upstream, world.journal_path(upstream), time.monotonic())
    world.planned_stops.append(stop)
    deployment.ingress_urls.pop(upstream, None)
    node = deployment.nodes[upstream]
    match method:
        case "kill":
            await _kill(world, deployment.targets[upstream])
        case "signal":
            world.expected_exits.add(node.name)
            node.terminate()
        case "drain":
            world.expected_exits.add(node.name)
            url = f"{deployment.admin_urls[upstream]}/drain"
            await asyncio.to_thread(post_json, url, {})


@step("node {upstream:name} has ended")
async def wait_for_end(world: World, upstream: str) -> None:
    """Wait until the process of a node has ended."""
    child = _find_process(world, "node", upstream)
    await wait_until(f"node {upstream} has ended", lambda: not child.is_running)


async def _kill(world: World, child: ChildProcess) -> None:
    world.expected_exits.add(child.name)
    await asyncio.to_thread(child.kill)


def _find_process(world: World, part: str, upstream: str) -> ChildProcess:
    world.require_upstream(upstream)
    deployment = world.deployment
    return (deployment.nodes if part == "node" else deployment.targets)[upstream]


@step("a relay stands before node {upstream:name}")
async def place_relay(world: World, upstream: str) -> None:
    """Route all new connections to a node through a relay.

    A membership record with the port of the relay redirects the other nodes.
    """
    deployment = world.deployment
    world.require_upstream(upstream)
    port = int(deployment.ingress_urls[upstream].rpartition(":")[2])
    relay = await start_relay(port)
    world.relays[upstream] = relay
    deployment.ingress_urls[upstream] = f"http://127.0.0.1:{relay.port}"
    stream_url = f"{deployment.log_url}/streams/members/records"
    page = await asyncio.to_thread(get_json, f"{stream_url}?from=0&limit=1000")
    record = next(
        item["value"]
        for item in page["records"]
        if item["value"].get("member", {}).get("ingress_port") == port
    )
    # Nodes that do not read the log detect a changed record by its sequence.
    record["sequence"] += 1
    record["id"] = f"{RELAY_RECORD_PREFIX}/{upstream}"
    record["member"]["ingress_port"] = relay.port
    await asyncio.to_thread(post_json, stream_url, record)
    for name, url in deployment.admin_urls.items():
        # A node ignores records about itself from other sources.
        if name != upstream and deployment.nodes[name].is_running:
            await _wait_for_port(url, upstream, relay.port)


async def _wait_for_port(admin_url: str, upstream: str, port: int) -> None:
    """Wait until the status of a node shows a port for an upstream."""

    def is_in_use() -> bool:
        services = get_json(f"{admin_url}/status")["upstreams"]
        candidates = services[upstream.rpartition("-")[0]]
        return any(c["name"] == upstream and c["port"] == port for c in candidates)

    await wait_until(f"the relay before {upstream} is in use", is_in_use)


@step("the relay before node {upstream:name} gives callers each other's answers")
async def swap_answers(world: World, upstream: str) -> None:
    """Replace each answer with the previous answer, on whichever connection it was."""
    previous: list[bytes] = []

    def swap(answer: bytes) -> bytes:
        previous.append(answer)
        return previous.pop(0) if len(previous) > 1 else answer

    _find_relay(world, upstream).replace_answer = swap


@step("the relay before node {upstream:name} tells callers that nothing ran")
async def deny_runs(world: World, upstream: str) -> None:
    """Replace each answer with a refusal which says that no part ran."""
    body = json.dumps({"kind": "overloaded", "ran": "no", "request_id": ""})
    head = f"HTTP/1.1 503 Overloaded\r\nContent-Length: {len(body)}\r\n\r\n"

    def deny(answer: bytes) -> bytes:
        return (head + body).encode()

    _find_relay(world, upstream).replace_answer = deny


def _find_relay(world: World, upstream: str) -> Relay:
    relay = world.relays.get(upstream)
    if relay is None:
        raise StepFailed(f"no relay stands before {upstream}")
    return relay


@step("the open connections to node {upstream:name} go silent")
async def silence_connections(world: World, upstream: str) -> None:
    """Forward nothing more on the open connections; new connections work."""
    relay = _find_relay(world, upstream)
    relay.silence()
    world.note(f"{relay.silenced_count} connections")
    if not relay.silenced_count:
        raise StepFailed(f"no connection to {upstream} was open")


@step("the log service goes down")
async def fail_log_service(world: World) -> None:
    """Make the log service answer all requests with an error."""
    await world.control_log(is_down=True)


@step("the log service comes back")
async def restore_log_service(world: World) -> None:
    """End all outages and delays of the log service."""
    await world.control_log(is_down=False, is_silent=False, delay_s=0.0)


@step("the log service answers {delay_s:g} s late")
async def delay_log_service(world: World, delay_s: float) -> None:
    """Delay all answers of the log service."""
    await world.control_log(delay_s=delay_s)


@check("no append answer is left to lose")
async def check_answers_lost(world: World) -> None:
    """Check that as many append answers were lost as an earlier step requested."""
    await world.finish_loads()
    url = f"{world.deployment.log_url}/control"
    left = (await asyncio.to_thread(get_json, url))["lose_answers"]
    if left:
        raise StepFailed(f"{left} append answers are still to be lost")


@step("the next {count:d} append answers are lost")
async def lose_append_answers(world: World, count: int) -> None:
    """Make the log service lose its next append answers.

    The appends take effect, but their connections are closed without an answer.
    """
    await world.control_log(lose_answers=count)
