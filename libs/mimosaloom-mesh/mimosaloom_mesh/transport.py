"""HTTP client of the data path: tornado's curl client with bounds and checks."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import pycurl

from mimosaloom_model import Kind

from .curl_client import CurlClient, Exchange
from .messages import Request, Response

__all__ = ["Broken", "Endpoint", "SendControl", "Transport"]

DEFAULT_MAX_CLIENTS = 512
CONNECT_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 16 * 1_048_576
METHODS = frozenset({"GET", "POST", "PUT", "HEAD", "DELETE", "OPTIONS", "PATCH"})
_NO_BODY_STATUSES = frozenset({204, 304})
_LENGTH_HEADERS = frozenset({"content-length", "transfer-encoding"})
_NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)


class Endpoint(NamedTuple):
    """Where requests go.

    Attributes:
        name: Name under which connections are counted.
        url: Base URL without a trailing slash.
        max_connections: Requests that may be in flight to it at once.
    """

    name: str
    url: str
    max_connections: int


class Broken(NamedTuple):
    """No whole response arrived.

    Attributes:
        kind: A kind with `ran` "no" only if no byte of the request was sent.
        detail: One sentence on what happened.
    """

    kind: Kind
    detail: str


class SendControl:
    """Lets others end a request that is sent.

    Attributes:
        abort: Closes the connection; the request ends as `CONNECTION_LOST`.
    """

    abort: Callable[[], None]

    def __init__(self):
        self.abort = lambda: None


class Transport:
    """Sends requests to nodes and targets.

    Args:
        max_clients: Requests in flight over all endpoints.
        max_body_bytes: Largest answer body.
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
        is_fresh: bool = False,
        control: SendControl | None = None,
    ) -> Response | Broken:
        """Send a request and wait for its whole response.

        Cancelling the awaiting task closes the connection.

        Args:
            endpoint: Where the request goes.
            request: What is sent.
            timeout_s: Longest wait for the whole response.
            is_fresh: Whether a new connection is opened. A request on a new
                connection is never sent twice by libcurl.
            control: Ends the request early.
        """
        if timeout_s <= 0:
            return Broken(Kind.DEADLINE_TOO_SHORT, "no time is left to send the call")
        if request.method not in METHODS or (request.method == "GET" and request.body):
            return Broken(Kind.BAD_REQUEST, f"can't forward this {request.method}")
        if self._in_flight[endpoint.name] >= endpoint.max_connections:
            detail = f"{endpoint.max_connections} connections are in use"
            return Broken(Kind.CONNECTION_LIMIT, detail)
        if self._in_flight.total() >= self._max_clients:
            return Broken(Kind.CONNECTION_LIMIT, "all connections are in use")
        exchange = Exchange(endpoint.url + request.path, request, timeout_s, is_fresh)
        exchange.connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        if control is not None:
            control.abort = partial(self._client.abort, exchange)
        self._in_flight[endpoint.name] += 1
        try:
            await self._client.exchange(exchange)
        except asyncio.CancelledError:
            self._client.abort(exchange)
            raise
        finally:
            self._in_flight[endpoint.name] -= 1
        return _read_result(request.method, exchange)


def _read_result(method: str, exchange: Exchange) -> Response | Broken:
    if exchange.setup_error:
        return Broken(Kind.BAD_REQUEST, exchange.setup_error)
    if exchange.errno:
        return _read_error(exchange)
    headers = exchange.response_headers()
    has_end = (
        method == "HEAD"
        or exchange.status in _NO_BODY_STATUSES
        or any(name.lower() in _LENGTH_HEADERS for name, _ in headers)
    )
    if not has_end:
        # A body that ends with the connection can't be told from a cut one.
        return Broken(Kind.ANSWER_TRUNCATED, "the answer has no length")
    return Response(exchange.status, headers, exchange.body)


def _read_error(exchange: Exchange) -> Broken:
    errno, detail = exchange.errno, exchange.error
    if errno in _NOT_SENT_ERRORS and exchange.sent_bytes == 0:
        return Broken(Kind.CONNECT_FAILED, detail)
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return Broken(Kind.DEADLINE_EXCEEDED, detail)
    if errno == pycurl.E_PARTIAL_FILE:
        return Broken(Kind.ANSWER_TRUNCATED, detail)
    if errno == pycurl.E_WRITE_ERROR:
        return Broken(Kind.ANSWER_TOO_LARGE, detail)
    return Broken(Kind.CONNECTION_LOST, detail)
