"""HTTP client of the data path: the curl client with limits and result checks."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import pycurl

from mimosaloom_model import ErrorKind

from .curl_client import CurlClient, Exchange
from .messages import Request, Response

__all__ = ["Endpoint", "FailedSend", "SendControl", "Transport"]

DEFAULT_MAX_CLIENTS = 512
CONNECT_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 16 * 1_048_576
METHODS = frozenset({"GET", "POST", "PUT", "HEAD", "DELETE", "OPTIONS", "PATCH"})
_NO_BODY_STATUSES = frozenset({204, 304})
_LENGTH_HEADERS = frozenset({"content-length", "transfer-encoding"})
_CONNECT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)


class Endpoint(NamedTuple):
    """The destination of requests.

    Attributes:
        name: Name under which the requests in flight are counted.
        url: Base URL without a trailing slash.
        max_connections: Largest number of requests in flight at once.
    """

    name: str
    url: str
    max_connections: int


class FailedSend(NamedTuple):
    """Result of a request that got no complete response.

    Attributes:
        kind: Kind of the failure. A kind whose `ran` in `ERROR_ANSWERS` is `Ran.NO` is
            used only if no byte of the request was sent.
        detail: What happened, in one sentence.
    """

    kind: ErrorKind
    detail: str


class SendControl:
    """Allows other tasks to abort a request in flight.

    Attributes:
        abort: Closes the connection, so that the request ends with
            `ErrorKind.CONNECTION_LOST`; does nothing before the request is sent.
    """

    abort: Callable[[], None]

    def __init__(self):
        self.abort = lambda: None


class Transport:
    """Sends requests to nodes and targets.

    Args:
        max_clients: Largest number of requests in flight, over all endpoints.
        max_body_bytes: Largest response body.
    """

    def __init__(
        self,
        *,
        max_clients: int = DEFAULT_MAX_CLIENTS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self._max_clients = max_clients
        self._client = CurlClient(
            force_instance=True, max_clients=max_clients, max_body_size=max_body_bytes
        )
        self._in_flight: Counter[str] = Counter()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def send(
        self,
        endpoint: Endpoint,
        request: Request,
        *,
        timeout_s: float,
        use_new_connection: bool = False,
        control: SendControl | None = None,
    ) -> Response | FailedSend:
        """Send a request and wait for its complete response.

        Cancelling the awaiting task closes the connection.

        Args:
            endpoint: Destination.
            request: Request to send.
            timeout_s: Longest wait for the complete response.
            use_new_connection: Whether to open a new connection. libcurl never resends
                a request by itself on a new connection.
            control: Its `abort` is set to a function that aborts this request.
        """
        if timeout_s <= 0:
            return FailedSend(
                ErrorKind.DEADLINE_TOO_SHORT,
                "the deadline passed before the request was sent",
            )
        if request.method not in METHODS or (request.method == "GET" and request.body):
            return FailedSend(
                ErrorKind.BAD_REQUEST,
                f"can't forward this method or body: {request.method}",
            )
        if self._in_flight[endpoint.name] >= endpoint.max_connections:
            detail = f"{endpoint.max_connections} connections, the limit, are in use"
            return FailedSend(ErrorKind.CONNECTION_LIMIT, detail)
        if self._in_flight.total() >= self._max_clients:
            return FailedSend(
                ErrorKind.CONNECTION_LIMIT, "all connections of this process are in use"
            )
        exchange = Exchange(
            endpoint.url + request.path, request, timeout_s, use_new_connection
        )
        exchange.connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        if control is not None:
            control.abort = partial(self._client.abort, exchange)
        self._in_flight[endpoint.name] += 1
        try:
            await self._client.perform(exchange)
        except asyncio.CancelledError:
            self._client.abort(exchange)
            raise
        finally:
            self._in_flight[endpoint.name] -= 1
        return _build_result(request.method, exchange)


def _build_result(method: str, exchange: Exchange) -> Response | FailedSend:
    if exchange.setup_error:
        return FailedSend(ErrorKind.BAD_REQUEST, exchange.setup_error)
    if exchange.errno:
        return _classify_error(exchange)
    headers = exchange.response_headers()
    has_known_end = (
        method == "HEAD"
        or exchange.status in _NO_BODY_STATUSES
        or any(name.lower() in _LENGTH_HEADERS for name, _ in headers)
    )
    if not has_known_end:
        # If only the close of the connection ends a body, truncation can't be detected.
        return FailedSend(
            ErrorKind.ANSWER_TRUNCATED,
            "the answer has neither Content-Length nor Transfer-Encoding",
        )
    return Response(exchange.status, headers, exchange.body)


def _classify_error(exchange: Exchange) -> FailedSend:
    errno, detail = exchange.errno, exchange.error
    if errno in _CONNECT_ERRORS and exchange.sent_bytes == 0:
        return FailedSend(ErrorKind.CONNECT_FAILED, detail)
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return FailedSend(ErrorKind.DEADLINE_EXCEEDED, detail)
    if errno == pycurl.E_PARTIAL_FILE:
        return FailedSend(ErrorKind.ANSWER_TRUNCATED, detail)
    if errno == pycurl.E_WRITE_ERROR:
        return FailedSend(ErrorKind.ANSWER_TOO_LARGE, detail)
    return FailedSend(ErrorKind.CONNECTION_LOST, detail)
