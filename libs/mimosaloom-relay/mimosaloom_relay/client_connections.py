"""One connection to a server, and the response that is received on it."""

import asyncio
from collections.abc import Callable

import httptools

from mimosaloom_mesh.messages import Headers, find_header

from .bodies import Body
from .connections import (
    LINE_BREAK_BYTES,
    MAX_HEAD_BYTES,
    FlowControl,
    HeadMeter,
    configure_socket,
    find_connection_options,
    set_silence_detection,
)

__all__ = ["MAX_IDLE_S", "ClientConnection", "ExpectedId", "PendingResponse"]

# Below the shortest idle timeout that targets announce, and below that of middleboxes
# that drop idle connections silently.
MAX_IDLE_S = 4.0
# Answers to other requests that are skipped before the connection is closed.
MAX_UNRELATED_ANSWERS = 2
# The parser accepts lower ones of three digits.
MIN_STATUS = 100
# Lines of the head of an answer, and of its trailers. Each takes some 160 bytes besides
# its letters.
MAX_HEAD_LINES = 1000
# What is parsed at once of a head.
SLICE_BYTES = 16 * 1024
_NO_BODY_STATUSES = frozenset({204, 304})

# Name of the header by which a response names its request, and the id in it.
ExpectedId = tuple[str, str]


class PendingResponse:
    """One response that is being received.

    Attributes:
        ready: Done when the body is complete, has failed or is too large to buffer.
        body: Body of the response.
        status: Status code; 0 before the head has arrived.
        headers: Headers of the response.
        is_head_request: Whether the response has no body because it answers HEAD.
        expected_id: Id by which a response names the request; None if it does not.
        unrelated_answers: Number of skipped responses to other requests.
    """

    def __init__(
        self,
        is_head_request: bool,
        expected_id: ExpectedId | None,
        abort: Callable,
    ):
        self.ready = asyncio.get_running_loop().create_future()
        self.body = Body(self._set_ready, abort)
        self.status = 0
        self.headers: Headers = ()
        self.is_head_request = is_head_request
        self.expected_id = expected_id
        self.unrelated_answers = 0

    @property
    def is_self_delimiting(self) -> bool:
        """Whether the end of the body is known before the connection closes."""
        return (
            self.is_head_request
            or self.status in _NO_BODY_STATUSES
            or find_header(self.headers, "Content-Length") is not None
            or find_header(self.headers, "Transfer-Encoding") is not None
        )

    def is_for_other_request(self, headers: Headers) -> bool:
        """Return whether a response names another request."""
        if self.expected_id is None:
            return False
        name, request_id = self.expected_id
        return find_header(headers, name) not in (None, request_id)

    def lacks_id(self) -> bool:
        """Return whether the response names no request, although it should."""
        if self.expected_id is None:
            return False
        return find_header(self.headers, self.expected_id[0]) is None

    def _set_ready(self) -> None:
        if not self.ready.done():
            self.ready.set_result(None)


