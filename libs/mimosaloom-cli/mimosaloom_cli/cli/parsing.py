"""Options and arguments of the commands, and their validation."""

import re
from enum import StrEnum
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

import typer

from ..account import AccountKey

__all__ = [
    "AccountKeysOption",
    "AuthorOption",
    "ChangedFilesOption",
    "FilesArgument",
    "FromOption",
    "JsonOption",
    "KindArgument",
    "LogFilesArgument",
    "LogUrlOption",
    "NameArgument",
    "OutputFormat",
    "OutputOption",
    "PlotOption",
    "RequestIdArgument",
    "RequiredNameArgument",
    "ResourceKind",
    "RevisionOption",
    "SettingsOption",
    "ToOption",
]


_RESOURCE_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_AUTHOR_CHARACTERS = 256
MAX_REVISION = 2**53


class ResourceKind(StrEnum):
    """Kinds of resources."""

    SERVICE = "Service"
    UPSTREAM = "Upstream"
    REQUEST_CLASS = "RequestClass"
    RETRY_ALLOWANCE = "RetryAllowance"


class OutputFormat(StrEnum):
    """Output formats of `get`."""

    TABLE = "table"
    JSON = "json"


def parse_url(text: str) -> str:
    """Check the base URL of a log service and remove trailing slashes.

    Raises:
        typer.BadParameter: If the text is not an HTTP or HTTPS URL.
    """
    try:
        parts = urlsplit(text)
        is_url = parts.scheme in ("http", "https") and bool(parts.hostname)
        has_port = parts.port is None or parts.port > 0
    except ValueError:
        is_url = has_port = False
    if not is_url or not has_port or not text.isprintable():
        raise typer.BadParameter("expected a URL such as http://127.0.0.1:9000")
    return text.rstrip("/")


def parse_name(text: str) -> str:
    """Check the name of a resource.

    Raises:
        typer.BadParameter: If the text is not a valid name for a resource.
    """
    if not _RESOURCE_NAME_PATTERN.fullmatch(text):
        raise typer.BadParameter(
            "expected 1 to 63 lower-case letters, digits and inner hyphens"
        )
    return text


def parse_account_keys(text: str) -> tuple[AccountKey, ...]:
    """Check the names by which an account is grouped, separated by commas.

    Raises:
        typer.BadParameter: If a name is not known or is given twice.
    """
    names = [name.strip().lower() for name in text.split(",")]
    unknown = [name for name in names if name not in set(AccountKey)]
    if unknown or len(set(names)) < len(names):
        raise typer.BadParameter(
            f"expected some of {', '.join(AccountKey)}, separated by commas"
        )
    return tuple(AccountKey(name) for name in names)


FilesArgument = Annotated[
    list[Path],
    typer.Argument(
        metavar="FILE",
        help="Settings files, resource files, or directories with such files.",
    ),
]

SettingsOption = Annotated[
    Path,
    typer.Option("--settings", metavar="FILE", help="Settings file of the node."),
]

ChangedFilesOption = Annotated[
    list[Path],
    typer.Option(
        "--filename",
        "-f",
        metavar="FILE",
        help="Resource file, or directory with such files; may be repeated.",
    ),
]

LogUrlOption = Annotated[
    str,
    typer.Option(
        "--log-url",
        metavar="URL",
        envvar="MIMOSALOOM_LOG_URL",
        parser=parse_url,
        help="Base URL of the log service.",
    ),
]

AuthorOption = Annotated[
    str,
    typer.Option(
        "--author",
        metavar="NAME",
        envvar=["MIMOSALOOM_AUTHOR", "USER"],
        parser=lambda text: text[:MAX_AUTHOR_CHARACTERS],
        help="Author of the change, as recorded with it.",
    ),
]

KindArgument = Annotated[
    ResourceKind,
    typer.Argument(metavar="KIND", case_sensitive=False, help=", ".join(ResourceKind)),
]

NameArgument = Annotated[
    str | None,
    typer.Argument(metavar="NAME", parser=parse_name, help="Show only this resource."),
]

RequiredNameArgument = Annotated[
    str,
    typer.Argument(metavar="NAME", parser=parse_name, help="Name of the resource."),
]

RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--revision",
        min=1,
        max=MAX_REVISION,
        help="Delete only if this revision is in force.",
    ),
]

OutputOption = Annotated[
    OutputFormat,
    typer.Option("--output", "-o", help="A table, or a resource file in JSON."),
]

RequestIdArgument = Annotated[
    str, typer.Argument(metavar="REQUEST_ID", help="Id of the request.")
]
LogFilesArgument = Annotated[
    list[Path] | None,
    typer.Argument(
        metavar="[FILE]...",
        help="Log files of nodes; standard input if none is given.",
        show_default=False,
    ),
]

AccountKeysOption = Annotated[
    str,
    typer.Option(
        "--by",
        metavar="KEY,...",
        parser=parse_account_keys,
        help=f"Group requests and hops by some of {', '.join(AccountKey)}.",
    ),
]

FromOption = Annotated[
    float | None,
    typer.Option(
        "--from-s",
        metavar="SECONDS",
        help="Sum only lines from this time after the first line on.",
        show_default=False,
    ),
]

ToOption = Annotated[
    float | None,
    typer.Option(
        "--to-s",
        metavar="SECONDS",
        help="Sum only lines before this time after the first line.",
        show_default=False,
    ),
]

JsonOption = Annotated[
    bool, typer.Option("--json", help="Print a JSON document instead of tables.")
]

PlotOption = Annotated[
    Path | None,
    typer.Option(
        "--plot",
        metavar="FILE",
        help="Write a plot of the requests of clients over time to this file.",
        show_default=False,
    ),
]
