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

from mimosaloom_mesh.messages import Request, Response, find_header
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address, Clock, ErrorKind

from .bodies import Body
from .client_connections import MAX_IDLE_S, ClientConnection, ExpectedId
from .connections import encode_head

__all__ = ["Answer", "HttpClient"]

CONNECT_TIMEOUT_S = 0.5
# A request that must not be repeated reuses a connection only within this idle time.
FRESH_IDLE_S = 1.0
# Share of an announced idle timeout after which a connection is not reused.
IDLE_TIMEOUT_RATIO = 0.6
_BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


class Answer(NamedTuple):
    """A complete response, or the head of one whose body is too large to buffer.

    Attributes:
        response: Status and headers, and the body unless `streamed_body` is set.
        streamed_body: The body if it is streamed piece by piece; None if it is
            buffered.
    """

    response: Response
    streamed_body: Body | None = None


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
        self._idle: dict[Address, deque[ClientConnection]] = {}
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
        connection: ClientConnection,
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

    async def _connect(self, address: Address) -> ClientConnection | None:
        self._count_connection()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(lambda: self._count_closed(address)),
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
    ) -> ClientConnection | None:
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
        self, address: Address, connection: ClientConnection, response: Response
    ) -> None:
        """Keep a connection whose response is complete, or close it."""
        if not connection.is_reusable:
            connection.drop()
            return
        announced_s = _read_idle_timeout_s(response.header("Keep-Alive"))
        if announced_s is not None:
            connection.idle_limit_s = min(MAX_IDLE_S, IDLE_TIMEOUT_RATIO * announced_s)
        self._keep_idle(address, connection)

    def _keep_idle(self, address: Address, connection: ClientConnection) -> None:
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
    connection: ClientConnection, request: Request, streamed_body: Body
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
