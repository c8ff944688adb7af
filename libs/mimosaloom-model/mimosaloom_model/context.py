"""The context header that travels with every call of a request."""

from typing import Annotated, NamedTuple

import msgspec

from .kinds import Ran

__all__ = [
    "ANSWER_HEADER",
    "CONTEXT_HEADER",
    "MAX_CONTEXT_BYTES",
    "MAX_DEPTH",
    "AnswerNote",
    "CallContext",
    "ContextError",
    "decode_answer_note",
    "decode_context",
    "encode_answer_note",
    "encode_context",
]

CONTEXT_HEADER = "Mimosaloom-Context"
ANSWER_HEADER = "Mimosaloom-Answer"
MAX_CONTEXT_BYTES = 1024
MAX_DEPTH = 29
CONTEXT_VERSION = 1

# `$` would also match before a final newline, which must not reach a header.
_RequestId = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}\Z")]
_CallId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._:/-]{1,64}\Z")]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z")]
_KindName = Annotated[str, msgspec.Meta(pattern=r"^[a-z_]{1,64}\Z")]
_Incarnation = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._:/-]{0,64}\Z")]
_Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}\Z")]


class ContextError(ValueError):
    """A context or answer header is not valid."""


class CallContext(msgspec.Struct, frozen=True):
    """What a call carries from hop to hop.

    Attributes:
        request_id: The root request, 32 hexadecimal digits.
        call_id: This logical call; the same on each attempt.
        class_name: Request class.
        remaining_ms: Time left. A duration needs no agreement between clocks.
        attempt: Number of the attempt, from 1.
        depth: Hops from the root.
        retries: Retries handed down with this call.
        v: Version of the header.
    """

    request_id: _RequestId
    call_id: _CallId
    class_name: _Name
    remaining_ms: Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
    attempt: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    depth: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    retries: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0
    v: Annotated[int, msgspec.Meta(ge=1)] = CONTEXT_VERSION


class AnswerNote(msgspec.Struct, frozen=True):
    """What an answer carries back to the caller's side.

    Attributes:
        call_id: The call that is answered.
        attempt: The attempt that is answered.
        kind: Error kind, or None for the target's own answer.
        ran: Whether any part of the call ran.
        length: Body length in bytes.
        retries_unused: Retries of the call's share that were not spent.
        level: Admission level of the answering service for the request class.
        incarnation: Incarnation of the answering node.
        is_draining: Whether the answering target is leaving.
        digest: Digest of the body, see `digest_bytes`; empty if there is none.
    """

    call_id: _CallId
    attempt: Annotated[int, msgspec.Meta(ge=1, le=64)]
    kind: _KindName | None = None
    ran: Ran = Ran.YES
    length: Annotated[int, msgspec.Meta(ge=0)] = 0
    retries_unused: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0
    level: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 1.0
    incarnation: _Incarnation = ""
    is_draining: bool = False
    digest: _Digest = ""


class _Header(NamedTuple):
    encode: msgspec.json.Encoder
    context: msgspec.json.Decoder
    note: msgspec.json.Decoder


_HEADER = _Header(
    msgspec.json.Encoder(),
    msgspec.json.Decoder(CallContext),
    msgspec.json.Decoder(AnswerNote),
)


def encode_context(context: CallContext) -> str:
    """Return the header value of a context."""
    return _HEADER.encode.encode(context).decode("ascii")


def decode_context(value: str) -> CallContext:
    """Read a context header.

    Args:
        value: The header value.

    Raises:
        ContextError: If the value is over 1,024 bytes, not valid JSON, lacks a
            field or holds one out of range.
    """
    return _decode(_HEADER.context, value)


def encode_answer_note(note: AnswerNote) -> str:
    """Return the header value of an answer note."""
    return _HEADER.encode.encode(note).decode("ascii")


def decode_answer_note(value: str) -> AnswerNote:
    """Read an answer header.

    Args:
        value: The header value.

    Raises:
        ContextError: If the value is over 1,024 bytes, not valid JSON, lacks a
            field or holds one out of range.
    """
    return _decode(_HEADER.note, value)


def _decode(decoder, value: str):
    try:
        raw = value.encode()
        if len(raw) <= MAX_CONTEXT_BYTES:
            return decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise ContextError(str(error)) from error
    raise ContextError(f"the header is over {MAX_CONTEXT_BYTES} bytes")
