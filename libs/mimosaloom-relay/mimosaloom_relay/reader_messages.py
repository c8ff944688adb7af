"""Messages between a node and the one that reads the store for it."""

import msgspec

from .decoding import DECODE_ERRORS

__all__ = ["FOLLOW_PATH", "FollowReply", "FollowRequest", "decode_message"]

FOLLOW_PATH = "/.mimosaloom/follow"


class FollowRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a reader for what it has read since.

    Attributes:
        era: Era of the store in which the offset has a meaning.
        offset: Offset of the next record that the sender reads.
        version: Version of the configuration in force at the sender.
    """

    era: int
    offset: int
    version: int


class FollowReply(msgspec.Struct, frozen=True, array_like=True):
    """What a reader has read, and how long ago the store has confirmed it.

    Attributes:
        era: Era of the store that the reader has read.
        records: Key and value of the records from the requested offset on, in order;
            None if the reader does not hold all of them. A value of None removes the
            key.
        next_offset: Offset of the next record that the reader reads.
        records_age_s: Time in seconds since the store answered a read of records.
        version: Version of the configuration in force at the reader.
        configuration_offset: Offset up to which the reader has read the configuration.
        configuration_age_s: Time in seconds since the store answered a read of it.
    """

    era: int
    records: list[tuple[str, bytes | None]] | None
    next_offset: int
    records_age_s: float
    version: int
    configuration_offset: int
    configuration_age_s: float


def decode_message(message: bytes, struct: type[msgspec.Struct]):
    """Return a decoded message; None if it is not valid."""
    try:
        return msgspec.msgpack.decode(message, type=struct)
    except DECODE_ERRORS:
        return None
