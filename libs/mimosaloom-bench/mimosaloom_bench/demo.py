"""The demo: runs one mesh on loopback under normal load, overload and normal load."""

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

# Shares of the run for normal load, overload and normal load again.
PHASE_SHARES = (0.3, 0.35, 0.35)
# In the overload phase, factors on the normal rate of requests and on the service time
# of the deep service.
OVERLOAD_RATE_FACTOR = 1.6
OVERLOAD_SLOW_FACTOR = 3.0
WARM_UP_TIMEOUT_S = 15.0
WARM_UP_ANSWERS = 3
WARM_UP_INTERVAL_S = 0.05
WARM_UP_PHASE = "warm-up"
# Time for runs on the targets to end after the last answer to a caller.
SETTLE_S = 0.3


def plan_phases(plan: MeshPlan, duration_s: float) -> list[LoadPhase]:
    """Return the phases of a run.

    In the overload phase the deep service slows down while the request rate rises.
    """
    normal_s, overload_s, after_s = (share * duration_s for share in PHASE_SHARES)
    rate = plan.normal_per_s
    return [
        LoadPhase("normal", normal_s, rate, 1.0),
        LoadPhase(
            OVERLOAD_PHASE,
            overload_s,
            OVERLOAD_RATE_FACTOR * rate,
            OVERLOAD_SLOW_FACTOR,
        ),
        LoadPhase("after", after_s, rate, 1.0),
    ]


def show_demo(
    mesh: MeshName, *, seed: int, duration_s: float, is_json: bool
) -> ExitCode:
    """Run the demo and print its report.

    Args:
        mesh: The mesh to run.
        seed: Seed of the load and of the service times.
        duration_s: Length of the load.
        is_json: Whether to print the report also as one JSON object, in the last line.

    Returns:
        `OK` if there is no violation, `NOT_MET` if there is one, and `ERROR` if a
        process did not start or ended during the run.
    """
    try:
        report = run_demo(MESHES[mesh], seed=seed, duration_s=duration_s)
    except StartFailed as error:
        typer.echo(f"the demo failed: {error}", err=True)
        return ExitCode.ERROR
    typer.echo(format_report(report))
    if is_json:
        typer.echo(json.dumps(report))
    violation_count = (
        report["duplicate_runs"]
        + report["wrong_answers"]
        + report["not_run_violations"]
        + report["retry_violations"]
    )
    return ExitCode.NOT_MET if violation_count else ExitCode.OK


def run_demo(plan: MeshPlan, *, seed: int, duration_s: float) -> DemoReport:
    """Start the mesh, run the load, check the records and stop all processes.

    Args:
        plan: The mesh.
        seed: Seed of the load and of the service times.
        duration_s: Length of the load.

    Raises:
        StartFailed: If a process does not start or ends during the run, or if the mesh
            does not answer.
    """
    with (
        tempfile.TemporaryDirectory(prefix="mimosaloom-demo-") as directory,
        ProcessGroup(Path(directory)) as group,
    ):
        deployment = start_deployment(plan, group, Path(directory), seed=seed)
        report = asyncio.run(_run_load(deployment, group, seed, duration_s))
        exited = group.find_exited()
        if exited:
            raise StartFailed(exited[0].describe("ended during the run"))
        return report


async def _run_load(
    deployment: Deployment, processes: ProcessGroup, seed: int, duration_s: float
) -> DemoReport:
    plan = deployment.plan
    phases = plan_phases(plan, duration_s)
    rng = random.Random(seed)
    sender = OrderSender(deployment, random.Random(rng.random()))
    try:
        await warm_up(plan, sender, processes)
        orders = plan_orders(plan, phases, rng)
        start_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_apply_slow_factors(deployment, phases, start_s))
            await run_orders(orders, sender, start_s)
        await asyncio.sleep(SETTLE_S)
    finally:
        sender.close()
    record = _fetch_records(deployment)
    violations = count_violations(
        sender.attempts, record, {c.name: c for c in plan.classes}, RETRIES_PER_REQUEST
    )
    load_attempts = [a for a in sender.attempts if a.phase != WARM_UP_PHASE]
    warm_up_tokens = {a.token for a in sender.attempts if a.phase == WARM_UP_PHASE}
    runs = [run for run in record.runs if run["token"] not in warm_up_tokens]
    return build_report(
        plan,
        phases,
        load_attempts,
        runs,
        violations,
        seed=seed,
        start_s=start_s,
        retry_bound=RETRIES_PER_REQUEST,
    )


async def warm_up(plan: MeshPlan, sender: OrderSender, group: ProcessGroup) -> None:
    """Wait until `WARM_UP_ANSWERS` whole answers in a row have come for each class.

    Raises:
        StartFailed: If this takes longer than `WARM_UP_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + WARM_UP_TIMEOUT_S
    number = 0
    for request_class in plan.classes:
        answered = 0
        while answered < WARM_UP_ANSWERS:
            number += 1
            order = Order(f"warm-up-{number}", request_class, WARM_UP_PHASE, 0.0)
            answer = (await sender.send(order, retries=0)).answer
            answered = answered + 1 if answer.verdict is Verdict.WHOLE else 0
            if time.monotonic() > deadline_s:
                entry_node = f"node-{request_class.path[0]}-1"
                raise StartFailed(
                    f"no whole answer to {request_class.name} in "
                    f"{WARM_UP_TIMEOUT_S:g} s; the last answer was {answer}; "
                    f"{group.describe(entry_node)}"
                )
            await asyncio.sleep(WARM_UP_INTERVAL_S)


async def _apply_slow_factors(
    deployment: Deployment, phases: list[LoadPhase], start_s: float
) -> None:
    """Set the slow factor of the deep targets at the start of each phase."""
    client = AsyncHTTPClient()
    for phase in phases:
        delay_s = start_s - time.monotonic()
        await asyncio.sleep(max(0.0, delay_s))
        body = json.dumps({"slow_factor": phase.slow_factor})
        for url in deployment.deep_target_urls():
            await client.fetch(f"{url}/.target/control", method="POST", body=body)
        start_s += phase.duration_s


def _fetch_records(deployment: Deployment) -> TargetRecord:
    records = [
        get_json(f"{url}/.target/record") for url in deployment.target_urls.values()
    ]
    return TargetRecord(
        [run for record in records for run in record["runs"]],
        [mark for record in records for mark in record["refused"]],
    )
