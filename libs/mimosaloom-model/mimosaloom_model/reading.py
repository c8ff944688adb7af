"""Reading and checking of settings and resource files.

The functions return typed values, or `Invalid` with all faults. Resources "in force"
are those of the configuration that is currently in use.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from ipaddress import ip_address
from pathlib import Path
from urllib.parse import urlsplit

from .checks import LocatedResource, collect_resources, find_reference_faults
from .faults import Fault, Invalid
from .json_files import JsonFile, read_json_file
from .resources import ResourceDocument
from .schema_faults import find_schema_faults
from .settings import (
    Address,
    LimitSettings,
    ListenSettings,
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    TargetSettings,
)

__all__ = [
    "FileKind",
    "check_change",
    "check_documents",
    "detect_file_kind",
    "read_resources",
    "read_settings",
]

DEFAULT_URL_PORTS = {"http": 80, "https": 443}


class FileKind(StrEnum):
    """Type of an input file."""

    RESOURCES = "resources"
    SETTINGS = "settings"


def detect_file_kind(path: str | Path) -> FileKind | Invalid:
    """Detect from its top-level fields whether a file holds resources or settings.

    Args:
        path: Path of the file.

    Returns:
        The kind of the file, or the faults of a file that is neither.
    """
    json_file = read_json_file(path)
    if not json_file.is_readable:
        return Invalid(json_file.faults)
    fields = json_file.value if isinstance(json_file.value, dict) else {}
    if "resources" in fields:
        return FileKind.RESOURCES
    if any(field in fields for field in NodeSettings._fields):
        return FileKind.SETTINGS
    message = (
        "expected a resource file with the field resources, or a settings file with "
        f"the fields {', '.join(NodeSettings._fields)}"
    )
    return Invalid((Fault(json_file.file, "$", message),))


def read_settings(path: str | Path) -> NodeSettings | Invalid:
    """Read the settings of a node.

    Args:
        path: Path of the settings file.

    Returns:
        The settings, or all faults of the file. Missing settings have their defaults.
        A relative `resources_file` is resolved against the directory of the settings
        file.
    """
    json_file = read_json_file(path)
    faults = list(json_file.faults)
    if json_file.is_readable:
        schema_faults = find_schema_faults("settings", json_file.value, json_file.file)
        faults += schema_faults
        if not schema_faults:
            faults += _find_address_faults(
                _build_settings(json_file.value, path), json_file.file
            )
    if faults:
        return Invalid(tuple(faults))
    return _build_settings(json_file.value, path)


def read_resources(
    paths: Iterable[str | Path], *, in_force: Sequence[ResourceDocument] = ()
) -> list[ResourceDocument] | Invalid:
    """Read and check resource files that together form one configuration.

    Args:
        paths: Paths of the files. A resource may refer to one in another file.
        in_force: Resources in force, against which the files are checked. A resource
            in a file replaces the one in force of the same kind and name.

    Returns:
        The resources of the files, by file and by position in it; or all faults of all
        files, with the faults that the files would cause in resources in force.
    """
    return _check_resource_files([read_json_file(path) for path in paths], in_force)


def check_documents(
    documents: Sequence[ResourceDocument], source: str
) -> Invalid | None:
    """Check a complete configuration that doesn't come from files.

    Args:
        documents: All resources of the configuration.
        source: Name of the source, used in the faults in place of a file name.

    Returns:
        All faults; None if there are none.
    """
    value = {"resources": list(documents)}
    result = _check_resource_files([JsonFile(source, value, True, ())], ())
    return result if isinstance(result, Invalid) else None


def check_change(
    before: Sequence[ResourceDocument], after: Sequence[ResourceDocument]
) -> Invalid | None:
    """Check whether a change of the configuration in force causes faults.

    Args:
        before: Resources in force before the change.
        after: Resources in force after the change.

    Returns:
        The faults that the change adds; None if it adds none.
    """
    existing = set(find_reference_faults(collect_resources([], before)))
    found = find_reference_faults(collect_resources([], after))
    faults = tuple(fault for fault in found if fault not in existing)
    return Invalid(faults) if faults else None


def _check_resource_files(
    files: list[JsonFile], in_force: Sequence[ResourceDocument]
) -> list[ResourceDocument] | Invalid:
    faults: list[Fault] = []
    for json_file in files:
        faults += json_file.faults
        if json_file.is_readable:
            faults += find_schema_faults("resources", json_file.value, json_file.file)
    values = [(json_file.file, json_file.value) for json_file in files]
    collected = collect_resources(values, in_force)
    # Faults that are already in force are not reported. They would block every change,
    # even the one that corrects them.
    existing = set(find_reference_faults(collect_resources([], in_force)))
    faults += [f for f in find_reference_faults(collected) if f not in existing]
    if faults:
        return Invalid(tuple(dict.fromkeys(faults)))
    return [
        _build_document(resource)
        for resource in collected.resources
        if resource.index is not None
    ]


def _build_document(resource: LocatedResource) -> ResourceDocument:
    document = ResourceDocument(
        kind=resource.kind, name=resource.name, spec=resource.spec
    )
    if resource.revision is not None:
        document["revision"] = resource.revision
    return document


def _build_settings(value: dict, path: str | Path) -> NodeSettings:
    listen = {
        name: Address(**address) for name, address in value.get("listen", {}).items()
    }
    resources_file = value.get("resources_file", "")
    if resources_file:
        resources_file = str(Path(path).parent / resources_file)
    return NodeSettings(
        node=NodeIdentity(**value["node"]),
        target=TargetSettings(**_strip_trailing_slash(value["target"])),
        log_service=LogServiceSettings(**_strip_trailing_slash(value["log_service"])),
        listen=ListenSettings(**listen),
        limits=LimitSettings(**value.get("limits", {})),
        resources_file=resources_file,
    )


def _strip_trailing_slash(fields: dict) -> dict:
    # Paths are appended to the base URL. A `//` in the result would name a different
    # resource.
    return {**fields, "url": fields["url"].rstrip("/")}


def _find_address_faults(settings: NodeSettings, file: str) -> list[Fault]:
    faults: list[Fault] = []
    listen = settings.listen
    if not ip_address(listen.egress.host).is_loopback:
        message = (
            "expected a loopback address such as 127.0.0.1, since only the target "
            f"may use this listener, got {listen.egress.host}"
        )
        faults.append(Fault(file, "$.listen.egress.host", message))
    if ip_address(listen.ingress.host).is_unspecified:
        message = (
            "expected the address at which other nodes reach this one, since it is "
            f"announced to them, got {listen.ingress.host}"
        )
        faults.append(Fault(file, "$.listen.ingress.host", message))
    return (
        faults
        + _find_duplicate_ports(listen, file)
        + _find_urls_of_own_listeners(settings, file)
    )


def _find_duplicate_ports(listen: ListenSettings, file: str) -> list[Fault]:
    listeners = list(listen._asdict().items())
    return [
        Fault(
            file,
            f"$.listen.{name}.port",
            f"expected a port other than that of {earlier}, got {address.port}",
        )
        for index, (name, address) in enumerate(listeners)
        for earlier, other in listeners[:index]
        if address.port
        and address.port == other.port
        and _hosts_overlap(address, other)
    ]


def _find_urls_of_own_listeners(settings: NodeSettings, file: str) -> list[Fault]:
    urls = {"target": settings.target.url, "log_service": settings.log_service.url}
    return [
        Fault(
            file,
            f"$.{section}.url",
            f"expected the URL of another process, got the node's own {name} listener",
        )
        for section, url in urls.items()
        for name, address in settings.listen._asdict().items()
        if _points_to_listener(url, address)
    ]


def _hosts_overlap(address: Address, other: Address) -> bool:
    hosts = (ip_address(address.host), ip_address(other.host))
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


def _points_to_listener(url: str, address: Address) -> bool:
    parts = urlsplit(url)
    port = parts.port or DEFAULT_URL_PORTS[parts.scheme]
    host, listener = ip_address(parts.hostname or ""), ip_address(address.host)
    # Other addresses of this instance are not detected, since they are not known here.
    is_own_listener = host == listener or (listener.is_unspecified and host.is_loopback)
    return port == address.port and is_own_listener
