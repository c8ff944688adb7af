"""Checks across resources that a schema can't express."""

from collections.abc import Iterable, Iterator
from graphlib import CycleError, TopologicalSorter
from typing import NamedTuple

from .faults import Fault, describe_value, format_path, suggest_name
from .resources import ResourceDocument

__all__ = ["PlacedResource", "Placement", "find_reference_faults", "place_resources"]

# Each cycle is found by a new pass over all services.
MAX_REPORTED_CYCLES = 20
# Comparing a name with 1,000 others takes about 2 ms.
MAX_SUGGESTIONS = 100
BUILT_IN_ALLOWANCE = "default"
KINDS = ("Service", "Upstream", "RequestClass", "RetryAllowance")


class PlacedResource(NamedTuple):
    """A resource and where it stands; its spec may still be faulty.

    Attributes:
        file: File as it was named by the caller.
        index: Position in the file's list of resources; None for a resource that is
            in force and in no file.
        kind: Kind of the resource.
        name: Name of the resource.
        spec: Fields as written; None if the spec is no object.
        revision: Revision as written, if any.
    """

    file: str
    index: int | None
    kind: str
    name: str
    spec: dict | None
    revision: int | None = None

    def fault(self, message: str, *keys: str | int) -> Fault:
        """Return a fault of this resource at the given keys below it."""
        above = () if self.index is None else ("resources", self.index)
        return Fault(self.file, format_path((*above, *keys)), message)

    def get(self, field: str) -> object:
        """Return a field of the spec as written, or None."""
        return (self.spec or {}).get(field)

    def text(self, field: str) -> str | None:
        """Return a field of the spec if it holds a text."""
        value = self.get(field)
        return value if isinstance(value, str) else None

    def texts(self, field: str) -> list[str]:
        """Return a field of the spec if it holds a list of texts, else nothing."""
        value = self.get(field)
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return value
        return []


class _Declared(NamedTuple):
    """The resources of each kind by name; the first one of a name counts."""

    services: dict[str, PlacedResource]
    upstreams: dict[str, PlacedResource]
    classes: dict[str, PlacedResource]
    allowances: dict[str, PlacedResource]


class Placement(NamedTuple):
    """The resources of some files.

    Attributes:
        resources: Those that have a kind and a name.
        unsure_kinds: Kinds of which more may be declared, in a part of the files
            that is too faulty to tell.
    """

    resources: list[PlacedResource]
    unsure_kinds: set[str]


def place_resources(
    files: Iterable[tuple[str, object]], in_force: Iterable[ResourceDocument] = ()
) -> Placement:
    """Sort the resources of all files by kind and name.

    Args:
        files: File names and decoded files; they may be faulty.
        in_force: Resources that hold beside those of the files, unless a file
            declares one of the same kind and name.
    """
    placement = Placement([], set())
    for file, value in files:
        resources = value.get("resources") if isinstance(value, dict) else None
        if not isinstance(resources, list):
            placement.unsure_kinds.update(KINDS)
            continue
        for index, item in enumerate(resources):
            _place(item, file, index, placement)
    replaced = {(resource.kind, resource.name) for resource in placement.resources}
    for document in in_force:
        kind, name = document["kind"], document["name"]
        if kind in KINDS and (kind, name) not in replaced:
            source = f"{kind}/{name} in force"
            resource = PlacedResource(source, None, kind, name, document["spec"])
            placement.resources.append(resource)
    return placement


def _place(item: object, file: str, index: int, placement: Placement) -> None:
    fields = item if isinstance(item, dict) else {}
    kind, name, spec = fields.get("kind"), fields.get("name"), fields.get("spec")
    if kind not in KINDS:
        placement.unsure_kinds.update(KINDS)
    elif not isinstance(name, str):
        placement.unsure_kinds.add(kind)
    else:
        spec = spec if isinstance(spec, dict) else None
        revision = fields.get("revision")
        resource = PlacedResource(file, index, kind, name, spec, revision)
        placement.resources.append(resource)


def find_reference_faults(placement: Placement) -> list[Fault]:
    """Check names, references, class paths, call cycles and protected classes.

    Args:
        placement: All resources of all files.

    Returns:
        All faults; fields of the wrong type are left to the schema.
    """
    placed = placement.resources
    declared = _Declared(*(_index_by_name(placed, kind) for kind in KINDS))
    faults = [*_find_duplicate_names(placed)]
    faults += _find_dangling_references(declared, placement.unsure_kinds)
    faults += _find_call_cycles(declared.services)
    for request_class in declared.classes.values():
        faults += _find_path_faults(request_class, declared.services)
    faults += _find_protection_faults(declared)
    return faults


def _index_by_name(
    placed: list[PlacedResource], kind: str
) -> dict[str, PlacedResource]:
    named: dict[str, PlacedResource] = {}
    for resource in placed:
        if resource.kind == kind:
            named.setdefault(resource.name, resource)
    return named


def _find_duplicate_names(placed: list[PlacedResource]) -> Iterator[Fault]:
    first: dict[tuple[str, str], PlacedResource] = {}
    for resource in placed:
        earlier = first.setdefault((resource.kind, resource.name), resource)
        if earlier is not resource:
            where = f"{earlier.file}: {format_path(('resources', earlier.index))}"
            yield resource.fault(
                f"expected a name not in use, but {resource.kind} "
                f"{describe_value(resource.name)} is already declared in {where}",
                "name",
            )


