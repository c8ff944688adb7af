"""Reads JSON files strictly: what the standard decoder lets pass is a fault here."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from .faults import Fault, describe_value, format_path

__all__ = ["JsonFile", "parse_json", "read_json_file"]

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_NESTING_DEPTH = 32
# The decoder refuses integers over 4,300 digits with an exception of its own, and
# no field holds more than 18 digits.
MAX_INTEGER_DIGITS = 18


class JsonFile(NamedTuple):
    """What a file holds.

    Attributes:
        file: File as it was named by the caller.
        value: The decoded value; None if `is_readable` is false.
        is_readable: Whether the file holds JSON at all.
        faults: Faults of the file itself, such as duplicate keys.
    """

    file: str
    value: object
    is_readable: bool
    faults: tuple[Fault, ...]


class _Object(dict):
    """A JSON object that remembers which keys were given more than once."""

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
        path: The file.

    Returns:
        The value, or the faults for which the file can't be read.
    """
    file = str(path)
    try:
        problem = _find_file_problem(Path(path))
        if problem:
            return _unreadable(file, problem)
        return parse_json(Path(path).read_bytes(), file)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return _unreadable(file, f"expected a readable file: {reason}")


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
        raw: The whole content.
        file: File name for faults.

    Returns:
        The value and the faults of the text; any bytes give a result.
    """
    if not raw.strip():
        return _unreadable(file, "expected a JSON object, but the file is empty")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        problem = f"expected UTF-8 text: invalid byte at offset {error.start}"
        return _unreadable(file, problem)
    if text.startswith("\N{BYTE ORDER MARK}"):
        return _unreadable(file, "expected UTF-8 without a byte order mark")
    return _parse_text(text, file)


def _parse_text(text: str, file: str) -> JsonFile:
    too_deep = f"expected at most {MAX_NESTING_DEPTH} levels of nesting"
    try:
        value = json.loads(text, object_pairs_hook=_Object, parse_int=_parse_integer)
    except json.JSONDecodeError as error:
        where = f"line {error.lineno} column {error.colno}"
        return _unreadable(file, f"expected JSON: {error.msg} at {where}")
    except RecursionError:
        return _unreadable(file, too_deep)
    faults: list[Fault] = []
    for keys, item in _walk(value):
        if len(keys) > MAX_NESTING_DEPTH:
            return _unreadable(file, too_deep)
        if isinstance(item, _Object):
            faults += _find_duplicate_keys(file, keys, item)
    return JsonFile(file, value, True, tuple(faults))


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


def _walk(value: object) -> Iterator[tuple[tuple[str | int, ...], object]]:
    # A stack instead of recursion: the nesting depth is what is being checked.
    waiting: list[tuple[tuple[str | int, ...], object]] = [((), value)]
    while waiting:
        keys, item = waiting.pop()
        yield keys, item
        if isinstance(item, dict):
            waiting += [((*keys, key), below) for key, below in item.items()]
        elif isinstance(item, list):
            waiting += [((*keys, index), below) for index, below in enumerate(item)]


def _find_duplicate_keys(
    file: str, keys: tuple[str | int, ...], item: _Object
) -> list[Fault]:
    return [
        Fault(
            file,
            format_path((*keys, key)),
            f"expected each field once, got {describe_value(key)} more than once",
        )
        for key in item.duplicates
    ]


def _unreadable(file: str, problem: str) -> JsonFile:
    return JsonFile(file, None, False, (Fault(file, "$", problem),))
