"""Exchange of the configuration between peers, for nodes that do not read the log."""

import zlib
from collections.abc import Callable

from mimosaloom_control import Position, SyncAction, compare_positions, decode_snapshot
from mimosaloom_model import Clock

from .config_state import ConfigState
from .link_messages import (
    MAX_MESSAGE_BYTES,
    Body,
    ConfigRecords,
    ConfigRequest,
    Heartbeat,
    RejectReason,
    SnapshotPart,
)
from .peers import LinkTiming, Peer

__all__ = ["ConfigExchange"]

# Half of a message, to leave room for its other fields.
MAX_PART_BYTES = MAX_MESSAGE_BYTES // 2
MAX_SNAPSHOT_BYTES = 64 << 20
MIN_SNAPSHOT_INTERVAL_S = 5.0


class ConfigExchange:
    """Brings the configuration of a node up to date with that of its peers.

    A node that is behind a peer requests the missing records. If the peer no longer
    has them, it sends a snapshot instead. Only one peer is asked at a time, and
    unrequested records are dropped, so that a node receives most records only once.

    Args:
        state: Configuration of the node.
        send: Sends a message to the named peer.
        reject: Counts a dropped message, by reason and sender.
        clock: Source of time.
        timing: Timing of the links.
    """

    def __init__(
        self,
        state: ConfigState,
        send: Callable[[str, Body], bool],
        reject: Callable[[RejectReason, str], None],
        *,
        clock: Clock,
        timing: LinkTiming,
    ):
        self.state = state
        self._send = send
        self._reject = reject
        self._clock = clock
        self._timing = timing
        self._source = ""
        self._last_progress_s = float("-inf")
        self._parts: dict[int, SnapshotPart] = {}

    def handle_heartbeat(self, name: str, heartbeat: Heartbeat) -> None:
        """Request records from a peer that is ahead; report one that has diverged.

        A peer has diverged if it read different records up to the same offset.
        """
        position = Position(heartbeat.next_offset, heartbeat.chain)
        match compare_positions(self.state.position, position):
            case SyncAction.FETCH:
                self._request_config(name)
            case SyncAction.DIVERGED:
                self._reject(RejectReason.DIVERGED, name)

    def send_config(self, name: str, peer: Peer, request: ConfigRequest) -> None:
        """Send the requested records, or a snapshot if they are no longer held."""
        if request.next_offset >= self.state.next_offset:
            return
        records = self.state.recent.since(request.next_offset)
        if not records:
            self._send_snapshot(name, peer)
            return
        first, values, size = records[0][0], [], 0
        for _, value in records:
            if values and size + len(value) > MAX_PART_BYTES:
                self._send(name, ConfigRecords(first, values))
                first, values, size = first + len(values), [], 0
            values.append(value)
            size += len(value)
        self._send(name, ConfigRecords(first, values))

    def handle_records(self, name: str, message: ConfigRecords) -> None:
        """Apply records that this node has requested."""
        if name != self._source:
            self._reject(RejectReason.UNSOLICITED, name)
            return
        self._last_progress_s = self._clock.monotonic_s()
        self.state.apply_records(enumerate(message.values, message.first_offset))

    def handle_snapshot_part(self, name: str, part: SnapshotPart) -> None:
        """Store a part of a snapshot; adopt the snapshot when it is complete."""
        if name != self._source:
            self._reject(RejectReason.UNSOLICITED, name)
            return
        if part.next_offset <= self.state.next_offset:
            return
        self._last_progress_s = self._clock.monotonic_s()
        first = next(iter(self._parts.values()), part)
        if (first.next_offset, first.parts) != (part.next_offset, part.parts):
            self._parts.clear()
        self._parts[part.part] = part
        if set(self._parts) >= set(range(part.parts)):
            data = b"".join(self._parts[n].data for n in range(part.parts))
            self._parts.clear()
            self._adopt_snapshot(name, data)

    def _adopt_snapshot(self, name: str, data: bytes) -> None:
        try:
            # The limit keeps a small message from filling the memory when decompressed.
            value = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        except zlib.error:
            value = b""
        state = decode_snapshot(value)
        if state is None:
            self._reject(RejectReason.MALFORMED, name)
            return
        self.state.adopt_snapshot(state)

    def _request_config(self, name: str) -> None:
        """Request records from a peer unless another request is still pending.

        A request to another peer is pending until `request_timeout_s` has passed since
        it was sent or last answered. The same peer is asked again after half a
        heartbeat interval without an answer.
        """
        now_s = self._clock.monotonic_s()
        if (
            now_s - self._last_progress_s < self._timing.request_timeout_s
            and name != self._source
        ):
            return
        if (
            name == self._source
            and now_s - self._last_progress_s < self._timing.heartbeat_interval_s / 2
        ):
            return
        if name != self._source:
            self._parts.clear()
        self._source, self._last_progress_s = name, now_s
        self._send(name, ConfigRequest(self.state.next_offset))

    def _send_snapshot(self, name: str, peer: Peer) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - peer.snapshot_sent_s < MIN_SNAPSHOT_INTERVAL_S:
            return
        peer.snapshot_sent_s = now_s
        data = zlib.compress(self.state.snapshot())
        pieces = [
            data[at : at + MAX_PART_BYTES] for at in range(0, len(data), MAX_PART_BYTES)
        ]
        for number, piece in enumerate(pieces):
            offset = self.state.next_offset
            self._send(name, SnapshotPart(offset, number, len(pieces), piece))
