"""Strict reading of JSON files.

Some input that the decoder of the standard library accepts is a fault here, such as
duplicate keys and deep nesting.
"""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from .faults import Fault, describe_value, format_path

__all__ = ["JsonFile", "parse_json", "read_json_file"]

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_NESTING_DEPTH = 32
# Longer integers are decoded as floats, since Python raises a ValueError for an integer
# of more than 4,300 digits. No field holds a number of more than 18 digits.
MAX_INTEGER_DIGITS = 18


class JsonFile(NamedTuple):
    """Result of reading a JSON file.

    Attributes:
        file: File name as given by the caller.
        value: Decoded JSON value; None if `is_readable` is false.
        is_readable: Whether the file could be read and decoded as JSON.
        faults: Faults of the file as JSON, such as duplicate keys.
    """

    file: str
    value: object
    is_readable: bool
    faults: tuple[Fault, ...]


class _JsonObject(dict):
    """JSON object that records which keys occur more than once in the text."""

    def __init__(self, pairs: list[tuple[str, object]]):
        super().__init__(pairs)
        self.duplicates: list[str] = []
        if len(self) < len(pairs):
            seen: set[str] = set()
            for key, _ in pairs:
                if key in seen and key not in self.duplicates:
                    self.duplicates.append(key)
                seen.add(key)


def read_json_file(path: str | Path) -> JsonFile:
    """Read a file that holds one JSON value.

    Args:
        path: Path of the file.

    Returns:
        The decoded value with the faults of the file as JSON, or the fault that
        prevents the file from being read.
    """
    file = str(path)
    try:
        problem = _find_file_problem(Path(path))
        if problem:
            return _build_unreadable(file, problem)
        return parse_json(Path(path).read_bytes(), file)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return _build_unreadable(
            file, f"expected a readable file, got the error: {reason}"
        )


def _find_file_problem(path: Path) -> str:
    if path.is_dir():
        return "expected a JSON file, got a directory"
    if not path.exists():
        return "expected a JSON file, but it does not exist; check the path"
    if not path.is_file():
        return "expected a regular file"
    if path.stat().st_size > MAX_FILE_BYTES:
        return f"expected at most {MAX_FILE_BYTES} bytes"
    return ""


def parse_json(raw: bytes, file: str) -> JsonFile:
    """Decode the bytes of a JSON file.

    Args:
        raw: Complete content of the file.
        file: File name to use in faults.

    Returns:
        The decoded value and the faults. Any input gives a result, never an exception.
    """
    if not raw.strip():
        return _build_unreadable(file, "expected a JSON object, but the file is empty")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        problem = f"expected UTF-8 text: invalid byte at offset {error.start}"
        return _build_unreadable(file, problem)
    if text.startswith("\N{BYTE ORDER MARK}"):
        return _build_unreadable(file, "expected UTF-8 without a byte order mark")
    return _parse_text(text, file)


def _parse_text(text: str, file: str) -> JsonFile:
    depth_problem = f"expected at most {MAX_NESTING_DEPTH} levels of nesting"
    try:
        value = json.loads(
            text, object_pairs_hook=_JsonObject, parse_int=_parse_integer
        )
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return _build_unreadable(file, f"expected JSON: {error.msg} at {position}")
    except RecursionError:
        return _build_unreadable(file, depth_problem)
    faults: list[Fault] = []
    for keys, item in _iterate_values(value):
        if len(keys) > MAX_NESTING_DEPTH:
            return _build_unreadable(file, depth_problem)
        if isinstance(item, _JsonObject):
            faults += _find_duplicate_keys(file, keys, item)
    return JsonFile(file, value, True, tuple(faults))


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


def _iterate_values(value: object) -> Iterator[tuple[tuple[str | int, ...], object]]:
    # Uses a stack instead of recursion, since the caller must detect values that are
    # nested too deeply for recursion.
    pending: list[tuple[tuple[str | int, ...], object]] = [((), value)]
    while pending:
        keys, item = pending.pop()
        yield keys, item
        if isinstance(item, dict):
            pending += [((*keys, key), child) for key, child in item.items()]
        elif isinstance(item, list):
            pending += [((*keys, index), child) for index, child in enumerate(item)]


def _find_duplicate_keys(
    file: str, keys: tuple[str | int, ...], item: _JsonObject
) -> list[Fault]:
    return [
        Fault(
            file,
            format_path((*keys, key)),
            f"expected each field once, got {describe_value(key)} more than once",
        )
        for key in item.duplicates
    ]


def _build_unreadable(file: str, problem: str) -> JsonFile:
    return JsonFile(file, None, False, (Fault(file, "$", problem),))
