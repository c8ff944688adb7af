"""The command `mimosaloom bench overload`."""

import json
from typing import Annotated

import typer

from .controlled import SHEDDING_MODES
from .meshes import MESHES
from .report import format_report
from .runner import run_overload
from .scenarios import SCENARIOS

__all__ = ["overload"]


def overload(
    mesh: Annotated[str, typer.Option(help=f"One of {', '.join(MESHES)}.")] = "water",
    scenario: Annotated[
        str,
        typer.Option(
            help=f"All scenarios if empty; otherwise one of {', '.join(SCENARIOS)}."
        ),
    ] = "",
    seed: Annotated[
        int, typer.Option(help="Seed of the arrivals and of all random choices.")
    ] = 1,
    shedding: Annotated[
        str, typer.Option(help=f"One of {', '.join(SHEDDING_MODES)}.")
    ] = "rank",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure goodput and recovery under overload, compared with a naive mesh."""
    _require(mesh, MESHES, "mesh")
    _require(shedding, SHEDDING_MODES, "shedding")
    if scenario:
        _require(scenario, SCENARIOS, "scenario")
    names = [scenario] if scenario else list(SCENARIOS)
    report = run_overload(mesh, names, seed, shedding)
    if as_json:
        typer.echo(json.dumps(report, indent=2))
    else:
        typer.echo(format_report(report), nl=False)


def _require(name: str, known, option: str) -> None:
    if name not in known:
        raise typer.BadParameter(
            f"{name} is not known; use one of {', '.join(known)}",
            param_hint=f"--{option}",
        )
