"""Commands with which operators read and change the configuration in force."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import TypeVar

import typer

from mimosaloom_control import Replay
from mimosaloom_model import (
    FileKind,
    Invalid,
    LogServiceSettings,
    ResourceDocument,
    SystemClock,
    check_change,
    detect_file_kind,
    read_resources,
    suggest_name,
)
from mimosaloom_node.log_client import LogClient

from .changes import Change, plan_changes, plan_delete
from .check import list_files
from .errors import exit_with_error, exit_with_faults
from .exit_codes import ExitCode
from .log_access import ChangeResult, Unavailable, append_changes, read_configuration
from .results import (
    choose_exit_code,
    format_difference,
    format_resources,
    format_result,
    format_table,
    is_failure,
)

__all__ = ["apply_files", "delete_resource", "show_differences", "show_resources"]

T = TypeVar("T")


def apply_files(paths: Iterable[Path], url: str, author: str) -> None:
    """Apply the resources declared in files, then exit with the code for the outcomes.

    Args:
        paths: Resource files and directories with such files.
        url: Base URL of the log service.
        author: Author of the changes, as recorded with them.
    """

    async def operation(client: LogClient) -> list[ChangeResult]:
        replay = await _read_or_exit(client, url)
        changes = plan_changes(_read_documents(paths, replay), replay.resources)
        return await _append(client, replay, changes, author)

    _print_results_and_exit(_run_with_client(url, operation))


def delete_resource(
    kind: str, name: str, revision: int | None, url: str, author: str
) -> None:
    """Delete a resource, then exit with the code for the outcome.

    Args:
        kind: Kind of the resource.
        name: Name of the resource.
        revision: Delete only this revision; None for the one in force.
        url: Base URL of the log service.
        author: Author of the change, as recorded with it.
    """

    async def operation(client: LogClient) -> list[ChangeResult]:
        replay = await _read_or_exit(client, url)
        change = plan_delete(kind, name, revision, replay.resources)
        _exit_if_referenced(replay, change)
        return await _append(client, replay, [change], author)

    _print_results_and_exit(_run_with_client(url, operation))


def show_differences(paths: Iterable[Path], url: str) -> None:
    """Print what `apply_files` would change.

    Args:
        paths: Resource files and directories with such files.
        url: Base URL of the log service.
    """

    async def operation(client: LogClient) -> list[Change]:
        replay = await _read_or_exit(client, url)
        return plan_changes(_read_documents(paths, replay), replay.resources)

    changes = _run_with_client(url, operation)
    lines = [line for change in changes for line in format_difference(change)]
    typer.echo("\n".join(lines) if lines else "no difference")


def show_resources(kind: str, name: str | None, url: str, *, is_json: bool) -> None:
    """Print the resources of one kind that are in force, or only one of them.

    Args:
        kind: Kind of the resources.
        name: Name of one resource; None for all.
        url: Base URL of the log service.
        is_json: Print a resource file instead of a table.
    """
    replay = _run_with_client(url, lambda client: _read_or_exit(client, url))
    resources_of_kind = {
        key: resource for key, resource in replay.resources.items() if key[0] == kind
    }
    shown = {
        key: resource
        for key, resource in resources_of_kind.items()
        if name in (None, key[1])
    }
    if name and not shown:
        suggestion = suggest_name(name, (key[1] for key in resources_of_kind))
        exit_with_error(
            f"{kind}/{name} is not declared{suggestion}",
            f"List the declared ones with `mimosaloom get {kind}`",
            ExitCode.ERROR,
        )
    shown = dict(sorted(shown.items()))
    typer.echo(format_resources(shown) if is_json else format_table(shown))


def _run_with_client(url: str, operation: Callable[[LogClient], Awaitable[T]]) -> T:
    async def run() -> T:
        client = LogClient(LogServiceSettings(url), SystemClock(), random.Random())
        try:
            return await operation(client)
        finally:
            client.close()

    return asyncio.run(run())


async def _read_or_exit(client: LogClient, url: str) -> Replay:
    replay = await read_configuration(client)
    if isinstance(replay, Unavailable):
        exit_with_error(
            f"the configuration can't be read: {replay.reason}",
            f"Check that {url} is the log service and that it is up, then repeat the "
            "command; nothing was changed",
            ExitCode.UNAVAILABLE,
        )
    return replay


def _read_documents(paths: Iterable[Path], replay: Replay) -> list[ResourceDocument]:
    given_paths = list(paths)
    files, faults = list_files(given_paths)
    # A directory may also hold settings files of nodes. They are skipped, unless the
    # operator named them.
    files = [
        file
        for file in files
        if file in given_paths or detect_file_kind(file) is not FileKind.SETTINGS
    ]
    documents = read_resources(files, in_force=_list_documents(replay))
    if isinstance(documents, Invalid):
        exit_with_faults([*faults, *documents.faults])
    if faults:
        exit_with_faults(faults)
    return documents


def _list_documents(replay: Replay) -> list[ResourceDocument]:
    return [
        ResourceDocument(kind=kind, name=name, spec=resource.spec)
        for (kind, name), resource in sorted(replay.resources.items())
    ]


def _exit_if_referenced(replay: Replay, change: Change) -> None:
    """Exit with faults if resources in force refer to the one to be deleted."""
    before = _list_documents(replay)
    key = (change.kind, change.name)
    after = [document for document in before if key != _get_key(document)]
    invalid = check_change(before, after)
    if invalid is not None:
        exit_with_faults(invalid.faults)


def _get_key(document: ResourceDocument) -> tuple[str, str]:
    return document["kind"], document["name"]


async def _append(
    client: LogClient, replay: Replay, changes: list[Change], author: str
) -> list[ChangeResult]:
    return await append_changes(
        client, replay, changes, author=author, clock=SystemClock()
    )


def _print_results_and_exit(results: list[ChangeResult]) -> None:
    for result in results:
        typer.echo(format_result(result), err=is_failure(result))
    raise typer.Exit(choose_exit_code(results))
