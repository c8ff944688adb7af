"""Header names, and the encoding of outcomes as HTTP responses.

Each response of a node to a call carries metadata in the `Mimosaloom-Answer` header,
see `AnswerMetadata`. They identify the answered attempt, give the kind of a refusal or
failure, and hold the length and the digest of the body.
"""

import math

import msgspec

from mimosaloom_model import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    ERROR_ANSWERS,
    MAX_CONTEXT_BYTES,
    Answered,
    AnswerMetadata,
    CallContext,
    ContextError,
    ErrorKind,
    Failed,
    Outcome,
    Ran,
    Refused,
    decode_answer_metadata,
    decode_context,
    digest_bytes,
    encode_answer_metadata,
    encode_context,
)

from .messages import Headers, HopAnswer, Request, Response

__all__ = [
    "CLASS_HEADER",
    "CONNECTION_HEADERS",
    "KEY_HEADER",
    "OWNER_HEADER",
    "RAN_HEADER",
    "STAMP_HEADER",
    "TIMEOUT_HEADER",
    "build_response",
    "decode_context_header",
    "decode_hop_answer",
    "encode_forwarded_context",
    "forwarded_headers",
]

CLASS_HEADER = "Mimosaloom-Class"
TIMEOUT_HEADER = "Mimosaloom-Timeout-Ms"
KEY_HEADER = "Idempotency-Key"
OWNER_HEADER = "Mimosaloom-Owner"
RAN_HEADER = "Mimosaloom-Ran"
STAMP_HEADER = "Mimosaloom-Stamp"

# Headers that apply to one connection only.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-http-reason",
    }
)
# The headers of one connection, and those that each hop writes anew.
_NOT_FORWARDED = CONNECTION_HEADERS | {
    "host",
    ANSWER_HEADER.lower(),
    CONTEXT_HEADER.lower(),
    RAN_HEADER.lower(),
    STAMP_HEADER.lower(),
    TIMEOUT_HEADER.lower(),
}


def decode_context_header(value: str, max_bytes: int) -> CallContext:
    """Decode a context header that is within the size limit of this node.

    Raises:
        ContextError: If the value is over the limit or invalid.
    """
    if len(value) > max_bytes:
        raise ContextError(
            f"the context header is longer than the limit of {max_bytes} bytes"
        )
    return decode_context(value)


def encode_forwarded_context(context: CallContext, received: Request) -> str:
    """Encode a context for the next hop, with the unknown fields that were received.

    Args:
        context: Context for the next hop.
        received: Request that is forwarded. Context fields that this version does not
            know are copied from it, unless the value would become too long.
    """
    unknown_fields = _decode_unknown_fields(received.header(CONTEXT_HEADER))
    if not unknown_fields:
        return encode_context(context)
    fields = {**unknown_fields, **msgspec.structs.asdict(context)}
    value = msgspec.json.encode(fields).decode()
    if len(value) > MAX_CONTEXT_BYTES or not value.isascii():
        return encode_context(context)
    return value


def _decode_unknown_fields(value: str | None) -> dict[str, object]:
    if value is None:
        return {}
    try:
        fields = msgspec.json.decode(value, type=dict[str, object])
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return {}
    return {name: fields[name] for name in fields.keys() - _CONTEXT_FIELDS}


