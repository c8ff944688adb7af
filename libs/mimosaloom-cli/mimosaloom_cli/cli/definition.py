"""The commands of mimosaloom."""

from importlib.metadata import entry_points, version
from typing import Annotated

import typer

__all__ = ["build_app"]

COMMANDS_GROUP = "mimosaloom.commands"


def build_app() -> typer.Typer:
    """Return the command line with the commands of all installed packages."""
    app = typer.Typer(name="mimosaloom", no_args_is_help=True)
    app.callback()(_print_version_on_request)
    for entry_point in entry_points(group=COMMANDS_GROUP):
        entry_point.load()(app)
    return app


def _show_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(version("mimosaloom-cli"))
        raise typer.Exit


def _print_version_on_request(
    show_version: Annotated[
        bool, typer.Option("--version", callback=_show_version, is_eager=True)
    ] = False,
) -> None:
    """Overload control for service call graphs."""