def _find_dangling_references(
    declared: _Declared, unsure_kinds: set[str]
) -> Iterator[Fault]:
    names = {"Service": declared.services, "RetryAllowance": declared.allowances}
    dangling = [
        reference
        for reference in _list_references(declared)
        if reference.name not in names[reference.kind]
        and reference.kind not in unsure_kinds
    ]
    for count, reference in enumerate(dangling):
        known = names[reference.kind] if count < MAX_SUGGESTIONS else ()
        suggestion = suggest_name(reference.name, known)
        yield reference.source.fault(
            f"expected the name of a declared {reference.kind}, "
            f"got {describe_value(reference.name)}{suggestion}",
            "spec",
            *reference.keys,
        )


class _Reference(NamedTuple):
    """A name in the spec of one resource that stands for another resource."""

    source: PlacedResource
    keys: tuple[str | int, ...]
    kind: str
    name: str


def _list_references(declared: _Declared) -> Iterator[_Reference]:
    for service in declared.services.values():
        yield from _list_service_names(service, "calls")
    for upstream in declared.upstreams.values():
        name = upstream.text("service")
        if name is not None:
            yield _Reference(upstream, ("service",), "Service", name)
    for request_class in declared.classes.values():
        name = request_class.text("entry_service")
        if name is not None:
            yield _Reference(request_class, ("entry_service",), "Service", name)
        name = request_class.text("retry_allowance")
        # The default allowance has built-in values and needs no declaration.
        if name not in (None, BUILT_IN_ALLOWANCE):
            keys = ("retry_allowance",)
            yield _Reference(request_class, keys, "RetryAllowance", name)
        yield from _list_service_names(request_class, "path")


def _list_service_names(source: PlacedResource, field: str) -> Iterator[_Reference]:
    for index, name in enumerate(source.texts(field)):
        yield _Reference(source, (field, index), "Service", name)


def _find_call_cycles(services: dict[str, PlacedResource]) -> Iterator[Fault]:
    calls = {
        name: {called for called in service.texts("calls") if called in services}
        for name, service in services.items()
    }
    for _ in range(MAX_REPORTED_CYCLES):
        try:
            TopologicalSorter(calls).prepare()
            return
        except CycleError as error:
            # A service's predecessors are the services it calls, so the cycle is
            # listed against the direction of calls.
            cycle = list(reversed(error.args[1]))
        caller, called = cycle[0], cycle[1]
        calls[caller].discard(called)
        index = services[caller].texts("calls").index(called)
        yield services[caller].fault(
            f"expected calls without a cycle, got {_list_cycle(cycle)}",
            "spec",
            "calls",
            index,
        )


def _list_cycle(cycle: list[str]) -> str:
    return " -> ".join(map(describe_value, cycle))


def _find_path_faults(
    request_class: PlacedResource, services: dict[str, PlacedResource]
) -> Iterator[Fault]:
    path = request_class.texts("path")
    entry = request_class.text("entry_service")
    if path and entry is not None and path[0] != entry:
        yield request_class.fault(
            f"expected the entry service {describe_value(entry)} first, "
            f"got {describe_value(path[0])}",
            "spec",
            "path",
            0,
        )
    for index, name in enumerate(path):
        if name in path[:index]:
            yield request_class.fault(
                f"expected each service once, but {describe_value(name)} again "
                "makes a call cycle",
                "spec",
                "path",
                index,
            )
        elif index and not _can_call(services, path[index - 1], name):
            caller = path[index - 1]
            yield request_class.fault(
                f"expected a service that {describe_value(caller)} calls "
                f"({_list_calls(services[caller])}), got {describe_value(name)}",
                "spec",
                "path",
                index,
            )


def _can_call(services: dict[str, PlacedResource], caller: str, called: str) -> bool:
    # An undeclared service or a faulty list already has a fault of its own.
    if caller not in services or called not in services:
        return True
    source = services[caller]
    if source.spec is None or source.texts("calls") != (source.get("calls") or []):
        return True
    return called in source.texts("calls")


def _list_calls(service: PlacedResource) -> str:
    return ", ".join(map(describe_value, service.texts("calls"))) or "none"


def _find_protection_faults(declared: _Declared) -> Iterator[Fault]:
    protected = [c for c in declared.classes.values() if _is_protected(c)]
    for request_class in protected:
        yield from _find_outranking_classes(request_class, declared.classes)
    sharing: dict[str, int] = {}
    for request_class in protected:
        for service in set(request_class.texts("path")):
            sharing[service] = sharing.get(service, 0) + 1
    for upstream in declared.upstreams.values():
        slots = upstream.get("slots")
        count = sharing.get(upstream.text("service") or "", 0)
        if isinstance(slots, int) and 0 < slots <= count:
            yield upstream.fault(
                f"expected at least {count + 1} slots, a share for each of {count} "
                f"protected classes and one for the others, got {slots}",
                "spec",
                "slots",
            )


def _is_protected(request_class: PlacedResource) -> bool:
    return request_class.get("is_protected") is True


def _find_outranking_classes(
    request_class: PlacedResource, classes: dict[str, PlacedResource]
) -> Iterator[Fault]:
    # A class of lower priority number is refused later, so an unprotected one in
    # front of a protected one would reverse what the protection is for.
    priority = request_class.get("priority")
    services = set(request_class.texts("path"))
    if not isinstance(priority, int):
        return
    for other in classes.values():
        rank = other.get("priority")
        if _is_protected(other) or not services.intersection(other.texts("path")):
            continue
        if isinstance(rank, int) and rank < priority:
            yield request_class.fault(
                f"expected at most {rank}, the priority of the unprotected class "
                f"{describe_value(other.name)} on the same path, got {priority}",
                "spec",
                "priority",
            )
