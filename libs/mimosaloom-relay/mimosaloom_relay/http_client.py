"""HTTP/1.1 client over tornado's connection class, for hops and for the own target.

libcurl, which the rest of the product uses, sends a request again on its own when a
reused connection closes before the first byte of an answer. The target may have run
that request, so the relay keeps its own connections and never repeats one unasked.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_mesh.transport import Broken
from mimosaloom_model import Address, Clock, Kind

from .bodies import Body

__all__ = ["Answer", "HttpClient", "keep_alive_socket"]

CONNECT_TIMEOUT_S = 0.5
# Below the shortest idle time that targets announce, and below what silently dropping
# middleboxes allow.
MAX_IDLE_S = 4.0
# A request that must not be repeated needs a connection that was alive a moment ago.
FRESH_IDLE_S = 1.0
# Share of an announced idle time after which a connection is not used any more.
IDLE_SHARE = 0.6
# A silent connection is given up after idle + interval * count seconds.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
USER_TIMEOUT_MS = 2000
# Answers to other requests that are read over before the own one.
MAX_FOREIGN_ANSWERS = 2
_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=65536, max_header_size=65536, max_body_size=1 << 40
)


class Answer(NamedTuple):
    """A response that has arrived, or the head of one that is too large to hold.

    Attributes:
        response: Status and headers, and the body unless `rest` is set.
        rest: The body of a response that is passed on piece by piece.
    """

    response: Response
    rest: Body | None = None


class _Stream(IOStream):
    """A connection with what the pool needs to know of it."""

    idle_since_s = 0.0
    idle_limit_s = MAX_IDLE_S

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes arrived that no request asked for."""
        return self._read_buffer_size > 0

    def set_nodelay(self, value: bool) -> None:
        """Leave the option as `keep_alive_socket` sets it.

        Tornado switches it twice in each message, which costs two system calls.
        """

    @property
    def sent_bytes(self) -> int:
        """Bytes handed to the system since the connection was opened."""
        return self._total_write_done_index


