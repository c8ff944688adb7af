"""Membership updates (`MemberUpdate`).

Nodes append them to the `members` stream of the log service and exchange them with
their neighbours in the overlay.
"""

from typing import Annotated

import msgspec

__all__ = [
    "Announce",
    "Drain",
    "Leave",
    "Member",
    "MemberUpdate",
    "Suspect",
    "decode_member_update",
    "encode_member_update",
]

MAX_UPDATE_BYTES = 8_192

_Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
_Incarnation = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{13}-[0-9a-f]{8}$")]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Member(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A target and its node.

    The fields don't change within an incarnation, which is one run of the node.

    Attributes:
        name: Name of the node.
        region: Region of the instance.
        service: Name of the service that the target belongs to.
        upstream: Name of the target's `Upstream` resource.
        failure_domain: Failure domain of the instance.
        host: Host of the node's ports.
        ingress_port: Port for calls to the target.
        admin_port: Port for operators.
        control_port: Port for other nodes.
        slots: Number of calls that the target runs at once.
        max_connections: Number of connections that the target accepts.
        incarnation: Start time of the node and a random part, in hexadecimal; a later
            start compares higher.
    """

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


class _SelfUpdate(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Update that a member publishes about itself.

    Attributes:
        id: Unique id of the update; a copy that is sent again has the same id.
        member: The member.
        sequence: Number of the update within the incarnation. An update with a higher
            sequence replaces those with a lower one.
    """

    id: str
    member: Member
    sequence: _Count = 0


class Announce(_SelfUpdate, frozen=True, kw_only=True, tag="announce"):
    """The member accepts calls."""


class Drain(_SelfUpdate, frozen=True, kw_only=True, tag="drain"):
    """The member accepts no new calls and finishes those in progress."""


class Leave(_SelfUpdate, frozen=True, kw_only=True, tag="leave"):
    """The incarnation has ended."""


class Suspect(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag="suspect"
):
    """A monitor receives no heartbeats from a member.

    Attributes:
        name: Name of the member.
        incarnation: Highest incarnation of the member that the monitor has seen.
        sequence: Highest sequence of that incarnation that the monitor has seen.
        monitor: Name of the node that monitors the member.
    """

    name: _Name
    incarnation: _Incarnation
    sequence: _Count
    monitor: _Name


MemberUpdate = Announce | Drain | Leave | Suspect

_UPDATE_DECODER = msgspec.json.Decoder(MemberUpdate)


def decode_member_update(value: bytes) -> MemberUpdate | None:
    """Decode an update.

    Returns:
        The update; None if it is too large, malformed or of an unknown type.
    """
    if len(value) > MAX_UPDATE_BYTES:
        return None
    try:
        return _UPDATE_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def encode_member_update(update: MemberUpdate) -> bytes:
    """Encode an update for the stream or for a neighbour."""
    return msgspec.json.encode(update)
