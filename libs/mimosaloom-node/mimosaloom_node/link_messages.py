"""Messages between nodes: MessagePack, checked when they are read."""

from enum import StrEnum
from typing import Annotated

import msgspec

from mimosaloom_control import MemberNews

__all__ = [
    "BUCKETS",
    "MAX_MESSAGE_BYTES",
    "MAX_NEWS_PER_MESSAGE",
    "PROTOCOL_VERSION",
    "AskConfig",
    "Beat",
    "Body",
    "Buckets",
    "ConfigRecords",
    "Envelope",
    "News",
    "Rejected",
    "SnapshotPart",
    "decode_envelope",
    "encode_envelope",
]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 262_144
MAX_NEWS = 512
# 256 announcements have about 100 KB.
MAX_NEWS_PER_MESSAGE = 256
# Buckets of the member table; one of 64 holds about 81 of 5,200 members.
BUCKETS = 64

_Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
_Incarnation = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{13}-[0-9a-f]{8}$")]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Chain = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{0,64}$")]
_Digest = Annotated[int, msgspec.Meta(ge=0)]


class Rejected(StrEnum):
    """Why a message was dropped; a label of the counter."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_SENDER = "unknown_sender"
    OWN_NAME = "own_name"
    OLD_INCARNATION = "old_incarnation"
    FUTURE_INCARNATION = "future_incarnation"
    FORGED_INCARNATION = "forged_incarnation"
    OLD_NEWS = "old_news"
    UNSOLICITED = "unsolicited"
    DIVERGED = "diverged"
    QUEUE_FULL = "queue_full"


class _Body(msgspec.Struct, frozen=True, array_like=True):
    pass


class Beat(_Body, frozen=True, tag="b"):
    """A sign of life with what the sender holds.

    Attributes:
        sequence: Number of the beat on this link.
        ack: Number of the last beat that came from the receiver.
        members: Digest of the sender's live members.
        next_offset: How far the sender has read the configuration.
        chain: Digest of the records read.
    """

    sequence: _Count
    ack: _Count
    members: _Digest
    next_offset: _Count
    chain: _Chain


class News(_Body, frozen=True, tag="n"):
    """News about members.

    Attributes:
        news: News in any order.
    """

    news: Annotated[list[MemberNews], msgspec.Meta(max_length=MAX_NEWS)]


class Buckets(_Body, frozen=True, tag="m"):
    """Digests of the buckets of the sender's member table.

    The receiver sends the members of the buckets that differ.

    Attributes:
        digests: One for each bucket.
        is_answer: Whether it answers such a message, and needs no digests back.
    """

    digests: Annotated[
        list[_Digest], msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS)
    ]
    is_answer: bool


class AskConfig(_Body, frozen=True, tag="q"):
    """Asks for the configuration from an offset on."""

    next_offset: _Count


class ConfigRecords(_Body, frozen=True, tag="r"):
    """Records of the configuration that follow one another."""

    first_offset: _Count
    values: list[bytes]


class SnapshotPart(_Body, frozen=True, tag="s"):
    """A part of a compressed snapshot, for a receiver that is too far back."""

    next_offset: _Count
    part: Annotated[int, msgspec.Meta(ge=0, le=1_023)]
    parts: Annotated[int, msgspec.Meta(ge=1, le=1_024)]
    data: bytes


Body = Beat | News | Buckets | AskConfig | ConfigRecords | SnapshotPart


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    version: int
    sender: _Name
    incarnation: _Incarnation
    body: Body


class _Head(msgspec.Struct, frozen=True, array_like=True):
    version: int


_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_HEAD = msgspec.msgpack.Decoder(_Head)
_ENCODER = msgspec.msgpack.Encoder()


def encode_envelope(sender: str, incarnation: str, body: Body) -> bytes:
    """Return a message as it is sent."""
    return _ENCODER.encode(Envelope(PROTOCOL_VERSION, sender, incarnation, body))


def decode_envelope(data: bytes) -> Envelope | Rejected:
    """Read a message, or tell why it is dropped."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Rejected.OVERSIZED
    try:
        # A message of a later version may differ in all that follows its number.
        if _HEAD.decode(data).version != PROTOCOL_VERSION:
            return Rejected.UNKNOWN_VERSION
        return _ENVELOPE.decode(data)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return Rejected.MALFORMED
