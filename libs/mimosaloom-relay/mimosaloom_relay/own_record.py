"""What a node publishes of itself, and what it takes up again after a restart."""

from collections.abc import Callable

from mimosaloom_model import Address

from .own_target import Announcement, OwnTarget, TargetState
from .peers import PeerRecord, decode_record, encode_record
from .settings import RelaySettings

__all__ = ["OwnRecord"]


class OwnRecord:
    """Keeps the published record of a node in step with its target.

    Args:
        settings: Settings of the node.
        incarnation: Incarnation of the node.
        own_target: What is known of its target.
        inbound: Returns the address where the node takes hops.
        has_handed_over: Returns whether the node takes no more hops.
    """

    def __init__(
        self,
        settings: RelaySettings,
        incarnation: str,
        own_target: OwnTarget,
        *,
        inbound: Callable[[], Address],
        has_handed_over: Callable[[], bool],
    ):
        self.send: Callable[[bytes | None], None] = lambda record: None
        self._settings = settings
        self._incarnation = incarnation
        self._own_target = own_target
        self._inbound = inbound
        self._has_handed_over = has_handed_over
        self._published: bytes | None = None
        self._earlier: PeerRecord | None = None

    def build(self) -> PeerRecord:
        """Return what the node says of itself now."""
        target, announcement = self._own_target, self._own_target.announcement
        has_handed_over = self._has_handed_over()
        return PeerRecord(
            name=self._settings.name,
            host=self._inbound().host,
            port=self._inbound().port,
            failure_domain=self._settings.failure_domain,
            service=self._settings.service,
            incarnation=self._incarnation,
            target_id=target.target_id,
            slots=announcement.slots if announcement else 0,
            is_available=target.is_available and not has_handed_over,
            is_handed_over=target.is_available and has_handed_over,
            target_born_ms=announcement.born_ms if announcement else 0,
        )

    def publish(self) -> PeerRecord:
        """Publish and return the present record.

        A node that ends keeps its record only if its target goes on: the next
        incarnation finds it there.
        """
        record = self.build()
        is_gone = self._has_handed_over() and not record.is_handed_over
        self._published = None if is_gone else encode_record(record)
        self.send(self._published)
        return record

    def hear(self, value: bytes | None) -> None:
        """Take in what the store has under the name of this node."""
        if self._own_target.announcement is not None:
            if value != self._published:
                # A late write of an earlier incarnation has replaced the own record.
                self.send(self._published)
            return
        self._earlier = None if value is None else decode_record(value)

    def take_resumable(self) -> Announcement | None:
        """Return the target of the earlier incarnation, once; None if it has left."""
        earlier, self._earlier = self._earlier, None
        if earlier is None or earlier.service != self._settings.service:
            return None
        if not (earlier.is_available or earlier.is_handed_over) or not earlier.slots:
            return None
        return Announcement(
            earlier.target_id,
            earlier.target_born_ms,
            0,
            TargetState.READY,
            earlier.service,
            self._settings.target,
            earlier.failure_domain,
            "",
            earlier.slots,
            0.0,
        )

    def withdraw(self) -> None:
        """Remove the record of an earlier incarnation whose target is not found."""
        if self._published is None:
            self.send(None)
