"""Steps that start a mesh and send orders."""

import asyncio
import random
import time

from mimosaloom_standins import read_journal

from ..demo import warm_up
from ..deployment import Deployment, start_deployment
from ..load import (
    CallerHabits,
    LoadPhase,
    Order,
    OrderSender,
    plan_orders,
    run_orders,
)
from ..meshes import MESHES, AllowancePlan, MeshPlan
from .registry import step
from .world import SCENARIO_SEED, NotMet, World, wait_until

__all__: list[str] = []

DEFAULT_PHASE = "load"


@step("the {mesh:name} mesh runs")
async def start_mesh(world: World, mesh: str) -> None:
    """Start a mesh and wait until each class is answered."""
    await _start(world, _find_mesh(mesh))


@step("the {mesh:name} mesh runs with {count:d} retries a request and no retry budget")
async def start_without_budget(world: World, mesh: str, count: int) -> None:
    """Start a mesh in which only the allowance of a request limits its retries."""
    allowance = AllowancePlan(count, budget_ratio=1.0, min_retries_per_s=1000.0)
    await _start(world, _find_mesh(mesh)._replace(allowance=allowance))


@step("the {mesh:name} mesh runs with all classes equally important")
async def start_without_priorities(world: World, mesh: str) -> None:
    """Start a mesh in which no class is refused last."""
    plan = _find_mesh(mesh)
    equal = tuple(c._replace(priority=4, is_protected=False) for c in plan.classes)
    await _start(world, plan._replace(classes=equal))


def _find_mesh(name: str) -> MeshPlan:
    if name not in MESHES:
        raise NotMet(f"there is no mesh {name}; there are {', '.join(MESHES)}")
    return MESHES[name]


async def _start(world: World, plan: MeshPlan) -> None:
    deployment: Deployment = await asyncio.to_thread(
        start_deployment, plan, world.group, world.directory, seed=SCENARIO_SEED
    )
    sender = OrderSender(deployment, random.Random(world.rng.random()))
    world.enter(deployment, sender)
    await warm_up(plan, sender, world.group)
    sender.habits = world.habits


@step("callers repeat unclear answers with the same key")
async def repeat_with_same_key(world: World) -> None:
    """Let callers bring a key and ask again with it until the outcome is clear."""
    keys: dict[str, str] = {}

    def find_key(order: Order, number: int) -> str:
        return keys.setdefault(order.token, f"{int(time.time())}-{order.token}")

    _set_habits(world, CallerHabits(find_key, repeats_unclear=True))


@step("callers repeat unclear answers under a new key")
async def repeat_with_new_key(world: World) -> None:
    """Let callers do what breaks at-most-once: take a repetition for a new order."""

    def make_key(order: Order, number: int) -> str:
        return f"{int(time.time())}-{order.token}-{number}"

    _set_habits(world, CallerHabits(make_key, repeats_unclear=True))


def _set_habits(world: World, habits: CallerHabits) -> None:
    world.habits = habits
    world.sender.habits = habits


@step("{rate:g} {class_name:name} a second arrive for {duration_s:g} s")
async def send_class(
    world: World, rate: float, class_name: str, duration_s: float
) -> None:
    """Begin to send orders of one class; the scenario goes on."""
    _send_class(world, rate, class_name, duration_s, DEFAULT_PHASE)


@step(
    "{rate:g} {class_name:name} a second arrive for {duration_s:g} s "
    "in phase {phase:name}"
)
async def send_class_in_phase(
    world: World, rate: float, class_name: str, duration_s: float, phase: str
) -> None:
    """Begin to send orders of one class under the name of a phase."""
    _send_class(world, rate, class_name, duration_s, phase)


@step(
    "the usual mix arrives at {factor:g} times the usual rate for {duration_s:g} s "
    "in phase {phase:name}"
)
async def send_mix(world: World, factor: float, duration_s: float, phase: str) -> None:
    """Begin to send orders of all classes in their usual shares."""
    plan = world.deployment.plan
    _send(world, plan, LoadPhase(phase, duration_s, factor * plan.normal_per_s, 1.0))


def _send_class(
    world: World, rate: float, class_name: str, duration_s: float, phase: str
) -> None:
    plan = world.deployment.plan
    only = tuple(c for c in plan.classes if c.name == class_name)
    if not only:
        names = ", ".join(c.name for c in plan.classes)
        raise NotMet(f"there is no class {class_name}; there are {names}")
    _send(world, plan._replace(classes=only), LoadPhase(phase, duration_s, rate, 1.0))


def _send(world: World, plan: MeshPlan, phase: LoadPhase) -> None:
    rng = random.Random(world.rng.random())
    orders = [
        order._replace(token=f"{len(world.orders)}-{order.token}")
        for order in plan_orders(plan, [phase], rng)
    ]
    world.orders += orders
    sending = run_orders(orders, world.sender, time.monotonic())
    world.loads.append(asyncio.create_task(sending))
    world.note(f"{len(orders)} orders")


@step("{duration_s:g} s pass")
async def wait(world: World, duration_s: float) -> None:
    """Let time pass under load."""
    await asyncio.sleep(duration_s)


@step("all orders have their last answer")
async def wait_for_answers(world: World) -> None:
    """Wait for the end of all loads."""
    await world.settle()


@step("{count:d} calls run on target {upstream:name}")
async def wait_for_runs(world: World, count: int, upstream: str) -> None:
    """Wait until a target works on so many calls at once."""
    world.check_upstream(upstream)

    def is_busy() -> bool:
        runs, _ = read_journal(world.journal(upstream))
        return count <= sum(run["end"] == "running" for run in runs)

    await wait_until(f"{count} calls run on {upstream}", is_busy)
