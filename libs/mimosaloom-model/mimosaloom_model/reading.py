"""Reads settings and resource files into typed values, or returns all faults."""

from collections.abc import Iterable
from ipaddress import ip_address
from pathlib import Path
from urllib.parse import urlsplit

from .checks import find_reference_faults, place_resources
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

__all__ = ["check_documents", "read_resources", "read_settings"]

DEFAULT_URL_PORTS = {"http": 80, "https": 443}


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


def read_resources(paths: Iterable[str | Path]) -> list[ResourceDocument] | Invalid:
    """Read resource files that together form one configuration.

    Args:
        paths: The files; references may cross from one to another.

    Returns:
        The resources in the order of files and positions, or all faults of all
        files.
    """
    return _check_files([read_json_file(path) for path in paths])


def check_documents(documents: list[ResourceDocument], file: str) -> Invalid | None:
    """Check resources that don't come from a file, such as replayed records.

    Args:
        documents: The whole configuration.
        file: Source named in the faults.

    Returns:
        All faults, or None.
    """
    checked = _check_files([JsonFile(file, {"resources": documents}, True, ())])
    return checked if isinstance(checked, Invalid) else None


def _check_files(files: list[JsonFile]) -> list[ResourceDocument] | Invalid:
    faults: list[Fault] = []
    for read in files:
        faults += read.faults
        if read.is_readable:
            faults += find_schema_faults("resources", read.value, read.file)
    placed = [
        resource
        for read in files
        for resource in place_resources(read.value, read.file)
    ]
    is_complete = all(read.is_readable for read in files)
    faults += find_reference_faults(placed, is_complete=is_complete)
    if faults:
        return Invalid(tuple(dict.fromkeys(faults)))
    return [
        ResourceDocument(kind=resource.kind, name=resource.name, spec=resource.spec)
        for resource in placed
    ]


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
    used: dict[Address, str] = {}
    for name, address in listen._asdict().items():
        earlier = used.setdefault(address, name) if address.port else name
        if earlier != name:
            message = f"expected a port other than that of {earlier}"
            faults.append(Fault(file, f"$.listen.{name}.port", message))
    for field, url in (
        ("$.target.url", settings.target.url),
        ("$.log_service.url", settings.log_service.url),
    ):
        name = used.get(_address_of(url))
        if name:
            message = f"expected another process, got the node's own {name} listener"
            faults.append(Fault(file, field, message))
    return faults


def _address_of(url: str) -> Address:
    parts = urlsplit(url)
    return Address(parts.hostname or "", parts.port or DEFAULT_URL_PORTS[parts.scheme])