class ClientConnection(FlowControl):
    """One connection to a server; httptools calls its `on_` methods.

    Args:
        on_closed: Called when the connection has closed.

    Attributes:
        on_response_end: Called once when the current response is complete; None for
            nothing.
    """

    def __init__(self, on_closed: Callable[[], None]):
        super().__init__()
        self._on_closed = on_closed
        self.on_response_end: Callable[[], None] | None = None
        self.idle_since_s = 0.0
        self.idle_limit_s = MAX_IDLE_S
        self.is_reusable = True
        self._parser = httptools.HttpResponseParser(self)
        self._pending: PendingResponse | None = None
        self._headers: list[tuple[str, str]] = []
        self._has_head = False
        # Size of the head or the trailers, as far as their lines have ended.
        self._head_bytes = 0
        self._head_lines = 0
        self._skips_response = False
        self._head_meter = HeadMeter()

    def connection_made(self, transport):
        """Prepare the socket; called by asyncio."""
        self.transport = transport
        configure_socket(transport.get_extra_info("socket"))

    def connection_lost(self, exc):
        """End the response; one without a length is complete unless `exc` is set."""
        self._on_closed()
        self.is_reusable = False
        # The parser refers to this connection, and holds what it has of a line. Without
        # the cycle both are freed at once, and not by the next garbage collection.
        self._parser = None
        self.resume_writing()
        pending, self._pending = self._pending, None
        if pending is None:
            return
        if pending.status and not pending.is_self_delimiting and exc is None:
            pending.body.finish()
        else:
            pending.body.fail(str(exc or "connection closed"))

    def data_received(self, data):
        """Parse received bytes, which must belong to the pending response."""
        while data:
            if self._pending is None:
                # These bytes answer no request. The next response could be a wrong one.
                self.drop()
                return
            size = len(data) if self._has_head else SLICE_BYTES
            piece, data = data[:size], data[size:]
            self._feed_parser(piece)

    def _feed_parser(self, piece: bytes) -> None:
        self._head_meter.add(len(piece))
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            # An error of a callback is the context of that of the parser. A variable
            # for the error itself would keep this frame until a garbage collection.
            reason = str(error.__context__ or error)
            self._fail_response(f"the answer is not valid HTTP: {reason}")
        if self._head_meter.is_exceeded:
            self._fail_response("the head of the answer is larger than the limit")

    def _fail_response(self, reason: str) -> None:
        self._headers = []
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.body.fail(reason)
        self.drop()

    def expect_response(
        self, is_head_request: bool, expected_id: ExpectedId | None
    ) -> PendingResponse:
        """Prepare for the response to a request that is about to be written."""
        self._has_head = False
        self._pending = PendingResponse(is_head_request, expected_id, self.drop)
        return self._pending

    def set_silence_detection(self, *, is_on: bool) -> None:
        """Set whether the connection fails if the peer acknowledges no data."""
        set_silence_detection(self.transport.get_extra_info("socket"), is_on=is_on)

    def drop(self) -> None:
        """Close the connection immediately."""
        self.is_reusable = False
        self.transport.abort()

    def on_message_begin(self):
        """Start a response, which may be one that nobody waits for."""
        self._headers = []
        self._has_head = False
        self._head_bytes = self._head_lines = 0
        if self._pending is None:
            self.is_reusable = False

    def on_header(self, name, value):
        """Add a field of the head, or ignore a trailer.

        Raises:
            ValueError: If the head or the trailers are larger than the limit; the
                parser reports it as an error of the message.
        """
        self._head_lines += 1
        self._head_bytes += len(name) + len(value) + LINE_BREAK_BYTES
        if self._head_bytes > MAX_HEAD_BYTES or self._head_lines > MAX_HEAD_LINES:
            raise ValueError("its head or its trailers are larger than the limit")
        if self._has_head:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Decide whether the response is that to the pending request.

        Raises:
            ValueError: If the status is none of HTTP; the parser reports it as an error
                of the message.
        """
        # Trailers have the same limit again.
        self._has_head = True
        self._head_bytes = self._head_lines = 0
        pending = self._pending
        if pending is None:
            return
        status = self._parser.get_status_code()
        if status < MIN_STATUS:
            raise ValueError(f"{status:03} is no status")
        headers = tuple(self._headers)
        is_interim = 100 <= status < 200
        self._skips_response = is_interim or pending.is_for_other_request(headers)
        if self._skips_response:
            pending.unrelated_answers += not is_interim
            if pending.unrelated_answers > MAX_UNRELATED_ANSWERS:
                pending.body.fail("too many answers to other requests")
                self.drop()
            return
        self._head_meter.reset()
        pending.status, pending.headers = status, headers
        options = find_connection_options(headers)
        if (
            "close" in options
            or not pending.is_self_delimiting
            or pending.unrelated_answers
            or pending.lacks_id()
        ):
            self.is_reusable = False
        if pending.is_head_request:
            # The parser would wait for a body of the length in the headers.
            self.is_reusable = False
            self._finish_response()

    def on_body(self, body):
        """Pass on a piece of the body, and stop reading while there is no room."""
        self._head_meter.reset()
        if self._pending is not None and not self._skips_response:
            self.feed_with_backpressure(self._pending.body.feed, body)

    def on_message_complete(self):
        """End the response unless it was skipped."""
        if not self._skips_response:
            self._head_meter.reset()
            self._finish_response()

    def _finish_response(self) -> None:
        pending, self._pending = self._pending, None
        if pending is None:
            return
        pending.body.finish()
        on_end, self.on_response_end = self.on_response_end, None
        if on_end is not None:
            on_end()
