"""Plans the changes that make the configuration in force match resource files."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from graphlib import CycleError, TopologicalSorter
from typing import NamedTuple

from mimosaloom_control import Resource
from mimosaloom_model import ResourceDocument

__all__ = ["Action", "Change", "list_differences", "plan_changes", "plan_delete"]

# Changes are made in this order of kinds, so that each resource comes after those that
# it refers to.
KIND_ORDER = ("RetryAllowance", "Service", "Upstream", "RequestClass")
NO_RESOURCE = Resource(0, {})

Resources = Mapping[tuple[str, str], Resource]


class Action(StrEnum):
    """Effect of a change on its resource."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    NONE = "none"


class Change(NamedTuple):
    """Change of one resource.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        action: Effect of the change.
        expected_revision: Revision that the change replaces; 0 if the resource must not
            exist yet.
        current_revision: Revision in force when the change was planned; 0 if the
            resource did not exist.
        current_spec: Spec in force when the change was planned; empty if the resource
            did not exist.
        spec: The complete new spec; None deletes the resource.
    """

    kind: str
    name: str
    action: Action
    expected_revision: int
    current_revision: int
    current_spec: dict
    spec: dict | None

    @property
    def title(self) -> str:
        """Kind and name of the resource, as shown to operators."""
        return f"{self.kind}/{self.name}"

    @property
    def is_outdated(self) -> bool:
        """Whether the change expects a revision other than the one in force."""
        is_change = self.action is not Action.NONE
        return is_change and self.expected_revision != self.current_revision


def plan_changes(
    documents: Iterable[ResourceDocument], resources: Resources
) -> list[Change]:
    """Compare the resources declared in files with those in force.

    Args:
        documents: Resources declared in files, already checked. One without a revision
            replaces whichever revision is in force.
        resources: Resources in force, by kind and name.

    Returns:
        A change for each document. Each resource comes after all resources that it
        refers to. Resources in force that no file declares get no change.
    """
    changes = [_plan_change(document, resources) for document in documents]
    service_order = _order_services(changes)
    return sorted(
        changes,
        key=lambda change: (
            KIND_ORDER.index(change.kind),
            service_order.get(change.name, 0) if change.kind == "Service" else 0,
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
        # Checked files have no cycles. If there is one, the order of the files stays.
        return {}


def plan_delete(
    kind: str, name: str, revision: int | None, resources: Resources
) -> Change:
    """Plan the deletion of a resource.

    Args:
        kind: Kind of the resource.
        name: Name of the resource.
        revision: Delete only this revision; None for the one in force.
        resources: Resources in force, by kind and name.
    """
    current = resources.get((kind, name), NO_RESOURCE)
    action = Action.DELETE if current.revision else Action.NONE
    expected = current.revision if revision is None else revision
    return Change(
        kind, name, action, expected, current.revision, dict(current.spec), None
    )


def list_differences(change: Change) -> list[str]:
    """Return a line for each field that a change adds, removes or alters."""
    spec = change.spec or {}
    lines = []
    for field in dict.fromkeys([*change.current_spec, *spec]):
        if field not in spec:
            lines.append(f"- {field}: {change.current_spec[field]!r}")
        elif field not in change.current_spec:
            lines.append(f"+ {field}: {spec[field]!r}")
        elif change.current_spec[field] != spec[field]:
            lines.append(
                f"~ {field}: {change.current_spec[field]!r} -> {spec[field]!r}"
            )
    return lines
