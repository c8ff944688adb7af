"""Runs scenarios and prints a timeline."""

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
    """How a scenario ended.

    Attributes:
        scenario: The scenario.
        unmet: Messages with file and line; empty if all checks are met.
        elapsed_s: Time that it took.
    """

    scenario: Scenario
    unmet: tuple[str, ...]
    elapsed_s: float


def show_scenarios(files: Iterable[Path]) -> ExitCode:
    """Run all scenarios of files one after another and print timelines.

    Returns:
        `INVALID` if a file has a fault, in which case nothing is run; `NOT_MET` if a
        check is not met; `ERROR` if a mesh did not start.
    """
    scenarios, faults = read_scenarios(files)
    if faults:
        for fault in faults:
            typer.echo(str(fault), err=True)
        if any(fault.message.startswith(UNKNOWN_STEP) for fault in faults):
            typer.echo("the steps are:", err=True)
            for text in list_steps():
                typer.echo(f"  {text}", err=True)
        return ExitCode.INVALID
    endings = []
    for scenario in scenarios:
        typer.echo(f"{scenario.file}: {scenario.name}")
        try:
            endings.append(run_scenario(scenario, typer.echo))
        except StartFailed as error:
            typer.echo(f"the mesh could not start: {error}", err=True)
            return ExitCode.ERROR
    _show_summary(endings)
    return ExitCode.NOT_MET if any(e.unmet for e in endings) else ExitCode.OK


def _show_summary(endings: list[Ending]) -> None:
    for ending in endings:
        word = "NOT MET" if ending.unmet else "met"
        typer.echo(f"{word:8}{ending.elapsed_s:6.1f} s  {ending.scenario.name}")
    unmet = sum(bool(ending.unmet) for ending in endings)
    typer.echo(f"{len(endings)} scenarios, {unmet} not met")


def run_scenario(scenario: Scenario, echo: Callable[[str], None]) -> Ending:
    """Run one scenario in a mesh of its own; use it in the main thread only.

    A step that fails ends the scenario; all checks in a row are made in any case.

    Args:
        scenario: The scenario.
        echo: Receives the timeline, line by line.

    Raises:
        StartFailed: If a process does not come up or the mesh does not answer.
    """
    start_s = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="mimosaloom-scenario-") as name,
        ProcessGroup(Path(name)) as group,
    ):
        unmet = asyncio.run(_play(scenario, World(group, Path(name)), echo))
    return Ending(scenario, tuple(unmet), time.monotonic() - start_s)


async def _play(
    scenario: Scenario, world: World, echo: Callable[[str], None]
) -> list[str]:
    unmet: list[str] = []
    start_s = time.monotonic()
    try:
        for line in scenario.lines:
            message = await _do(line, world)
            elapsed_s = time.monotonic() - start_s
            notes = f" ({'; '.join(world.notes)})" if world.notes else ""
            world.notes.clear()
            echo(f"{elapsed_s:7.2f} s  {line.text}{notes}")
            if message:
                unmet.append(f"{scenario.file}:{line.number}: {message}")
                echo(f"   NOT MET  {unmet[-1]}")
                if not line.step.is_check:
                    break
        for message in world.find_crashed():
            unmet.append(f"{scenario.file}: {message}")
            echo(f"   NOT MET  {unmet[-1]}")
    finally:
        await world.close()
    return unmet


async def _do(line: Line, world: World) -> str:
    try:
        await line.step.action(world)
    except NotMet as error:
        return str(error)
    except (OSError, HTTPException) as error:
        return f"the step could not be done: {error!r}"
    return ""
