"""Plans changes of the configuration: what differs between files and what holds."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from graphlib import CycleError, TopologicalSorter
from typing import NamedTuple

from mimosaloom_control import Resource
from mimosaloom_model import ResourceDocument

__all__ = ["Action", "Change", "list_differences", "plan_changes", "plan_delete"]

# Resources come after those that they name.
KIND_ORDER = ("RetryAllowance", "Service", "Upstream", "RequestClass")
NO_RESOURCE = Resource(0, {})

Resources = Mapping[tuple[str, str], Resource]


class Action(StrEnum):
    """What a change does."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    NONE = "none"


class Change(NamedTuple):
    """One change of one resource.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        action: What the change does.
        expected_revision: Revision that it replaces; 0 if the resource is new.
        current_revision: Revision in force when it was planned; 0 for none.
        current: Spec in force when it was planned; empty for none.
        spec: The whole new spec; None deletes the resource.
    """

    kind: str
    name: str
    action: Action
    expected_revision: int
    current_revision: int
    current: dict
    spec: dict | None

    @property
    def title(self) -> str:
        """Kind and name."""
        return f"{self.kind}/{self.name}"

    @property
    def is_outdated(self) -> bool:
        """Whether the author saw another revision than the one in force."""
        is_change = self.action is not Action.NONE
        return is_change and self.expected_revision != self.current_revision


def plan_changes(
    documents: Iterable[ResourceDocument], resources: Resources
) -> list[Change]:
    """Compare resources of files with those in force.

    Args:
        documents: Checked resources. One without a revision replaces whatever is in
            force now.
        resources: Resources in force.

    Returns:
        A change for each resource, in an order in which no resource comes before one
        that it names. Resources that no file declares are left alone.
    """
    changes = [_plan_change(document, resources) for document in documents]
    callees_first = _order_services(changes)
    return sorted(
        changes,
        key=lambda change: (
            KIND_ORDER.index(change.kind),
            callees_first.get(change.name, 0) if change.kind == "Service" else 0,
        ),
    )


def _plan_change(document: ResourceDocument, resources: Resources) -> Change:
    kind, name, spec = document["kind"], document["name"], document["spec"]
    current = resources.get((kind, name), NO_RESOURCE)
    if not current.revision:
        action = Action.CREATE
    else:
        action = Action.NONE if current.spec == spec else Action.UPDATE
    expected = document.get("revision", current.revision)
    return Change(
        kind, name, action, expected, current.revision, dict(current.spec), spec
    )


def _order_services(changes: list[Change]) -> dict[str, int]:
    calls = {
        change.name: change.spec.get("calls", ())
        for change in changes
        if change.kind == "Service"
    }
    try:
        ordered = TopologicalSorter(calls).static_order()
        return {name: index for index, name in enumerate(ordered)}
    except CycleError:
        # Checked files have no cycles; without an order, that of the files holds.
        return {}


def plan_delete(
    kind: str, name: str, revision: int | None, resources: Resources
) -> Change:
    """Plan the deletion of a resource.

    Args:
        kind: Kind of the resource.
        name: Name of the resource.
        revision: Revision that its author saw; None for the one in force.
        resources: Resources in force.
    """
    current = resources.get((kind, name), NO_RESOURCE)
    action = Action.DELETE if current.revision else Action.NONE
    expected = current.revision if revision is None else revision
    return Change(
        kind, name, action, expected, current.revision, dict(current.spec), None
    )


def list_differences(change: Change) -> list[str]:
    """Return a line for each field that a change sets, alters or takes out."""
    spec = change.spec or {}
    lines = []
    for field in dict.fromkeys([*change.current, *spec]):
        if field not in spec:
            lines.append(f"- {field}: {change.current[field]!r}")
        elif field not in change.current:
            lines.append(f"+ {field}: {spec[field]!r}")
        elif change.current[field] != spec[field]:
            lines.append(f"~ {field}: {change.current[field]!r} -> {spec[field]!r}")
    return lines
