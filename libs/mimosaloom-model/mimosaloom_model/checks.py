"""Checks that involve several resources, which a JSON schema can't express."""

from collections.abc import Iterable, Iterator
from graphlib import CycleError, TopologicalSorter
from typing import NamedTuple

from .faults import Fault, describe_value, format_path, suggest_name
from .resources import ResourceDocument

__all__ = [
    "CollectedResources",
    "LocatedResource",
    "collect_resources",
    "find_reference_faults",
]

# Limited, since each cycle takes another pass over all services.
MAX_REPORTED_CYCLES = 20
# Limited, since it takes about 2 ms to compare a name with 1,000 others.
MAX_SUGGESTIONS = 100
DEFAULT_ALLOWANCE_NAME = "default"
RESOURCE_KINDS = ("Service", "Upstream", "RequestClass", "RetryAllowance")


class LocatedResource(NamedTuple):
    """Resource with its location in a file; its spec may still have faults.

    Attributes:
        file: File name as given by the caller; for a resource in force, a text such as
            `Service/billing in force`.
        index: Index in the list of resources of the file; None for a resource in force
            that is in none of the files.
        kind: Kind of the resource.
        name: Name of the resource.
        spec: Fields as written; None if the spec is not an object.
        revision: Revision as written; None if there is none.
    """

    file: str
    index: int | None
    kind: str
    name: str
    spec: dict | None
    revision: int | None = None

    def build_fault(self, message: str, *keys: str | int) -> Fault:
        """Build a fault whose path is that of this resource, followed by the keys."""
        parent_keys = () if self.index is None else ("resources", self.index)
        return Fault(self.file, format_path((*parent_keys, *keys)), message)

    def get_field(self, field: str) -> object:
        """Return a field of the spec as written; None if it is missing."""
        return (self.spec or {}).get(field)

    def get_string(self, field: str) -> str | None:
        """Return a field of the spec; None if it is not a string."""
        value = self.get_field(field)
        return value if isinstance(value, str) else None

    def get_strings(self, field: str) -> list[str]:
        """Return a field of the spec; empty if it is not a list of strings."""
        value = self.get_field(field)
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return value
        return []


class _DeclaredResources(NamedTuple):
    """Resources of each kind by name; the first one is used if a name occurs twice."""

    services: dict[str, LocatedResource]
    upstreams: dict[str, LocatedResource]
    classes: dict[str, LocatedResource]
    allowances: dict[str, LocatedResource]


class CollectedResources(NamedTuple):
    """Resources collected from files and from the configuration in force.

    Attributes:
        resources: Resources with a known kind and a name.
        incomplete_kinds: Kinds of which resources may be missing here, because a part
            of the files has faults that hide them. References to these kinds can't be
            checked.
    """

    resources: list[LocatedResource]
    incomplete_kinds: set[str]


def collect_resources(
    files: Iterable[tuple[str, object]], in_force: Iterable[ResourceDocument] = ()
) -> CollectedResources:
    """Collect the resources of all files, and those in force that they don't replace.

    Args:
        files: Name and decoded JSON value of each file; the value may have faults.
        in_force: Resources in force. Those that a file declares too, with the same
            kind and name, are left out.

    Returns:
        The resources with their locations.
    """
    collected = CollectedResources([], set())
    for file, value in files:
        resources = value.get("resources") if isinstance(value, dict) else None
        if not isinstance(resources, list):
            collected.incomplete_kinds.update(RESOURCE_KINDS)
            continue
        for index, item in enumerate(resources):
            _collect_item(item, file, index, collected)
    replaced = {(resource.kind, resource.name) for resource in collected.resources}
    for document in in_force:
        kind, name = document["kind"], document["name"]
        if kind in RESOURCE_KINDS and (kind, name) not in replaced:
            source = f"{kind}/{name} in force"
            resource = LocatedResource(source, None, kind, name, document["spec"])
            collected.resources.append(resource)
    return collected


