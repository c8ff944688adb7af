"""The configuration of a node: what it has read and what is in force."""

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

from .config_settle import Key, Resources, settle_resources

__all__ = ["ConfigState"]


class ConfigState:
    """Replays records and puts the result in force.

    Args:
        start: Resources in force until the log holds one.
        on_change: Receives the catalog when it changes.
    """

    def __init__(
        self,
        start: Iterable[ResourceDocument],
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
            (d["kind"], d["name"]): Resource(0, d["spec"]) for d in start
        }

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read; it never becomes lower."""
        return self.replay.next_offset

    @property
    def position(self) -> Position:
        """How far the node has read."""
        return Position(self.replay.next_offset, self.replay.chain)

    @property
    def in_force(self) -> Resources:
        """Resources in force; not to be changed."""
        return self._in_force

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function whenever the position has advanced."""
        self._listeners.append(listener)

    def take(self, records: Iterable[tuple[int, bytes]]) -> bool:
        """Take in records in order; those that are known or don't join are skipped.

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
            self._put_in_force()
        return self._advanced(before)

    def adopt(self, state: ReplayState) -> bool:
        """Continue from a snapshot of a higher offset; return whether it was one."""
        before = self.next_offset
        if not self.replay.adopt(state):
            return False
        if state.resources:
            self._put_in_force()
        log_message(message_type="config_snapshot_adopted", offset=self.next_offset)
        return self._advanced(before)

    def snapshot(self) -> bytes:
        """Return a snapshot of what was read."""
        return encode_snapshot(self.replay)

    def status(self) -> dict:
        """Return what operators see."""
        return {
            "offset": self.next_offset,
            "digest": self.replay.chain,
            "resources": {
                f"{kind}/{name}": resource.revision
                for (kind, name), resource in sorted(self._in_force.items())
            },
            "held_back": {"/".join(k): why for k, why in self.held_back.items()},
            "held_back_total": self.held_back_count,
            "bad_records": self.replay.bad_records,
            "conflicts": self.replay.conflicts,
        }

    def _advanced(self, before: int) -> bool:
        if self.next_offset == before:
            return False
        for listener in self._listeners:
            listener()
        return True

    def _put_in_force(self) -> None:
        self._has_log_resources |= bool(self.replay.resources)
        if not self._has_log_resources:
            return
        settled = settle_resources(self.replay.resources, self._in_force)
        fresh = {
            key: why
            for key, why in settled.held_back.items()
            if self.held_back.get(key) != why
        }
        self.held_back_count += len(fresh)
        for (kind, name), why in fresh.items():
            log_message(
                message_type="config_held_back", kind=kind, name=name, reason=why
            )
        self.held_back = settled.held_back
        self._in_force = settled.in_force
        self._on_change(build_catalog(_list_documents(settled.in_force)))
        log_message(
            message_type="config_in_force",
            offset=self.next_offset,
            resources=len(settled.in_force),
        )


def _list_documents(resources: Resources) -> list[ResourceDocument]:
    # A copy, since a catalog must not share lists with the replay.
    return [
        ResourceDocument(kind=kind, name=name, spec=msgspec.to_builtins(resource.spec))
        for (kind, name), resource in resources.items()
    ]
