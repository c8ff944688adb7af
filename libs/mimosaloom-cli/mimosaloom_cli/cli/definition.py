"""Definition of the commands of `mimosaloom`."""

import sys
from importlib.metadata import entry_points, version
from pathlib import Path
from typing import Annotated

import typer

from mimosaloom_model import Invalid

from ..check import check_files, check_settings
from ..errors import exit_with_error, exit_with_faults
from ..exit_codes import ExitCode
from .constants import (
    ACCOUNT_EPILOG,
    APP_EPILOG,
    APPLY_EPILOG,
    CHECK_EPILOG,
    COMMANDS_GROUP,
    DELETE_EPILOG,
    DIFF_EPILOG,
    EXPLAIN_EPILOG,
    GET_EPILOG,
    NODE_EPILOG,
)
from .parsing import (
    AccountKeysOption,
    AuthorOption,
    ChangedFilesOption,
    FilesArgument,
    FromOption,
    JsonOption,
    KindArgument,
    LogFilesArgument,
    LogUrlOption,
    NameArgument,
    OutputFormat,
    OutputOption,
    PlotOption,
    RequestIdArgument,
    RequiredNameArgument,
    RevisionOption,
    SettingsOption,
    ToOption,
)

__all__ = ["build_app"]


def build_app() -> typer.Typer:
    """Build the command line with the commands of all installed packages."""
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
    app.command(epilog=DIFF_EPILOG)(diff)
    app.command(epilog=APPLY_EPILOG)(apply)
    app.command(epilog=GET_EPILOG)(get)
    app.command(epilog=DELETE_EPILOG)(delete)
    app.command(epilog=EXPLAIN_EPILOG)(explain)
    app.command(epilog=ACCOUNT_EPILOG)(account)
    for entry_point in entry_points(group=COMMANDS_GROUP):
        entry_point.load()(app)
    return app


def _show_version(is_requested: bool) -> None:
    if is_requested:
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
    """Run the node beside a target.

    The node writes its log to stderr as JSON lines. The first line holds its ports. On
    SIGTERM, the node drains, finishes the calls in flight and stops.
    """
    checked = check_settings(settings)
    if isinstance(checked, Invalid):
        exit_with_faults(checked.faults)
    # Imported only here: loading the libraries of the node takes longer than the other
    # commands take to run.
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
    """Check settings files and resource files.

    The content of a file decides which of the two it is. All resource files together
    form one configuration. A settings file is also checked against the resource file
    that it names.
    """
    checked = check_files(files)
    if checked.faults:
        exit_with_faults(checked.faults)
    count = len(checked.files)
    typer.echo("1 file is valid" if count == 1 else f"{count} files are valid")


def diff(filename: ChangedFilesOption, log_url: LogUrlOption) -> None:
    """Show what apply would change.

    Resources that no file declares are not shown, as apply does not change them.
    """
    from ..operations import show_differences

    show_differences(filename, log_url)


def apply(
    filename: ChangedFilesOption, log_url: LogUrlOption, author: AuthorOption = ""
) -> None:
    """Put the resources declared in files in force.

    A resource with a revision is accepted only if that revision is in force; revision
    0 means that the resource must not exist yet. Repeating the command after a failure
    is safe.
    """
    from ..operations import apply_files

    apply_files(filename, log_url, author)


def get(
    kind: KindArgument,
    log_url: LogUrlOption,
    name: NameArgument = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the resources of one kind that are in force."""
    from ..operations import show_resources

    show_resources(kind.value, name, log_url, is_json=output is OutputFormat.JSON)


def delete(
    kind: KindArgument,
    name: RequiredNameArgument,
    log_url: LogUrlOption,
    revision: RevisionOption = None,
    author: AuthorOption = "",
) -> None:
    """Delete a resource from the configuration in force.

    The deletion is refused while another resource in force refers to it.
    """
    from ..operations import delete_resource

    delete_resource(kind.value, name, revision, log_url, author)


def explain(request_id: RequestIdArgument, files: LogFilesArgument = None) -> None:
    """Show the timeline of a request and the cause of its failure.

    The command reads logs of nodes. The lines may come from several nodes, in any
    order. For a failed request, each node that made a decision on it has logged a line.
    Only a sample of the answered requests is logged.
    """
    from ..explain import explain_request, format_explanation

    try:
        log_lines = _read_lines(files or [])
    except OSError as error:
        exit_with_error(
            f"can't read {error.filename}: {error.strerror}",
            "Name log files of nodes that can be read",
            ExitCode.ERROR,
        )
    explanation = explain_request(request_id, log_lines)
    for line in format_explanation(request_id, explanation):
        typer.echo(line)
    if not explanation.lines:
        raise typer.Exit(ExitCode.ERROR)


def _read_lines(files: list[Path]) -> list[str]:
    if not files:
        return sys.stdin.read().splitlines()
    texts = (path.read_text("utf-8", errors="replace") for path in files)
    return [line for text in texts for line in text.splitlines()]


def account(
    files: LogFilesArgument = None,
    by: AccountKeysOption = "class",
    from_s: FromOption = None,
    to_s: ToOption = None,
    is_json: JsonOption = False,
    plot: PlotOption = None,
) -> None:
    """Show who waits, who is refused and where work goes, over all requests.

    The command reads logs of nodes, in which each node counts the requests and hops of
    each second. The lines may come from several nodes, in any order. A line counts for
    the second in which it was written; that is the second after the one it is about.
    """
    from ..account_command import show_account

    show_account(files or [], by, from_s, to_s, plot, is_json=is_json)
