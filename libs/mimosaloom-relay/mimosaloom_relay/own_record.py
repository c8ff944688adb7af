"""Published record of this node, and the target it resumes after a restart."""

from collections.abc import Awaitable, Callable

from mimosaloom_model import Address

from .own_target import Announcement, OwnTarget, TargetState
from .peers import PeerRecord, decode_record, encode_record
from .settings import RelaySettings

__all__ = ["OwnRecord"]


class OwnRecord:
    """Publishes the record of this node and updates it when its target changes.

    A node that stops hands its target over: it accepts no more hops, and the next
    incarnation of the node resumes the target from the published record. It also learns
    there that the target has left, as late heartbeats may follow.

    Args:
        settings: Settings of the node.
        incarnation: Incarnation of the node.
        own_target: State of the target.
        inbound: Returns the address where the node accepts hops.
        has_handed_over: Returns whether the node has stopped accepting hops.

    Attributes:
        send: Publishes an encoded record, or removes the published one if given None.
        is_target_running: Whether a target that has left was last found running.
        wait_until_stored: Waits until the store has what was sent last.
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
        self.wait_until_stored: Callable[[], Awaitable[None]] = _return_at_once
        self.is_target_running = True
        self._settings = settings
        self._incarnation = incarnation
        self._own_target = own_target
        self._inbound = inbound
        self._has_handed_over = has_handed_over
        self._published: bytes | None = None
        self._previous_record: PeerRecord | None = None
        self._left_start = ""

    def build(self) -> PeerRecord:
        """Return the current record of the node."""
        target, announcement = self._own_target, self._own_target.announcement
        has_handed_over = self._has_handed_over()
        is_of_use_later = target.is_available or (
            target.is_leaving and self.is_target_running
        )
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
            is_handed_over=has_handed_over and is_of_use_later,
            target_born_ms=announcement.born_ms if announcement else 0,
            is_leaving=target.is_leaving,
        )

    def publish(self) -> PeerRecord:
        """Publish and return the current record.

        A stopping node leaves its record published only if its target keeps running,
        so that the next incarnation finds the target there, or that it has left.
        Otherwise the record is removed.
        """
        record = self.build()
        is_gone = self._has_handed_over() and not record.is_handed_over
        self._published = None if is_gone else encode_record(record)
        self.send(self._published)
        return record

    def handle_stored_record(self, value: bytes | None) -> None:
        """Process the record that the store holds under the name of this node.

        Until a target is in use, it is the record of the previous incarnation.

        Args:
            value: The record in its published form; None if the store has none.
        """
        record = None if value is None else decode_record(value)
        if record is not None and record.is_leaving:
            self._left_start = record.start_key
        own_target = self._own_target
        if own_target.announcement is not None and not own_target.is_unchecked:
            if value != self._published:
                # A late write of an earlier incarnation has replaced the own record.
                self.send(self._published)
            return
        self._previous_record = record

    def note_left(self, start_key: str) -> None:
        """Note that a start of the target has left, as another node knows."""
        self._left_start = start_key

    def has_left(self, start_key: str) -> bool:
        """Return whether a stored record says that a start of the target has left."""
        return start_key == self._left_start

    def publish_again(self) -> None:
        """Publish the last record again, as the store does not have it."""
        if self._published is not None:
            self.send(self._published)

    def pop_resumable_target(self) -> Announcement | None:
        """Return the target of the previous incarnation and forget its record.

        Returns:
            None if there is no such record, or the target has left or belongs to
            another service.
        """
        previous, self._previous_record = self._previous_record, None
        if previous is None or previous.service != self._settings.service:
            return None
        if previous.is_leaving:
            return None
        if not (previous.is_available or previous.is_handed_over) or not previous.slots:
            return None
        return Announcement(
            previous.target_id,
            previous.target_born_ms,
            0,
            TargetState.READY,
            previous.service,
            self._settings.target,
            previous.failure_domain,
            "",
            previous.slots,
            0.0,
        )

    def withdraw(self) -> None:
        """Remove the record of an earlier incarnation whose target does not answer."""
        if self._published is None:
            self.send(None)


async def _return_at_once() -> None:
    """Wait for nothing, as a node without a store does."""
