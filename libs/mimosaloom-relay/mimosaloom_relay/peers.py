"""Records of the known nodes, and the upstreams that these nodes offer."""

from typing import Annotated

import msgspec
from msgspec import Meta

from mimosaloom_model import Address
from mimosaloom_policy import Candidate

from .addresses import is_ip_address
from .decoding import decode_json
from .own_target import MAX_BORN_MS, MAX_SLOTS, format_start_key

__all__ = [
    "PeerRecord",
    "PeerTable",
    "decode_record",
    "decode_records",
    "encode_record",
]


# Connections that a node accepts from other nodes; its file descriptors bound them. The
# connection limit of a target applies only to the node beside it, which opens no more
# connections to the target than the target has slots.
MAX_HOP_CONNECTIONS = 256
# Bounds the memory for targets that have left; the oldest ones have ended by then.
MAX_LEFT_STARTS = 4096


class PeerRecord(msgspec.Struct, frozen=True):
    """Record that a node publishes about itself and its target.

    Attributes:
        name: Name of the node.
        host: IP address of its listener for hops; names are not looked up.
        port: Port of that listener.
        failure_domain: Failure domain of the instance.
        service: Service of its target.
        incarnation: Incarnation of the node.
        target_id: Id of its target; empty before the first heartbeat of a target.
        slots: Number of calls that the target runs at once.
        is_available: Whether the target takes new calls.
        is_handed_over: Whether the node stops while its target keeps running, so that
            the next incarnation of the node can resume the target, or knows that it
            has left.
        target_born_ms: Start time of the target in Unix milliseconds; 0 if not known.
        is_leaving: Whether the target is draining or has left.
    """

    name: Annotated[str, Meta(min_length=1)]
    host: Annotated[str, Meta(min_length=1)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    failure_domain: str
    service: str
    incarnation: str
    target_id: str
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
    is_available: bool
    is_handed_over: bool = False
    target_born_ms: Annotated[int, Meta(ge=0, le=MAX_BORN_MS)] = 0
    is_leaving: bool = False

    @property
    def address(self) -> Address:
        """Address where the node accepts hops."""
        return Address(self.host, self.port)

    @property
    def is_leave_only(self) -> bool:
        """Whether the record is only there to keep the leave of the target.

        The node stops and can't be called any more. Its next incarnation reads the
        record.
        """
        return self.is_leaving and self.is_handed_over

    @property
    def start_key(self) -> str:
        """Key of the start of the target."""
        return format_start_key(self.target_id, self.target_born_ms)


def encode_record(record: PeerRecord) -> bytes:
    """Return the published form of a record."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> PeerRecord | None:
    """Return the record from its published form; None if it is not valid."""
    record = decode_json(value, PeerRecord)
    return record if record is not None and _is_usable(record) else None


def decode_records(value: bytes) -> list[PeerRecord]:
    """Return the valid records from an encoded list; none if it is no list."""
    records = map(decode_record, decode_json(value, list[msgspec.Raw]) or [])
    return [record for record in records if record is not None]


def _is_usable(record: PeerRecord) -> bool:
    """Return whether the node can be called, and its target if it is available."""
    if not is_ip_address(record.host):
        return False
    return not record.is_available or bool(record.target_id and record.slots)


class PeerTable:
    """Records of all known nodes, including this one."""

    def __init__(self):
        self._records: dict[str, PeerRecord] = {}
        self._unreachable: set[str] = set()
        # Last start of each node's target that leaves, by its record or its answers. It
        # is kept without a record of the node, which may restart and publish one again.
        self._left_starts: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._records)

    def get(self, name: str) -> PeerRecord | None:
        """Return the record of a node; None if it is not known."""
        return self._records.get(name)

    def records(self) -> list[PeerRecord]:
        """Return the records of all nodes."""
        return list(self._records.values())

    def reachable_records(self) -> list[PeerRecord]:
        """Return the records of the nodes that can be reached and do not stop."""
        return [
            record
            for record in self._records.values()
            if record.name not in self._unreachable and not record.is_handed_over
        ]

    def put(self, record: PeerRecord) -> set[str]:
        """Store a record; return the services whose upstreams may have changed."""
        known = self._records.get(record.name)
        if known == record:
            return set()
        if record.is_leaving:
            self._remember_left(record.name, record.start_key)
        self._records[record.name] = record
        if known is None or known.incarnation != record.incarnation:
            self._unreachable.discard(record.name)
        return {record.service} | ({known.service} if known else set())

    def remove(self, name: str) -> set[str]:
        """Remove a node; return the services whose upstreams have changed."""
        known = self._records.pop(name, None)
        self._unreachable.discard(name)
        return {known.service} if known else set()

    def mark_unreachable(self, name: str) -> bool:
        """Exclude a node from the candidates.

        Returns:
            False if the node is not known or already excluded.
        """
        if name not in self._records or name in self._unreachable:
            return False
        self._unreachable.add(name)
        return True

    def mark_left(self, name: str, start_key: str) -> bool:
        """Exclude one start of a node's target from the candidates for good.

        Returns:
            False if the node is not known or the start already excluded.
        """
        if name not in self._records or self._left_starts.get(name) == start_key:
            return False
        self._remember_left(name, start_key)
        return True

    def find_left_start(self, name: str) -> str:
        """Return the last start of a node's target that has left; empty for none."""
        return self._left_starts.get(name, "")

    def _remember_left(self, name: str, start_key: str) -> None:
        self._left_starts.pop(name, None)
        self._left_starts[name] = start_key
        while len(self._left_starts) > MAX_LEFT_STARTS:
            del self._left_starts[next(iter(self._left_starts))]

    def mark_reachable(self, name: str) -> None:
        """Include a node in the candidates again."""
        self._unreachable.discard(name)

    def is_unreachable(self, name: str) -> bool:
        """Return whether a node is excluded because it can't be reached."""
        return name in self._unreachable

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service that take new calls."""
        return [
            Candidate(
                record.name,
                record.host,
                record.port,
                record.failure_domain,
                record.slots,
                MAX_HOP_CONNECTIONS,
                record.incarnation,
            )
            for record in self._records.values()
            if record.service == service
            and record.is_available
            and record.name not in self._unreachable
            and record.start_key != self._left_starts.get(record.name)
        ]
