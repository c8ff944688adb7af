"""Options and arguments of the commands."""

from pathlib import Path
from typing import Annotated

import typer

__all__ = ["FilesArgument", "SettingsOption"]

FilesArgument = Annotated[
    list[Path],
    typer.Argument(
        metavar="FILE",
        help="Settings and resource files, or directories with such files.",
    ),
]

SettingsOption = Annotated[
    Path,
    typer.Option("--settings", metavar="FILE", help="Settings file of the node."),
]
