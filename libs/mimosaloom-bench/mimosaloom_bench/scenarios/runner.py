"""Runs scenarios and prints their timelines."""

import asyncio
import tempfile
import time
from collections.abc import Callable, Iterable
from http.client import HTTPException
from pathlib import Path
from typing import NamedTuple

import typer

from mimosaloom_cli import ExitCode

from ..processes import ProcessGroup, StartFailed
from .files import Scenario, ScenarioStep, read_scenarios
from .registry import list_steps
from .world import StepFailed, World

__all__ = ["ScenarioResult", "run_scenario", "show_scenarios"]

UNKNOWN_STEP = "unknown step"


class ScenarioResult(NamedTuple):
    """Result of a scenario.

    Attributes:
        scenario: The scenario.
        failures: Messages with file and line; empty if the scenario succeeded.
        elapsed_s: Time that the scenario took.
    """

    scenario: Scenario
    failures: tuple[str, ...]
    elapsed_s: float


def show_scenarios(files: Iterable[Path]) -> ExitCode:
    """Run all scenarios of some files one after another and print their timelines.

    Returns:
        `OK` if all scenarios succeed; `INVALID` if a file has a fault, in which case
        nothing is run; `NOT_MET` if a scenario fails; `ERROR` if a mesh does not start.
    """
    scenarios, faults = read_scenarios(files)
    if faults:
        for fault in faults:
            typer.echo(str(fault), err=True)
        if any(fault.message.startswith(UNKNOWN_STEP) for fault in faults):
            typer.echo("known steps:", err=True)
            for text in list_steps():
                typer.echo(f"  {text}", err=True)
        return ExitCode.INVALID
    results = []
    for scenario in scenarios:
        typer.echo(f"{scenario.file}: {scenario.name}")
        try:
            results.append(run_scenario(scenario, typer.echo))
        except StartFailed as error:
            typer.echo(f"the mesh did not start: {error}", err=True)
            return ExitCode.ERROR
    _show_summary(results)
    return ExitCode.NOT_MET if any(r.failures for r in results) else ExitCode.OK


def _show_summary(results: list[ScenarioResult]) -> None:
    for result in results:
        status = "NOT MET" if result.failures else "met"
        typer.echo(f"{status:8}{result.elapsed_s:6.1f} s  {result.scenario.name}")
    failed = sum(bool(result.failures) for result in results)
    typer.echo(f"{len(results)} scenarios, {failed} not met")


def run_scenario(scenario: Scenario, echo: Callable[[str], None]) -> ScenarioResult:
    """Run one scenario in a mesh of its own; use it in the main thread only.

    An action that fails ends the scenario. After a check that fails, the scenario goes
    on.

    Args:
        scenario: The scenario.
        echo: Receives the lines of the timeline.

    Raises:
        StartFailed: If a process does not start or the mesh does not answer.
    """
    start_s = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="mimosaloom-scenario-") as directory,
        ProcessGroup(Path(directory)) as group,
    ):
        failures = asyncio.run(
            _run_steps(scenario, World(group, Path(directory)), echo)
        )
    return ScenarioResult(scenario, tuple(failures), time.monotonic() - start_s)


async def _run_steps(
    scenario: Scenario, world: World, echo: Callable[[str], None]
) -> list[str]:
    failures: list[str] = []
    start_s = time.monotonic()
    try:
        for step in scenario.steps:
            message = await _run_step(step, world)
            elapsed_s = time.monotonic() - start_s
            notes = f" ({'; '.join(world.notes)})" if world.notes else ""
            world.notes.clear()
            echo(f"{elapsed_s:7.2f} s  {step.text}{notes}")
            if message:
                failures.append(f"{scenario.file}:{step.number}: {message}")
                echo(f"   NOT MET  {failures[-1]}")
                if not step.bound_step.is_check:
                    break
        for message in world.describe_unexpected_exits():
            failures.append(f"{scenario.file}: {message}")
            echo(f"   NOT MET  {failures[-1]}")
    finally:
        await world.close()
    return failures


async def _run_step(step: ScenarioStep, world: World) -> str:
    """Run a step and return the message of its failure; empty if it succeeded."""
    try:
        await step.bound_step.action(world)
    except StepFailed as error:
        return str(error)
    except (OSError, HTTPException) as error:
        return f"the step failed: {error!r}"
    return ""
