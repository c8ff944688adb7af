"""Sends small messages to other nodes."""

import asyncio
import random
from collections.abc import Callable

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address, ErrorKind

from .decision_log import DecisionLog
from .http_client import Answer, HttpClient
from .peers import PeerRecord
from .task_set import TaskSet

__all__ = ["PeerMessenger"]

# Number of nodes that a broadcast goes to. If each node to which it is new passes it
# on, all but one in e^8 nodes are reached.
FANOUT = 8
# Several times the records of 5,200 nodes, and the largest configuration that the store
# takes in a call.
MAX_MESSAGE_BYTES = 8 << 20


class PeerMessenger:
    """Chooses nodes and sends messages to them.

    Args:
        own_name: Name of this node.
        client: Sends the messages.
        records: Returns the records of all known nodes.
        log: Receives the log lines of tasks that fail.
        rng: Source of the choice among nodes.

    Attributes:
        tasks: Tasks that send messages.
    """

    def __init__(
        self,
        own_name: str,
        client: HttpClient,
        records: Callable[[], list[PeerRecord]],
        log: DecisionLog,
        *,
        rng: random.Random,
    ):
        self._own_name = own_name
        self._client = client
        self._log = log
        self._records = records
        self._rng = rng
        self.tasks = TaskSet(log)

    def choose_peers(self) -> list[Address]:
        """Return the addresses of some other nodes, or of all if there are few."""
        others = [r.address for r in self._records() if r.name != self._own_name]
        return self._rng.sample(others, min(FANOUT, len(others)))

    async def send(
        self, address: Address, request: Request, timeout_s: float
    ) -> Response | FailedSend | None:
        """Send a message to a node.

        Returns:
            The whole response; `FailedSend` if the connection failed; None after the
            timeout or if the response is larger than `MAX_MESSAGE_BYTES`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._client.send(
                    address, request, needs_fresh_connection=True
                )
                if isinstance(outcome, FailedSend):
                    return outcome
                if outcome.streamed_body is None:
                    return outcome.response
                return await self._read_whole(address, request, outcome)
        except TimeoutError:
            return None

    async def _read_whole(
        self, address: Address, request: Request, answer: Answer
    ) -> Response | FailedSend | None:
        """Return a response that was too large to buffer, with its body."""
        body = bytearray()
        streamed_body = answer.streamed_body
        try:
            async for piece in streamed_body.pieces():
                body += piece
                if len(body) > MAX_MESSAGE_BYTES:
                    self._log.change(
                        "message_too_large",
                        node=f"{address.host}:{address.port}",
                        path=request.path,
                        limit_bytes=MAX_MESSAGE_BYTES,
                    )
                    return None
        finally:
            if not streamed_body.is_complete:
                streamed_body.abort()
        if not streamed_body.is_complete:
            return FailedSend(ErrorKind.ANSWER_TRUNCATED, streamed_body.failure)
        return answer.response._replace(body=bytes(body))

    def broadcast(self, request: Request, timeout_s: float) -> None:
        """Send a message to some other nodes, without waiting for answers."""
        for address in self.choose_peers():
            self.tasks.spawn(self.send(address, request, timeout_s))
