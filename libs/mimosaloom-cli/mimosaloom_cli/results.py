"""Output of the operators' commands on stdout and stderr, and their exit codes."""

import json
from collections.abc import Iterable

from mimosaloom_control import Resource

from .changes import Action, Change, list_differences
from .exit_codes import ExitCode
from .log_access import ChangeOutcome, ChangeResult

__all__ = [
    "choose_exit_code",
    "format_difference",
    "format_resources",
    "format_result",
    "format_table",
    "is_failure",
]

_FAILURE_KINDS = frozenset(ChangeOutcome) - {
    ChangeOutcome.ACCEPTED,
    ChangeOutcome.UNCHANGED,
}


def format_result(result: ChangeResult) -> str:
    """Return one line with a change and its outcome."""
    change = result.change
    texts = {
        ChangeOutcome.ACCEPTED: _describe_acceptance(result),
        ChangeOutcome.UNCHANGED: f"unchanged, revision {result.revision}",
        ChangeOutcome.CONFLICT: _describe_conflict(result),
        ChangeOutcome.UNKNOWN: f"outcome unknown, safe to repeat: {result.reason}",
        ChangeOutcome.REFUSED: f"not changed: {result.reason}",
        ChangeOutcome.NOT_SENT: "not sent, because an earlier change failed",
    }
    if result.kind is ChangeOutcome.UNCHANGED and not result.revision:
        return f"{change.title} is not declared"
    return f"{change.title} {texts[result.kind]}"


def _describe_acceptance(result: ChangeResult) -> str:
    if result.change.action is Action.DELETE:
        return f"deleted at offset {result.offset}"
    return f"accepted at offset {result.offset}, revision {result.revision}"


def _describe_conflict(result: ChangeResult) -> str:
    change = result.change
    in_force = f"revision {result.revision} is in force"
    if not result.revision:
        in_force = "it is not declared"
    return (
        f"conflict: {in_force}, the change expected {change.expected_revision}; "
        f"run `mimosaloom get {change.kind} {change.name} -o json`, make your change "
        "in its output and apply that"
    )


def choose_exit_code(results: Iterable[ChangeResult]) -> ExitCode:
    """Return the exit code for a series of changes.

    If several changes failed, `OUTCOME_UNKNOWN` takes precedence over `CONFLICT`, and
    `CONFLICT` over `UNAVAILABLE`.
    """
    kinds = {result.kind for result in results}
    if ChangeOutcome.UNKNOWN in kinds:
        return ExitCode.OUTCOME_UNKNOWN
    if ChangeOutcome.CONFLICT in kinds:
        return ExitCode.CONFLICT
    return ExitCode.UNAVAILABLE if kinds & _FAILURE_KINDS else ExitCode.OK


def is_failure(result: ChangeResult) -> bool:
    """Return whether a change was neither accepted nor unnecessary."""
    return result.kind in _FAILURE_KINDS


def format_difference(change: Change) -> list[str]:
    """Return the lines that show what a change would do; empty if it does nothing."""
    if change.action is Action.NONE:
        return []
    title = f"{change.action} {change.title}"
    if change.is_outdated:
        title += (
            f" (conflict: revision {change.current_revision} is in force, "
            f"the file has {change.expected_revision})"
        )
    return [title, *(f"  {line}" for line in list_differences(change))]


def format_resources(resources: dict[tuple[str, str], Resource]) -> str:
    """Return the text of a resource file that `apply` accepts.

    Args:
        resources: Resources by kind and name.
    """
    documents = [
        {
            "kind": kind,
            "name": name,
            "revision": resource.revision,
            "spec": resource.spec,
        }
        for (kind, name), resource in resources.items()
    ]
    return json.dumps({"resources": documents}, indent=2)


def format_table(resources: dict[tuple[str, str], Resource]) -> str:
    """Return a table of resources of one kind, with a column for each field.

    Args:
        resources: Resources by kind and name.
    """
    fields = dict.fromkeys(
        field for resource in resources.values() for field in resource.spec
    )
    rows = [["NAME", "REVISION", *(field.upper() for field in fields)]]
    for (_, name), resource in resources.items():
        values = [_format_cell(resource.spec.get(field)) for field in fields]
        rows.append([name, str(resource.revision), *values])
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
