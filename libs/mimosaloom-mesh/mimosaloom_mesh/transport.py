"""HTTP client of the data path: tornado's curl client with bounds and checks."""

import asyncio
from collections import Counter
from typing import NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from mimosaloom_model import Kind

from .messages import Request, Response

__all__ = ["Broken", "Endpoint", "Transport"]

DEFAULT_MAX_CLIENTS = 512
CONNECT_TIMEOUT_S = 0.5
MAX_BODY_BYTES = 16 * 1_048_576
METHODS = frozenset({"GET", "POST", "PUT", "HEAD", "DELETE", "OPTIONS", "PATCH"})
_NO_BODY_STATUSES = frozenset({204, 304})
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


class _Client(CurlAsyncHTTPClient):
    """The curl client with abort, and with the number of bytes sent on errors."""

    def initialize(self, max_clients, max_body_size):
        super().initialize(max_clients=max_clients, max_body_size=max_body_size)
        self._active: dict[HTTPRequest, pycurl.Curl] = {}

    def abort(self, request: HTTPRequest) -> None:
        """End a request at once and close its connection."""
        curl = self._active.get(request)
        if curl is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
            self._process_queue()

    def _curl_setup_request(self, curl, request, buffer, headers):
        super()._curl_setup_request(curl, request, buffer, headers)
        self._active[request.request] = curl
        curl.setopt(pycurl.FRESH_CONNECT, request.request.is_fresh)

    def _finish(self, curl, curl_error=None, curl_message=None):
        request = curl.info["request"].request
        self._active.pop(request, None)
        # libcurl sends a request again on its own when a reused connection closes
        # before the first byte of an answer, and then reports only the second
        # error. The bytes sent tell whether the first copy left this process.
        request.sent_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
        super()._finish(curl, curl_error, curl_message)


class _CurlRequest(HTTPRequest):
    """A request that also says how its connection is chosen and what was sent."""

    is_fresh = False
    sent_bytes = 0


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
        self._client = _Client(
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
    ) -> Response | Broken:
        """Send a request and wait for its whole response.

        Cancelling the awaiting task closes the connection.

        Args:
            endpoint: Where the request goes.
            request: What is sent.
            timeout_s: Longest wait for the whole response.
            is_fresh: Whether a new connection is opened. A request on a new
                connection is never sent twice by libcurl.
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
        curl_request = _build_curl_request(endpoint, request, timeout_s)
        curl_request.is_fresh = is_fresh
        self._in_flight[endpoint.name] += 1
        try:
            response = await self._client.fetch(curl_request, raise_error=False)
        except asyncio.CancelledError:
            self._client.abort(curl_request)
            raise
        except CurlError as error:
            return _read_error(curl_request, error)
        except (KeyError, ValueError) as error:
            return Broken(Kind.BAD_REQUEST, f"the request can't be sent: {error}")
        finally:
            self._in_flight[endpoint.name] -= 1
        return _read_response(request.method, response)


def _build_curl_request(
    endpoint: Endpoint, request: Request, timeout_s: float
) -> _CurlRequest:
    headers = HTTPHeaders()
    for name, value in request.headers:
        headers.add(name, value)
    has_body = request.body or request.method in ("POST", "PUT", "PATCH")
    return _CurlRequest(
        endpoint.url + request.path,
        method=request.method,
        headers=headers,
        body=request.body if has_body else None,
        request_timeout=timeout_s,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
    )


def _read_response(method: str, response: HTTPResponse) -> Response | Broken:
    headers = tuple(response.headers.get_all())
    body = response.body
    has_end = (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
        or response.code in _NO_BODY_STATUSES
        or method == "HEAD"
    )
    if not has_end:
        # A body that ends with the connection can't be told from a cut one.
        return Broken(Kind.ANSWER_TRUNCATED, "the answer has no length")
    return Response(response.code, headers, body)


def _read_error(request: _CurlRequest, error: CurlError) -> Broken:
    detail = error.message or str(error)
    if error.errno in _NOT_SENT_ERRORS and request.sent_bytes == 0:
        return Broken(Kind.CONNECT_FAILED, detail)
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return Broken(Kind.DEADLINE_EXCEEDED, detail)
    if error.errno == pycurl.E_PARTIAL_FILE:
        return Broken(Kind.ANSWER_TRUNCATED, detail)
    if error.errno == pycurl.E_WRITE_ERROR:
        return Broken(Kind.ANSWER_TOO_LARGE, detail)
    return Broken(Kind.CONNECTION_LOST, detail)
