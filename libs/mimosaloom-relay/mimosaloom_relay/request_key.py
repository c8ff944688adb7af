"""Key that is the same for all attempts of one caller to send the same request."""

import hashlib

from mimosaloom_mesh.messages import Request

from .bodies import MAX_BUFFERED_BYTES, Body
from .organisations import CREDENTIALS_HEADER

__all__ = ["build_request_key"]

KEY_BYTES = 12


def build_request_key(request: Request, streamed_body: Body | None) -> str:
    """Return the key of a request: a digest of what a caller sends again unchanged.

    Method, host, path with the query, credentials and body count. Of a body that is too
    large to buffer, the part counts that is buffered before the request is passed on.

    Args:
        request: The request as received.
        streamed_body: Its body if it is not buffered completely.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (
        request.method,
        request.header("Host") or "",
        request.path,
        request.header(CREDENTIALS_HEADER) or "",
    ):
        # The terminator keeps parts that run into each other apart.
        digest.update(part.encode("latin-1") + b"\0")
    if streamed_body is None:
        digest.update(request.body)
    else:
        digest.update(streamed_body.peek(MAX_BUFFERED_BYTES))
    return digest.hexdigest()
