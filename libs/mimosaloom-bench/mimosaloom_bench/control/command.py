"""The commands `mimosaloom bench control` and `mimosaloom bench replay`."""

import asyncio
import json
from typing import Annotated

import typer

from .figures import check_limits, extrapolate, measure_size, measure_tables
from .replay_speed import measure_replay

__all__ = ["control", "replay"]

DEFAULT_SIZES = [10, 20, 40, 80]
MIN_NODES = 6
MAX_NODES = 200
# The replay and the naive full replay gave different configurations.
EXIT_RESULTS_DIFFER = 1
# Figures whose growth with the number of nodes is printed as a line.
FITTED_FIGURES = ("bytes_per_s", "messages_per_s", "cpu_ratio", "in_force_s", "death_s")


def control(
    nodes: Annotated[
        list[int] | None,
        typer.Option(
            min=MIN_NODES, max=MAX_NODES, help="Number of nodes; may be repeated."
        ),
    ] = None,
    seed: Annotated[
        int, typer.Option(help="Seed of the random choices of all nodes.")
    ] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure the control plane of real nodes at several fleet sizes."""
    tables = measure_tables()
    reports = [asyncio.run(measure_size(size, seed)) for size in nodes or DEFAULT_SIZES]
    verdicts = check_limits(reports, tables)
    fits = {figure: extrapolate(reports, figure) for figure in FITTED_FIGURES}
    if as_json:
        report = {
            "seed": seed,
            "sizes": reports,
            "tables": tables,
            "fits": fits,
            "verdicts": verdicts,
        }
        typer.echo(json.dumps(report))
        return
    for size in reports:
        _print_figures(size)
    _print_figures(tables)
    for figure, fit in fits.items():
        typer.echo(f"{figure}: {fit['base']:.4g} + {fit['slope']:.4g} * nodes")
    for verdict in verdicts:
        word = "met" if verdict["is_met"] else "not met"
        typer.echo(
            f"{verdict['figure']} at 5,200 nodes: {verdict['value']:.4g} "
            f"{verdict['unit']}, limit {verdict['limit']:.4g}: {word}"
        )


def replay(
    records: Annotated[
        int, typer.Option(min=1, help="Number of records to replay.")
    ] = 100_000,
    seed: Annotated[int, typer.Option(help="Seed of the records.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure the replay of configuration records against a naive full replay."""
    report = measure_replay(records, seed)
    if as_json:
        typer.echo(json.dumps(report))
    else:
        _print_figures(report)
    if not report["is_equal"]:
        raise typer.Exit(EXIT_RESULTS_DIFFER)


def _print_figures(report: dict) -> None:
    figures = (
        f"{name}={value:.4g}" if isinstance(value, float) else f"{name}={value}"
        for name, value in report.items()
    )
    typer.echo(" ".join(figures))
