"""Snapshots of the configuration, so that it outlives the records it came from.

A snapshot is the state of a replay with a digest over its text. It is a function of
the prefix of the stream, so two writers at one offset write the same bytes, and one
written again, or late by a writer that was paused, is passed over because its offset
is not higher.

Snapshots stand in the stream `config-snapshots`. At the two-year size one has about
1.8 MB, 0.5 MB compressed, so it is appended in parts. Parts of one snapshot carry the
digest of the compressed text; they may come in any order, twice and among others.
"""

import zlib
from collections.abc import Iterable
from hashlib import blake2b
from typing import Annotated

import msgspec

from .replay import Replay, ReplayState

__all__ = [
    "SnapshotParts",
    "adopt_snapshot",
    "choose_snapshot",
    "decode_snapshot",
    "encode_snapshot",
    "is_snapshot_due",
    "pack_snapshot",
    "split_snapshot",
    "unpack_snapshot",
]

DIGEST_BYTES = 16
MAX_PART_BYTES = 48_000
MAX_PARTS = 1_024
MAX_SNAPSHOT_BYTES = 32 << 20
# Snapshots collected at once: those of two writers and of two that stopped half-way.
MAX_OPEN = 4
# A snapshot may be missed twice before the records that it replaces expire.
DUE_SHARE = 1 / 3


class _Envelope(msgspec.Struct):
    digest: str
    state: msgspec.Raw


class _Part(msgspec.Struct):
    digest: str
    number: Annotated[int, msgspec.Meta(ge=0)]
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    data: bytes


_PART = msgspec.json.Decoder(_Part)
_ENVELOPE = msgspec.json.Decoder(_Envelope)
_STATE = msgspec.json.Decoder(ReplayState)


def encode_snapshot(replay: Replay) -> bytes:
    """Return the snapshot of a replay; equal for equal prefixes."""
    state = msgspec.json.encode(replay.state(), order="deterministic")
    return msgspec.json.encode(_Envelope(_digest(state), msgspec.Raw(state)))


def decode_snapshot(value: bytes) -> ReplayState | None:
    """Read a snapshot; None if it is malformed or its digest doesn't match."""
    try:
        envelope = _ENVELOPE.decode(value)
        state = bytes(envelope.state)
        if _digest(state) != envelope.digest:
            return None
        return _STATE.decode(state)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def adopt_snapshot(replay: Replay, value: bytes) -> bool:
    """Continue from a snapshot of the log or of a peer.

    Returns:
        Whether it was adopted. It is not if it is damaged or if its offset is not
        higher than that of the replay.
    """
    state = decode_snapshot(value)
    return state is not None and replay.adopt(state)


def choose_snapshot(values: Iterable[bytes], first_offset: int) -> ReplayState | None:
    """Return the snapshot from which a starting node continues.

    Args:
        values: Records of the snapshot stream in any order.
        first_offset: Offset of the oldest record that the stream still holds.

    Returns:
        The valid one with the highest offset that joins the retained records; None if
        there is none.
    """
    states = [state for state in map(decode_snapshot, values) if state is not None]
    usable = [state for state in states if state.next_offset >= first_offset]
    return max(usable, key=lambda state: state.next_offset, default=None)


def is_snapshot_due(age_s: float, retention_s: float) -> bool:
    """Whether a new snapshot is to be written.

    Args:
        age_s: Time since the newest usable snapshot was appended; it is written again
            even if no record came since, because it expires too.
        retention_s: Time for which the log service keeps records.
    """
    return age_s >= retention_s * DUE_SHARE


def split_snapshot(value: bytes, *, max_bytes: int = MAX_PART_BYTES) -> list[bytes]:
    """Return the records to append for a snapshot.

    Args:
        value: The snapshot.
        max_bytes: Compressed bytes in a record at most; a third is added for base64.
    """
    packed = pack_snapshot(value)
    starts = range(0, len(packed), max_bytes)
    digest = _digest(packed)
    return [
        msgspec.json.encode(
            _Part(digest, number, len(starts), packed[start : start + max_bytes])
        )
        for number, start in enumerate(starts)
    ]


class SnapshotParts:
    """Puts snapshots together from the records of their stream."""

    def __init__(self):
        self._open: dict[str, dict[int, bytes]] = {}

    def add(self, record: bytes) -> bytes | None:
        """Take in a record.

        Returns:
            The snapshot that it completes, or None. Malformed parts are passed over,
            and of the incomplete snapshots only the last few are kept.
        """
        try:
            part = _PART.decode(record)
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            return None
        if part.number >= part.count:
            return None
        parts = self._open.pop(part.digest, {})
        parts[part.number] = part.data
        if len(parts) < part.count:
            self._open[part.digest] = parts
            if len(self._open) > MAX_OPEN:
                del self._open[next(iter(self._open))]
            return None
        packed = b"".join(parts[number] for number in sorted(parts))
        return unpack_snapshot(packed) if _digest(packed) == part.digest else None


def pack_snapshot(value: bytes) -> bytes:
    """Return a snapshot compressed, about a quarter of its size."""
    return zlib.compress(value)


def unpack_snapshot(packed: bytes) -> bytes | None:
    """Return a snapshot; None if it is damaged or over 32 MiB."""
    try:
        value = zlib.decompressobj().decompress(packed, MAX_SNAPSHOT_BYTES + 1)
    except zlib.error:
        return None
    return value if len(value) <= MAX_SNAPSHOT_BYTES else None


def _digest(state: bytes) -> str:
    return blake2b(state, digest_size=DIGEST_BYTES).hexdigest()