_CONTEXT_FIELDS = frozenset(CallContext.__struct_fields__)


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the next hop."""
    return tuple(item for item in headers if item[0].lower() not in _NOT_FORWARDED)


def build_response(
    answer: HopAnswer, call_id: str, attempt: int, request_id: str
) -> Response:
    """Encode the answer of a hop as a response with metadata.

    Args:
        answer: Answer of the hop.
        call_id: Id of the answered call.
        attempt: Number of the answered attempt.
        request_id: Id of the root request; written to the bodies of refusals.
    """
    match answer.outcome:
        case Answered(status, headers, body):
            kind, ran = None, Ran.YES
        case Refused(kind, detail, retry_after_s) | Failed(kind, detail, retry_after_s):
            ran = ERROR_ANSWERS[kind].ran
            status = ERROR_ANSWERS[kind].http_status
            body = _refusal_body(kind, detail, request_id, retry_after_s)
            headers = _refusal_headers(retry_after_s)
    metadata = AnswerMetadata(
        call_id=call_id,
        attempt=attempt,
        kind=kind,
        ran=ran,
        length=len(body),
        retries_unused=answer.retries_unused,
        level=1.0 if answer.level is None else min(1.0, max(0.0, answer.level)),
        incarnation=answer.incarnation,
        is_draining=answer.is_draining,
        digest=digest_bytes(body),
    )
    headers = (*headers, (ANSWER_HEADER, encode_answer_metadata(metadata)))
    if answer.stamp:
        headers = (*headers, (STAMP_HEADER, answer.stamp))
    return Response(status, headers, body)


def decode_hop_answer(
    response: Response, call_id: str, attempt: int, *, has_body: bool = True
) -> HopAnswer:
    """Decode the response of a node; an incomplete or mismatched one is a failure.

    Args:
        response: Response of the node.
        call_id: Id of the call that was sent.
        attempt: Number of the attempt that was sent.
        has_body: Whether the response has a body; False for a HEAD request.
    """
    values = dict(response.headers)
    value = values.get(ANSWER_HEADER)
    if value is None:
        return _answer_mismatch("the answer has no Mimosaloom-Answer header")
    try:
        metadata = decode_answer_metadata(value)
    except ContextError as error:
        return _answer_mismatch(f"the Mimosaloom-Answer header is invalid: {error}")
    if (metadata.call_id, metadata.attempt) != (call_id, attempt):
        return _answer_mismatch(
            f"the answer is for another attempt, {metadata.call_id}/{metadata.attempt}"
        )
    if has_body and metadata.length != len(response.body):
        detail = (
            f"{len(response.body)} of {metadata.length} bytes of the answer arrived"
        )
        return HopAnswer(Failed(ErrorKind.ANSWER_TRUNCATED, detail))
    if has_body and metadata.digest and metadata.digest != digest_bytes(response.body):
        return _answer_mismatch(
            "the body does not match the digest in the Mimosaloom-Answer header"
        )
    return HopAnswer(
        _decode_outcome(metadata, response),
        metadata.retries_unused,
        metadata.level,
        metadata.incarnation,
        metadata.is_draining,
        values.get(STAMP_HEADER, ""),
    )


def _answer_mismatch(detail: str) -> HopAnswer:
    return HopAnswer(Failed(ErrorKind.ANSWER_MISMATCH, detail))


def _decode_outcome(metadata: AnswerMetadata, response: Response) -> Outcome:
    if metadata.kind is None:
        headers = forwarded_headers(response.headers)
        return Answered(response.status, headers, response.body)
    retry_after_s = _parse_retry_after(response.headers)
    detail = _decode_detail(response.body)
    try:
        kind = ErrorKind(metadata.kind)
    except ValueError:
        # A newer node may send kinds that this version does not know. Whether the call
        # ran is then unknown, so the answer is a failure and not a refusal.
        return Failed(
            ErrorKind.INTERNAL, f"unknown answer kind {metadata.kind}", retry_after_s
        )
    if ERROR_ANSWERS[kind].ran is not Ran.NO:
        return Failed(kind, detail, retry_after_s)
    if metadata.ran != Ran.NO:
        return Failed(ErrorKind.FAILED_DOWNSTREAM, detail, retry_after_s)
    return Refused(kind, detail, retry_after_s)


def _refusal_headers(retry_after_s: float) -> Headers:
    headers = (("Content-Type", "application/json"),)
    if retry_after_s <= 0:
        return headers
    # Retry-After holds whole seconds; the exact value is in the body.
    return (*headers, ("Retry-After", str(math.ceil(retry_after_s))))


def _refusal_body(
    kind: ErrorKind, detail: str, request_id: str, retry_after_s: float
) -> bytes:
    return msgspec.json.encode(
        {
            "kind": kind.value,
            "ran": ERROR_ANSWERS[kind].ran.value,
            "detail": detail or ERROR_ANSWERS[kind].summary,
            "request_id": request_id,
            "retry_after_s": retry_after_s,
        }
    )


class _RefusalBody(msgspec.Struct):
    detail: str = ""
    retry_after_s: float = 0.0


def _decode_detail(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_RefusalBody).detail
    except (msgspec.MsgspecError, UnicodeError):
        return ""


def _parse_retry_after(headers: Headers) -> float:
    for name, value in headers:
        if name.lower() == "retry-after" and value.strip().isdecimal():
            return float(value)
    return 0.0
