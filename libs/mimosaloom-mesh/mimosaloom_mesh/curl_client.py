"""Tornado's curl client with a faster setup for complete requests on plain HTTP.

The setup of tornado's own client sets about 30 options and parses each header line as
it arrives. The requests here need ten options, and headers are parsed once at the end.
"""

import asyncio
import re
from dataclasses import dataclass, field

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from .messages import Headers, Request

__all__ = [
    "NO_ANSWER_STATUS",
    "ClosableCurlClient",
    "CurlClient",
    "Exchange",
    "fetch_response",
]

# Status that tornado gives to a request without a response.
NO_ANSWER_STATUS = 599
DEFAULT_CONNECT_TIMEOUT_S = 0.5
# Headers that libcurl adds by itself unless they are set or disabled.
_CURL_DEFAULT_HEADERS = ("Accept", "Content-Type", "Expect")
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_FORBIDDEN_CHARS = re.compile("[\r\n\0]")


@dataclass(slots=True, eq=False)
class Exchange:
    """A request and its result.

    Attributes:
        url: Complete URL.
        request: Request to send.
        timeout_s: Timeout of the whole exchange.
        use_new_connection: Whether to open a new connection.
        connect_timeout_s: Timeout for opening a new connection.
        status: HTTP status of the response.
        body: Body of the response.
        errno: Error number of libcurl; 0 if a complete response arrived.
        error: Error message of libcurl.
        setup_error: Why the setup of the request failed, so that nothing was sent;
            empty if it succeeded.
        sent_bytes: Bytes sent, including those of copies that libcurl resent.
        header_lines: Header lines as received.
    """

    url: str
    request: Request
    timeout_s: float
    use_new_connection: bool = False
    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    status: int = 0
    body: bytes = b""
    errno: int = 0
    error: str = ""
    setup_error: str = ""
    sent_bytes: int = 0
    header_lines: list[bytes] = field(default_factory=list)

    def response_headers(self) -> Headers:
        """Return the headers of the final response."""
        headers: list[tuple[str, str]] = []
        for line in self.header_lines:
            if line.startswith(b"HTTP/"):
                # A new status line: the headers so far belong to an interim response.
                headers.clear()
                continue
            name, colon, value = line.decode("latin-1").partition(":")
            if colon:
                headers.append((name, value.strip()))
        return tuple(headers)


class ClosableCurlClient(CurlAsyncHTTPClient):
    """Tornado's client, whose calls can be aborted.

    No timer remains after it is closed.
    """

    def abort(self, request: HTTPRequest) -> None:
        """Abort a call that is in progress, and close its connection."""
        if self._closed:
            return
        for curl in self._curls:
            # Tornado sets it when it first uses a handle.
            info = getattr(curl, "info", None)
            if info is not None and info["request"].request is request:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
                self._process_queue()
                return

    def close(self) -> None:
        """Close all connections; calls in progress never complete."""
        super().close()
        # libcurl sets a timer while its connections are closed, after tornado has
        # removed the last one.
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)
            self._timeout = None


