"""Lets other nodes remember that the target of a node has left.

A node that restarts knows nothing of before, and the store may not have got what the
node wrote.
"""

import asyncio
from collections.abc import Callable
from urllib.parse import quote

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address

from .peer_messenger import PeerMessenger
from .peers import PeerRecord, encode_record

__all__ = ["LEFT_PATH", "LeaveExchange"]

# Followed by the name of a node. GET returns the last start of its target that has
# left; POST brings its record, which says that the target leaves.
LEFT_PATH = "/.mimosaloom/left/"
TIMEOUT_S = 0.4


class LeaveExchange:
    """Tells other nodes that the own target leaves, and asks them after a restart.

    Args:
        own_name: Name of this node.
        messenger: Sends the messages.
        on_left: Called with a start of the own target that has left, as others know.
    """

    def __init__(
        self, own_name: str, messenger: PeerMessenger, on_left: Callable[[str], None]
    ):
        self._path = LEFT_PATH + quote(own_name, safe="")
        self._messenger = messenger
        self._on_left = on_left
        self._told_start = ""
        self._has_asked = False

    def tell(self, record: PeerRecord) -> None:
        """Tell other nodes once that the target in the own record leaves."""
        if record.is_leaving and record.start_key != self._told_start:
            self._told_start = record.start_key
            request = Request("POST", self._path, (), encode_record(record))
            self._messenger.broadcast(request, TIMEOUT_S)

    async def confirm(self, record: PeerRecord, timeout_s: float) -> bool:
        """Tell other nodes that the target leaves; return whether one has answered."""
        request = Request("POST", self._path, (), encode_record(record))
        telling = [
            self._messenger.send(address, request, timeout_s)
            for address in self._messenger.choose_peers()
        ]
        answers = await asyncio.gather(*telling)
        return any(isinstance(a, Response) and a.status < 300 for a in answers)

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
