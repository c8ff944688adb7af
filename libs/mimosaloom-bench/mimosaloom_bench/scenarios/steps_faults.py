"""Steps that break things."""

import asyncio
import json
import signal
import time

from ..deployment import get_json, post_json, start_upstreams
from ..processes import ChildProcess
from .registry import check, step
from .relay import Relay, start_relay
from .world import SCENARIO_SEED, NotMet, PlannedStop, World, wait_until

__all__: list[str] = []

# Of two announcements of one incarnation, nodes keep the member that compares higher;
# the port of a relay is above that of its node.
RELAY_RECORD_ID = "relay"


@step("the targets of {service:name} slow down {factor:g} times")
async def slow_service(world: World, service: str, factor: float) -> None:
    """Multiply the service time of all targets of a service."""
    names = [u.name for u in world.deployment.plan.upstreams()]
    chosen = [name for name in names if name.rpartition("-")[0] == service]
    if not chosen:
        raise NotMet(f"there is no service {service}")
    for name in chosen:
        await world.control_target(name, slow_factor=factor)


@step("target {upstream:name} slows down {factor:g} times")
async def slow_target(world: World, upstream: str, factor: float) -> None:
    """Multiply the service time of one target."""
    await world.control_target(upstream, slow_factor=factor)


@step("target {upstream:name} sheds {share:g} of its calls")
async def shed(world: World, upstream: str, share: float) -> None:
    """Let a target refuse a share of its calls whatever the load."""
    await world.control_target(upstream, shed_ratio=share)


@step("target {upstream:name} cuts its next {count:d} answers")
async def cut_answers(world: World, upstream: str, count: int) -> None:
    """Let a target send only the first half of some answers."""
    await world.control_target(upstream, cut_answers=count)


@step("{part:part} {upstream:name} is paused")
async def pause(world: World, part: str, upstream: str) -> None:
    """Stop a process without its noticing."""
    child = _find_process(world, part, upstream)
    child.send_signal(signal.SIGSTOP)
    world.paused.append(child)


@step("{part:part} {upstream:name} is resumed")
async def resume(world: World, part: str, upstream: str) -> None:
    """Let a paused process go on."""
    child = _find_process(world, part, upstream)
    child.send_signal(signal.SIGCONT)
    world.paused.remove(child)


@step("{part:part} {upstream:name} is killed")
async def kill(world: World, part: str, upstream: str) -> None:
    """End a process at once."""
    await _kill(world, _find_process(world, part, upstream))
    if part == "node":
        world.deployment.ingress_urls.pop(upstream)


@step("upstream {upstream:name} is replaced")
async def replace(world: World, upstream: str) -> None:
    """Kill a target and its node, and start new ones under the same name."""
    for part in ("node", "target"):
        await _kill(world, _find_process(world, part, upstream))
    await _start_again(world, upstream)


@step("upstream {upstream:name} starts again")
async def start_again(world: World, upstream: str) -> None:
    """Start a target and a node under the name of ones that have left."""
    world.check_upstream(upstream)
    await _start_again(world, upstream)


async def _start_again(world: World, upstream: str) -> None:
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
async def drain(world: World, upstream: str) -> None:
    """Ask a node to leave; new orders are no longer sent to it by callers."""
    await _plan_stop(world, upstream, "drain")


@step("node {upstream:name} receives SIGTERM")
async def stop_by_signal(world: World, upstream: str) -> None:
    """Stop a node as the platform does; callers no longer send orders to it."""
    await _plan_stop(world, upstream, "signal")


@step("node {upstream:name} is reported as drained but not told to")
async def forget_drain(world: World, upstream: str) -> None:
    """Do a drain wrongly: the node goes on as before."""
    await _plan_stop(world, upstream, "none")


@step("target {upstream:name} is killed in place of a drain")
async def kill_instead(world: World, upstream: str) -> None:
    """Do a planned stop wrongly: end the target at once."""
    await _plan_stop(world, upstream, "kill")


async def _plan_stop(world: World, upstream: str, way: str) -> None:
    deployment = world.deployment
    world.check_upstream(upstream)
    stop = PlannedStop(upstream, world.journal(upstream), time.monotonic())
    world.stops.append(stop)
    deployment.ingress_urls.pop(upstream, None)
    node = deployment.nodes[upstream]
    match way:
        case "kill":
            await _kill(world, deployment.targets[upstream])
        case "signal":
            world.may_end.add(node.name)
            node.terminate()
        case "drain":
            world.may_end.add(node.name)
            url = f"{deployment.admin_urls[upstream]}/drain"
            await asyncio.to_thread(post_json, url, {})


