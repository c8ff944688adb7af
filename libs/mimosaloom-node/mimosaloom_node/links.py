"""Links between nodes: pynng sockets over TCP.

A node has one listening Pull0 socket, and a Push0 socket for each peer it sends to.
Each message therefore goes to one peer, a peer that does not read fills only its own
queue, and a silent connection is replaced without affecting the others. The other
socket types do not fit: Bus0 sends each message to all peers and drops messages without
reporting it; Pair1 has one peer, and its mode for several peers is deprecated; Req0
and Surveyor0 wait for an answer, which a heartbeat does not need.
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
    RejectReason,
    decode_envelope,
    encode_envelope,
)

__all__ = ["Links", "Traffic"]

# Messages larger than `MAX_MESSAGE_BYTES`, up to this limit, are counted as oversized.
# Larger ones close the connection before they are read.
RECEIVE_LIMIT_BYTES = 4 * MAX_MESSAGE_BYTES
MAX_QUEUED_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
# Only one in this many rejections is logged, so that an unknown sender cannot flood
# the log.
REJECTIONS_PER_LOG_LINE = 100
CLOSE_LINGER_S = 0.05


class Traffic:
    """Counters of messages and bytes, excluding TCP and IP headers."""

    def __init__(self):
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0


class Links:
    """Sockets through which a node exchanges messages with its peers.

    The key of a link is the name of the peer, or `@HOST:PORT` while only the address
    is known.

    Args:
        name: Name of the node.
        on_message: Called with each valid message and its source address.

    Attributes:
        traffic: Counters of the messages sent and received.
        rejected: Number of dropped messages by reason.
        incarnation: Incarnation of this node, sent with each message.
    """

    def __init__(self, name: str, on_message: Callable[[Envelope, str], None]):
        self.traffic = Traffic()
        self.rejected: Counter[str] = Counter()
        self.incarnation = ""
        self._name = name
        self._on_message = on_message
        self._is_stopping = False
        self._pull_socket: pynng.Pull0 | None = None
        self._push_sockets: dict[str, tuple[str, pynng.Push0]] = {}

    def listen(self, wanted: Address) -> Address:
        """Open the listener.

        Raises:
            OSError: If the listener cannot be opened at the address.
        """
        self._pull_socket = pynng.Pull0(
            recv_max_size=RECEIVE_LIMIT_BYTES,
            recv_buffer_size=MAX_QUEUED_MESSAGES,
            async_backend="asyncio",
        )
        try:
            listener = self._pull_socket.listen(_format_url(wanted))
        except pynng.NNGException as error:
            where = f"{wanted.host}:{wanted.port}"
            raise OSError(f"cannot open control listener {where}: {error}") from error
        port = str(listener.local_address).rpartition(":")[2]
        return Address(wanted.host, int(port))

    async def receive(self) -> None:
        """Receive messages until cancelled; invalid ones are counted and dropped."""
        assert self._pull_socket is not None
        while not self._is_stopping:
            try:
                message = await self._pull_socket.arecv_msg()
            except pynng.Closed:
                return
            data = message.bytes
            peer = _describe_peer(message)
            self.traffic.received_messages += 1
            self.traffic.received_bytes += len(data)
            envelope = decode_envelope(data)
            if isinstance(envelope, RejectReason):
                self.reject(envelope, peer)
                continue
            self._on_message(envelope, peer)

    def stop_receiving(self) -> None:
        """Make `receive` return even if pynng swallows its cancellation.

        pynng swallows a cancellation that coincides with the arrival of a message.
        """
        self._is_stopping = True

    def reject(self, reason: RejectReason, peer: str) -> None:
        """Count a dropped message; one in `REJECTIONS_PER_LOG_LINE` is logged."""
        count = self.rejected[reason.value]
        self.rejected[reason.value] = count + 1
        if count % REJECTIONS_PER_LOG_LINE == 0:
            log_message(
                message_type="control_message_rejected",
                reason=reason.value,
                peer=peer,
                count=count + 1,
            )

    def is_open(self, key: str, address: Address) -> bool:
        """Return whether the link with this key is open to this address."""
        link = self._push_sockets.get(key)
        return link is not None and link[0] == _format_url(address)

    def open(self, key: str, address: Address) -> None:
        """Open a link in the background, replacing any link with the same key."""
        self.close_link(key)
        push = pynng.Push0(
            send_buffer_size=MAX_QUEUED_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            async_backend="asyncio",
        )
        url = _format_url(address)
        push.dial(url, block=False)
        self._push_sockets[key] = url, push

    def send(self, key: str, body: Body) -> bool:
        """Queue a message; if the queue is full, it is counted and dropped.

        Returns:
            Whether the message was queued.
        """
        link = self._push_sockets.get(key)
        if link is None:
            return False
        data = encode_envelope(self._name, self.incarnation, body)
        try:
            link[1].send(data, block=False)
        except pynng.NNGException:
            self.reject(RejectReason.QUEUE_FULL, link[0])
            return False
        self.traffic.sent_messages += 1
        self.traffic.sent_bytes += len(data)
        return True

    def close_all_except(self, keys: Iterable[str]) -> None:
        """Close all links except those with the given keys."""
        for key in self._push_sockets.keys() - set(keys):
            self.close_link(key)

    def close_link(self, key: str) -> None:
        """Close a link; its queued messages are lost."""
        link = self._push_sockets.pop(key, None)
        if link is not None:
            link[1].close()

    async def close(self) -> None:
        """Close all sockets after a short delay for queued messages."""
        await asyncio.sleep(CLOSE_LINGER_S)
        self.abort()

    def abort(self) -> None:
        """Close all sockets immediately; queued messages are lost."""
        self.close_all_except(())
        if self._pull_socket is not None:
            self._pull_socket.close()


def _format_url(address: Address) -> str:
    is_v6 = ip_address(address.host).version == 6
    host = f"[{address.host}]" if is_v6 else address.host
    return f"tcp://{host}:{address.port}"


def _describe_peer(message: pynng.Message) -> str:
    try:
        return str(message.pipe.remote_address)
    except (pynng.NNGException, AttributeError):
        return "closed connection"
