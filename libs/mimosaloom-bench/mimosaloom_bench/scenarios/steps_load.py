"""Steps that start a mesh and send orders.

The fields in the text of a step are the parameters of its function.
"""

import asyncio
import random
import time

from mimosaloom_standins import read_journal

from ..demo import warm_up
from ..deployment import Deployment, start_deployment
from ..load import (
    CallerBehavior,
    LoadPhase,
    Order,
    OrderSender,
    plan_orders,
    run_orders,
)
from ..meshes import MESHES, AllowancePlan, MeshPlan
from .registry import step
from .world import SCENARIO_SEED, StepFailed, World, wait_until

__all__: list[str] = []

DEFAULT_PHASE = "load"


@step("the {mesh:name} mesh runs")
async def start_mesh(world: World, mesh: str) -> None:
    """Start a mesh and wait until requests of each class are answered whole."""
    await _start(world, _find_mesh(mesh))


@step("the {mesh:name} mesh runs with {count:d} retries a request and no retry budget")
async def start_without_budget(world: World, mesh: str, count: int) -> None:
    """Start a mesh in which only the allowance per request limits retries."""
    allowance = AllowancePlan(count, budget_ratio=1.0, min_retries_per_s=1000.0)
    await _start(world, _find_mesh(mesh)._replace(allowance=allowance))


@step("the {mesh:name} mesh runs with all classes equally important")
async def start_without_priorities(world: World, mesh: str) -> None:
    """Start a mesh in which no class is more important than another."""
    plan = _find_mesh(mesh)
    equal_classes = tuple(
        c._replace(priority=4, is_protected=False) for c in plan.classes
    )
    await _start(world, plan._replace(classes=equal_classes))


def _find_mesh(name: str) -> MeshPlan:
    if name not in MESHES:
        raise StepFailed(f"unknown mesh {name}; use one of {', '.join(MESHES)}")
    return MESHES[name]


async def _start(world: World, plan: MeshPlan) -> None:
    deployment: Deployment = await asyncio.to_thread(
        start_deployment, plan, world.group, world.directory, seed=SCENARIO_SEED
    )
    sender = OrderSender(deployment, random.Random(world.rng.random()))
    world.set_mesh(deployment, sender)
    await warm_up(plan, sender, world.group)
    sender.behavior = world.behavior


@step("callers repeat unclear answers with the same key")
async def repeat_with_same_key(world: World) -> None:
    """Let callers send an idempotency key per order and retry with the same key."""
    keys: dict[str, str] = {}

    def find_key(order: Order, number: int) -> str:
        return keys.setdefault(order.token, f"{int(time.time())}-{order.token}")

    _set_behavior(world, CallerBehavior(find_key, retries_non_idempotent=True))


@step("callers repeat unclear answers under a new key")
async def repeat_with_new_key(world: World) -> None:
    """Let callers retry with a new idempotency key for each call.

    The mesh cannot recognise such a retry, so the order may run more than once.
    """

    def make_key(order: Order, number: int) -> str:
        return f"{int(time.time())}-{order.token}-{number}"

    _set_behavior(world, CallerBehavior(make_key, retries_non_idempotent=True))


def _set_behavior(world: World, behavior: CallerBehavior) -> None:
    world.behavior = behavior
    world.sender.behavior = behavior


@step("{rate:g} {class_name:name} a second arrive for {duration_s:g} s")
async def send_class(
    world: World, rate: float, class_name: str, duration_s: float
) -> None:
    """Start to send orders of one class in the background."""
    _start_class_load(world, rate, class_name, duration_s, DEFAULT_PHASE)


@step(
    "{rate:g} {class_name:name} a second arrive for {duration_s:g} s "
    "in phase {phase:name}"
)
async def send_class_in_phase(
    world: World, rate: float, class_name: str, duration_s: float, phase: str
) -> None:
    """Start to send orders of one class in the background, in a named phase."""
    _start_class_load(world, rate, class_name, duration_s, phase)


@step(
    "the usual mix arrives at {factor:g} times the usual rate for {duration_s:g} s "
    "in phase {phase:name}"
)
async def send_mix(world: World, factor: float, duration_s: float, phase: str) -> None:
    """Start to send orders of all classes in the background, in their usual shares."""
    plan = world.deployment.plan
    _start_load(
        world, plan, LoadPhase(phase, duration_s, factor * plan.normal_per_s, 1.0)
    )


def _start_class_load(
    world: World, rate: float, class_name: str, duration_s: float, phase: str
) -> None:
    plan = world.deployment.plan
    class_plans = tuple(c for c in plan.classes if c.name == class_name)
    if not class_plans:
        names = ", ".join(c.name for c in plan.classes)
        raise StepFailed(f"unknown class {class_name}; use one of {names}")
    _start_load(
        world,
        plan._replace(classes=class_plans),
        LoadPhase(phase, duration_s, rate, 1.0),
    )


def _start_load(world: World, plan: MeshPlan, phase: LoadPhase) -> None:
    rng = random.Random(world.rng.random())
    orders = [
        order._replace(token=f"{len(world.orders)}-{order.token}")
        for order in plan_orders(plan, [phase], rng)
    ]
    world.orders += orders
    load = run_orders(orders, world.sender, time.monotonic())
    world.load_tasks.append(asyncio.create_task(load))
    world.note(f"{len(orders)} orders")


@step("{duration_s:g} s pass")
async def wait_for_time(world: World, duration_s: float) -> None:
    """Wait for a number of seconds while loads go on."""
    await asyncio.sleep(duration_s)


@step("all orders have their last answer")
async def wait_for_answers(world: World) -> None:
    """Wait until all orders have their last answer."""
    await world.finish_loads()


@step("{count:d} calls run on target {upstream:name}")
async def wait_for_runs(world: World, count: int, upstream: str) -> None:
    """Wait until a target runs at least this number of calls at the same time."""
    world.require_upstream(upstream)

    def is_busy() -> bool:
        runs, _ = read_journal(world.journal_path(upstream))
        return count <= sum(run["end"] == "running" for run in runs)

    await wait_until(f"{count} calls run on {upstream}", is_busy)