def _collect_item(
    item: object, file: str, index: int, collected: CollectedResources
) -> None:
    fields = item if isinstance(item, dict) else {}
    kind, name, spec = fields.get("kind"), fields.get("name"), fields.get("spec")
    if kind not in RESOURCE_KINDS:
        collected.incomplete_kinds.update(RESOURCE_KINDS)
    elif not isinstance(name, str):
        collected.incomplete_kinds.add(kind)
    else:
        spec = spec if isinstance(spec, dict) else None
        revision = fields.get("revision")
        resource = LocatedResource(file, index, kind, name, spec, revision)
        collected.resources.append(resource)


def find_reference_faults(collected: CollectedResources) -> list[Fault]:
    """Check names, references, class paths, call cycles and protected classes.

    Args:
        collected: All resources of the configuration.

    Returns:
        All faults, except those of fields of the wrong type, which the schema finds.
    """
    resources = collected.resources
    declared = _DeclaredResources(
        *(_index_by_name(resources, kind) for kind in RESOURCE_KINDS)
    )
    faults = [*_find_duplicate_names(resources)]
    faults += _find_dangling_references(declared, collected.incomplete_kinds)
    faults += _find_call_cycles(declared.services)
    for request_class in declared.classes.values():
        faults += _find_path_faults(request_class, declared.services)
    faults += _find_protected_class_faults(declared)
    return faults


def _index_by_name(
    resources: list[LocatedResource], kind: str
) -> dict[str, LocatedResource]:
    named: dict[str, LocatedResource] = {}
    for resource in resources:
        if resource.kind == kind:
            named.setdefault(resource.name, resource)
    return named


def _find_duplicate_names(resources: list[LocatedResource]) -> Iterator[Fault]:
    first_by_key: dict[tuple[str, str], LocatedResource] = {}
    for resource in resources:
        earlier = first_by_key.setdefault((resource.kind, resource.name), resource)
        if earlier is not resource:
            location = f"{earlier.file}: {format_path(('resources', earlier.index))}"
            yield resource.build_fault(
                f"expected a name not in use, but {resource.kind} "
                f"{describe_value(resource.name)} is already declared in {location}",
                "name",
            )


def _find_dangling_references(
    declared: _DeclaredResources, incomplete_kinds: set[str]
) -> Iterator[Fault]:
    names = {"Service": declared.services, "RetryAllowance": declared.allowances}
    dangling = [
        reference
        for reference in _list_references(declared)
        if reference.name not in names[reference.kind]
        and reference.kind not in incomplete_kinds
    ]
    for count, reference in enumerate(dangling):
        known = names[reference.kind] if count < MAX_SUGGESTIONS else ()
        suggestion = suggest_name(reference.name, known)
        yield reference.source.build_fault(
            f"expected the name of a declared {reference.kind}, "
            f"got {describe_value(reference.name)}{suggestion}",
            "spec",
            *reference.keys,
        )


class _Reference(NamedTuple):
    """Reference from the spec of a resource to another resource.

    Attributes:
        source: Resource whose spec holds the reference.
        keys: Keys from the spec to the reference, such as `("calls", 0)`.
        kind: Kind of the other resource.
        name: Name of the other resource.
    """

    source: LocatedResource
    keys: tuple[str | int, ...]
    kind: str
    name: str


def _list_references(declared: _DeclaredResources) -> Iterator[_Reference]:
    for service in declared.services.values():
        yield from _list_service_names(service, "calls")
    for upstream in declared.upstreams.values():
        name = upstream.get_string("service")
        if name is not None:
            yield _Reference(upstream, ("service",), "Service", name)
    for request_class in declared.classes.values():
        name = request_class.get_string("entry_service")
        if name is not None:
            yield _Reference(request_class, ("entry_service",), "Service", name)
        name = request_class.get_string("retry_allowance")
        # The default allowance has built-in values and needs no declaration.
        if name not in (None, DEFAULT_ALLOWANCE_NAME):
            keys = ("retry_allowance",)
            yield _Reference(request_class, keys, "RetryAllowance", name)
        yield from _list_service_names(request_class, "path")


def _list_service_names(source: LocatedResource, field: str) -> Iterator[_Reference]:
    for index, name in enumerate(source.get_strings(field)):
        yield _Reference(source, (field, index), "Service", name)


