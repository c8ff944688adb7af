"""News about members: records of the `members` stream and messages of the overlay."""

from typing import Annotated

import msgspec

__all__ = [
    "Announce",
    "Drain",
    "Leave",
    "Member",
    "MemberNews",
    "Suspect",
    "decode_news",
    "encode_news",
]

MAX_NEWS_BYTES = 8_192

_Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
_Incarnation = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{13}-[0-9a-f]{8}$")]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Member(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A target and its node; fixed for an incarnation."""

    name: _Name
    region: str
    service: _Name
    upstream: _Name
    failure_domain: str
    host: str
    ingress_port: _Port
    admin_port: _Port
    control_port: _Port
    slots: _Count
    max_connections: _Count
    incarnation: _Incarnation


class _Own(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """News from the member itself.

    Attributes:
        id: Unique for the news; the same when it is sent again.
        member: The member.
        sequence: Counts the news of one incarnation that replace earlier ones.
    """

    id: str
    member: Member
    sequence: _Count = 0


class Announce(_Own, frozen=True, kw_only=True, tag="announce"):
    """The member accepts calls."""


class Drain(_Own, frozen=True, kw_only=True, tag="drain"):
    """The member accepts no new calls and finishes those it has."""


class Leave(_Own, frozen=True, kw_only=True, tag="leave"):
    """The incarnation has ended."""


class Suspect(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="suspect"
):
    """A monitor gets no heartbeats from a member.

    Attributes:
        name: The member.
        incarnation: Its incarnation as known to the monitor.
        sequence: Its sequence as known to the monitor.
        monitor: Name of the node that watches it.
    """

    name: _Name
    incarnation: _Incarnation
    sequence: _Count
    monitor: _Name


MemberNews = Announce | Drain | Leave | Suspect

_NEWS = msgspec.json.Decoder(MemberNews)


def decode_news(value: bytes) -> MemberNews | None:
    """Read news; None if it is too large, malformed or of an unknown type."""
    if len(value) > MAX_NEWS_BYTES:
        return None
    try:
        return _NEWS.decode(value)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def encode_news(news: MemberNews) -> bytes:
    """Return news as it is appended or sent."""
    return msgspec.json.encode(news)
