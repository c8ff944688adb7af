"""Faults of settings and resource files."""

import json
import re
from collections.abc import Iterable
from difflib import get_close_matches
from typing import NamedTuple

__all__ = ["Fault", "Invalid", "describe_value", "format_path", "suggest_name"]

ROOT_PATH = "$"
MAX_SHOWN_CHARACTERS = 40
# Below difflib's default of 0.6, unrelated field names are suggested; `timeout_ms`
# and `timeout_s` have a ratio of 0.95.
MIN_SIMILARITY_RATIO = 0.6

_PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


class Fault(NamedTuple):
    """One fault of a file.

    Attributes:
        file: File as it was named by the caller.
        path: JSON path of the faulty value, `$` for the whole file.
        message: What was expected.
    """

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        # A file name may hold a newline, which would look like a second fault.
        file = self.file if self.file.isprintable() else json.dumps(self.file)
        return f"{file}: {self.path}: {self.message}"


class Invalid(NamedTuple):
    """The files can't be used.

    Attributes:
        faults: All faults found, in the order of files and positions; never empty.
    """

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Return all faults, one a line."""
        return "\n".join(str(fault) for fault in self.faults)


def format_path(keys: Iterable[str | int]) -> str:
    """Return the JSON path of a value, for example `$.resources[2].spec.slots`."""
    return ROOT_PATH + "".join(_format_key(key) for key in keys)


def _format_key(key: str | int) -> str:
    if isinstance(key, int):
        return f"[{key}]"
    if _PLAIN_KEY.fullmatch(key):
        return f".{key}"
    return f"[{_quote(key)}]"


def describe_value(value: object) -> str:
    """Return a short text for a JSON value that is safe to print on one line."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "an array"
    if isinstance(value, str):
        return _quote(value)
    return json.dumps(value)


def _quote(text: str) -> str:
    # ASCII output escapes control characters and lone surrogates, which can't be
    # written to a terminal.
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return json.dumps(text)
    return json.dumps(text[:MAX_SHOWN_CHARACTERS] + "...")


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return `; did you mean "x"?` for the nearest known name, or an empty text."""
    shown = name[:MAX_SHOWN_CHARACTERS]
    matches = get_close_matches(shown, list(known), n=1, cutoff=MIN_SIMILARITY_RATIO)
    return f"; did you mean {_quote(matches[0])}?" if matches else ""
