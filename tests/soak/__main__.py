"""Runs soaks by hand: `python -m soak --seed 1 --count 50` with `tests` on the path."""

import asyncio
import logging
import tempfile
from pathlib import Path
from typing import Annotated

import typer
from soak.run import SoakOptions, run_soak

ROOT = Path(__file__).parents[2]


def main(
    seed: Annotated[int, typer.Option(help="Seed of the first soak.")] = 1,
    count: Annotated[int, typer.Option(help="Number of soaks, by seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults.")] = 25.0,
    copies: Annotated[int, typer.Option(help="Machines of each service.")] = 2,
    callers: Annotated[int, typer.Option(help="Clients on each machine.")] = 4,
    series: Annotated[int, typer.Option(help="Series of faults side by side.")] = 3,
    only: Annotated[
        list[str] | None, typer.Option(help="Name of a fault to inject, as in faults.")
    ] = None,
    pause: Annotated[
        float, typer.Option(help="Longest pause of a client in seconds.")
    ] = 0.08,
    links: Annotated[
        bool, typer.Option(help="Whether nodes reach each other through proxies.")
    ] = True,
    tree: Annotated[Path, typer.Option(help="Checkout that the nodes run.")] = ROOT,
    logs: Annotated[
        Path | None, typer.Option(help="Keep settings and logs in this folder.")
    ] = None,
) -> None:
    """Run soaks one after the other; exit with 1 if one broke a rule."""
    # Tornado logs each call to the store that ends with an error.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    failed = 0
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    for number in range(seed, seed + count):
        own_folder = folder / f"seed-{number}"
        own_folder.mkdir(parents=True, exist_ok=True)
        options = SoakOptions(
            number,
            seconds,
            copies,
            callers,
            series,
            tree.resolve(),
            own_folder,
            tuple(only or ()),
            pause,
            links,
        )
        report = asyncio.run(run_soak(options))
        total = sum(report.statuses.values())
        typer.echo(
            f"seed {number}: {total} attempts, {report.versions} versions, "
            f"{report.restores} restores, {len(report.findings)} findings"
        )
        typer.echo(f"  {report.statuses}\n  {report.faults}")
        for finding in report.findings[:12]:
            typer.echo(f"  {finding.rule} {finding.detail}")
        failed += bool(report.findings)
    typer.echo(f"{failed} of {count} soaks broke a rule; logs in {folder}")
    raise typer.Exit(failed > 0)


if __name__ == "__main__":
    typer.run(main)
