"""HTTP server that passes complete requests to a coroutine.

It uses a connection delegate rather than `tornado.web.Application`, because requests
are forwarded unchanged. A body over the limit must be answered with
`ErrorKind.BODY_TOO_LARGE`, which tornado's own limit does not do.
"""

import asyncio
from collections.abc import Awaitable, Callable

from eliot import log_message, write_traceback
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.netutil import bind_sockets

from mimosaloom_model import Address, Clock, ErrorKind, Failed, Refused

from .headers import build_response
from .messages import HopAnswer, Request, Response

__all__ = ["Handler", "WholeRequestServer", "build_refusal"]

Handler = Callable[[Request], Awaitable[Response]]

# A body over the limit is read and discarded up to this size, so that the answer
# reaches a client that sends its whole request before it reads.
MAX_DISCARDED_BYTES = 16 * 1_048_576
UNLIMITED_BYTES = 1 << 62
STOP_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 1024


def build_refusal(kind: ErrorKind, detail: str = "") -> Response:
    """Return the refusal of a request that has no call id."""
    return build_response(HopAnswer(Refused(kind, detail)), "none", 1, "")


class WholeRequestServer:
    """Listens on one address and answers each complete request.

    Args:
        handle: Answers a request; it is cancelled when the client disconnects.
        clock: Source of time.
        max_body_bytes: Largest request body.
        count_refusal: Counts the answers that the server gives instead of the handler.
    """

    def __init__(
        self,
        handle: Handler,
        *,
        clock: Clock,
        max_body_bytes: int,
        count_refusal: Callable[[ErrorKind], None],
    ):
        self.handle = handle
        self.max_body_bytes = max_body_bytes
        self.count_refusal = count_refusal
        self.clock = clock
        self.last_request_s = clock.monotonic_s()
        self.is_closing = False
        self.tasks: set[asyncio.Task] = set()
        delegate = _ConnectionDelegate(self)
        self._server = HTTPServer(delegate, max_body_size=UNLIMITED_BYTES)

    def listen(self, address: Address) -> Address:
        """Start listening and return the address with the actual port."""
        sockets = bind_sockets(address.port, address.host, backlog=LISTEN_BACKLOG)
        self._server.add_sockets(sockets)
        return Address(address.host, sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Accept no more connections; open ones are closed after their next answer."""
        self.is_closing = True
        self._server.stop()

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Accept no more connections, finish the answers, then close all connections.

        Args:
            timeout_s: Longest wait for the answers. Without it, a client that does not
                read its answer would block the stop.
        """
        self.stop_accepting()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)
        await self._server.close_all_connections()


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    """Creates a message delegate for each request of a connection."""

    def __init__(self, server: WholeRequestServer):
        self._server = server

    def start_request(self, server_conn, request_conn):
        return _MessageDelegate(self._server, request_conn)


class _MessageDelegate(HTTPMessageDelegate):
    """Collects one request and writes its response."""

    def __init__(self, server: WholeRequestServer, connection):
        self._server = server
        self._connection = connection
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_too_large = False
        self._task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        self._server.last_request_s = self._server.clock.monotonic_s()
        self._start_line = start_line
        self._headers = headers
        length = headers.get("Content-Length", "0")
        size = int(length) if length.isdecimal() else 0
        self._check_size(size)
        if size > MAX_DISCARDED_BYTES:
            self._write(self._build_too_large_response())

    def data_received(self, chunk):
        self._size += len(chunk)
        self._check_size(self._size)
        if self._is_too_large:
            self._chunks.clear()
            if self._size > MAX_DISCARDED_BYTES:
                self._connection.connection.close()
        else:
            self._chunks.append(chunk)

    def finish(self):
        if self._is_too_large:
            self._write(self._build_too_large_response())
            return
        request = Request(
            self._start_line.method,
            self._start_line.path,
            tuple(self._headers.get_all()),
            b"".join(self._chunks),
        )
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._handle_request(request))
        self._server.tasks.add(self._task)
        self._task.add_done_callback(self._server.tasks.discard)

    def on_connection_close(self):
        self._chunks.clear()
        if self._task is not None:
            self._task.cancel()

    def _check_size(self, size: int) -> None:
        if size > self._server.max_body_bytes and not self._is_too_large:
            self._is_too_large = True
            self._server.count_refusal(ErrorKind.BODY_TOO_LARGE)

    def _build_too_large_response(self) -> Response:
        limit = f"the request body limit is {self._server.max_body_bytes} bytes"
        refusal = build_refusal(ErrorKind.BODY_TOO_LARGE, limit)
        return refusal._replace(is_last=True)

    async def _handle_request(self, request: Request) -> None:
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError:
            return
        except Exception:
            write_traceback()
            self._server.count_refusal(ErrorKind.INTERNAL)
            failure = HopAnswer(Failed(ErrorKind.INTERNAL))
            response = build_response(failure, "none", 1, "")
        try:
            # The task ends only after the answer was passed to the operating system,
            # so that `stop`, which waits for the tasks, truncates no answer.
            await self._write(response)
        except OSError as error:
            log_message(message_type="answer_not_written", detail=str(error))

    def _write(self, response: Response) -> Awaitable[None]:
        headers = HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        if response.status not in (204, 304):
            headers["Content-Length"] = str(len(response.body))
        if response.is_last or self._server.is_closing:
            headers["Connection"] = "close"
        reason = responses.get(response.status, "Unknown")
        start_line = ResponseStartLine("", response.status, reason)
        is_bodyless = self._start_line.method == "HEAD"
        body = b"" if is_bodyless else response.body
        written = self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
        return written
