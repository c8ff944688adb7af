"""Adds the demo and the benches to the command line."""

import typer

from .overload import overload

__all__ = ["register"]


def register(app: typer.Typer) -> None:
    """Add the commands of this package to the command line."""
    bench = typer.Typer(no_args_is_help=True, help="Measure mimosaloom.")
    bench.command("overload")(overload)
    app.add_typer(bench, name="bench")
