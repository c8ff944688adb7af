"""Snapshots preserve the configuration after the records it came from have expired.

A snapshot is the state of a replay with a digest of its JSON text. It depends only on
the records up to its offset, so two writers at the same offset write the same bytes. A
snapshot that is written twice, or late by a writer that was paused, is ignored, because
its offset is not higher than that of the replay.

Snapshots are stored in the stream `config-snapshots`. At the size expected in two
years, a snapshot takes about 1.8 MB, or 0.5 MB compressed. It is therefore appended in
parts. All parts of a snapshot contain the digest of its compressed text. They may
arrive in any order, more than once, and mixed with parts of other snapshots.
"""

import zlib
from collections.abc import Iterable
from hashlib import blake2b
from typing import Annotated

import msgspec

from .replay import Replay, ReplayState

__all__ = [
    "SnapshotAssembler",
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
# Incomplete snapshots kept at a time: those of two writers and of two writers that
# stopped half-way.
MAX_INCOMPLETE = 4
# Interval between snapshots, as a ratio of the retention time. Two snapshots in a row
# may fail before the records that they replace expire.
SNAPSHOT_INTERVAL_RATIO = 1 / 3


class _Envelope(msgspec.Struct):
    digest: str
    state: msgspec.Raw


class _Part(msgspec.Struct):
    digest: str
    number: Annotated[int, msgspec.Meta(ge=0)]
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    data: bytes


_PART_DECODER = msgspec.json.Decoder(_Part)
_ENVELOPE_DECODER = msgspec.json.Decoder(_Envelope)
_STATE_DECODER = msgspec.json.Decoder(ReplayState)


def encode_snapshot(replay: Replay) -> bytes:
    """Encode the state of a replay as a snapshot.

    Replays that have read the same records give the same bytes.
    """
    state = msgspec.json.encode(replay.state(), order="deterministic")
    return msgspec.json.encode(_Envelope(_digest(state), msgspec.Raw(state)))


def decode_snapshot(value: bytes) -> ReplayState | None:
    """Decode a snapshot; None if it is malformed or its digest doesn't match."""
    try:
        envelope = _ENVELOPE_DECODER.decode(value)
        state = bytes(envelope.state)
        if _digest(state) != envelope.digest:
            return None
        return _STATE_DECODER.decode(state)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def adopt_snapshot(replay: Replay, value: bytes) -> bool:
    """Replace the state of a replay by a snapshot from the log or from a peer.

    Returns:
        Whether the snapshot was adopted. A snapshot is not adopted if it is damaged or
        if its offset is not higher than that of the replay.
    """
    state = decode_snapshot(value)
    return state is not None and replay.adopt(state)


def choose_snapshot(values: Iterable[bytes], first_offset: int) -> ReplayState | None:
    """Choose the snapshot from which a starting node continues.

    Args:
        values: Snapshots, in any order.
        first_offset: Offset of the oldest record that the `config` stream still holds.

    Returns:
        State of the valid snapshot with the highest offset; None if there is none.
        Snapshots that end before `first_offset` are left out, because the records
        between them and the stream have expired.
    """
    states = [state for state in map(decode_snapshot, values) if state is not None]
    usable = [state for state in states if state.next_offset >= first_offset]
    return max(usable, key=lambda state: state.next_offset, default=None)


def is_snapshot_due(age_s: float, retention_s: float) -> bool:
    """Return whether a new snapshot must be written.

    Snapshots expire like other records, so a new one is due even if no record has been
    appended since the last.

    Args:
        age_s: Seconds since the newest usable snapshot was appended.
        retention_s: Seconds for which the log service keeps records.
    """
    return age_s >= retention_s * SNAPSHOT_INTERVAL_RATIO


def split_snapshot(value: bytes, *, max_bytes: int = MAX_PART_BYTES) -> list[bytes]:
    """Split a snapshot into records for the snapshot stream.

    Args:
        value: The snapshot.
        max_bytes: Maximum number of compressed bytes in a record; base64 adds a third
            to its size.
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


class SnapshotAssembler:
    """Assembles snapshots from the records of the snapshot stream."""

    def __init__(self):
        self._incomplete: dict[str, dict[int, bytes]] = {}

    def add(self, record: bytes) -> bytes | None:
        """Add a record, which holds one part of a snapshot.

        Malformed parts are ignored. Only the `MAX_INCOMPLETE` incomplete snapshots that
        received a part most recently are kept.

        Returns:
            The snapshot if this part completes it, otherwise None.
        """
        try:
            part = _PART_DECODER.decode(record)
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            return None
        if part.number >= part.count:
            return None
        parts = self._incomplete.pop(part.digest, {})
        parts[part.number] = part.data
        if len(parts) < part.count:
            self._incomplete[part.digest] = parts
            if len(self._incomplete) > MAX_INCOMPLETE:
                del self._incomplete[next(iter(self._incomplete))]
            return None
        packed = b"".join(parts[number] for number in sorted(parts))
        return unpack_snapshot(packed) if _digest(packed) == part.digest else None


def pack_snapshot(value: bytes) -> bytes:
    """Compress a snapshot, to about a quarter of its size."""
    return zlib.compress(value)


def unpack_snapshot(packed: bytes) -> bytes | None:
    """Decompress a snapshot; None if it is damaged or larger than 32 MiB."""
    try:
        value = zlib.decompressobj().decompress(packed, MAX_SNAPSHOT_BYTES + 1)
    except zlib.error:
        return None
    return value if len(value) <= MAX_SNAPSHOT_BYTES else None


def _digest(value: bytes) -> str:
    return blake2b(value, digest_size=DIGEST_BYTES).hexdigest()
