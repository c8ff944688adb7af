"""HTTP/1.1 client for requests to other nodes and to the node's own target.

libcurl, which the rest of the product uses, resends a request on its own when a reused
connection closes before the first byte of the response. The target may already have run
that request, so the relay manages its own connections and never resends a request
implicitly.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import httptools

from mimosaloom_mesh.messages import Headers, Request, Response, find_header
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address, Clock, ErrorKind

from .bodies import Body
from .connections import (
    FlowControl,
    HeadMeter,
    configure_socket,
    encode_head,
    find_connection_options,
    set_silence_detection,
)

__all__ = ["Answer", "HttpClient"]

CONNECT_TIMEOUT_S = 0.5
# Below the shortest idle timeout that targets announce, and below that of middleboxes
# that drop idle connections silently.
MAX_IDLE_S = 4.0
# A request that must not be repeated reuses a connection only within this idle time.
FRESH_IDLE_S = 1.0
# Share of an announced idle timeout after which a connection is not reused.
IDLE_TIMEOUT_RATIO = 0.6
# Answers to other requests that are skipped before the connection is closed.
MAX_UNRELATED_ANSWERS = 2
_BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
_NO_BODY_STATUSES = frozenset({204, 304})

# Name of the header by which a response names its request, and the id in it.
ExpectedId = tuple[str, str]


class Answer(NamedTuple):
    """A complete response, or the head of one whose body is too large to buffer.

    Attributes:
        response: Status and headers, and the body unless `streamed_body` is set.
        streamed_body: The body if it is streamed piece by piece; None if it is
            buffered.
    """

    response: Response
    streamed_body: Body | None = None


class _PendingResponse:
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


class _Connection(FlowControl):
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
        self._pending: _PendingResponse | None = None
        self._headers: list[tuple[str, str]] = []
        self._skips_response = False
        self._head_meter = HeadMeter()

    def connection_made(self, transport):
        self.transport = transport
        configure_socket(transport.get_extra_info("socket"))

    def connection_lost(self, exc):
        self._on_closed()
        self.is_reusable = False
        self.resume_writing()
        pending, self._pending = self._pending, None
        if pending is None:
            return
        if pending.status and not pending.is_self_delimiting and exc is None:
            pending.body.finish()
        else:
            pending.body.fail(str(exc or "connection closed"))

    def data_received(self, data):
        if self._pending is None:
            # These bytes answer no request. The next response could be a wrong one.
            self.drop()
            return
        self._head_meter.add(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail_response(f"the answer is not valid HTTP: {error}")
        if self._head_meter.is_exceeded:
            self._fail_response("the head of the answer is larger than the limit")

    def _fail_response(self, reason: str) -> None:
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.body.fail(reason)
        self.drop()

    def expect_response(
        self, is_head_request: bool, expected_id: ExpectedId | None
    ) -> _PendingResponse:
        """Prepare for the response to a request that is about to be written."""
        self._pending = _PendingResponse(is_head_request, expected_id, self.drop)
        return self._pending

    def set_silence_detection(self, *, is_on: bool) -> None:
        """Set whether the connection fails if the peer acknowledges no data."""
        set_silence_detection(self.transport.get_extra_info("socket"), is_on=is_on)

    def drop(self) -> None:
        """Close the connection immediately."""
        self.is_reusable = False
        self.transport.abort()

    def on_message_begin(self):
        self._headers = []
        if self._pending is None:
            self.is_reusable = False

    def on_header(self, name, value):
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        pending = self._pending
        if pending is None:
            return
        status = self._parser.get_status_code()
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
        self._head_meter.reset()
        if self._pending is not None and not self._skips_response:
            self.feed_with_backpressure(self._pending.body.feed, body)

    def on_message_complete(self):
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


class HttpClient:
    """Sends requests and keeps idle connections for reuse.

    Args:
        clock: Source of time.
        count_connection: Called for each connection that is opened.
        detects_silence: Whether a connection fails if its peer acknowledges no data
            for `SILENCE_MS`.
    """

    def __init__(
        self,
        clock: Clock,
        count_connection: Callable[[], None],
        *,
        detects_silence: bool = False,
    ):
        self._clock = clock
        self._detects_silence = detects_silence
        self._count_connection = count_connection
        self._idle: dict[Address, deque[_Connection]] = {}
        self._open_counts: Counter[Address] = Counter()
        self._sweeping: asyncio.TimerHandle | None = None

    async def send(
        self,
        address: Address,
        request: Request,
        streamed_body: Body | None = None,
        *,
        needs_fresh_connection: bool = False,
        needs_new_connection: bool = False,
        expected_id: ExpectedId | None = None,
        on_write: Callable[[], None] = lambda: None,
    ) -> Answer | FailedSend:
        """Send a request once and wait for its response.

        Cancelling the awaiting task closes the connection.

        Args:
            address: Address of the server.
            request: Head of the request, and its body unless `streamed_body` is given.
            streamed_body: Body that is streamed while it arrives.
            needs_fresh_connection: Whether the request needs a new or recently used
                connection, since it must not run twice.
            needs_new_connection: Whether the request needs a new connection, since
                its id can't tell its response from one that may be on its way on an
                open connection.
            expected_id: Header and id by which the response names the request. One that
                names another request is skipped. One that names none is the last on its
                connection, where a late copy of it could answer a later request. None
                if responses need no id.
            on_write: Called right before the first byte of the request is written. If
                it was not called, the request certainly does not run.

        Returns:
            The response, or `FailedSend`: with `CONNECT_FAILED` if no byte of the
            request was sent, otherwise with a kind after which the request may have
            run.
        """
        connection = None
        if not needs_new_connection:
            connection = self._pop_idle(address, needs_fresh_connection)
        if connection is None:
            connection = await self._connect(address)
            if connection is None:
                return FailedSend(
                    ErrorKind.CONNECT_FAILED, f"no connection to {address}"
                )
        is_kept = False
        try:
            outcome = await self._exchange(
                connection, request, streamed_body, expected_id, on_write
            )
            if isinstance(outcome, Answer):
                is_kept = True
                release = partial(self._release, address, connection, outcome.response)
                if outcome.streamed_body is None:
                    release()
                else:
                    connection.on_response_end = release
            return outcome
        finally:
            if not is_kept:
                connection.drop()

    @property
    def open_count(self) -> int:
        """Number of open connections to all servers."""
        return self._open_counts.total()

    def has_open_connection(self, address: Address) -> bool:
        """Return whether a connection to a server is open."""
        return self._open_counts[address] > 0

    async def can_connect(self, address: Address) -> bool:
        """Return whether a server accepts a connection, which is kept for reuse."""
        connection = await self._connect(address)
        if connection is None:
            return False
        self._keep_idle(address, connection)
        return True

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to an address, for example after a timeout."""
        for connection in self._idle.pop(address, ()):
            connection.drop()

    def close(self) -> None:
        """Close all idle connections."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        for address in list(self._idle):
            self.drop_idle(address)

    async def _exchange(
        self,
        connection: _Connection,
        request: Request,
        streamed_body: Body | None,
        expected_id: ExpectedId | None,
        on_write: Callable[[], None],
    ) -> Answer | FailedSend:
        if streamed_body is not None and self._detects_silence:
            # The target may read the body slowly, and the other node then stops reading
            # from this connection.
            connection.set_silence_detection(is_on=False)
            connection.is_reusable = False
        pending = connection.expect_response(request.method == "HEAD", expected_id)
        on_write()
        connection.transport.write(
            _encode_request(request, has_streamed_body=streamed_body is not None)
        )
        if connection.transport.is_closing():
            # The first write to an idle connection failed immediately.
            return FailedSend(
                ErrorKind.CONNECT_FAILED, "the idle connection was already closed"
            )
        writing = None
        if streamed_body is not None:
            writing = asyncio.ensure_future(
                _write_streamed_body(connection, request, streamed_body)
            )
        try:
            await pending.ready
        finally:
            if writing is not None and not writing.done():
                # The response came before the request was sent completely. The server
                # would read the rest of the body as the next request.
                writing.cancel()
                connection.is_reusable = False
        body = pending.body
        if not pending.status:
            return FailedSend(ErrorKind.CONNECTION_LOST, body.failure)
        if body.failure:
            return FailedSend(ErrorKind.ANSWER_TRUNCATED, body.failure)
        if body.is_complete:
            whole = body.take_buffered()
            return Answer(Response(pending.status, pending.headers, whole))
        return Answer(Response(pending.status, pending.headers), body)

    async def _connect(self, address: Address) -> _Connection | None:
        self._count_connection()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(lambda: self._count_closed(address)),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two are raised for a host or port that can't be one.
            return None
        self._open_counts[address] += 1
        if self._detects_silence:
            connection.set_silence_detection(is_on=True)
        return connection

    def _count_closed(self, address: Address) -> None:
        self._open_counts[address] -= 1

    def _pop_idle(
        self, address: Address, needs_fresh_connection: bool
    ) -> _Connection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            idle_s = self._clock.monotonic_s() - connection.idle_since_s
            limit_s = connection.idle_limit_s
            if needs_fresh_connection:
                limit_s = min(limit_s, FRESH_IDLE_S)
            is_open = connection.is_reusable and not connection.transport.is_closing()
            if is_open and idle_s < limit_s:
                return connection
            connection.drop()
        return None

    def _release(
        self, address: Address, connection: _Connection, response: Response
    ) -> None:
        """Keep a connection whose response is complete, or close it."""
        if not connection.is_reusable:
            connection.drop()
            return
        announced_s = _read_idle_timeout_s(response.header("Keep-Alive"))
        if announced_s is not None:
            connection.idle_limit_s = min(MAX_IDLE_S, IDLE_TIMEOUT_RATIO * announced_s)
        self._keep_idle(address, connection)

    def _keep_idle(self, address: Address, connection: _Connection) -> None:
        connection.idle_since_s = self._clock.monotonic_s()
        self._idle.setdefault(address, deque()).append(connection)
        if self._sweeping is None:
            loop = asyncio.get_running_loop()
            self._sweeping = loop.call_later(MAX_IDLE_S, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that were idle for too long to be used again."""
        self._sweeping = None
        earliest_s = self._clock.monotonic_s() - MAX_IDLE_S
        kept = {}
        for address, idle in self._idle.items():
            # The one that was used last is taken first, so old ones are in front.
            while idle and idle[0].idle_since_s <= earliest_s:
                idle.popleft().drop()
            if idle:
                kept[address] = idle
        self._idle = kept
        if kept:
            loop = asyncio.get_running_loop()
            self._sweeping = loop.call_later(MAX_IDLE_S, self._sweep)


def _encode_request(request: Request, *, has_streamed_body: bool) -> bytes:
    """Return the encoded head, and the body of a request that is buffered."""
    headers = list(request.headers)
    if not has_streamed_body:
        if request.body or request.method not in _BODYLESS_METHODS:
            headers.append(("Content-Length", str(len(request.body))))
    elif find_header(request.headers, "Content-Length") is None:
        headers.append(("Transfer-Encoding", "chunked"))
    head = encode_head(f"{request.method} {request.path} HTTP/1.1", headers)
    return head + request.body


async def _write_streamed_body(
    connection: _Connection, request: Request, streamed_body: Body
) -> None:
    is_chunked = find_header(request.headers, "Content-Length") is None
    if not await connection.write_pieces(streamed_body, is_chunked=is_chunked):
        # Only closing the connection shows the receiver that the body is incomplete.
        connection.drop()


def _read_idle_timeout_s(value: str | None) -> float | None:
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdecimal():
            return float(number)
    return None
