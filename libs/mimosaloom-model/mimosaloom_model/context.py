"""Types, encoding and decoding of the context header and the answer header.

Every call of a request carries a context header from hop to hop, and every answer
carries an answer header back. Both hold a JSON object.
"""

from typing import Annotated, NamedTuple

import msgspec

from .kinds import Ran

__all__ = [
    "ANSWER_HEADER",
    "CONTEXT_HEADER",
    "MAX_CONTEXT_BYTES",
    "MAX_DEPTH",
    "AnswerMetadata",
    "CallContext",
    "ContextError",
    "decode_answer_metadata",
    "decode_context",
    "encode_answer_metadata",
    "encode_context",
]

CONTEXT_HEADER = "Mimosaloom-Context"
ANSWER_HEADER = "Mimosaloom-Answer"
MAX_CONTEXT_BYTES = 1024
MAX_DEPTH = 29
CONTEXT_VERSION = 1

# `\Z` instead of `$`, which would also match before a final newline; a newline must
# not get into a header.
_RequestId = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}\Z")]
_CallId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._:/-]{1,64}\Z")]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z")]
_KindName = Annotated[str, msgspec.Meta(pattern=r"^[a-z_]{1,64}\Z")]
_Incarnation = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._:/-]{0,64}\Z")]
_Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}\Z")]


class ContextError(ValueError):
    """Raised for a context or answer header that is not valid."""


class CallContext(msgspec.Struct, frozen=True):
    """Content of the context header, which a call carries from hop to hop.

    Attributes:
        request_id: Id of the root request, 32 hexadecimal digits.
        call_id: Id of the logical call; the same in each of its attempts.
        class_name: Name of the request class.
        remaining_ms: Time until the deadline, in milliseconds. It is a duration, so
            that the clocks of the nodes need not agree.
        attempt: Number of the attempt, starting at 1.
        depth: Number of hops from the root request.
        retries: Number of retries that the caller lends to the sub-calls of this call.
        v: Version of the header format.
    """

    request_id: _RequestId
    call_id: _CallId
    class_name: _Name
    remaining_ms: Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
    attempt: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    depth: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    retries: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0
    v: Annotated[int, msgspec.Meta(ge=1)] = CONTEXT_VERSION


class AnswerMetadata(msgspec.Struct, frozen=True):
    """Content of the answer header, which an answer carries back to the calling node.

    Attributes:
        call_id: Id of the call that is answered.
        attempt: Number of the attempt that is answered.
        kind: Name of the error kind; None if the answer is the target's own.
        ran: Whether any part of the call ran.
        length: Length of the body, in bytes.
        retries_unused: Number of lent retries, see `CallContext.retries`, that were not
            used.
        level: Admission level of the answering node or, if lower, of the services that
            it calls for the request class.
        incarnation: Incarnation of the answering node; empty if there is none.
        is_draining: Whether the answering target is draining.
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


class _Codec(NamedTuple):
    encoder: msgspec.json.Encoder
    context_decoder: msgspec.json.Decoder
    answer_metadata_decoder: msgspec.json.Decoder


_CODEC = _Codec(
    msgspec.json.Encoder(),
    msgspec.json.Decoder(CallContext),
    msgspec.json.Decoder(AnswerMetadata),
)


def encode_context(context: CallContext) -> str:
    """Encode a context as the value of the context header."""
    return _CODEC.encoder.encode(context).decode("ascii")


def decode_context(value: str) -> CallContext:
    """Decode the value of a context header.

    Args:
        value: Value of the header.

    Raises:
        ContextError: If the value is longer than 1,024 bytes, is not valid JSON, lacks
            a required field, or has a field that is out of range.
    """
    return _decode(_CODEC.context_decoder, value)


def encode_answer_metadata(metadata: AnswerMetadata) -> str:
    """Encode answer metadata as the value of the answer header."""
    return _CODEC.encoder.encode(metadata).decode("ascii")


def decode_answer_metadata(value: str) -> AnswerMetadata:
    """Decode the value of an answer header.

    Args:
        value: Value of the header.

    Raises:
        ContextError: If the value is longer than 1,024 bytes, is not valid JSON, lacks
            a required field, or has a field that is out of range.
    """
    return _decode(_CODEC.answer_metadata_decoder, value)


def _decode(decoder, value: str):
    try:
        raw = value.encode()
        if len(raw) <= MAX_CONTEXT_BYTES:
            return decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise ContextError(str(error)) from error
    raise ContextError(f"the header is over {MAX_CONTEXT_BYTES} bytes")
