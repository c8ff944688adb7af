"""The commands of mimosaloom."""

from importlib.metadata import entry_points, version
from typing import Annotated

import typer

from mimosaloom_model import Invalid

from ..check import check_files, check_settings
from ..errors import exit_with_error, exit_with_faults
from ..exit_codes import ExitCode
from .constants import APP_EPILOG, CHECK_EPILOG, COMMANDS_GROUP, NODE_EPILOG
from .parsing import FilesArgument, SettingsOption

__all__ = ["build_app"]


def build_app() -> typer.Typer:
    """Return the command line with the commands of all installed packages."""
    app = typer.Typer(
        name="mimosaloom",
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
    app.callback(epilog=APP_EPILOG)(_print_version_on_request)
    app.command(epilog=NODE_EPILOG)(node)
    app.command(epilog=CHECK_EPILOG)(check)
    for entry_point in entry_points(group=COMMANDS_GROUP):
        entry_point.load()(app)
    return app


def _show_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(version("mimosaloom-cli"))
        raise typer.Exit


def _print_version_on_request(
    show_version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_show_version,
            is_eager=True,
            help="Show the version and exit.",
        ),
    ] = False,
) -> None:
    """Overload control for service call graphs."""


def node(settings: SettingsOption) -> None:
    """Run the node beside one target.

    The node logs JSON lines on stderr; the first one holds its ports. On SIGTERM it
    drains, finishes the calls in flight and stops.
    """
    checked = check_settings(settings)
    if isinstance(checked, Invalid):
        exit_with_faults(checked.faults)
    # The daemon's libraries take longer to load than the other commands run.
    from mimosaloom_node import run_node

    try:
        code = run_node(checked)
    except OSError as error:
        exit_with_error(
            f"the node can't start: {error}",
            f"Correct the addresses under listen in {settings}, or stop the process "
            "that uses them",
            ExitCode.ERROR,
        )
    raise typer.Exit(code)


def check(files: FilesArgument) -> None:
    """Check settings and resource files.

    The files are told apart by their content. All resource files together form one
    configuration; the resources that a settings file names are checked with it.
    """
    checked = check_files(files)
    if checked.faults:
        exit_with_faults(checked.faults)
    count = len(checked.files)
    typer.echo("1 file is valid" if count == 1 else f"{count} files are valid")
