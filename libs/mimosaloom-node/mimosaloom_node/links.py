"""Links between nodes: pynng sockets over TCP.

A node has one Pull0 socket that listens, and a Push0 socket for each peer it sends to.
So a message goes to one peer, a peer that doesn't read fills its own queue only, and a
connection that has gone silent is replaced without the others noticing. Bus0 sends
each message to all peers and drops without a sign; Pair1 has one peer, and its mode
for several is deprecated; Req0 and Surveyor0 wait for an answer, which a heartbeat
doesn't need.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from ipaddress import ip_address

import pynng
from eliot import log_message

from mimosaloom_model import Address

from .link_messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Envelope,
    Rejected,
    decode_envelope,
    encode_envelope,
)

__all__ = ["Links", "Traffic"]

# Messages between the two limits are counted as oversized; larger ones end the
# connection before they are read.
RECEIVE_LIMIT_BYTES = 4 * MAX_MESSAGE_BYTES
QUEUED_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
# One of so many rejections is logged, so that a stranger can't fill the log.
LOG_EVERY = 100
CLOSE_LINGER_S = 0.05


class Traffic:
    """Messages and bytes without the headers of TCP and IP."""

    def __init__(self):
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0


class Links:
    """The sockets of a node.

    Args:
        name: Name of the node.
        on_message: Receives each valid message and the address it came from.
    """

    def __init__(self, name: str, on_message: Callable[[Envelope, str], None]):
        self.traffic = Traffic()
        self.rejected: Counter[str] = Counter()
        self.incarnation = ""
        self._name = name
        self._on_message = on_message
        self._is_stopping = False
        self._pull: pynng.Pull0 | None = None
        self._pushes: dict[str, tuple[str, pynng.Push0]] = {}

    def listen(self, wanted: Address) -> Address:
        """Open the listener.

        Raises:
            OSError: If the address can't be used.
        """
        self._pull = pynng.Pull0(
            recv_max_size=RECEIVE_LIMIT_BYTES,
            recv_buffer_size=QUEUED_MESSAGES,
            async_backend="asyncio",
        )
        try:
            listener = self._pull.listen(_format_url(wanted))
        except pynng.NNGException as error:
            where = f"{wanted.host}:{wanted.port}"
            raise OSError(f"control listener {where}: {error}") from error
        port = str(listener.local_address).rpartition(":")[2]
        return Address(wanted.host, int(port))

    async def receive(self) -> None:
        """Pass on messages until cancelled; a bad one is counted and dropped."""
        assert self._pull is not None
        while not self._is_stopping:
            message = await self._pull.arecv_msg()
            data = message.bytes
            peer = _describe_peer(message)
            self.traffic.received_messages += 1
            self.traffic.received_bytes += len(data)
            envelope = decode_envelope(data)
            if isinstance(envelope, Rejected):
                self.reject(envelope, peer)
                continue
            self._on_message(envelope, peer)

    def stop_receiving(self) -> None:
        """End `receive` also where pynng loses a cancellation.

        pynng swallows one that meets a message which has just arrived.
        """
        self._is_stopping = True

    def reject(self, reason: Rejected, peer: str) -> None:
        """Count a message that is dropped, and log some of them."""
        count = self.rejected[reason.value]
        self.rejected[reason.value] = count + 1
        if count % LOG_EVERY == 0:
            log_message(
                message_type="control_message_rejected",
                reason=reason.value,
                peer=peer,
                count=count + 1,
            )

    def is_open(self, key: str, address: Address) -> bool:
        """Whether there is a link with this key to this address."""
        known = self._pushes.get(key)
        return known is not None and known[0] == _format_url(address)

    def open(self, key: str, address: Address) -> None:
        """Open a link, in place of one with the same key; connects in background."""
        self.close_link(key)
        push = pynng.Push0(
            send_buffer_size=QUEUED_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            async_backend="asyncio",
        )
        url = _format_url(address)
        push.dial(url, block=False)
        self._pushes[key] = url, push

    def send(self, key: str, body: Body) -> bool:
        """Queue a message; one that finds no place is counted and dropped."""
        known = self._pushes.get(key)
        if known is None:
            return False
        data = encode_envelope(self._name, self.incarnation, body)
        try:
            known[1].send(data, block=False)
        except pynng.NNGException:
            self.reject(Rejected.QUEUE_FULL, known[0])
            return False
        self.traffic.sent_messages += 1
        self.traffic.sent_bytes += len(data)
        return True

    def keep(self, keys: Iterable[str]) -> None:
        """Close all links but these."""
        for key in self._pushes.keys() - set(keys):
            self.close_link(key)

    def close_link(self, key: str) -> None:
        """Close a link; what it has queued is lost."""
        known = self._pushes.pop(key, None)
        if known is not None:
            known[1].close()

    async def close(self) -> None:
        """Close all sockets after a moment for what is queued."""
        await asyncio.sleep(CLOSE_LINGER_S)
        self.keep(())
        if self._pull is not None:
            self._pull.close()


def _format_url(address: Address) -> str:
    is_v6 = ip_address(address.host).version == 6
    host = f"[{address.host}]" if is_v6 else address.host
    return f"tcp://{host}:{address.port}"


def _describe_peer(message: pynng.Message) -> str:
    try:
        return str(message.pipe.remote_address)
    except (pynng.NNGException, AttributeError):
        return "closed connection"
