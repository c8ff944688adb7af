"""Reads settings and resource files into typed values, or returns all faults."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from ipaddress import ip_address
from pathlib import Path
from urllib.parse import urlsplit

from .checks import PlacedResource, find_reference_faults, place_resources
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
    """What a file declares."""

    RESOURCES = "resources"
    SETTINGS = "settings"


def detect_file_kind(path: str | Path) -> FileKind | Invalid:
    """Tell by its top-level fields whether a file holds resources or settings.

    Args:
        path: The file.

    Returns:
        The kind, or the faults of a file that is neither.
    """
    read = read_json_file(path)
    if not read.is_readable:
        return Invalid(read.faults)
    fields = read.value if isinstance(read.value, dict) else {}
    if "resources" in fields:
        return FileKind.RESOURCES
    if any(field in fields for field in NodeSettings._fields):
        return FileKind.SETTINGS
    message = (
        "expected a resource file with the field resources, or a settings file with "
        f"the fields {', '.join(NodeSettings._fields)}"
    )
    return Invalid((Fault(read.file, "$", message),))


def read_settings(path: str | Path) -> NodeSettings | Invalid:
    """Read the settings of a node.

    Args:
        path: The settings file.

    Returns:
        The settings with the defaults filled in and `resources_file` relative to
        the directory of the settings file resolved, or all faults of the file.
    """
    read = read_json_file(path)
    faults = list(read.faults)
    if read.is_readable:
        schema_faults = find_schema_faults("settings", read.value, read.file)
        faults += schema_faults
        if not schema_faults:
            faults += _find_address_faults(_build_settings(read.value, path), read.file)
    if faults:
        return Invalid(tuple(faults))
    return _build_settings(read.value, path)


def read_resources(
    paths: Iterable[str | Path], *, in_force: Sequence[ResourceDocument] = ()
) -> list[ResourceDocument] | Invalid:
    """Read resource files that together form one configuration.

    Args:
        paths: The files; references may cross from one to another.
        in_force: Resources that stay in force beside those of the files, which
            replace the ones of the same kind and name.

    Returns:
        The resources in the order of files and positions, or all faults of all
        files and those that the files would cause in resources in force.
    """
    return _check_files([read_json_file(path) for path in paths], in_force)


def check_documents(
    documents: Sequence[ResourceDocument], source: str
) -> Invalid | None:
    """Check a whole configuration that doesn't come from files.

    Args:
        documents: The resources.
        source: Source named in the faults.

    Returns:
        All faults, or None.
    """
    value = {"resources": list(documents)}
    checked = _check_files([JsonFile(source, value, True, ())], ())
    return checked if isinstance(checked, Invalid) else None


def check_change(
    before: Sequence[ResourceDocument], after: Sequence[ResourceDocument]
) -> Invalid | None:
    """Check what a change of the configuration in force would break.

    Args:
        before: Resources in force.
        after: Resources in force after the change.

    Returns:
        The faults that are not there already, or None.
    """
    known = set(find_reference_faults(place_resources([], before)))
    found = find_reference_faults(place_resources([], after))
    faults = tuple(fault for fault in found if fault not in known)
    return Invalid(faults) if faults else None


def _check_files(
    files: list[JsonFile], in_force: Sequence[ResourceDocument]
) -> list[ResourceDocument] | Invalid:
    faults: list[Fault] = []
    for read in files:
        faults += read.faults
        if read.is_readable:
            faults += find_schema_faults("resources", read.value, read.file)
    values = [(read.file, read.value) for read in files]
    placement = place_resources(values, in_force)
    # A fault that is in force already must not keep operators from correcting it.
    known = set(find_reference_faults(place_resources([], in_force)))
    faults += [f for f in find_reference_faults(placement) if f not in known]
    if faults:
        return Invalid(tuple(dict.fromkeys(faults)))
    return [
        _build_document(resource)
        for resource in placement.resources
        if resource.index is not None
    ]


def _build_document(resource: PlacedResource) -> ResourceDocument:
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
        target=TargetSettings(**_strip_url(value["target"])),
        log_service=LogServiceSettings(**_strip_url(value["log_service"])),
        listen=ListenSettings(**listen),
        limits=LimitSettings(**value.get("limits", {})),
        resources_file=resources_file,
    )


def _strip_url(fields: dict) -> dict:
    # Paths are appended to base URLs, and `//` in a path is a different resource.
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
    return faults + _find_shared_ports(listen, file) + _find_own_urls(settings, file)


def _find_shared_ports(listen: ListenSettings, file: str) -> list[Fault]:
    listeners = list(listen._asdict().items())
    return [
        Fault(
            file,
            f"$.listen.{name}.port",
            f"expected a port other than that of {earlier}, got {address.port}",
        )
        for index, (name, address) in enumerate(listeners)
        for earlier, other in listeners[:index]
        if address.port and address.port == other.port and _share_host(address, other)
    ]


def _find_own_urls(settings: NodeSettings, file: str) -> list[Fault]:
    urls = {"target": settings.target.url, "log_service": settings.log_service.url}
    return [
        Fault(
            file,
            f"$.{part}.url",
            f"expected another process, got the node's own {name} listener",
        )
        for part, url in urls.items()
        for name, address in settings.listen._asdict().items()
        if _reaches(url, address)
    ]


def _share_host(address: Address, other: Address) -> bool:
    hosts = (ip_address(address.host), ip_address(other.host))
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


def _reaches(url: str, address: Address) -> bool:
    parts = urlsplit(url)
    port = parts.port or DEFAULT_URL_PORTS[parts.scheme]
    host, listener = ip_address(parts.hostname or ""), ip_address(address.host)
    # Which other addresses the machine has is not known here.
    is_own = host == listener or (listener.is_unspecified and host.is_loopback)
    return port == address.port and is_own
