"""Texts of what operators' commands found and did."""

import json
from collections.abc import Iterable

from mimosaloom_control import Resource

from .changes import Action, Change, list_differences
from .exit_codes import ExitCode
from .log_access import Result, ResultKind

__all__ = [
    "choose_exit_code",
    "format_difference",
    "format_resources",
    "format_result",
    "format_table",
    "is_failure",
]

_FAILURES = frozenset(ResultKind) - {ResultKind.ACCEPTED, ResultKind.UNCHANGED}


def format_result(result: Result) -> str:
    """Return one line on a change and what became of it."""
    change = result.change
    texts = {
        ResultKind.ACCEPTED: _word_accepted(result),
        ResultKind.UNCHANGED: f"unchanged, revision {result.revision}",
        ResultKind.CONFLICT: _word_conflict(result),
        ResultKind.UNKNOWN: f"outcome unknown, safe to repeat: {result.reason}",
        ResultKind.REFUSED: f"not changed: {result.reason}",
        ResultKind.NOT_SENT: "not sent, because of the failure before it",
    }
    if result.kind is ResultKind.UNCHANGED and not result.revision:
        return f"{change.title} is not declared"
    return f"{change.title} {texts[result.kind]}"


def _word_accepted(result: Result) -> str:
    if result.change.action is Action.DELETE:
        return f"deleted at offset {result.offset}"
    return f"accepted at offset {result.offset}, revision {result.revision}"


def _word_conflict(result: Result) -> str:
    change = result.change
    in_force = f"revision {result.revision} is in force"
    if not result.revision:
        in_force = "it is not declared"
    return (
        f"conflict: {in_force}, the change expected {change.expected_revision}; "
        f"look at `mimosaloom get {change.kind} {change.name} -o json`, put your "
        "change into that and apply it"
    )


def choose_exit_code(results: Iterable[Result]) -> ExitCode:
    """Return the exit code that tells most about a series of changes."""
    kinds = {result.kind for result in results}
    if ResultKind.UNKNOWN in kinds:
        return ExitCode.OUTCOME_UNKNOWN
    if ResultKind.CONFLICT in kinds:
        return ExitCode.CONFLICT
    return ExitCode.UNAVAILABLE if kinds & _FAILURES else ExitCode.OK


def is_failure(result: Result) -> bool:
    """Return whether a change was not accepted."""
    return result.kind in _FAILURES


def format_difference(change: Change) -> list[str]:
    """Return the lines that show what a change would do; none for no change."""
    if change.action is Action.NONE:
        return []
    title = f"{change.action} {change.title}"
    if change.is_outdated:
        title += (
            f" (conflict: revision {change.current_revision} is in force, "
            f"the file has {change.expected_revision})"
        )
    return [title, *(f"  {line}" for line in list_differences(change))]


def format_resources(found: dict[tuple[str, str], Resource]) -> str:
    """Return resources as a resource file that can be applied again."""
    documents = [
        {"kind": kind, "name": name, "revision": item.revision, "spec": item.spec}
        for (kind, name), item in found.items()
    ]
    return json.dumps({"resources": documents}, indent=2)


def format_table(found: dict[tuple[str, str], Resource]) -> str:
    """Return resources of one kind as a table with a column for each field."""
    fields = dict.fromkeys(field for item in found.values() for field in item.spec)
    rows = [["NAME", "REVISION", *(field.upper() for field in fields)]]
    for (_, name), item in found.items():
        values = [_format_cell(item.spec.get(field)) for field in fields]
        rows.append([name, str(item.revision), *values])
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return value if isinstance(value, str) else json.dumps(value)
