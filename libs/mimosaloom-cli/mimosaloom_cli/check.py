"""Checks settings and resource files before they are used."""

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

__all__ = ["Checked", "check_files", "check_settings", "list_files"]


class Checked(NamedTuple):
    """The result of a check.

    Attributes:
        files: Files that were read.
        faults: All faults, each once.
    """

    files: tuple[Path, ...]
    faults: tuple[Fault, ...]


def list_files(paths: Iterable[Path]) -> tuple[list[Path], list[Fault]]:
    """Replace each directory by the JSON files directly in it.

    Args:
        paths: Files and directories.

    Returns:
        The files, each once, and a fault for each directory without any.
    """
    files: list[Path] = []
    faults: list[Fault] = []
    for path in paths:
        if not _is_directory(path):
            files.append(path)
            continue
        try:
            found = sorted(path.glob("*.json"))
        except OSError as error:
            faults.append(Fault(str(path), "$", f"expected a directory: {error}"))
            continue
        if not found:
            message = "expected a directory with files named *.json"
            faults.append(Fault(str(path), "$", message))
        files += found
    return list(dict.fromkeys(files)), faults


def _is_directory(path: Path) -> bool:
    try:
        return path.is_dir()
    except (OSError, ValueError):
        return False


def check_files(paths: Iterable[Path]) -> Checked:
    """Check settings and resource files, told apart by their content.

    All resource files together form one configuration. The resources that a
    settings file names are checked with it.

    Args:
        paths: Files and directories.

    Returns:
        What was read and all faults.
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
    return Checked(tuple(files), tuple(dict.fromkeys(faults)))


def check_settings(path: Path) -> NodeSettings | Invalid:
    """Check a settings file together with the resources that it names.

    Args:
        path: The settings file.

    Returns:
        The settings, or all faults of both files.
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
    declared = catalog.upstreams.get(target.upstream)
    if declared is None:
        message = (
            f"expected an Upstream of {settings.resources_file}, "
            f'got "{target.upstream}"'
        )
        return [Fault(file, "$.target.upstream", message)]
    faults = []
    if declared.service != target.service:
        message = (
            f'expected "{declared.service}", the service of Upstream '
            f'"{target.upstream}", got "{target.service}"'
        )
        faults.append(Fault(file, "$.target.service", message))
    if declared.failure_domain != settings.node.failure_domain:
        message = (
            f'expected "{declared.failure_domain}", the failure domain of Upstream '
            f'"{target.upstream}", got "{settings.node.failure_domain}"'
        )
        faults.append(Fault(file, "$.node.failure_domain", message))
    return faults
