"""Faults of settings and resource files, and helpers to write their messages.

A fault is one error in a file: its location and a message for the operator.
"""

import json
import re
from collections.abc import Iterable
from difflib import get_close_matches
from typing import NamedTuple

__all__ = ["Fault", "Invalid", "describe_value", "format_path", "suggest_name"]

ROOT_PATH = "$"
MAX_SHOWN_CHARACTERS = 40
# 0.6 is the default of difflib; a lower ratio suggests unrelated field names. For
# comparison, `timeout_ms` and `timeout_s` have a ratio of 0.95.
MIN_SIMILARITY_RATIO = 0.6

_UNQUOTED_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


class Fault(NamedTuple):
    """One error in a settings or resource file.

    Attributes:
        file: File name as given by the caller.
        path: JSON path of the invalid value; `$` stands for the whole file.
        message: What was expected and, in most cases, what was found instead.
    """

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the fault as one line: file, path and message."""
        # A newline in a file name would make the output look like two faults.
        file = self.file if self.file.isprintable() else json.dumps(self.file)
        return f"{file}: {self.path}: {self.message}"


class Invalid(NamedTuple):
    """Result of a read or a check that found faults; the input must not be used.

    Attributes:
        faults: All faults found; never empty. The faults of single files come first, in
            the order of the files; faults across resources come after them.
    """

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Return all faults, one per line."""
        return "\n".join(str(fault) for fault in self.faults)


def format_path(keys: Iterable[str | int]) -> str:
    """Return the JSON path of a value, for example `$.resources[2].spec.slots`."""
    return ROOT_PATH + "".join(_format_key(key) for key in keys)


def _format_key(key: str | int) -> str:
    if isinstance(key, int):
        return f"[{key}]"
    if _UNQUOTED_KEY.fullmatch(key):
        return f".{key}"
    return f"[{_quote_string(key)}]"


def describe_value(value: object) -> str:
    """Return a short description of a JSON value, safe to print on one line."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "an array"
    if isinstance(value, str):
        return _quote_string(value)
    return json.dumps(value)


def _quote_string(text: str) -> str:
    # `json.dumps` escapes all characters outside printable ASCII. This covers control
    # characters and lone surrogates, which can't be written to a terminal.
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return json.dumps(text)
    return json.dumps(text[:MAX_SHOWN_CHARACTERS] + "...")


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Suggest the known name that is most similar to a name.

    Returns:
        `; did you mean "x"?`, to be appended to a message; empty if no known name is
        similar enough.
    """
    prefix = name[:MAX_SHOWN_CHARACTERS]
    matches = get_close_matches(prefix, list(known), n=1, cutoff=MIN_SIMILARITY_RATIO)
    return f"; did you mean {_quote_string(matches[0])}?" if matches else ""
