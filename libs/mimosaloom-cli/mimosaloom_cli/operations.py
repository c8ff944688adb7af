"""The operators' commands on the configuration in force."""

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
from .log_access import Result, Unavailable, append_changes, read_configuration
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
    """Put the resources of files in force.

    Args:
        paths: Resource files and directories with such files.
        url: Base URL of the log service.
        author: Who makes the change.
    """

    async def scenario(client: LogClient) -> list[Result]:
        replay = await _read_or_exit(client, url)
        changes = plan_changes(_read_documents(paths, replay), replay.resources)
        return await _append(client, replay, changes, author)

    _report(_run(url, scenario))


def delete_resource(
    kind: str, name: str, revision: int | None, url: str, author: str
) -> None:
    """Take a resource out of force.

    Args:
        kind: Kind of the resource.
        name: Name of the resource.
        revision: Revision that the author saw; None for the one in force.
        url: Base URL of the log service.
        author: Who makes the change.
    """

    async def scenario(client: LogClient) -> list[Result]:
        replay = await _read_or_exit(client, url)
        change = plan_delete(kind, name, revision, replay.resources)
        _refuse_breaking(replay, change)
        return await _append(client, replay, [change], author)

    _report(_run(url, scenario))


def show_differences(paths: Iterable[Path], url: str) -> None:
    """Print what `apply_files` would change."""

    async def scenario(client: LogClient) -> list[Change]:
        replay = await _read_or_exit(client, url)
        return plan_changes(_read_documents(paths, replay), replay.resources)

    changes = _run(url, scenario)
    lines = [line for change in changes for line in format_difference(change)]
    typer.echo("\n".join(lines) if lines else "no difference")


def show_resources(kind: str, name: str | None, url: str, *, is_json: bool) -> None:
    """Print the resources in force of one kind, or one of them.

    Args:
        kind: Kind of the resources.
        name: Name of one resource; None for all.
        url: Base URL of the log service.
        is_json: Print a resource file instead of a table.
    """
    replay = _run(url, lambda client: _read_or_exit(client, url))
    of_kind = {key: item for key, item in replay.resources.items() if key[0] == kind}
    found = {key: item for key, item in of_kind.items() if name in (None, key[1])}
    if name and not found:
        suggestion = suggest_name(name, (key[1] for key in of_kind))
        exit_with_error(
            f"{kind}/{name} is not declared{suggestion}",
            f"List the declared ones with `mimosaloom get {kind}`",
            ExitCode.ERROR,
        )
    found = dict(sorted(found.items()))
    typer.echo(format_resources(found) if is_json else format_table(found))


def _run(url: str, scenario: Callable[[LogClient], Awaitable[T]]) -> T:
    async def run() -> T:
        client = LogClient(LogServiceSettings(url), SystemClock(), random.Random())
        try:
            return await scenario(client)
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
    named = list(paths)
    files, faults = list_files(named)
    # A directory may also hold the settings of nodes.
    files = [
        file
        for file in files
        if file in named or detect_file_kind(file) is not FileKind.SETTINGS
    ]
    documents = read_resources(files, in_force=_list_documents(replay))
    if isinstance(documents, Invalid):
        exit_with_faults([*faults, *documents.faults])
    if faults:
        exit_with_faults(faults)
    return documents


def _list_documents(replay: Replay) -> list[ResourceDocument]:
    return [
        ResourceDocument(kind=kind, name=name, spec=item.spec)
        for (kind, name), item in sorted(replay.resources.items())
    ]


def _refuse_breaking(replay: Replay, change: Change) -> None:
    """End the command if resources in force need the one to be deleted."""
    before = _list_documents(replay)
    key = (change.kind, change.name)
    after = [document for document in before if key != _key_of(document)]
    broken = check_change(before, after)
    if broken is not None:
        exit_with_faults(broken.faults)


def _key_of(document: ResourceDocument) -> tuple[str, str]:
    return document["kind"], document["name"]


async def _append(
    client: LogClient, replay: Replay, changes: list[Change], author: str
) -> list[Result]:
    return await append_changes(
        client, replay, changes, author=author, clock=SystemClock()
    )


def _report(results: list[Result]) -> None:
    for result in results:
        typer.echo(format_result(result), err=is_failure(result))
    raise typer.Exit(choose_exit_code(results))
