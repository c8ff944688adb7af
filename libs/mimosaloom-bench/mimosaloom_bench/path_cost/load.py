"""The load of the bench: a client, and targets that call each other."""

import asyncio
import itertools

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address, SystemClock
from mimosaloom_relay import Answer, HttpClient, Incoming, RelayServer

from .names import CALLS_PER_ROOT, HEADER_NAMES, HOST, LEAF_PATH, ROOT_PATH

__all__ = ["PathLoad"]

ROOTS_AT_ONCE = 8
CLIENT_TIMEOUT_MS = 2000
ANSWER_BYTES = 400
ANY_PORT = Address("127.0.0.1", 0)


class PathLoad:
    """A client and the targets of both nodes, all in this process.

    Args:
        reject_ratio: Share of the calls that the called target rejects.

    Attributes:
        client: Sends the requests of the client and of the targets.
        outbound: Address of the node that they are sent to.
    """

    def __init__(self, reject_ratio: float):
        self.client = HttpClient(SystemClock(), lambda: None)
        self.outbound = ANY_PORT
        self._reject_ratio = reject_ratio
        self._rejects_due = 0.0
        self._numbers = itertools.count()
        self._servers: list[RelayServer] = []

    async def listen(self) -> tuple[int, int]:
        """Start both targets; return their ports."""
        ports = []
        for handle in (self._run_root, self._run_leaf):
            server = RelayServer(handle, lambda: Response(500))
            self._servers.append(server)
            ports.append((await server.listen(ANY_PORT)).port)
        return ports[0], ports[1]

    def close(self) -> None:
        """Close all connections."""
        for server in self._servers:
            server.close()
        self.client.close()

    async def send_roots(self, count: int) -> int:
        """Send requests, some at a time; return how many failed."""
        numbers = iter(range(count))

        async def send_some() -> int:
            failed = 0
            for _ in numbers:
                request_id = f"bench-{next(self._numbers)}"
                failed += not await self._call(ROOT_PATH, request_id)
            return failed

        return sum(await asyncio.gather(*(send_some() for _ in range(ROOTS_AT_ONCE))))

    async def _call(self, path: str, request_id: str) -> bool:
        headers = (
            ("Host", HOST),
            (HEADER_NAMES.request_id, request_id),
            (HEADER_NAMES.timeout_ms, str(CLIENT_TIMEOUT_MS)),
        )
        outcome = await self.client.send(
            self.outbound, Request("GET", f"{path}item", headers)
        )
        return isinstance(outcome, Answer) and outcome.response.status == 200

    async def _run_root(self, incoming: Incoming) -> Answer:
        request_id = incoming.request.header(HEADER_NAMES.request_id)
        for number in range(CALLS_PER_ROOT):
            if not await self._call(LEAF_PATH, f"{request_id}.{number}"):
                return self._answer(incoming, 500)
        return self._answer(incoming, 200)

    async def _run_leaf(self, incoming: Incoming) -> Answer:
        self._rejects_due += self._reject_ratio
        if self._rejects_due >= 1:
            self._rejects_due -= 1
            headers = ((HEADER_NAMES.not_executed, "1"),)
            return Answer(Response(503, headers))
        return self._answer(incoming, 200)

    def _answer(self, incoming: Incoming, status: int) -> Answer:
        request_id = incoming.request.header(HEADER_NAMES.request_id)
        headers = (
            (HEADER_NAMES.request_id, request_id),
            (HEADER_NAMES.signature, "signature"),
        )
        return Answer(Response(status, headers, b"x" * ANSWER_BYTES))
