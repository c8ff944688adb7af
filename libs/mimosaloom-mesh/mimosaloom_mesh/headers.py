"""Header names, and the encoding of outcomes as HTTP responses."""

import math

import msgspec

from mimosaloom_model import (
    ANSWER_HEADER,
    ANSWERS,
    CONTEXT_HEADER,
    MAX_CONTEXT_BYTES,
    Answered,
    AnswerNote,
    CallContext,
    ContextError,
    Failed,
    Kind,
    Outcome,
    Ran,
    Refused,
    decode_answer_note,
    decode_context,
    digest_bytes,
    encode_answer_note,
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
    "forwarded_headers",
    "read_context",
    "read_hop_answer",
    "write_context",
]

CLASS_HEADER = "Mimosaloom-Class"
TIMEOUT_HEADER = "Mimosaloom-Timeout-Ms"
KEY_HEADER = "Idempotency-Key"
OWNER_HEADER = "Mimosaloom-Owner"
RAN_HEADER = "Mimosaloom-Ran"
STAMP_HEADER = "Mimosaloom-Stamp"

# Headers that hold for one connection only.
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
# Those, and the ones that each hop writes itself.
_NOT_FORWARDED = CONNECTION_HEADERS | {
    "host",
    ANSWER_HEADER.lower(),
    CONTEXT_HEADER.lower(),
    RAN_HEADER.lower(),
    STAMP_HEADER.lower(),
    TIMEOUT_HEADER.lower(),
}


def read_context(value: str, max_bytes: int) -> CallContext:
    """Read a context header within the limit of this node.

    Raises:
        ContextError: If the value is over the limit or not valid.
    """
    if len(value) > max_bytes:
        raise ContextError(f"the header is over {max_bytes} bytes")
    return decode_context(value)


def write_context(context: CallContext, received: Request) -> str:
    """Return the header value of a context for the next hop.

    Args:
        context: The context.
        received: The request that is forwarded. Fields of a newer version in its own
            context header are kept, unless the value would be too long with them.
    """
    more = _read_more_fields(received.header(CONTEXT_HEADER))
    if not more:
        return encode_context(context)
    fields = {**more, **msgspec.structs.asdict(context)}
    value = msgspec.json.encode(fields).decode()
    if len(value) > MAX_CONTEXT_BYTES or not value.isascii():
        return encode_context(context)
    return value


def _read_more_fields(value: str | None) -> dict[str, object]:
    if value is None:
        return {}
    try:
        fields = msgspec.json.decode(value, type=dict[str, object])
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return {}
    return {name: fields[name] for name in fields.keys() - _CONTEXT_FIELDS}


_CONTEXT_FIELDS = frozenset(CallContext.__struct_fields__)


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that travel to the next hop."""
    return tuple(item for item in headers if item[0].lower() not in _NOT_FORWARDED)


def build_response(
    answer: HopAnswer, call_id: str, attempt: int, request_id: str
) -> Response:
    """Encode the answer of a hop as a response with its note.

    Args:
        answer: The answer.
        call_id: The call that is answered.
        attempt: The attempt that is answered.
        request_id: The root request, named in refusal bodies.
    """
    match answer.outcome:
        case Answered(status, headers, body):
            kind, ran = None, Ran.YES
        case Refused(kind, detail, retry_after_s) | Failed(kind, detail, retry_after_s):
            ran = ANSWERS[kind].ran
            status = ANSWERS[kind].http_status
            body = _refusal_body(kind, detail, request_id, retry_after_s)
            headers = _refusal_headers(retry_after_s)
    note = AnswerNote(
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
    headers = (*headers, (ANSWER_HEADER, encode_answer_note(note)))
    if answer.stamp:
        headers = (*headers, (STAMP_HEADER, answer.stamp))
    return Response(status, headers, body)


def read_hop_answer(
    response: Response, call_id: str, attempt: int, *, has_body: bool = True
) -> HopAnswer:
    """Read the response of a node; an answer that is not whole is a failure.

    Args:
        response: What the node sent.
        call_id: The call that was sent.
        attempt: The attempt that was sent.
        has_body: False for the answer to a HEAD request.
    """
    values = dict(response.headers)
    value = values.get(ANSWER_HEADER)
    if value is None:
        return _mismatch("the answer carries no Mimosaloom-Answer header")
    try:
        note = decode_answer_note(value)
    except ContextError as error:
        return _mismatch(f"the Mimosaloom-Answer header is invalid: {error}")
    if (note.call_id, note.attempt) != (call_id, attempt):
        return _mismatch(f"the answer is for call {note.call_id}/{note.attempt}")
    if has_body and note.length != len(response.body):
        detail = f"{len(response.body)} of {note.length} bytes arrived"
        return HopAnswer(Failed(Kind.ANSWER_TRUNCATED, detail))
    if has_body and note.digest and note.digest != digest_bytes(response.body):
        return _mismatch("the body is not the one that the note describes")
    return HopAnswer(
        _read_outcome(note, response),
        note.retries_unused,
        note.level,
        note.incarnation,
        note.is_draining,
        values.get(STAMP_HEADER, ""),
    )


def _mismatch(detail: str) -> HopAnswer:
    return HopAnswer(Failed(Kind.ANSWER_MISMATCH, detail))


def _read_outcome(note: AnswerNote, response: Response) -> Outcome:
    if note.kind is None:
        headers = forwarded_headers(response.headers)
        return Answered(response.status, headers, response.body)
    retry_after_s = _read_retry_after(response.headers)
    detail = _read_detail(response.body)
    try:
        kind = Kind(note.kind)
    except ValueError:
        # A newer node may know more kinds; without its table nothing is certain.
        return Failed(Kind.INTERNAL, f"unknown kind {note.kind}", retry_after_s)
    if ANSWERS[kind].ran is not Ran.NO:
        return Failed(kind, detail, retry_after_s)
    if note.ran != Ran.NO:
        return Failed(Kind.FAILED_DOWNSTREAM, detail, retry_after_s)
    return Refused(kind, detail, retry_after_s)


def _refusal_headers(retry_after_s: float) -> Headers:
    headers = (("Content-Type", "application/json"),)
    if retry_after_s <= 0:
        return headers
    # Retry-After holds whole seconds; the exact value is in the body.
    return (*headers, ("Retry-After", str(math.ceil(retry_after_s))))


def _refusal_body(
    kind: Kind, detail: str, request_id: str, retry_after_s: float
) -> bytes:
    return msgspec.json.encode(
        {
            "kind": kind.value,
            "ran": ANSWERS[kind].ran.value,
            "detail": detail or ANSWERS[kind].summary,
            "request_id": request_id,
            "retry_after_s": retry_after_s,
        }
    )


class _RefusalBody(msgspec.Struct):
    detail: str = ""
    retry_after_s: float = 0.0


def _read_detail(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_RefusalBody).detail
    except (msgspec.MsgspecError, UnicodeError):
        return ""


def _read_retry_after(headers: Headers) -> float:
    for name, value in headers:
        if name.lower() == "retry-after" and value.strip().isdecimal():
            return float(value)
    return 0.0
