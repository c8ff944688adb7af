"""The command `mimosaloom scenario`."""

from pathlib import Path
from typing import Annotated

import typer

__all__ = ["build_scenario_app"]


# `\b` keeps the lines of the paragraph as they are.
RUN_EPILOG = """\b
Example:
  mimosaloom scenario run scenarios/p6-drain.feature
"""


def build_scenario_app() -> typer.Typer:
    """Return the command group `scenario`."""
    app = typer.Typer(no_args_is_help=True, help="Run scripted scenarios.")
    # With a single command and no callback, typer would run that command for the group.
    app.callback()(_group)
    app.command(name="run", epilog=RUN_EPILOG)(_run)
    return app


def _group() -> None:
    """Run scripted scenarios."""


def _run(
    files: Annotated[
        list[Path], typer.Argument(metavar="FILE", help="Scenario files.")
    ],
) -> None:
    """Run scenarios; exit code 0, 7 if a check is not met, 3 if a file has faults."""
    # Imported here so that other commands do not load the parsers.
    from .runner import show_scenarios

    raise typer.Exit(show_scenarios(files))
