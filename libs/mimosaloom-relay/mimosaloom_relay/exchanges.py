"""One request that the server receives, and the framing of its answer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from mimosaloom_mesh.messages import Request, Response

from .bodies import MAX_BUFFERED_BYTES, Body
from .http_client import Answer

__all__ = ["Exchange", "Incoming", "add_framing_headers", "count_held_bytes"]


# Memory that a request takes besides its head and its body, by estimate.
REQUEST_COST_BYTES = 4096


class Incoming(NamedTuple):
    """A complete request, or the head of one whose body is too large to buffer.

    Attributes:
        request: Head of the request, and its body unless `streamed_body` is set.
        streamed_body: The body if it is streamed piece by piece; None if it is
            buffered.
        read_at_s: When the request was read, on the server's monotonic clock, if it
            then waited for requests before it; None if it did not wait.
    """

    request: Request
    streamed_body: Body | None = None
    read_at_s: float | None = None


class Exchange:
    """One request that is being received, and the state for its answer.

    Args:
        on_ready: Called with the exchange when the request is complete, has failed or
            is too large to buffer.
        abort: Aborts the connection.

    Attributes:
        size_bytes: Bytes of the body that have arrived.
        held_bytes: Memory that the request takes, by estimate.
        refusal: Answer in place of that of the handler; None if the request may run.
        has_head: Whether the head has been read; fields after it are trailers.
        request: The request as queued, with an empty body if that is streamed; None
            before it is queued.
        is_streamed: Whether the body was too large to buffer when it was queued.
        read_at_s: When the request was read, if it had to wait for its start.
        task: Answers the request; None before its start.
        turn: Done when the finished answer may be written; None if it never waited.
    """

    def __init__(self, on_ready: Callable[["Exchange"], None], abort: Callable):
        self.path = b""
        self.headers: list[tuple[str, str]] = []
        self.method = ""
        self.size_bytes = 0
        self.held_bytes = REQUEST_COST_BYTES
        self.refusal: Response | None = None
        self.has_head = False
        self.is_kept_alive = True
        self.is_http_1_0 = False
        self.request: Request | None = None
        self.is_streamed = False
        self.read_at_s: float | None = None
        self.task: asyncio.Task | None = None
        self.turn: asyncio.Future | None = None
        self.body = Body(lambda: on_ready(self), abort)

    def build_request(self) -> None:
        """Build the request, with its body if that is complete."""
        self.is_streamed = not self.body.is_complete
        self.request = Request(
            self.method,
            self.path.decode("latin-1"),
            tuple(self.headers),
            b"" if self.is_streamed else self.body.take_buffered(),
        )
        self.headers = []

    def refuse(self, response: Response) -> None:
        """Answer with a response of the server's own, and free what was received."""
        self.refusal = response
        self.body.discard()
        self.request = Request(self.method)
        self.held_bytes = REQUEST_COST_BYTES

    def take_parts(self) -> tuple[Request, Body | None]:
        """Return the request, and its body if that is streamed.

        A streamed body that was completed while the request waited is buffered.
        """
        if not self.is_streamed:
            return self.request, None
        if not self.body.is_complete:
            return self.request, self.body
        return self.request._replace(body=self.body.take_buffered()), None


def count_held_bytes(answer: Answer) -> int:
    """Return how many bytes a finished answer holds while it waits for its turn."""
    if answer.streamed_body is not None:
        return MAX_BUFFERED_BYTES
    return len(answer.response.body)


def add_framing_headers(
    exchange: Exchange, response: Response, streamed_body: Body | None, headers: list
) -> bool:
    """Add the header for the body's framing; return whether it is chunked."""
    length = response.header("Content-Length")
    if response.status in (204, 304):
        return False
    if streamed_body is None:
        # The Content-Length of an answer to HEAD is that of the omitted body.
        own_length = str(len(response.body))
        is_head = exchange.method == "HEAD"
        value = length or own_length if is_head else own_length
        headers.append(("Content-Length", value))
        return False
    if length is not None:
        headers.append(("Content-Length", length))
        return False
    if exchange.is_http_1_0:
        return False
    headers.append(("Transfer-Encoding", "chunked"))
    return True
