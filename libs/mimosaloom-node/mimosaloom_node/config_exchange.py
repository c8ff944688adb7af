"""Configuration from and to peers, for nodes that don't read the log."""

import zlib
from collections.abc import Callable

from mimosaloom_control import CatchUp, Position, compare_positions, decode_snapshot
from mimosaloom_model import Clock

from .config_state import ConfigState
from .link_messages import (
    MAX_MESSAGE_BYTES,
    AskConfig,
    Beat,
    Body,
    ConfigRecords,
    Rejected,
    SnapshotPart,
)
from .peers import LinkTiming, Peer

__all__ = ["ConfigExchange"]

# Leaves room in a message for its other fields.
PART_BYTES = MAX_MESSAGE_BYTES // 2
MAX_SNAPSHOT_BYTES = 64 << 20
SNAPSHOT_PAUSE_S = 5.0


class ConfigExchange:
    """Gets level with peers, by records or by a snapshot.

    Only the peer that was asked is listened to, one at a time, so that a node gets
    each record about once.

    Args:
        state: Configuration of the node.
        send: Sends a message to a peer.
        reject: Counts a message that is dropped, with its sender.
        clock: Source of time.
        timing: Times of the links.
    """

    def __init__(
        self,
        state: ConfigState,
        send: Callable[[str, Body], bool],
        reject: Callable[[Rejected, str], None],
        *,
        clock: Clock,
        timing: LinkTiming,
    ):
        self.state = state
        self._send = send
        self._reject = reject
        self._clock = clock
        self._timing = timing
        self._asked = ""
        self._asked_s = float("-inf")
        self._parts: dict[int, SnapshotPart] = {}

    def compare(self, name: str, beat: Beat) -> None:
        """Ask a peer that is further; report one that has read other records."""
        position = Position(beat.next_offset, beat.chain)
        match compare_positions(self.state.position, position):
            case CatchUp.FETCH:
                self._ask(name)
            case CatchUp.DIVERGED:
                self._reject(Rejected.DIVERGED, name)

    def answer(self, name: str, peer: Peer, question: AskConfig) -> None:
        """Send the records that a peer asks for, or a snapshot."""
        if question.next_offset >= self.state.next_offset:
            return
        records = self.state.recent.since(question.next_offset)
        if not records:
            self._send_snapshot(name, peer)
            return
        first, values, size = records[0][0], [], 0
        for _, value in records:
            if values and size + len(value) > PART_BYTES:
                self._send(name, ConfigRecords(first, values))
                first, values, size = first + len(values), [], 0
            values.append(value)
            size += len(value)
        self._send(name, ConfigRecords(first, values))

    def take_records(self, name: str, message: ConfigRecords) -> None:
        """Take in records that were asked for."""
        if name != self._asked:
            self._reject(Rejected.UNSOLICITED, name)
            return
        self._asked_s = self._clock.monotonic_s()
        self.state.take(enumerate(message.values, message.first_offset))

    def take_part(self, name: str, part: SnapshotPart) -> None:
        """Take in a part of a snapshot; adopt it when it is whole."""
        if name != self._asked:
            self._reject(Rejected.UNSOLICITED, name)
            return
        if part.next_offset <= self.state.next_offset:
            return
        self._asked_s = self._clock.monotonic_s()
        first = next(iter(self._parts.values()), part)
        if (first.next_offset, first.parts) != (part.next_offset, part.parts):
            self._parts.clear()
        self._parts[part.part] = part
        if set(self._parts) >= set(range(part.parts)):
            data = b"".join(self._parts[n].data for n in range(part.parts))
            self._parts.clear()
            self._adopt(name, data)

    def _adopt(self, name: str, data: bytes) -> None:
        try:
            # The bound keeps a small message from growing to fill the memory.
            value = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        except zlib.error:
            value = b""
        state = decode_snapshot(value)
        if state is None:
            self._reject(Rejected.MALFORMED, name)
            return
        self.state.adopt(state)

    def _ask(self, name: str) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._asked_s < self._timing.ask_timeout_s and name != self._asked:
            return
        if name == self._asked and now_s - self._asked_s < self._timing.beat_s / 2:
            return
        if name != self._asked:
            self._parts.clear()
        self._asked, self._asked_s = name, now_s
        self._send(name, AskConfig(self.state.next_offset))

    def _send_snapshot(self, name: str, peer: Peer) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - peer.snapshot_s < SNAPSHOT_PAUSE_S:
            return
        peer.snapshot_s = now_s
        data = zlib.compress(self.state.snapshot())
        pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
        for number, piece in enumerate(pieces):
            offset = self.state.next_offset
            self._send(name, SnapshotPart(offset, number, len(pieces), piece))