class CurlClient(CurlAsyncHTTPClient):
    """Performs exchanges and can abort them."""

    def initialize(self, max_clients: int, max_body_size: int) -> None:
        """Create the curl handles; tornado calls this instead of a constructor.

        Args:
            max_clients: Number of curl handles; further exchanges wait for one.
            max_body_size: Largest response body in bytes.
        """
        self._timer: asyncio.Handle | None = None
        super().initialize(max_clients=max_clients, max_body_size=max_body_size)
        self._active: dict[Exchange, pycurl.Curl] = {}

    async def perform(self, exchange: Exchange) -> None:
        """Send the request and fill in the result."""
        future = asyncio.get_running_loop().create_future()

        def finish(response: HTTPResponse | None) -> None:
            if response is not None:
                # Tornado passes a response only if the setup of the request failed.
                exchange.setup_error = str(response.error)
            if not future.done():
                future.set_result(None)

        self.fetch_impl(exchange, finish)
        await future

    def fetch_impl(self, request, callback):
        """Start an exchange; overrides the method of the same name in tornado."""
        self._requests.append((request, callback, self.io_loop.time()))
        self._process_queue()
        # Send now rather than in the next iteration of the event loop.
        self._handle_timeout()

    def _set_timeout(self, msecs):
        # libcurl sets a timer for almost every event, and asyncio timers cost less
        # than those of tornado.
        self._stop_timer()
        loop = self.io_loop.asyncio_loop
        if msecs == 0:
            self._timer = loop.call_soon(self._handle_timeout)
        elif msecs > 0:
            self._timer = loop.call_later(msecs / 1000, self._handle_timeout)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self, exchange: Exchange) -> None:
        """Abort an exchange and close its connection."""
        curl = self._active.get(exchange)
        if curl is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
            self._process_queue()

    def close(self) -> None:
        """Close all curl handles; exchanges in progress never complete."""
        self._active.clear()
        self._stop_timer()
        super().close()
        self._stop_timer()

    def _curl_setup_request(self, curl, request, buffer, headers):
        exchange = request
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.URL, exchange.url)
        curl.setopt(pycurl.HTTPHEADER, _encode_headers(exchange.request.headers))
        curl.setopt(pycurl.HEADERFUNCTION, exchange.header_lines.append)
        curl.setopt(pycurl.WRITEFUNCTION, self._bounded_write(curl, buffer))
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(1000 * exchange.timeout_s)))
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS, max(1, int(1000 * exchange.connect_timeout_s))
        )
        curl.setopt(pycurl.FRESH_CONNECT, exchange.use_new_connection)
        _set_method(curl, exchange.request)
        self._active[exchange] = curl

    def _bounded_write(self, curl, buffer):
        limit_bytes = self.max_body_size

        def write(chunk: bytes) -> int:
            if buffer.tell() + len(chunk) > limit_bytes:
                curl.info["body_too_large"] = True
                return 0
            return buffer.write(chunk)

        return write

    def _finish(self, curl, curl_error=None, curl_message=None):
        info, curl.info = curl.info, None
        exchange = info["request"]
        self._active.pop(exchange, None)
        # If a reused connection closes before the first byte of the response, libcurl
        # resends the request by itself and reports only the second error. The number
        # of bytes sent shows whether the first copy left this process.
        exchange.sent_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
        if curl_error:
            exchange.errno = curl_error
            exchange.error = curl_message
        else:
            exchange.status = curl.getinfo(pycurl.HTTP_CODE)
            exchange.body = info["buffer"].getvalue()
        # Tornado's `_finish` also reads eight timings and builds a response object.
        self._multi.remove_handle(curl)
        curl.reset()
        self._free_list.append(curl)
        info["callback"](None)


async def fetch_response(
    client: ClosableCurlClient, request: HTTPRequest
) -> HTTPResponse:
    """Return the response to a request; `NO_ANSWER_STATUS` if there is none.

    Cancelling the awaiting task aborts the call.
    """
    fetching = client.fetch(request, raise_error=False)
    try:
        return await asyncio.shield(fetching)
    except HTTPError as error:
        # `raise_error` applies only to responses, not to connection failures.
        return HTTPResponse(request, NO_ANSWER_STATUS, error=error)
    except asyncio.CancelledError:
        # Nobody needs to know how the call ends.
        fetching.add_done_callback(lambda done: done.cancelled() or done.exception())
        client.abort(request)
        raise


def _encode_headers(headers: Headers) -> list[bytes]:
    lines = []
    not_set = list(_CURL_DEFAULT_HEADERS)
    for name, value in headers:
        if _FORBIDDEN_CHARS.search(name + value):
            raise ValueError(
                f"header {name!r} contains a line break or a null character"
            )
        # For libcurl, `Name;` sends a header without a value.
        line = f"{name}: {value}" if value else f"{name};"
        lines.append(line.encode("latin-1"))
        if name.title() in not_set:
            not_set.remove(name.title())
    # `Name:` disables a header that libcurl would add.
    lines += [f"{name}:".encode() for name in not_set]
    return lines


def _set_method(curl: pycurl.Curl, request: Request) -> None:
    if request.body or request.method in _BODY_METHODS:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, request.body)
    if request.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    elif request.method not in ("GET", "POST"):
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
