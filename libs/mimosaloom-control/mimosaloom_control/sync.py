"""Exchange of the configuration between neighbours.

Readers push new records, and each node pushes on what was new to it, so a record
floods the overlay once. Every few seconds a node sends its position to a neighbour,
which repairs whatever got lost: the one that is ahead sends the missing records, or a
snapshot if it no longer holds them. A node that starts while the log is down catches
up in the same way. No node moves to a lower offset.
"""

from typing import NamedTuple

import msgspec

from .fanout import CatchUp, Position, RecentRecords, compare_positions
from .replay import Effect, Replay
from .snapshot import adopt_snapshot, encode_snapshot, pack_snapshot, unpack_snapshot

__all__ = [
    "ConfigSync",
    "Hello",
    "Reaction",
    "RecordBatch",
    "SnapshotCopy",
    "SyncMessage",
    "decode_sync",
    "encode_sync",
]

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 256 << 10


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The position of the sender."""

    next_offset: int
    chain: str


class RecordBatch(msgspec.Struct, frozen=True, tag="records"):
    """Records in order, the first at `first_offset`."""

    first_offset: int
    values: list[bytes]


class SnapshotCopy(msgspec.Struct, frozen=True, tag="snapshot"):
    """A compressed snapshot, for a node that is far behind."""

    packed: bytes


SyncMessage = Hello | RecordBatch | SnapshotCopy

_MESSAGE = msgspec.msgpack.Decoder(SyncMessage)


def encode_sync(message: SyncMessage) -> bytes:
    """Return a message as it is sent to a neighbour."""
    return msgspec.msgpack.encode(message)


def decode_sync(value: bytes) -> SyncMessage | None:
    """Read a message; None if it is malformed."""
    try:
        return _MESSAGE.decode(value)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


class Reaction(NamedTuple):
    """What to send after a message.

    Attributes:
        reply: Message for the sender, if any.
        push: Message for the other neighbours, if any.
    """

    reply: SyncMessage | None = None
    push: RecordBatch | None = None


class ConfigSync:
    """The configuration of a node and what it tells its neighbours.

    Args:
        replay: State to start from.
    """

    def __init__(self, replay: Replay | None = None):
        self._replay = replay or Replay()
        self._recent = RecentRecords()
        self._divergences = 0

    @property
    def replay(self) -> Replay:
        """The configuration in force."""
        return self._replay

    @property
    def divergences(self) -> int:
        """Neighbours seen at the same offset after other records; should stay 0."""
        return self._divergences

    def hello(self) -> Hello:
        """Return the position to send to a neighbour every few seconds."""
        return Hello(self._replay.next_offset, self._replay.chain)

    def read(self, first_offset: int, values: list[bytes]) -> RecordBatch | None:
        """Take in records of the log; return what to push to all neighbours."""
        start = self._replay.next_offset
        fresh = []
        for offset, value in enumerate(values, first_offset):
            effect = self._replay.apply(offset, value)
            if effect is Effect.GAP:
                break
            if effect is not Effect.OLD_OFFSET:
                self._recent.append(offset, value)
                fresh.append(value)
        return RecordBatch(start, fresh) if fresh else None

    def receive(self, message: SyncMessage) -> Reaction:
        """Take in a message of a neighbour."""
        match message:
            case Hello():
                return Reaction(reply=self._compare(message))
            case RecordBatch(first_offset, values):
                push = self.read(first_offset, values)
                is_gap = first_offset > self._replay.next_offset
                reply = self.hello() if is_gap else None
                return Reaction(reply, push)
            case SnapshotCopy(packed):
                value = unpack_snapshot(packed)
                if value is not None:
                    adopt_snapshot(self._replay, value)
                return Reaction()

    def _compare(self, hello: Hello) -> SyncMessage | None:
        own = Position(self._replay.next_offset, self._replay.chain)
        match compare_positions(own, Position(hello.next_offset, hello.chain)):
            case CatchUp.FETCH:
                return self.hello()
            case CatchUp.SEND:
                return self._missing(hello.next_offset)
            case CatchUp.DIVERGED:
                self._divergences += 1
        return None

    def _missing(self, next_offset: int) -> SyncMessage:
        """Return the records from an offset on, or a snapshot."""
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
