"""Records of the `config` stream: one change of one resource each.

JSON with the fields of `ConfigRecord`. Fields of a newer version are kept byte for
byte when a record is encoded again. The envelope alone decides whether a record is
bad, never the content of `spec`: nodes of different versions have to accept the same
records, or they would hold different configurations.
"""

import re
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

__all__ = [
    "MAX_NESTING",
    "MAX_RECORD_BYTES",
    "BadReason",
    "BadRecord",
    "ConfigRecord",
    "decode_record",
    "encode_record",
]

MAX_RECORD_BYTES = 65_536
# The decoder's own bound depends on the stack of its caller, and nodes have to agree.
MAX_NESTING = 32

_Id = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9._:/-]{1,64}$")]
_Kind = Annotated[str, msgspec.Meta(pattern="^[A-Z][A-Za-z0-9]{0,63}$")]
_Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
_Offset = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class BadReason(StrEnum):
    """Why a record is skipped; a label of the counter of bad records."""

    TOO_LARGE = "too_large"
    TOO_DEEP = "too_deep"
    NOT_JSON = "not_json"
    BAD_FIELD = "bad_field"


class BadRecord(NamedTuple):
    """A record that every node skips."""

    reason: BadReason
    detail: str


class ConfigRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One change.

    Attributes:
        id: Unique for the change; the same when it is appended again.
        kind: Kind of the resource.
        name: Name of the resource.
        expected_revision: Revision that the author saw; 0 if the resource is new.
        base_offset: Offset up to which the author had read the stream, exclusive.
        spec: The whole new spec; None deletes the resource.
        author: Who made the change.
        time_ms: When it was made, in Unix milliseconds; for people only.
        extra: Fields that this version doesn't know, as JSON text.
    """

    id: _Id
    kind: _Kind
    name: _Name
    expected_revision: _Offset
    base_offset: _Offset
    spec: dict | None
    author: Annotated[str, msgspec.Meta(max_length=256)] = ""
    time_ms: int = 0
    extra: dict[str, msgspec.Raw] = {}


# Also matches a string that does not end, so that a scan stays linear.
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"?', re.DOTALL)
_BRACKET = re.compile(rb"[\[\]{}]")
_KNOWN = frozenset(ConfigRecord.__struct_fields__) - {"extra"}
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])
_RECORD = msgspec.json.Decoder(ConfigRecord)


def decode_record(value: bytes) -> ConfigRecord | BadRecord:
    """Read a record.

    Args:
        value: The record as appended; at most 65,536 bytes and 32 levels.
    """
    if len(value) > MAX_RECORD_BYTES:
        return BadRecord(BadReason.TOO_LARGE, f"{len(value)} bytes")
    if _is_too_deep(value):
        return BadRecord(BadReason.TOO_DEEP, f"over {MAX_NESTING} levels")
    try:
        fields = _FIELDS.decode(value)
        known = {name: raw for name, raw in fields.items() if name in _KNOWN}
        extra = {name: raw.copy() for name, raw in fields.items() if name not in _KNOWN}
        record = _RECORD.decode(msgspec.json.encode(known))
    except msgspec.ValidationError as error:
        return BadRecord(BadReason.BAD_FIELD, str(error))
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return BadRecord(BadReason.NOT_JSON, str(error))
    return msgspec.structs.replace(record, extra=extra) if extra else record


def encode_record(record: ConfigRecord) -> bytes:
    """Return a record as it is appended, with the fields that were not known."""
    fields = {name: getattr(record, name) for name in sorted(_KNOWN)}
    return msgspec.json.encode(fields | record.extra)


def _is_too_deep(value: bytes) -> bool:
    if value.count(b"[") + value.count(b"{") <= MAX_NESTING:
        return False
    depth = 0
    for match in _BRACKET.finditer(_STRING.sub(b"", value)):
        depth += 1 if match[0] in b"[{" else -1
        if depth > MAX_NESTING:
            return True
    return False