def _find_call_cycles(services: dict[str, LocatedResource]) -> Iterator[Fault]:
    calls = {
        name: {callee for callee in service.get_strings("calls") if callee in services}
        for name, service in services.items()
    }
    for _ in range(MAX_REPORTED_CYCLES):
        try:
            TopologicalSorter(calls).prepare()
            return
        except CycleError as error:
            # The sorter gets the callees of a service as its predecessors, so it lists
            # the cycle against the direction of the calls.
            cycle = list(reversed(error.args[1]))
        caller, callee = cycle[0], cycle[1]
        calls[caller].discard(callee)
        index = services[caller].get_strings("calls").index(callee)
        yield services[caller].build_fault(
            f"expected calls without a cycle, got {_format_cycle(cycle)}",
            "spec",
            "calls",
            index,
        )


def _format_cycle(cycle: list[str]) -> str:
    return " -> ".join(map(describe_value, cycle))


def _find_path_faults(
    request_class: LocatedResource, services: dict[str, LocatedResource]
) -> Iterator[Fault]:
    path = request_class.get_strings("path")
    entry = request_class.get_string("entry_service")
    if path and entry is not None and path[0] != entry:
        yield request_class.build_fault(
            f"expected the entry service {describe_value(entry)} first, "
            f"got {describe_value(path[0])}",
            "spec",
            "path",
            0,
        )
    for index, name in enumerate(path):
        if name in path[:index]:
            yield request_class.build_fault(
                f"expected each service once, since repeating {describe_value(name)} "
                "makes a call cycle",
                "spec",
                "path",
                index,
            )
        elif index and not _is_call_allowed(services, path[index - 1], name):
            caller = path[index - 1]
            yield request_class.build_fault(
                f"expected a service that {describe_value(caller)} calls "
                f"({_format_calls(services[caller])}), got {describe_value(name)}",
                "spec",
                "path",
                index,
            )


def _is_call_allowed(
    services: dict[str, LocatedResource], caller: str, callee: str
) -> bool:
    # Undeclared services and faulty lists of calls are reported by other checks.
    if caller not in services or callee not in services:
        return True
    service = services[caller]
    if service.spec is None or service.get_strings("calls") != (
        service.get_field("calls") or []
    ):
        return True
    return callee in service.get_strings("calls")


def _format_calls(service: LocatedResource) -> str:
    return ", ".join(map(describe_value, service.get_strings("calls"))) or "none"


def _find_protected_class_faults(declared: _DeclaredResources) -> Iterator[Fault]:
    protected = [c for c in declared.classes.values() if _is_protected(c)]
    for request_class in protected:
        yield from _find_priority_faults(request_class, declared.classes)
    protected_counts: dict[str, int] = {}
    for request_class in protected:
        for service in set(request_class.get_strings("path")):
            protected_counts[service] = protected_counts.get(service, 0) + 1
    for upstream in declared.upstreams.values():
        slots = upstream.get_field("slots")
        count = protected_counts.get(upstream.get_string("service") or "", 0)
        if isinstance(slots, int) and 0 < slots <= count:
            yield upstream.build_fault(
                f"expected at least {count + 1} slots, one for each of {count} "
                f"protected classes and one for all other classes, got {slots}",
                "spec",
                "slots",
            )


def _is_protected(request_class: LocatedResource) -> bool:
    return request_class.get_field("is_protected") is True


def _find_priority_faults(
    request_class: LocatedResource, classes: dict[str, LocatedResource]
) -> Iterator[Fault]:
    # Under overload, a class with a lower priority number is refused later. If an
    # unprotected class had a lower number than a protected one on the same service, the
    # protected class would be refused first.
    priority = request_class.get_field("priority")
    services = set(request_class.get_strings("path"))
    if not isinstance(priority, int):
        return
    for other in classes.values():
        other_priority = other.get_field("priority")
        if _is_protected(other) or not services.intersection(other.get_strings("path")):
            continue
        if isinstance(other_priority, int) and other_priority < priority:
            yield request_class.build_fault(
                f"expected at most {other_priority}, the priority of the unprotected "
                f"class {describe_value(other.name)} on a shared service, "
                f"got {priority}",
                "spec",
                "priority",
            )
