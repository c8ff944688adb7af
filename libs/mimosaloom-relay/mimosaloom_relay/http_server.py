"""HTTP/1.1 server that passes requests of any size to a coroutine."""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools
from eliot import write_traceback

from mimosaloom_mesh.messages import Request, Response, find_header
from mimosaloom_model import Address

from .bodies import Body
from .connections import (
    MAX_HEAD_BYTES,
    FlowControl,
    HeadMeter,
    configure_socket,
    encode_head,
)
from .hop_messages import forwarded_headers
from .http_client import Answer

__all__ = ["Handler", "Incoming", "RelayServer"]

LISTEN_BACKLOG = 1024
# Time for which the rest of a request is still read after an early answer. Closing a
# connection with unread bytes resets it, and the client would lose the answer.
LINGER_S = 0.5
DEFAULT_MAX_BODY_BYTES = 1 << 30
CONTENT_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
BAD_REQUEST_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASONS = {status.value: status.phrase for status in HTTPStatus}


class Incoming(NamedTuple):
    """A complete request, or the head of one whose body is too large to buffer.

    Attributes:
        request: Head of the request, and its body unless `streamed_body` is set.
        streamed_body: The body if it is streamed piece by piece; None if it is
            buffered.
    """

    request: Request
    streamed_body: Body | None = None


Handler = Callable[[Incoming], Awaitable[Answer]]