@step("node {upstream:name} has ended")
async def wait_for_end(world: World, upstream: str) -> None:
    """Wait until the process of a node is gone."""
    child = _find_process(world, "node", upstream)
    await wait_until(f"node {upstream} has ended", lambda: not child.is_running)


async def _kill(world: World, child: ChildProcess) -> None:
    world.may_end.add(child.name)
    await asyncio.to_thread(child.kill)


def _find_process(world: World, part: str, upstream: str) -> ChildProcess:
    world.check_upstream(upstream)
    deployment = world.deployment
    return (deployment.nodes if part == "node" else deployment.targets)[upstream]


@step("a relay stands before node {upstream:name}")
async def place_relay(world: World, upstream: str) -> None:
    """Lead all new connections to a node over a relay."""
    deployment = world.deployment
    world.check_upstream(upstream)
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
    # Nodes that don't read the log learn of a difference by the sequence.
    record["sequence"] += 1
    record["id"] = f"{RELAY_RECORD_ID}/{upstream}"
    record["member"]["ingress_port"] = relay.port
    await asyncio.to_thread(post_json, stream_url, record)
    for name, url in deployment.admin_urls.items():
        # The node itself takes no news of itself from others.
        if name != upstream and deployment.nodes[name].is_running:
            await _wait_for_port(url, upstream, relay.port)


async def _wait_for_port(admin_url: str, upstream: str, port: int) -> None:
    """Wait until a node sends calls for an upstream to a port."""

    def is_followed() -> bool:
        services = get_json(f"{admin_url}/status")["upstreams"]
        found = services[upstream.rpartition("-")[0]]
        return any(c["name"] == upstream and c["port"] == port for c in found)

    await wait_until(f"the relay before {upstream} is in use", is_followed)


@step("the relay before node {upstream:name} gives callers each other's answers")
async def swap_answers(world: World, upstream: str) -> None:
    """Send in place of each answer the one before it, on whatever connection."""
    kept: list[bytes] = []

    def swap(answer: bytes) -> bytes:
        kept.append(answer)
        return kept.pop(0) if len(kept) > 1 else answer

    _find_relay(world, upstream).forge = swap


@step("the relay before node {upstream:name} tells callers that nothing ran")
async def deny_runs(world: World, upstream: str) -> None:
    """Send in place of each answer a refusal that names no part as run."""
    body = json.dumps({"kind": "overloaded", "ran": "no", "request_id": ""})
    head = f"HTTP/1.1 503 Overloaded\r\nContent-Length: {len(body)}\r\n\r\n"

    def deny(answer: bytes) -> bytes:
        return (head + body).encode()

    _find_relay(world, upstream).forge = deny


def _find_relay(world: World, upstream: str) -> Relay:
    relay = world.relays.get(upstream)
    if relay is None:
        raise NotMet(f"no relay stands before {upstream}")
    return relay


@step("the open connections to node {upstream:name} go silent")
async def silence(world: World, upstream: str) -> None:
    """Forward nothing on the open connections; new ones work."""
    relay = _find_relay(world, upstream)
    relay.silence()
    world.note(f"{relay.silenced} connections")
    if not relay.silenced:
        raise NotMet(f"no connection to {upstream} was open")


@step("the log service goes down")
async def log_down(world: World) -> None:
    """Answer all requests to the log service with an error."""
    await world.control_log(is_down=True)


@step("the log service comes back")
async def log_up(world: World) -> None:
    """End an outage or a delay of the log service."""
    await world.control_log(is_down=False, is_silent=False, delay_s=0.0)


@step("the log service answers {delay_s:g} s late")
async def log_slow(world: World, delay_s: float) -> None:
    """Delay all answers of the log service."""
    await world.control_log(delay_s=delay_s)


@check("no append answer is left to lose")
async def check_lost(world: World) -> None:
    """The fault of lost append answers has taken place as often as asked for."""
    await world.settle()
    url = f"{world.deployment.log_url}/control"
    left = (await asyncio.to_thread(get_json, url))["lose_answers"]
    if left:
        raise NotMet(f"{left} append answers were not lost")


@step("the next {count:d} append answers are lost")
async def lose_append_answers(world: World, count: int) -> None:
    """Let appends take effect although their connection is closed unanswered."""
    await world.control_log(lose_answers=count)
