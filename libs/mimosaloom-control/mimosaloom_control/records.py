"""Records of the `config` stream; each one changes one resource.

A record is JSON with the fields of `ConfigRecord`. Fields that a newer version has
added are preserved byte for byte when a record is encoded again.

Whether a record is bad depends on its size, its nesting and its envelope (the fields
around `spec`), never on the content of `spec`. Nodes of different versions must accept
the same records; otherwise they would hold different configurations.
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
# An explicit limit, because that of the decoder depends on the stack depth of its
# caller, and all nodes must reject the same records.
MAX_NESTING = 32

_RecordId = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9._:/-]{1,64}$")]
_Kind = Annotated[str, msgspec.Meta(pattern="^[A-Z][A-Za-z0-9]{0,63}$")]
_Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
_Offset = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class BadReason(StrEnum):
    """Reason why a record is bad; a label of the metric that counts bad records."""

    TOO_LARGE = "too_large"
    TOO_DEEP = "too_deep"
    NOT_JSON = "not_json"
    BAD_FIELD = "bad_field"


class BadRecord(NamedTuple):
    """Result of decoding an invalid record, which every node skips.

    Attributes:
        reason: Kind of the error.
        detail: Description of the error.
    """

    reason: BadReason
    detail: str


class ConfigRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One change of one resource.

    Attributes:
        id: Unique id of the change; a copy that is appended again has the same id.
        kind: Kind of the resource.
        name: Name of the resource.
        expected_revision: Revision of the resource that the change was made against;
            0 if the resource is new.
        base_offset: Offset up to which the author had read the stream, exclusive.
        spec: The complete new spec; None deletes the resource.
        author: Who made the change.
        time_ms: When the change was made, in Unix milliseconds; informational only.
        extra: Fields that this version doesn't recognise, as raw JSON.
    """

    id: _RecordId
    kind: _Kind
    name: _Name
    expected_revision: _Offset
    base_offset: _Offset
    spec: dict | None
    author: Annotated[str, msgspec.Meta(max_length=256)] = ""
    time_ms: int = 0
    extra: dict[str, msgspec.Raw] = {}


# The closing quote is optional: an unterminated string then matches as a whole, which
# keeps the scan linear.
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"?', re.DOTALL)
_BRACKET = re.compile(rb"[\[\]{}]")
_KNOWN_FIELDS = frozenset(ConfigRecord.__struct_fields__) - {"extra"}
_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_RECORD_DECODER = msgspec.json.Decoder(ConfigRecord)


def decode_record(value: bytes) -> ConfigRecord | BadRecord:
    """Decode a record and check its envelope.

    Args:
        value: The record as appended. The limits are 65,536 bytes and 32 levels of
            nesting.

    Returns:
        The record, or a `BadRecord` if it is invalid.
    """
    if len(value) > MAX_RECORD_BYTES:
        return BadRecord(
            BadReason.TOO_LARGE,
            f"{len(value)} bytes exceed the limit of {MAX_RECORD_BYTES} bytes",
        )
    if _is_too_deep(value):
        return BadRecord(BadReason.TOO_DEEP, f"nested over {MAX_NESTING} levels deep")
    try:
        fields = _FIELDS_DECODER.decode(value)
        known = {name: raw for name, raw in fields.items() if name in _KNOWN_FIELDS}
        extra = {
            name: raw.copy()
            for name, raw in fields.items()
            if name not in _KNOWN_FIELDS
        }
        record = _RECORD_DECODER.decode(msgspec.json.encode(known))
    except msgspec.ValidationError as error:
        return BadRecord(BadReason.BAD_FIELD, str(error))
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return BadRecord(BadReason.NOT_JSON, str(error))
    return msgspec.structs.replace(record, extra=extra) if extra else record


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record for the stream, including its extra fields."""
    fields = {name: getattr(record, name) for name in sorted(_KNOWN_FIELDS)}
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
