"""Configuration of a node: the records that it has read and the resources in force."""

from collections.abc import Callable, Iterable

import msgspec
from eliot import log_message

from mimosaloom_control import (
    Effect,
    Position,
    RecentRecords,
    Replay,
    ReplayState,
    Resource,
    encode_snapshot,
)
from mimosaloom_model import Catalog, ResourceDocument, build_catalog

from .config_consistency import Key, Resources, revert_inconsistent_resources

__all__ = ["ConfigState"]


class ConfigState:
    """Replays the records of the log and puts the resulting resources in force.

    Args:
        initial: Resources in force until a resource has been read from the log.
        on_change: Called with the new catalog whenever it changes.

    Attributes:
        replay: Replay of the records read.
        recent: Most recent records, for peers that are behind.
        held_back: Resources whose value in the log is not used, with the reason.
        held_back_count: Number of times that a resource was held back; one that is
            held back for a new reason counts again.
    """

    def __init__(
        self,
        initial: Iterable[ResourceDocument],
        on_change: Callable[[Catalog], None],
    ):
        self.replay = Replay()
        self.recent = RecentRecords()
        self.held_back: dict[Key, str] = {}
        self.held_back_count = 0
        self._on_change = on_change
        self._listeners: list[Callable[[], None]] = []
        self._has_log_resources = False
        self._in_force: Resources = {
            (d["kind"], d["name"]): Resource(0, d["spec"]) for d in initial
        }

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read; it never decreases."""
        return self.replay.next_offset

    @property
    def position(self) -> Position:
        """Next offset and the digest of the records before it."""
        return Position(self.replay.next_offset, self.replay.chain)

    @property
    def in_force(self) -> Resources:
        """Resources in force, by kind and name; callers must not modify them."""
        return self._in_force

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called whenever the position advances."""
        self._listeners.append(listener)

    def apply_records(self, records: Iterable[tuple[int, bytes]]) -> bool:
        """Apply records in order.

        Records before the next offset are skipped; a gap ends the call.

        Returns:
            Whether the position has advanced.
        """
        before = self.next_offset
        accepted = False
        for offset, value in records:
            effect = self.replay.apply(offset, value)
            if effect is Effect.GAP:
                break
            if effect is Effect.OLD_OFFSET:
                continue
            self.recent.append(offset, value)
            accepted |= effect is Effect.ACCEPTED
            if effect in (Effect.BAD, Effect.CONFLICT, Effect.STALE):
                log_message(
                    message_type="config_record_skipped",
                    offset=offset,
                    reason=effect.value,
                )
        if accepted:
            self._apply_consistent_resources()
        return self._notify_if_advanced(before)

    def adopt_snapshot(self, state: ReplayState) -> bool:
        """Replace the state by a snapshot at a higher offset.

        Returns:
            Whether the snapshot was at a higher offset and was adopted.
        """
        before = self.next_offset
        if not self.replay.adopt(state):
            return False
        if state.resources:
            self._apply_consistent_resources()
        log_message(message_type="config_snapshot_adopted", offset=self.next_offset)
        return self._notify_if_advanced(before)

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the records read so far."""
        return encode_snapshot(self.replay)

    def status(self) -> dict:
        """Return the status fields for operators."""
        return {
            "offset": self.next_offset,
            "digest": self.replay.chain,
            "resources": {
                f"{kind}/{name}": resource.revision
                for (kind, name), resource in sorted(self._in_force.items())
            },
            "held_back": {"/".join(k): reason for k, reason in self.held_back.items()},
            "held_back_total": self.held_back_count,
            "bad_records": self.replay.bad_records,
            "conflicts": self.replay.conflicts,
        }

    def _notify_if_advanced(self, before: int) -> bool:
        if self.next_offset == before:
            return False
        for listener in self._listeners:
            listener()
        return True

    def _apply_consistent_resources(self) -> None:
        self._has_log_resources |= bool(self.replay.resources)
        if not self._has_log_resources:
            return
        consistent = revert_inconsistent_resources(
            self.replay.resources, self._in_force
        )
        new_reasons = {
            key: reason
            for key, reason in consistent.held_back.items()
            if self.held_back.get(key) != reason
        }
        self.held_back_count += len(new_reasons)
        for (kind, name), reason in new_reasons.items():
            log_message(
                message_type="config_held_back", kind=kind, name=name, reason=reason
            )
        self.held_back = consistent.held_back
        self._in_force = consistent.in_force
        self._on_change(build_catalog(_list_documents(consistent.in_force)))
        log_message(
            message_type="config_in_force",
            offset=self.next_offset,
            resources=len(consistent.in_force),
        )


def _list_documents(resources: Resources) -> list[ResourceDocument]:
    # Copies the specs, since a catalog must not share lists with the replay.
    return [
        ResourceDocument(kind=kind, name=name, spec=msgspec.to_builtins(resource.spec))
        for (kind, name), resource in resources.items()
    ]
