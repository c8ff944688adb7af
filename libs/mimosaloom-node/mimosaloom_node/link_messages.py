"""Messages between nodes, encoded as MessagePack and validated on receipt."""

from enum import StrEnum
from typing import Annotated

import msgspec

from mimosaloom_control import MemberUpdate

__all__ = [
    "BUCKET_COUNT",
    "MAX_MESSAGE_BYTES",
    "MAX_UPDATES_PER_MESSAGE",
    "PROTOCOL_VERSION",
    "Body",
    "BucketDigests",
    "ConfigRecords",
    "ConfigRequest",
    "Envelope",
    "Heartbeat",
    "MemberUpdates",
    "RejectReason",
    "SnapshotPart",
    "decode_envelope",
    "encode_envelope",
]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 262_144
# Limit for a received message.
MAX_RECEIVED_UPDATES = 512
# Limit for a message that is sent. 256 announcements take up about 100 KB.
MAX_UPDATES_PER_MESSAGE = 256
# Number of buckets of the member table. With 64, each bucket holds about 81 of 5,200
# members.
BUCKET_COUNT = 64

_Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
_Incarnation = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{13}-[0-9a-f]{8}$")]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Chain = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{0,64}$")]
_Digest = Annotated[int, msgspec.Meta(ge=0)]


class RejectReason(StrEnum):
    """Reason for which a message is dropped; label of the counter of rejections."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_SENDER = "unknown_sender"
    OWN_NAME = "own_name"
    OLD_INCARNATION = "old_incarnation"
    FUTURE_INCARNATION = "future_incarnation"
    FORGED_INCARNATION = "forged_incarnation"
    OLD_UPDATE = "old_news"
    UNSOLICITED = "unsolicited"
    DIVERGED = "diverged"
    QUEUE_FULL = "queue_full"


class _Body(msgspec.Struct, frozen=True, array_like=True):
    pass


class Heartbeat(_Body, frozen=True, tag="b"):
    """A heartbeat with the state of the sender's members and configuration.

    Attributes:
        sequence: Number of the heartbeat on this link.
        ack: Number of the last heartbeat received from the peer.
        members: Digest of the live members known to the sender.
        next_offset: Offset of the next configuration record that the sender reads.
        chain: Digest of the configuration records that the sender has read.
    """

    sequence: _Count
    ack: _Count
    members: _Digest
    next_offset: _Count
    chain: _Chain


class MemberUpdates(_Body, frozen=True, tag="n"):
    """Membership updates, such as the announcement or the leave of a member.

    Attributes:
        news: Updates in any order.
    """

    news: Annotated[list[MemberUpdate], msgspec.Meta(max_length=MAX_RECEIVED_UPDATES)]


class BucketDigests(_Body, frozen=True, tag="m"):
    """Digests of the buckets of the sender's member table.

    The receiver replies with the members of the buckets that differ.

    Attributes:
        digests: One digest for each bucket.
        is_answer: Whether this message answers another one of its kind; if so, the
            receiver does not send its digests back.
    """

    digests: Annotated[
        list[_Digest], msgspec.Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)
    ]
    is_answer: bool


class ConfigRequest(_Body, frozen=True, tag="q"):
    """A request for the configuration records from an offset on."""

    next_offset: _Count


class ConfigRecords(_Body, frozen=True, tag="r"):
    """Consecutive records of the configuration."""

    first_offset: _Count
    values: list[bytes]


class SnapshotPart(_Body, frozen=True, tag="s"):
    """A part of a compressed snapshot, for a receiver that is too far behind.

    Attributes:
        next_offset: Offset of the first record that the snapshot does not cover.
        part: Number of this part, from 0.
        parts: Number of parts of the snapshot.
        data: This part of the compressed snapshot.
    """

    next_offset: _Count
    part: Annotated[int, msgspec.Meta(ge=0, le=1_023)]
    parts: Annotated[int, msgspec.Meta(ge=1, le=1_024)]
    data: bytes


Body = (
    Heartbeat
    | MemberUpdates
    | BucketDigests
    | ConfigRequest
    | ConfigRecords
    | SnapshotPart
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its protocol version and sender."""

    version: int
    sender: _Name
    incarnation: _Incarnation
    body: Body


class _Header(msgspec.Struct, frozen=True, array_like=True):
    version: int


_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_HEADER = msgspec.msgpack.Decoder(_Header)
_ENCODER = msgspec.msgpack.Encoder()


def encode_envelope(sender: str, incarnation: str, body: Body) -> bytes:
    """Encode a message for sending."""
    return _ENCODER.encode(Envelope(PROTOCOL_VERSION, sender, incarnation, body))


def decode_envelope(data: bytes) -> Envelope | RejectReason:
    """Decode a message, or return the reason for which it is dropped."""
    if len(data) > MAX_MESSAGE_BYTES:
        return RejectReason.OVERSIZED
    try:
        # In other protocol versions, everything after the version may differ.
        if _HEADER.decode(data).version != PROTOCOL_VERSION:
            return RejectReason.UNKNOWN_VERSION
        return _ENVELOPE.decode(data)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return RejectReason.MALFORMED
