"""Names the code that a process runs, from the files that it was loaded from."""

import hashlib
from collections.abc import Iterable
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

__all__ = ["CodeVersion", "read_code_version"]

# Hexadecimal digits of the digest that are shown.
DIGEST_LENGTH = 12


class CodeVersion(NamedTuple):
    """What tells one state of the sources from another.

    Attributes:
        digest: First digits of a SHA-256 over the names and contents of all sources.
        folders: Folders that the packages were loaded from, without duplicates.
    """

    digest: str
    folders: tuple[str, ...]


def read_code_version(packages: Iterable[ModuleType]) -> CodeVersion:
    """Return the version of the code in packages that have been imported.

    The files are read where the packages were loaded from, which may be a copy of the
    sources that was made earlier. To be called at the start, before the files can have
    been replaced.

    Args:
        packages: The packages, in any order.

    Raises:
        OSError: A source can't be read.
    """
    digest = hashlib.sha256()
    folders = {}
    for package in sorted(packages, key=lambda package: package.__name__):
        folder = Path(package.__path__[0])
        folders[str(folder.parent)] = None
        for path in sorted(folder.rglob("*.py")):
            content = path.read_bytes()
            name = f"{package.__name__}/{path.relative_to(folder).as_posix()}"
            digest.update(f"{name} {len(content)}\n".encode())
            digest.update(content)
    return CodeVersion(digest.hexdigest()[:DIGEST_LENGTH], tuple(folders))