def keep_alive_socket(sock: socket.socket) -> None:
    """Let the system find connections that have gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class _ResponseReader(HTTPMessageDelegate):
    """Collects one response."""

    def __init__(self, stream: _Stream):
        self.ready = asyncio.get_running_loop().create_future()
        self.body = Body(self._set_ready, stream.close)
        self.start_line: ResponseStartLine | None = None
        self.headers = HTTPHeaders()
        self._stream = stream

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        return self.body.feed(chunk)

    def finish(self):
        has_length = "Content-Length" in self.headers or (
            "Transfer-Encoding" in self.headers
        )
        if not has_length and isinstance(self._stream.error, OSError):
            # A body without length ends with its connection; a reset cuts it short.
            self.body.fail(str(self._stream.error))
        else:
            self.body.finish()

    def on_connection_close(self):
        self.body.fail(str(self._stream.error or "connection closed"))

    def end_read(self, reading: asyncio.Future) -> None:
        """Take the end of the read; tornado tells no delegate of a missing head."""
        if not reading.cancelled():
            reading.exception()
        self.on_connection_close()

    def _set_ready(self):
        if not self.ready.done():
            self.ready.set_result(None)


class HttpClient:
    """Sends requests to addresses and keeps their connections.

    Args:
        clock: Source of time.
        count_connection: Called for each connection that is opened.
    """

    def __init__(self, clock: Clock, count_connection: Callable[[], None]):
        self._clock = clock
        self._count_connection = count_connection
        self._idle: dict[Address, deque[_Stream]] = {}

    async def send(
        self,
        address: Address,
        request: Request,
        rest: Body | None = None,
        *,
        must_not_repeat: bool = False,
        is_own: Callable[[HTTPHeaders], bool] = lambda headers: True,
    ) -> Answer | Broken:
        """Send a request once and wait for its response.

        Cancelling the awaiting task closes the connection.

        Args:
            address: Where the request goes.
            request: Head of the request, and its body unless `rest` is given.
            rest: Body that is passed on while it arrives.
            must_not_repeat: Whether only a new or recently used connection will do.
            is_own: Tells by the headers whether a response belongs to this request.

        Returns:
            The response, or `CONNECT_FAILED` if no byte of the request was sent, or
            another kind after which it may have run.
        """
        stream = self._take_idle(address, must_not_repeat)
        if stream is None:
            stream = await self._connect(address)
            if stream is None:
                return Broken(Kind.CONNECT_FAILED, f"no connection to {address}")
        sent_before = stream.sent_bytes
        is_kept = False
        try:
            outcome = await self._exchange(stream, request, rest, is_own)
            if isinstance(outcome, Broken):
                if stream.sent_bytes == sent_before:
                    return Broken(Kind.CONNECT_FAILED, outcome.detail)
                return outcome
            answer, is_reusable = outcome
            is_kept = is_reusable or answer.rest is not None
            if is_reusable:
                self._give_back(address, stream, answer.response)
            return answer
        finally:
            if not is_kept:
                stream.close()

    def drop_idle(self, address: Address) -> None:
        """Close idle connections, for example after one of them proved silent."""
        for stream in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop_idle(address)

    async def _exchange(
        self,
        stream: _Stream,
        request: Request,
        rest: Body | None,
        is_own: Callable[[HTTPHeaders], bool],
    ) -> tuple[Answer, bool] | Broken:
        connection = HTTP1Connection(stream, True, _PARAMETERS)
        _write_head(connection, request, has_rest=rest is not None)
        writing = None
        if rest is None:
            connection.finish()
        else:
            writing = asyncio.ensure_future(_write_rest(connection, stream, rest))
        try:
            reader = None
            for _ in range(MAX_FOREIGN_ANSWERS + 1):
                reader = _ResponseReader(stream)
                reading = asyncio.ensure_future(connection.read_response(reader))
                reading.add_done_callback(reader.end_read)
                await reader.ready
                if reader.start_line is None or is_own(reader.headers):
                    break
                connection = HTTP1Connection(stream, True, _PARAMETERS)
                connection.finish()
            else:
                return Broken(Kind.ANSWER_MISMATCH, "answers to other requests came")
        finally:
            if writing is not None and not writing.done():
                # The answer came before the end of the request; what is left of it
                # would be read as the next request.
                writing.cancel()
        if reader.start_line is None:
            return Broken(Kind.CONNECTION_LOST, reader.body.failure)
        if reader.body.failure:
            return Broken(Kind.ANSWER_TRUNCATED, reader.body.failure)
        is_reusable = (
            reader.body.is_complete
            and (writing is None or (writing.done() and not writing.cancelled()))
            and not stream.closed()
            and not stream.has_unread_bytes
            and reader.headers.get("Connection", "").lower() != "close"
        )
        headers = tuple(reader.headers.get_all())
        if reader.body.is_complete:
            whole = reader.body.take_whole()
            return Answer(Response(reader.start_line.code, headers, whole)), is_reusable
        return Answer(Response(reader.start_line.code, headers), reader.body), False

    async def _connect(self, address: Address) -> _Stream | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        keep_alive_socket(sock)
        stream = _Stream(sock, max_write_buffer_size=None)
        self._count_connection()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect((address.host, address.port))
        except (StreamClosedError, OSError, TimeoutError):
            stream.close()
            return None
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream

    def _take_idle(self, address: Address, must_not_repeat: bool) -> _Stream | None:
        idle = self._idle.get(address)
        while idle:
            stream = idle.pop()
            idle_s = self._clock.monotonic_s() - stream.idle_since_s
            limit_s = stream.idle_limit_s
            if must_not_repeat:
                limit_s = min(limit_s, FRESH_IDLE_S)
            if not stream.closed() and not stream.has_unread_bytes and idle_s < limit_s:
                return stream
            stream.close()
        return None

    def _give_back(self, address: Address, stream: _Stream, response: Response) -> None:
        stream.idle_since_s = self._clock.monotonic_s()
        announced_s = _read_idle_timeout_s(response.header("Keep-Alive"))
        if announced_s is not None:
            stream.idle_limit_s = min(MAX_IDLE_S, IDLE_SHARE * announced_s)
        # A close callback makes the stream notice that the peer closes it.
        stream.set_close_callback(lambda: None)
        self._idle.setdefault(address, deque()).append(stream)


def _write_head(connection: HTTP1Connection, request: Request, *, has_rest: bool):
    headers = HTTPHeaders()
    for name, value in request.headers:
        headers.add(name, value)
    if not has_rest:
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers["Content-Length"] = str(len(request.body))
    elif "Content-Length" not in headers:
        # Tornado frames in chunks only the methods of which it expects a body.
        headers["Transfer-Encoding"] = "chunked"
    start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")
    written = connection.write_headers(start_line, headers, request.body or None)
    if has_rest and "Transfer-Encoding" in headers:
        connection._chunking_output = True
    written.add_done_callback(_collect_error)


async def _write_rest(connection: HTTP1Connection, stream: _Stream, rest: Body) -> None:
    async for piece in rest.pieces():
        try:
            await connection.write(piece)
        except StreamClosedError:
            return
    if rest.is_complete:
        connection.finish()
    else:
        # Closing is the only way to tell the receiver that the request is cut short.
        stream.close()


def _collect_error(future: asyncio.Future) -> None:
    """Take the error of a write or read whose result another path reports."""
    if not future.cancelled():
        future.exception()


def _read_idle_timeout_s(value: str | None) -> float | None:
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdecimal():
            return float(number)
    return None
