"""Members of the mesh: their records, and the table that is built from them."""

import random
from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum
from typing import Annotated

import msgspec

from mimosaloom_model import Clock
from mimosaloom_policy import Candidate

from .log_client import Appended, AppendOutcome, LogClient, Page, follow_stream

__all__ = [
    "MEMBERS_STREAM",
    "Directory",
    "Member",
    "MemberRecord",
    "RecordType",
    "announce_member",
    "follow_members",
    "new_incarnation",
    "record_leave",
]

MEMBERS_STREAM = "members"
INCARNATION_TIME_HEX_DIGITS = 13
INCARNATION_RANDOM_BITS = 32
ANNOUNCE_ROUND = timedelta(seconds=30)

_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Incarnation = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{13}-[0-9a-f]{8}$")]


class RecordType(StrEnum):
    """What a record says about a member."""

    ANNOUNCE = "announce"
    LEAVE = "leave"


class Member(msgspec.Struct, frozen=True):
    """A node and the target beside it.

    Attributes:
        name: Name of the node.
        region: Region in which it runs.
        service: Service of its target.
        upstream: Name of its target as declared.
        failure_domain: Failure domain in which it runs.
        host: IP address of its listeners.
        ingress_port: Port for calls.
        admin_port: Port for operators.
        control_port: Port for other nodes; 0 if the node has no such listener.
        slots: Calls that the target runs at once.
        max_connections: Connections that the target accepts.
        incarnation: Start number of the node, see `new_incarnation`.
    """

    name: _Text
    region: str
    service: _Text
    upstream: _Text
    failure_domain: str
    host: _Text
    ingress_port: _Port
    admin_port: _Port
    control_port: Annotated[int, msgspec.Meta(ge=0, le=65535)]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    max_connections: Annotated[int, msgspec.Meta(ge=1)]
    incarnation: _Incarnation


class MemberRecord(msgspec.Struct, frozen=True):
    """A record of the `members` stream; `id` is the same on repeated appends."""

    id: str
    type: RecordType
    member: Member


class Directory:
    """The members known to one node, newest record of each name.

    The table does not depend on the order in which records arrive, so that records
    that are repeated or come by two ways give the same result. It keeps what it has
    while the log service is down.
    """

    def __init__(self):
        self.bad_records = 0
        self.version = 0
        self._records: dict[str, MemberRecord] = {}
        self._draining: set[str] = set()

    def apply(self, value: object) -> bool:
        """Take in a record as read from the log.

        Args:
            value: JSON value of the record. One that is not valid is counted in
                `bad_records` and skipped.

        Returns:
            Whether the table has changed; `version` then grows by one.
        """
        try:
            record = msgspec.convert(value, MemberRecord)
        except msgspec.ValidationError:
            self.bad_records += 1
            return False
        known = self._records.get(record.member.name)
        if known is not None and _order(record) <= _order(known):
            return False
        self._records[record.member.name] = record
        self.version += 1
        return True

    def mark_draining(self, incarnation: str) -> bool:
        """Note that an answer of this incarnation said that it is leaving.

        Returns:
            Whether that was news; `version` then grows by one.
        """
        if incarnation in self._draining:
            return False
        self._draining.add(incarnation)
        self.version += 1
        return True

    def members(self) -> list[Member]:
        """Return the members that have not left, ordered by name."""
        return [
            record.member
            for _, record in sorted(self._records.items())
            if record.type is RecordType.ANNOUNCE
        ]

    def services(self) -> list[str]:
        """Return the services that have a member, in order."""
        return sorted({member.service for member in self.members()})

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service for the router.

        Where two nodes announce one upstream, as after a replacement, the newer
        incarnation is the upstream's.
        """
        newest: dict[str, Member] = {}
        for member in self.members():
            if member.service != service:
                continue
            known = newest.get(member.upstream)
            if known is None or known.incarnation < member.incarnation:
                newest[member.upstream] = member
        return [self._candidate(member) for member in newest.values()]

    def _candidate(self, member: Member) -> Candidate:
        return Candidate(
            name=member.upstream,
            host=member.host,
            port=member.ingress_port,
            failure_domain=member.failure_domain,
            slots=member.slots,
            max_connections=member.max_connections,
            incarnation=member.incarnation,
            is_draining=member.incarnation in self._draining,
        )


def new_incarnation(clock: Clock, rng: random.Random) -> str:
    """Return the start number of a node process; text order is start order."""
    started_ms = int(clock.now().timestamp() * 1000)
    suffix = rng.getrandbits(INCARNATION_RANDOM_BITS)
    return f"{started_ms:0{INCARNATION_TIME_HEX_DIGITS}x}-{suffix:08x}"


async def announce_member(client: LogClient, member: Member) -> int:
    """Announce a member, for as long as it takes.

    Returns:
        The offset of its record.
    """
    record = _member_record(client, RecordType.ANNOUNCE, member)
    while True:
        outcome = await client.append(
            MEMBERS_STREAM, record, give_up_after=ANNOUNCE_ROUND
        )
        if isinstance(outcome, Appended):
            return outcome.offset


async def record_leave(
    client: LogClient, member: Member, *, give_up_after: timedelta
) -> AppendOutcome:
    """Record that a member leaves; gives up so that an outage can't hold up a stop."""
    record = _member_record(client, RecordType.LEAVE, member)
    return await client.append(MEMBERS_STREAM, record, give_up_after=give_up_after)


async def follow_members(
    client: LogClient,
    directory: Directory,
    on_change: Callable[[], None],
    *,
    wait: timedelta = timedelta(seconds=5),
) -> None:
    """Keep a directory up to date until cancelled.

    Args:
        client: Client to read with.
        directory: Table to keep.
        on_change: Called after each page that changed the table.
        wait: Length of one long poll.
    """

    def apply(page: Page) -> None:
        changes = [directory.apply(record.value) for record in page.records]
        if any(changes):
            on_change()

    await follow_stream(client, MEMBERS_STREAM, apply, wait=wait)


def _member_record(client: LogClient, record_type: RecordType, member: Member) -> dict:
    record = MemberRecord(client.new_record_id(), record_type, member)
    return msgspec.to_builtins(record)


def _order(record: MemberRecord) -> tuple[str, bool, str]:
    # The id decides between two different records of one incarnation and type, so
    # that every node keeps the same one.
    return (
        record.member.incarnation,
        record.type is RecordType.LEAVE,
        record.id,
    )
