"""Synchronisation of the configuration between neighbours in the overlay.

Readers, which are the nodes that read the log, push new records to their neighbours.
Each node forwards the records that were new to it, so a record floods the overlay once.

Every few seconds, each node also sends its position to a neighbour. This repairs lost
messages: the node that is ahead sends the missing records, or a snapshot if it no
longer has these records. A node that starts while the log is down catches up in the
same way. No node ever moves to a lower offset.
"""

from typing import NamedTuple

import msgspec

from .fanout import Position, RecentRecords, SyncAction, compare_positions
from .replay import Effect, Replay
from .snapshot import adopt_snapshot, encode_snapshot, pack_snapshot, unpack_snapshot

__all__ = [
    "ConfigSync",
    "Hello",
    "RecordBatch",
    "SnapshotCopy",
    "SyncMessage",
    "SyncResponse",
    "decode_sync",
    "encode_sync",
]

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 256 << 10


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Position of the sender; see `Position`."""

    next_offset: int
    chain: str


class RecordBatch(msgspec.Struct, frozen=True, tag="records"):
    """Consecutive records, the first of which has the offset `first_offset`."""

    first_offset: int
    values: list[bytes]


class SnapshotCopy(msgspec.Struct, frozen=True, tag="snapshot"):
    """A compressed snapshot, for a node that is far behind."""

    packed: bytes


SyncMessage = Hello | RecordBatch | SnapshotCopy

_MESSAGE_DECODER = msgspec.msgpack.Decoder(SyncMessage)


def encode_sync(message: SyncMessage) -> bytes:
    """Encode a message for a neighbour."""
    return msgspec.msgpack.encode(message)


def decode_sync(value: bytes) -> SyncMessage | None:
    """Decode a message; None if it is malformed."""
    try:
        return _MESSAGE_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


class SyncResponse(NamedTuple):
    """Messages to send in response to a received message.

    Attributes:
        reply: Message to send back to the sender, if any.
        push: Message to forward to the other neighbours, if any.
    """

    reply: SyncMessage | None = None
    push: RecordBatch | None = None


class ConfigSync:
    """Keeps the configuration of a node in step with its neighbours.

    It does no I/O: the caller sends the messages that the methods return.

    Args:
        replay: Replay to continue; a new, empty one by default.
    """

    def __init__(self, replay: Replay | None = None):
        self._replay = replay or Replay()
        self._recent = RecentRecords()
        self._divergences = 0

    @property
    def replay(self) -> Replay:
        """Replay that holds the configuration of this node."""
        return self._replay

    @property
    def divergences(self) -> int:
        """Number of positions received with the same offset but a different hash chain.

        Should stay 0; see `compare_positions`.
        """
        return self._divergences

    def hello(self) -> Hello:
        """Return the position that this node sends to a neighbour every few seconds."""
        return Hello(self._replay.next_offset, self._replay.chain)

    def apply_records(
        self, first_offset: int, values: list[bytes]
    ) -> RecordBatch | None:
        """Apply consecutive records, from the log or from a neighbour.

        Records that have been read before are skipped, and nothing is applied after a
        gap.

        Args:
            first_offset: Offset of the first record.
            values: The records as appended.

        Returns:
            The records that were new, to push to the neighbours; None if there are
            none.
        """
        start = self._replay.next_offset
        new_values = []
        for offset, value in enumerate(values, first_offset):
            effect = self._replay.apply(offset, value)
            if effect is Effect.GAP:
                break
            if effect is not Effect.OLD_OFFSET:
                self._recent.append(offset, value)
                new_values.append(value)
        return RecordBatch(start, new_values) if new_values else None

    def handle_message(self, message: SyncMessage) -> SyncResponse:
        """Process a message from a neighbour.

        Returns:
            The messages to send in response.
        """
        match message:
            case Hello():
                return SyncResponse(reply=self._reply_to_hello(message))
            case RecordBatch(first_offset, values):
                push = self.apply_records(first_offset, values)
                is_gap = first_offset > self._replay.next_offset
                reply = self.hello() if is_gap else None
                return SyncResponse(reply, push)
            case SnapshotCopy(packed):
                value = unpack_snapshot(packed)
                if value is not None:
                    adopt_snapshot(self._replay, value)
                return SyncResponse()

    def _reply_to_hello(self, hello: Hello) -> SyncMessage | None:
        own = Position(self._replay.next_offset, self._replay.chain)
        match compare_positions(own, Position(hello.next_offset, hello.chain)):
            case SyncAction.FETCH:
                return self.hello()
            case SyncAction.SEND:
                return self._build_catch_up(hello.next_offset)
            case SyncAction.DIVERGED:
                self._divergences += 1
        return None

    def _build_catch_up(self, next_offset: int) -> SyncMessage:
        """Return the records from an offset on, or a snapshot if they are evicted.

        A batch contains at most `MAX_BATCH_RECORDS` records and, unless the first
        record alone is larger, `MAX_BATCH_BYTES` bytes.
        """
        records = self._recent.since(next_offset)
        if not records:
            return SnapshotCopy(pack_snapshot(encode_snapshot(self._replay)))
        values: list[bytes] = []
        size = 0
        for _, value in records[:MAX_BATCH_RECORDS]:
            size += len(value)
            if values and size > MAX_BATCH_BYTES:
                break
            values.append(value)
        return RecordBatch(records[0][0], values)
