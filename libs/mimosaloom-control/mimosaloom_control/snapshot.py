"""Snapshots of the configuration, so that it outlives the records it came from.

A snapshot is the state of a replay with a digest over its text. It is a function of
the prefix of the stream, so two writers at one offset write the same bytes, and one
written again, or late by a writer that was paused, is passed over because its offset
is not higher. Snapshots stand in the stream `config-snapshots`.
"""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from .replay import Replay, ReplayState

__all__ = [
    "adopt_snapshot",
    "choose_snapshot",
    "decode_snapshot",
    "encode_snapshot",
    "is_snapshot_due",
]

DIGEST_BYTES = 16
# A snapshot may be missed twice before the records that it replaces expire.
DUE_SHARE = 1 / 3


class _Envelope(msgspec.Struct):
    digest: str
    state: msgspec.Raw


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


def _digest(state: bytes) -> str:
    return blake2b(state, digest_size=DIGEST_BYTES).hexdigest()
