"""Validation of settings files and resource files before they are used."""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from mimosaloom_model import (
    Catalog,
    Fault,
    FileKind,
    Invalid,
    NodeSettings,
    build_catalog,
    detect_file_kind,
    read_resources,
    read_settings,
)

__all__ = ["CheckResult", "check_files", "check_settings", "list_files"]


class CheckResult(NamedTuple):
    """Result of checking files.

    Attributes:
        files: Files that were checked.
        faults: All faults found, without duplicates.
    """

    files: tuple[Path, ...]
    faults: tuple[Fault, ...]


def list_files(paths: Iterable[Path]) -> tuple[list[Path], list[Fault]]:
    """List the given files and the JSON files in the given directories.

    Subdirectories are not searched.

    Args:
        paths: Files and directories.

    Returns:
        The files without duplicates, and a fault for each directory that can't be
        listed or has no JSON file.
    """
    files: list[Path] = []
    faults: list[Fault] = []
    for path in paths:
        if not _is_directory(path):
            files.append(path)
            continue
        try:
            json_files = sorted(path.glob("*.json"))
        except OSError as error:
            faults.append(Fault(str(path), "$", f"expected a directory: {error}"))
            continue
        if not json_files:
            message = "expected a directory with files named *.json"
            faults.append(Fault(str(path), "$", message))
        files += json_files
    return list(dict.fromkeys(files)), faults


def _is_directory(path: Path) -> bool:
    try:
        return path.is_dir()
    except (OSError, ValueError):
        return False


def check_files(paths: Iterable[Path]) -> CheckResult:
    """Check settings files and resource files.

    The content of a file decides which of the two it is. All resource files together
    form one configuration. A settings file is also checked against the resource file
    that it names.

    Args:
        paths: Files and directories.

    Returns:
        The files checked and all faults found in them.
    """
    files, faults = list_files(paths)
    resource_files: list[Path] = []
    for file in files:
        kind = detect_file_kind(file)
        if isinstance(kind, Invalid):
            faults += kind.faults
        elif kind is FileKind.SETTINGS:
            checked = check_settings(file)
            faults += checked.faults if isinstance(checked, Invalid) else ()
        else:
            resource_files.append(file)
    resources = read_resources(resource_files)
    faults += resources.faults if isinstance(resources, Invalid) else ()
    return CheckResult(tuple(files), tuple(dict.fromkeys(faults)))


def check_settings(path: Path) -> NodeSettings | Invalid:
    """Check a settings file and the resource file that it names, if any.

    The fields `target` and `node` must agree with the resources.

    Args:
        path: Settings file.

    Returns:
        The settings, or all faults of the first check that fails: that of the
        settings, that of the resources, or that of both together.
    """
    settings = read_settings(path)
    if isinstance(settings, Invalid) or not settings.resources_file:
        return settings
    resources = read_resources([settings.resources_file])
    if isinstance(resources, Invalid):
        return resources
    faults = _find_target_faults(settings, build_catalog(resources), str(path))
    return Invalid(tuple(faults)) if faults else settings


def _find_target_faults(
    settings: NodeSettings, catalog: Catalog, file: str
) -> list[Fault]:
    target = settings.target
    upstream = catalog.upstreams.get(target.upstream)
    if upstream is None:
        message = (
            f"expected an Upstream of {settings.resources_file}, "
            f'got "{target.upstream}"'
        )
        return [Fault(file, "$.target.upstream", message)]
    faults = []
    if upstream.service != target.service:
        message = (
            f'expected "{upstream.service}", the service of Upstream '
            f'"{target.upstream}", got "{target.service}"'
        )
        faults.append(Fault(file, "$.target.service", message))
    if upstream.failure_domain != settings.node.failure_domain:
        message = (
            f'expected "{upstream.failure_domain}", the failure domain of Upstream '
            f'"{target.upstream}", got "{settings.node.failure_domain}"'
        )
        faults.append(Fault(file, "$.node.failure_domain", message))
    return faults
