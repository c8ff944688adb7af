"""The demo: one mesh on loopback through an overload and back."""

import asyncio
import json
import random
import tempfile
import time
from pathlib import Path

import typer
from tornado.httpclient import AsyncHTTPClient

from mimosaloom_cli import ExitCode

from .deployment import Deployment, get_json, start_deployment
from .load import LoadPhase, Order, OrderSender, plan_orders, run_orders
from .meshes import MESHES, RETRIES_PER_REQUEST, MeshName, MeshPlan
from .processes import ProcessGroup, StartFailed
from .report import OVERLOAD_PHASE, DemoReport, build_report, format_report
from .verdicts import TargetRecord, Verdict, count_violations

__all__ = ["WARM_UP_PHASE", "plan_phases", "run_demo", "show_demo", "warm_up"]

# Shares of the run in normal load, overload, and normal load again.
PHASE_SHARES = (0.3, 0.35, 0.35)
SURGE_FACTOR = 1.6
SLOW_FACTOR = 3.0
WARM_UP_TIMEOUT_S = 15.0
WARM_UP_ANSWERS = 3
WARM_UP_INTERVAL_S = 0.05
WARM_UP_PHASE = "warm-up"
SETTLE_S = 0.3


def plan_phases(plan: MeshPlan, duration_s: float) -> list[LoadPhase]:
    """Return the phases of a run: the deep service slows while demand rises."""
    normal_s, overload_s, after_s = (share * duration_s for share in PHASE_SHARES)
    rate = plan.normal_per_s
    return [
        LoadPhase("normal", normal_s, rate, 1.0),
        LoadPhase(OVERLOAD_PHASE, overload_s, SURGE_FACTOR * rate, SLOW_FACTOR),
        LoadPhase("after", after_s, rate, 1.0),
    ]


def show_demo(
    mesh: MeshName, *, seed: int, duration_s: float, is_json: bool
) -> ExitCode:
    """Run the demo and print its figures.

    Args:
        mesh: The mesh to run.
        seed: Seed of the load and of the service times.
        duration_s: Length of the load.
        is_json: Whether the last line is one JSON object.

    Returns:
        `NOT_MET` if a violation was found, `ERROR` if the mesh did not start.
    """
    try:
        report = run_demo(MESHES[mesh], seed=seed, duration_s=duration_s)
    except StartFailed as error:
        typer.echo(f"the demo failed: {error}", err=True)
        return ExitCode.ERROR
    typer.echo(format_report(report))
    if is_json:
        typer.echo(json.dumps(report))
    found = (
        report["duplicate_runs"]
        + report["wrong_answers"]
        + report["not_run_violations"]
        + report["retry_violations"]
    )
    return ExitCode.NOT_MET if found else ExitCode.OK


def run_demo(plan: MeshPlan, *, seed: int, duration_s: float) -> DemoReport:
    """Start the mesh, put it under load, check the records and end all processes.

    Args:
        plan: The mesh.
        seed: Seed of the load and of the service times.
        duration_s: Length of the load.

    Raises:
        StartFailed: If a process does not come up or the mesh does not answer.
    """
    with (
        tempfile.TemporaryDirectory(prefix="mimosaloom-demo-") as name,
        ProcessGroup(Path(name)) as group,
    ):
        deployment = start_deployment(plan, group, Path(name), seed=seed)
        report = asyncio.run(_run_load(deployment, group, seed, duration_s))
        ended = group.ended_early()
        if ended:
            raise StartFailed(ended[0].describe("ended during the run"))
        return report


async def _run_load(
    deployment: Deployment, group: ProcessGroup, seed: int, duration_s: float
) -> DemoReport:
    plan = deployment.plan
    phases = plan_phases(plan, duration_s)
    rng = random.Random(seed)
    sender = OrderSender(deployment, random.Random(rng.random()))
    try:
        await warm_up(plan, sender, group)
        orders = plan_orders(plan, phases, rng)
        start_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(_switch_phases(deployment, phases, start_s))
            await run_orders(orders, sender, start_s)
        await asyncio.sleep(SETTLE_S)
    finally:
        sender.close()
    record = _read_record(deployment)
    violations = count_violations(
        sender.attempts, record, {c.name: c for c in plan.classes}, RETRIES_PER_REQUEST
    )
    counted = [a for a in sender.attempts if a.phase != WARM_UP_PHASE]
    warm_up_tokens = {a.token for a in sender.attempts if a.phase == WARM_UP_PHASE}
    runs = [run for run in record.runs if run["token"] not in warm_up_tokens]
    return build_report(
        plan,
        phases,
        counted,
        runs,
        violations,
        seed=seed,
        start_s=start_s,
        retry_bound=RETRIES_PER_REQUEST,
    )


async def warm_up(plan: MeshPlan, sender: OrderSender, group: ProcessGroup) -> None:
    """Wait until each class is answered whole a few times in a row."""
    give_up_s = time.monotonic() + WARM_UP_TIMEOUT_S
    number = 0
    for request_class in plan.classes:
        answered = 0
        while answered < WARM_UP_ANSWERS:
            number += 1
            order = Order(f"warm-up-{number}", request_class, WARM_UP_PHASE, 0.0)
            last = (await sender.send(order, retries=0)).judgement
            answered = answered + 1 if last.verdict is Verdict.WHOLE else 0
            if time.monotonic() > give_up_s:
                entry_node = f"node-{request_class.path[0]}-1"
                raise StartFailed(
                    f"no whole answer to {request_class.name} in "
                    f"{WARM_UP_TIMEOUT_S:g} s; the last one was {last}; "
                    f"{group.describe(entry_node)}"
                )
            await asyncio.sleep(WARM_UP_INTERVAL_S)


async def _switch_phases(
    deployment: Deployment, phases: list[LoadPhase], start_s: float
) -> None:
    client = AsyncHTTPClient()
    for phase in phases:
        ahead_s = start_s - time.monotonic()
        await asyncio.sleep(max(0.0, ahead_s))
        body = json.dumps({"slow_factor": phase.slow_factor})
        for url in deployment.deep_targets():
            await client.fetch(f"{url}/.target/control", method="POST", body=body)
        start_s += phase.duration_s


def _read_record(deployment: Deployment) -> TargetRecord:
    records = [
        get_json(f"{url}/.target/record") for url in deployment.target_urls.values()
    ]
    return TargetRecord(
        [run for record in records for run in record["runs"]],
        [mark for record in records for mark in record["refused"]],
    )
