"""HTTP/1.1 server that passes requests of any size to a coroutine."""

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address, Clock, SystemClock

from .answer_sizes import ByteBudget
from .client_bounds import MAX_BACKLOG, ParsingPace, choose_dispensable
from .connections import configure_socket
from .exchanges import Incoming
from .http_client import Answer
from .limits import Limits
from .receive_budget import ReceiveBudget
from .server_connections import ServerConnection

__all__ = ["Handler", "Incoming", "RelayServer"]

STALL_CHECK_S = 1.0
Handler = Callable[[Incoming], Awaitable[Answer]]


class RelayServer:
    """Listens on one address and answers requests.

    Args:
        handle: Answers a request; cancelled if the client closes its connection.
        answer_crash: Returns the answer to a request whose handler raised an exception.
        limits: Returns the limits on requests.
        may_overlap: Returns by the head of a request whether it may run while others
            of its connection run; by default, none may.
        clock: Source of the time at which requests are read.

    Attributes:
        expect_answer_bytes: Returns by the head of a request how many bytes its answer
            may hold while it waits for those before it.
        max_connections: Connections that may be open.
        held: Bytes that all connections hold together for requests that overlap.
        received: Memory that all connections hold for requests; servers may share it.
        parsing_pace: Delays connections whose requests have very many short parts.
        count_closed: Called with the reason when a connection is closed to keep a
            bound: `memory`, `time` or `connections`.
        refuse: Returns the answer to a request that is not started, as there is no
            memory for it.
    """

    def __init__(
        self,
        handle: Handler,
        answer_crash: Callable[[], Response],
        limits: Callable[[], Limits] = Limits,
        *,
        may_overlap: Callable[[Request], bool] = lambda request: False,
        clock: Clock | None = None,
    ):
        self.handle = handle
        self.answer_crash = answer_crash
        self.limits = limits
        self.may_overlap = may_overlap
        self.clock = clock or SystemClock()
        self.expect_answer_bytes: Callable[[Request], int] = lambda request: 0
        self.held = ByteBudget(math.inf)
        self.max_connections = math.inf
        self.received = ReceiveBudget()
        self.parsing_pace = ParsingPace(self.clock)
        self.count_closed: Callable[[str], None] = lambda reason: None
        self.refuse: Callable[[Request], Response] = lambda request: Response(503)
        self.is_closing = False
        self.tasks: set[asyncio.Task] = set()
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._stall_check: asyncio.TimerHandle | None = None

    async def listen(self, address: Address, backlog: int = MAX_BACKLOG) -> Address:
        """Start listening; return the address with the actual port.

        Args:
            address: Address to listen on.
            backlog: Connections that may wait to be accepted. All of them are accepted
                at once, before any can be closed.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the socket options.
        configure_socket(sock)
        sock.bind((address.host, address.port))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=sock, backlog=backlog
        )
        return Address(address.host, sock.getsockname()[1])

    def add_connection(self, connection: ServerConnection) -> None:
        """Keep a new connection, and check from time to time whether it stalls.

        Beyond the bound, another one closes for it, or it closes itself.
        """
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            self.count_closed("connections")
            choose_dispensable(self.connections, connection).transport.close()
        if self._stall_check is None:
            self._schedule_stall_check()

    def _schedule_stall_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._stall_check = loop.call_later(STALL_CHECK_S, self._check_stalls)

    def _check_stalls(self) -> None:
        self._stall_check = None
        for connection in list(self.connections):
            connection.check_stall(STALL_CHECK_S)
        if self.connections:
            self._schedule_stall_check()

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

    @property
    def overlapping_count(self) -> int:
        """Number of requests started before one in front of them is answered."""
        return sum(connection.overlapping_count for connection in self.connections)

    def close(self) -> None:
        """Close all connections after the data already written has been sent."""
        self.stop_accepting()
        if self._stall_check is not None:
            self._stall_check.cancel()
        for connection in list(self.connections):
            connection.transport.close()
