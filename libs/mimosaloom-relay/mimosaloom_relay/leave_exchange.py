"""Lets other nodes remember that the target of a node has left.

A node that restarts knows nothing of before, and the store may not have got what the
node wrote.
"""

import asyncio
from collections.abc import Awaitable, Callable
from urllib.parse import quote

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address

from .decision_log import DecisionLog
from .peer_messenger import PeerMessenger
from .peers import PeerRecord, encode_record

__all__ = ["LEFT_PATH", "LeaveExchange"]

# Followed by the name of a node. GET returns the last start of its target that has
# left; POST brings its record, which says that the target leaves.
LEFT_PATH = "/.mimosaloom/left/"
TIMEOUT_S = 0.4
# Time for the store to take a leave before other nodes are asked to remember it. With
# `TIMEOUT_S` it stays below 1 s, after which a target takes no acknowledgement.
STORE_TIMEOUT_S = 0.2


class LeaveExchange:
    """Tells other nodes that the own target leaves, and asks them after a restart.

    Args:
        own_name: Name of this node.
        messenger: Sends the messages.
        on_left: Called with a start of the own target that has left, as others know.
        log: Receives the log line of a leave that the store has not taken.
    """

    def __init__(
        self,
        own_name: str,
        messenger: PeerMessenger,
        on_left: Callable[[str], None],
        log: DecisionLog,
    ):
        self._path = LEFT_PATH + quote(own_name, safe="")
        self._messenger = messenger
        self._on_left = on_left
        self._log = log
        self._told_start = ""
        self._has_asked = False

    def tell(self, record: PeerRecord) -> None:
        """Tell other nodes once that the target in the own record leaves."""
        if record.is_leaving and record.start_key != self._told_start:
            self._told_start = record.start_key
            self._messenger.broadcast(self._build_message(record), TIMEOUT_S)

    async def spread(
        self, record: PeerRecord, wait_until_stored: Callable[[], Awaitable[None]]
    ) -> None:
        """Wait until a leave is known outside of this process, or for 0.6 s.

        An acknowledged leave binds all later incarnations, and this process may end
        right after the acknowledgement. The store keeps the leave even if all processes
        end. While it does not answer, other nodes keep it, as far as any answers. The
        time for the store goes on meanwhile, as it may only be slow.

        Args:
            record: Own record, which says that the target leaves.
            wait_until_stored: Waits until the store has that record.
        """
        if await _ends_within(wait_until_stored(), STORE_TIMEOUT_S):
            return
        telling = self._messenger.tasks.spawn(self._tell_and_wait(record))
        if not await _ends_within(wait_until_stored(), TIMEOUT_S):
            is_known = await telling
            self._log.change("leave_not_stored", is_known_to_others=is_known)

    async def _tell_and_wait(self, record: PeerRecord) -> bool:
        """Tell other nodes that the target leaves; return whether one has answered."""
        message = self._build_message(record)
        sending = [
            self._messenger.send(address, message, TIMEOUT_S)
            for address in self._messenger.choose_peers()
        ]
        answers = await asyncio.gather(*sending)
        return any(isinstance(a, Response) and a.status < 300 for a in answers)

    def _build_message(self, record: PeerRecord) -> Request:
        return Request("POST", self._path, (), encode_record(record))

    def ask(self) -> None:
        """Ask other nodes once whether a start of the own target has left."""
        if self._has_asked:
            return
        for address in self._messenger.choose_peers():
            self._has_asked = True
            self._messenger.tasks.spawn(self._ask(address))

    async def _ask(self, address: Address) -> None:
        request = Request("GET", self._path)
        response = await self._messenger.send(address, request, TIMEOUT_S)
        if isinstance(response, Response) and response.status == 200 and response.body:
            self._on_left(response.body.decode("latin-1"))


async def _ends_within(waiting: Awaitable[None], timeout_s: float) -> bool:
    """Return whether what is waited for happens in time."""
    try:
        async with asyncio.timeout(timeout_s):
            await waiting
    except TimeoutError:
        return False
    return True
