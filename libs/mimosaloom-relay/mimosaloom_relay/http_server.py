"""HTTP server that hands requests of any size to a coroutine."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from eliot import log_message, write_traceback
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address

from .bodies import Body
from .hop_messages import forwarded_headers
from .http_client import Answer, keep_alive_socket

__all__ = ["Handler", "Incoming", "RelayServer"]

LISTEN_BACKLOG = 1024
# Larger than the limits of any deployment; the route table holds the one in force.
MAX_BODY_BYTES = 1 << 40
MAX_HEADER_BYTES = 65536


class Incoming(NamedTuple):
    """A request that has arrived, or the head of one that is too large to hold.

    Attributes:
        request: Head, and the body unless `rest` is set.
        rest: The body of a request that is passed on piece by piece.
    """

    request: Request
    rest: Body | None = None


Handler = Callable[[Incoming], Awaitable[Answer]]


class RelayServer:
    """Listens on one address and answers requests.

    Args:
        handle: Answers a request. It is cancelled when the client is gone.
        answer_crash: Returns the answer to a request whose handler raised.
    """

    def __init__(self, handle: Handler, answer_crash: Callable[[], Response]):
        self.handle = handle
        self.answer_crash = answer_crash
        self.is_closing = False
        self.tasks: set[asyncio.Task] = set()
        self._server = _Server(
            _ConnectionDelegate(self),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )

    def listen(self, address: Address) -> Address:
        """Start to listen; return the address with the port in use."""
        sockets = bind_sockets(address.port, address.host, backlog=LISTEN_BACKLOG)
        for sock in sockets:
            # Accepted connections inherit the options.
            keep_alive_socket(sock)
        self._server.add_sockets(sockets)
        return Address(address.host, sockets[0].getsockname()[1])

    def announce_close(self) -> None:
        """Close each connection after its next answer; new ones are still accepted."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Accept no more connections."""
        self.is_closing = True
        self._server.stop()

    async def close(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _Server(HTTPServer):
    def handle_stream(self, stream, address):
        # Tornado switches the option twice in each message; accepted connections
        # have it from the listening socket.
        stream.set_nodelay = lambda value: None
        super().handle_stream(stream, address)


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: RelayServer):
        self._server = server

    def start_request(self, server_conn, request_conn):
        return _Exchange(self._server, request_conn)


class _Exchange(HTTPMessageDelegate):
    """Collects one request and writes its response."""

    def __init__(self, server: RelayServer, connection):
        self._server = server
        self._connection = connection
        self._body = Body(self._start, connection.close)
        self._task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk):
        return self._body.feed(chunk)

    def finish(self):
        self._connection.set_close_callback(self.on_connection_close)
        self._body.finish()

    def on_connection_close(self):
        self._body.fail("the client closed its connection")
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        if self._body.failure:
            return
        is_whole = self._body.is_complete
        request = Request(
            self._start_line.method,
            self._start_line.path,
            tuple(self._headers.get_all()),
            self._body.take_whole() if is_whole else b"",
        )
        incoming = Incoming(request, None if is_whole else self._body)
        self._task = asyncio.ensure_future(self._answer(incoming))
        self._server.tasks.add(self._task)
        self._task.add_done_callback(self._server.tasks.discard)

    async def _answer(self, incoming: Incoming) -> None:
        try:
            answer = await self._server.handle(incoming)
        except asyncio.CancelledError:
            return
        except Exception:
            write_traceback()
            answer = Answer(self._server.answer_crash())
        try:
            await self._write(answer)
        except StreamClosedError as error:
            log_message(message_type="answer_not_written", detail=str(error))
        finally:
            self._body.discard()

    async def _write(self, answer: Answer) -> None:
        response = answer.response
        headers = HTTPHeaders()
        for name, value in forwarded_headers(response.headers):
            headers.add(name, value)
        length = response.header("Content-Length")
        if answer.rest is not None and length is not None:
            headers["Content-Length"] = length
        has_no_body = response.status in (204, 304)
        if answer.rest is None and not has_no_body:
            is_head = self._start_line.method == "HEAD"
            # The length in an answer to HEAD is that of the body it leaves out.
            own_length = str(len(response.body))
            headers["Content-Length"] = length or own_length if is_head else own_length
        if response.is_last or self._server.is_closing or not self._body.is_complete:
            headers["Connection"] = "close"
        reason = responses.get(response.status, "Unknown")
        start_line = ResponseStartLine("", response.status, reason)
        body = b"" if self._start_line.method == "HEAD" else response.body
        written = self._connection.write_headers(start_line, headers, body)
        if answer.rest is None:
            self._connection.finish()
            await written
            return
        await written
        try:
            async for piece in answer.rest.pieces():
                await self._connection.write(piece)
        finally:
            if not answer.rest.is_complete:
                answer.rest.abort()
        if answer.rest.is_complete:
            self._connection.finish()
        else:
            # Without its end the answer can't be taken for a complete one.
            self._connection.close()
