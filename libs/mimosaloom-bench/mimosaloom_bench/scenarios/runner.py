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
from .files import Line, Scenario, read_scenarios
from .registry import list_steps
from .world import NotMet, World

__all__ = ["Ending", "run_scenario", "show_scenarios"]

UNKNOWN_STEP = "unknown step"


class Ending(NamedTuple):
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
    endings = []
    for scenario in scenarios:
        typer.echo(f"{scenario.file}: {scenario.name}")
        try:
            endings.append(run_scenario(scenario, typer.echo))
        except StartFailed as error:
            typer.echo(f"the mesh did not start: {error}", err=True)
            return ExitCode.ERROR
    _show_summary(endings)
    return ExitCode.NOT_MET if any(e.failures for e in endings) else ExitCode.OK


def _show_summary(endings: list[Ending]) -> None:
    for ending in endings:
        status = "NOT MET" if ending.failures else "met"
        typer.echo(f"{status:8}{ending.elapsed_s:6.1f} s  {ending.scenario.name}")
    failed = sum(bool(ending.failures) for ending in endings)
    typer.echo(f"{len(endings)} scenarios, {failed} not met")


def run_scenario(scenario: Scenario, echo: Callable[[str], None]) -> Ending:
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
    return Ending(scenario, tuple(failures), time.monotonic() - start_s)


async def _run_steps(
    scenario: Scenario, world: World, echo: Callable[[str], None]
) -> list[str]:
    failures: list[str] = []
    start_s = time.monotonic()
    try:
        for line in scenario.lines:
            message = await _run_step(line, world)
            elapsed_s = time.monotonic() - start_s
            notes = f" ({'; '.join(world.notes)})" if world.notes else ""
            world.notes.clear()
            echo(f"{elapsed_s:7.2f} s  {line.text}{notes}")
            if message:
                failures.append(f"{scenario.file}:{line.number}: {message}")
                echo(f"   NOT MET  {failures[-1]}")
                if not line.step.is_check:
                    break
        for message in world.describe_unexpected_exits():
            failures.append(f"{scenario.file}: {message}")
            echo(f"   NOT MET  {failures[-1]}")
    finally:
        await world.close()
    return failures


async def _run_step(line: Line, world: World) -> str:
    """Run a step and return the message of its failure; empty if it succeeded."""
    try:
        await line.step.action(world)
    except NotMet as error:
        return str(error)
    except (OSError, HTTPException) as error:
        return f"the step failed: {error!r}"
    return ""
