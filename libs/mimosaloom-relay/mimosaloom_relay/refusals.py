"""Answer of a node to a request that no target has answered."""

from http import HTTPStatus

import msgspec

from mimosaloom_mesh.messages import Response
from mimosaloom_model import ERROR_ANSWERS, ErrorKind, Ran

from .hop_messages import HeaderNames

__all__ = ["build_refusal"]


def build_refusal(
    names: HeaderNames,
    kind: ErrorKind,
    request_id: str,
    detail: str = "",
    *,
    retry_after_s: float = 0.0,
) -> Response:
    """Return the answer to a request that no target has answered.

    Args:
        names: Header names that callers use.
        kind: Why the request is refused.
        request_id: Id of the request; empty if not known.
        detail: Human-readable explanation; by default the summary of the kind.
        retry_after_s: Delay before a retry; sent only if a retry is safe and useful. It
            is also useful after `DEADLINE_TOO_SHORT`: callers may have more time than
            the route gives a request.
    """
    entry = ERROR_ANSWERS[kind]
    headers = [("Content-Type", "application/json")]
    if request_id:
        headers.append((names.request_id, request_id))
    is_useful = entry.is_retryable or kind is ErrorKind.DEADLINE_TOO_SHORT
    if is_useful and entry.ran is Ran.NO and retry_after_s:
        headers.append(("Retry-After", f"{retry_after_s:.3g}"))
    if entry.http_status == HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    body = msgspec.json.encode(
        {
            "kind": kind.value,
            "ran": entry.ran.value,
            "detail": detail or entry.summary,
            "request_id": request_id,
        }
    )
    return Response(entry.http_status, tuple(headers), body)