class RelayServer:
    """Listens on one address and answers requests.

    Args:
        handle: Answers a request; cancelled if the client closes its connection.
        answer_crash: Returns the answer to a request whose handler raised an exception.
        max_body_bytes: Returns the largest body that is accepted.
    """

    def __init__(
        self,
        handle: Handler,
        answer_crash: Callable[[], Response],
        max_body_bytes: Callable[[], int] = lambda: DEFAULT_MAX_BODY_BYTES,
    ):
        self.handle = handle
        self.answer_crash = answer_crash
        self.max_body_bytes = max_body_bytes
        self.is_closing = False
        self.tasks: set[asyncio.Task] = set()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start listening; return the address with the actual port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the socket options.
        configure_socket(sock)
        sock.bind((address.host, address.port))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=sock, backlog=LISTEN_BACKLOG
        )
        return Address(address.host, sock.getsockname()[1])

    def announce_close(self) -> None:
        """Close each connection after its next answer, but accept new connections."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Accept no new connections."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()

    @property
    def has_unsent(self) -> bool:
        """Whether part of an answer has not been passed to the operating system."""
        return any(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
        )

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has arrived and the rest has not."""
        return any(connection.is_receiving for connection in self.connections)

    def close(self) -> None:
        """Close all connections after the data already written has been sent."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.transport.close()


class _Exchange:
    """One request that is being received, and the state for its answer."""

    def __init__(self, connection: "_Connection"):
        self.path = b""
        self.headers: list[tuple[str, str]] = []
        self.method = ""
        self.size = 0
        self.is_kept_alive = True
        self.is_http_1_0 = False
        self.task: asyncio.Task | None = None
        self.body = Body(
            lambda: connection.enqueue(self), lambda: connection.transport.abort()
        )


class _Connection(FlowControl):
    """One connection of a client; httptools calls its `on_` methods.

    Requests are answered in order, one at a time, even if the client pipelines them.
    """

    def __init__(self, server: RelayServer):
        super().__init__()
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: _Exchange | None = None
        self._waiting: deque[_Exchange] = deque()
        self._current: _Exchange | None = None
        self._head_bytes = 0
        self._head_meter = HeadMeter()
        self._has_stopped_parsing = False
        self._error_response = BAD_REQUEST_RESPONSE

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has arrived and the rest has not."""
        return self._incoming is not None and not self._has_stopped_parsing

    def connection_made(self, transport):
        self.transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc):
        self._server.connections.discard(self)
        self.resume_writing()
        if self._incoming is not None:
            self._incoming.body.fail("the client closed the connection")
        self._waiting.clear()
        if self._current is not None and self._current.task is not None:
            self._current.task.cancel()

    def data_received(self, data):
        if self._has_stopped_parsing:
            return
        self._head_meter.add(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is supported: the request is answered without an
            # upgrade, and no bytes after it are parsed.
            self._has_stopped_parsing = True
            self._error_response = b""
        except httptools.HttpParserError:
            self._reject()
            return
        if self._head_meter.is_exceeded:
            self._reject()

    def on_message_begin(self):
        self._incoming = _Exchange(self)
        self._head_bytes = 0

    def on_url(self, url):
        self._incoming.path += url
        self._count_head(len(url))

    def on_header(self, name, value):
        self._count_head(len(name) + len(value))
        header = (name.decode("latin-1"), value.decode("latin-1"))
        self._incoming.headers.append(header)

    def on_headers_complete(self):
        self._head_meter.reset()
        exchange = self._incoming
        exchange.method = self._parser.get_method().decode("latin-1")
        exchange.is_kept_alive = (
            self._parser.should_keep_alive() and not self._parser.should_upgrade()
        )
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise ValueError("the HTTP version is not supported; use 1.0 or 1.1")
        exchange.is_http_1_0 = version == "1.0"
        if find_header(exchange.headers, "Expect") is not None:
            self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, body):
        self._head_meter.reset()
        self._incoming.size += len(body)
        if self._incoming.size > self._server.max_body_bytes():
            self._error_response = CONTENT_TOO_LARGE_RESPONSE
            raise ValueError("the request body is larger than the limit")
        self.feed_with_backpressure(self._incoming.body.feed, body)

    def on_message_complete(self):
        self._head_meter.reset()
        exchange, self._incoming = self._incoming, None
        exchange.body.finish()

    def enqueue(self, exchange: _Exchange) -> None:
        """Queue a request that is complete, or too large to buffer, for its answer.

        If its body has failed instead, the request is cancelled.
        """
        if exchange.body.failure:
            if exchange.task is not None:
                exchange.task.cancel()
            return
        self._waiting.append(exchange)
        if self._current is None:
            self._start_next()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("the request head is larger than the limit")

    def _reject(self) -> None:
        """Stop parsing after an invalid request, and answer it with an error.

        Where one request ends and the next begins is no longer certain, so the
        connection is closed afterwards.
        """
        self._has_stopped_parsing = True
        incoming = self._incoming
        if incoming is not None:
            incoming.body.fail("the request is not valid HTTP or exceeds a limit")
            if incoming is self._current:
                # The request is already being passed on; cancelling it ends the hop.
                incoming.task.cancel()
                self._current = None
        if self._current is None:
            self._write_error_response()

    def _write_error_response(self) -> None:
        self.transport.write(self._error_response)
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self.transport.close)

    def _start_next(self) -> None:
        exchange = self._current = self._waiting.popleft()
        is_complete = exchange.body.is_complete
        request = Request(
            exchange.method,
            exchange.path.decode("latin-1"),
            tuple(exchange.headers),
            exchange.body.take_buffered() if is_complete else b"",
        )
        incoming = Incoming(request, None if is_complete else exchange.body)
        exchange.task = asyncio.ensure_future(self._answer(exchange, incoming))
        self._server.tasks.add(exchange.task)
        exchange.task.add_done_callback(self._server.tasks.discard)

    async def _answer(self, exchange: _Exchange, incoming: Incoming) -> None:
        try:
            answer = await self._server.handle(incoming)
        except asyncio.CancelledError:
            return
        except Exception:
            write_traceback()
            answer = Answer(self._server.answer_crash())
        await self._write(exchange, answer)
        exchange.body.discard()
        self._current = None
        if self.transport.is_closing():
            return
        if self._waiting:
            self._start_next()
        elif self._has_stopped_parsing:
            self._write_error_response()

    async def _write(self, exchange: _Exchange, answer: Answer) -> None:
        response, streamed_body = answer
        headers = list(forwarded_headers(response.headers))
        is_chunked = _add_framing_headers(exchange, response, streamed_body, headers)
        must_close = (
            response.is_last
            or self._server.is_closing
            or not exchange.is_kept_alive
            or not exchange.body.is_complete
            or (streamed_body is not None and not is_chunked and exchange.is_http_1_0)
        )
        if must_close:
            headers.append(("Connection", "close"))
        reason = _REASONS.get(response.status, "Unknown")
        head = encode_head(f"HTTP/1.1 {response.status} {reason}", headers)
        is_head_request = exchange.method == "HEAD"
        self.transport.write(head if is_head_request else head + response.body)
        if streamed_body is not None and not is_head_request:
            await self._write_streamed_body(streamed_body, is_chunked=is_chunked)
        await self.drain()
        if must_close:
            self._close(exchange)

    async def _write_streamed_body(
        self, streamed_body: Body, *, is_chunked: bool
    ) -> None:
        is_complete = False
        try:
            is_complete = await self.write_pieces(streamed_body, is_chunked=is_chunked)
        finally:
            if not is_complete:
                # Closing the connection shows the client that the answer is incomplete.
                streamed_body.abort()
                self.transport.abort()

    def _close(self, exchange: _Exchange) -> None:
        if exchange.body.is_complete:
            self.transport.close()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_S, self.transport.close)


def _add_framing_headers(
    exchange: _Exchange, response: Response, streamed_body: Body | None, headers: list
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
