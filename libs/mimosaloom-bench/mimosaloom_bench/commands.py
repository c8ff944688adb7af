"""Adds the demo and the benches to the command line."""

from typing import Annotated

import typer

from .control import control, replay
from .decisions import show_decisions
from .demo import show_demo
from .latency import LoadPlan, show_latency
from .meshes import MeshName
from .overload import overload
from .path_cost import path_cost
from .scenarios.command import build_scenario_app

__all__ = ["register"]


def _example(arguments: str) -> str:
    # `\b` stops click from rewrapping the lines of the paragraph.
    return f"\b\nExample:\n  mimosaloom {arguments}\n"


DEFAULT_DURATION_S = 10.0
MIN_DURATION_S = 3.0


def register(app: typer.Typer) -> None:
    """Add the commands of this package to the command line."""
    app.command(name="demo", epilog=_example("demo --mesh cooperative --seed 2"))(_demo)
    bench = typer.Typer(no_args_is_help=True, help="Measure mimosaloom.")
    commands = {
        "overload": (overload, "--scenario deep-slow"),
        "control": (control, "--nodes 10 --nodes 40"),
        "replay": (replay, "--records 20000"),
        "latency": (_latency, "--rounds 4"),
        "decisions": (_decisions, "--calls 5000"),
        "path": (path_cost, "--profile"),
    }
    for name, (command, options) in commands.items():
        bench.command(name, epilog=_example(f"bench {name} {options}"))(command)
    app.add_typer(bench, name="bench")
    app.add_typer(build_scenario_app(), name="scenario")


def _demo(
    mesh: Annotated[MeshName, typer.Option(help="Mesh to run.")] = MeshName.WATER,
    seed: Annotated[int, typer.Option(help="Seed of load and service times.")] = 1,
    duration_s: Annotated[
        float, typer.Option(min=MIN_DURATION_S, help="Length of the load in seconds.")
    ] = DEFAULT_DURATION_S,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object as the last line.")
    ] = False,
) -> None:
    """Overload one mesh on loopback and print what its callers saw."""
    code = show_demo(mesh, seed=seed, duration_s=duration_s, is_json=json_output)
    raise typer.Exit(code)


def _latency(
    rate_per_s: Annotated[
        float, typer.Option(min=1, help="Calls a second on each path.")
    ] = 250.0,
    rounds: Annotated[
        int,
        typer.Option(min=1, help="Number of rounds; each measures every path once."),
    ] = 8,
    round_s: Annotated[
        float,
        typer.Option(min=0.5, help="Seconds for which a round measures each path."),
    ] = 2.0,
    seed: Annotated[
        int, typer.Option(help="Seed of the random intervals between calls.")
    ] = 1,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object as the last line.")
    ] = False,
) -> None:
    """Measure the latency that mimosaloom adds to a call."""
    load = LoadPlan(rate_per_s, rounds, round_s, seed)
    raise typer.Exit(show_latency(load, is_json=json_output))


def _decisions(
    calls: Annotated[
        int, typer.Option(min=1, help="Number of calls, or of entries in the tables.")
    ] = 20_000,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object as the last line.")
    ] = False,
) -> None:
    """Measure the processor time and memory of each kind of decision."""
    show_decisions(calls, is_json=json_output)
