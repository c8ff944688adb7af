"""State of the target beside the node, from the heartbeats that the target sends."""

from enum import StrEnum
from typing import NamedTuple

from mimosaloom_model import Address

__all__ = [
    "MAX_BORN_MS",
    "MAX_SLOTS",
    "Announcement",
    "HeartbeatResult",
    "OwnTarget",
    "TargetState",
    "format_start_key",
]


# The start time of a target is published, as an integer of 64 bits.
MAX_BORN_MS = (1 << 63) - 1
# Calls that a target runs at once; each needs a connection, and so a port, of its own.
MAX_SLOTS = 65535
# Number of starts of targets at one address whose last sequence numbers are kept, so
# that late heartbeats of an earlier start are recognised.
MAX_TRACKED_STARTS = 16


class TargetState(StrEnum):
    """State that a target announces."""

    READY = "ready"
    DRAINING = "draining"


class Announcement(NamedTuple):
    """One heartbeat of a target.

    Attributes:
        target_id: Id of the target; a restarted target may have the same id.
        born_ms: Start time of the target in Unix milliseconds; orders the starts.
        sequence: Number of the heartbeat since that start.
        state: Whether the target takes new calls.
        service: Service of the target.
        address: Address where the target listens.
        failure_domain: Failure domain of the target.
        version: Version of the target's software.
        slots: Number of calls that the target runs at once.
        cold_left_s: Seconds until the target has warmed up after its start.
    """

    target_id: str
    born_ms: int
    sequence: int
    state: TargetState
    service: str
    address: Address
    failure_domain: str
    version: str
    slots: int
    cold_left_s: float


class HeartbeatResult(StrEnum):
    """Result of applying a heartbeat.

    Attributes:
        NEW: The heartbeat is the first one, or of another start than the last one.
        CHANGED: The heartbeat changes whether the target is available.
        UNCHANGED: The heartbeat does not change whether the target is available.
        STALE: The heartbeat is older than one that was applied before.
        FOREIGN: The heartbeat comes from a target of another service or address.
    """

    NEW = "new"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    FOREIGN = "foreign"


class OwnTarget:
    """State of the target beside the node.

    Args:
        service: Service that runs on this instance.
        address: Address where the target of that service listens.

    Attributes:
        announcement: Last heartbeat that was applied; None before the first.
        is_leaving: Whether the target is draining or has left.
        is_reachable: False from a refused connection to the next heartbeat.
    """

    def __init__(self, service: str, address: Address):
        self.service = service
        self.address = address
        self.announcement: Announcement | None = None
        self.is_leaving = False
        self.is_reachable = True
        self._sequences: dict[tuple[str, int], int] = {}

    @property
    def is_available(self) -> bool:
        """Whether the target takes new calls."""
        return (
            self.announcement is not None and self.is_reachable and not self.is_leaving
        )

    @property
    def start_key(self) -> str:
        """Key of the current start of the target; empty before its first heartbeat."""
        current = self.announcement
        if current is None:
            return ""
        return format_start_key(current.target_id, current.born_ms)

    @property
    def target_id(self) -> str:
        """Id of the target; empty before its first heartbeat."""
        return "" if self.announcement is None else self.announcement.target_id

    def apply_heartbeat(self, heartbeat: Announcement) -> HeartbeatResult:
        """Update the state from a heartbeat.

        A heartbeat may arrive late, after its sender has crashed and another target
        has started at the same address. A heartbeat of an earlier start is therefore
        ignored.
        """
        if heartbeat.service != self.service or heartbeat.address != self.address:
            return HeartbeatResult.FOREIGN
        current = self.announcement
        is_same_start = current is not None and _start_key(current) == _start_key(
            heartbeat
        )
        if current is not None and heartbeat.born_ms < current.born_ms:
            return HeartbeatResult.STALE
        if heartbeat.sequence <= self._sequences.get(_start_key(heartbeat), 0):
            return HeartbeatResult.STALE
        self._record_sequence(heartbeat)
        if not is_same_start:
            self.announcement = heartbeat
            self.is_reachable = True
            self.is_leaving = heartbeat.state is TargetState.DRAINING
            return HeartbeatResult.NEW
        was_available = self.is_available
        self.announcement = heartbeat
        self.is_reachable = True
        # A draining target takes new calls again only after a restart.
        self.is_leaving = self.is_leaving or heartbeat.state is TargetState.DRAINING
        return (
            HeartbeatResult.UNCHANGED
            if was_available == self.is_available
            else HeartbeatResult.CHANGED
        )

    def resume(self, announcement: Announcement) -> None:
        """Continue with a target that kept running while the node restarted."""
        self.announcement = announcement
        self.is_reachable = True

    def mark_leaving(self, target_id: str, born_ms: int | None = None) -> bool:
        """Mark the target as leaving; return False if it is not the current one.

        Args:
            target_id: Id of the target.
            born_ms: Start time of the target in Unix milliseconds; None if not known. A
                late message of an earlier start with the same id is ignored.
        """
        current = self.announcement
        if current is None or target_id != current.target_id:
            return False
        if born_ms is not None and born_ms < current.born_ms:
            return False
        self.is_leaving = True
        return True

    def mark_unreachable(self) -> bool:
        """Mark the target as unreachable; return False if it already was."""
        was_reachable, self.is_reachable = self.is_reachable, False
        return was_reachable

    def _record_sequence(self, heartbeat: Announcement) -> None:
        """Store the last sequence number of the start that sent a heartbeat.

        Starts without a start time can't be ordered. The one that keeps sending newer
        heartbeats is the one that is alive.
        """
        start = _start_key(heartbeat)
        self._sequences.pop(start, None)
        self._sequences[start] = heartbeat.sequence
        while len(self._sequences) > MAX_TRACKED_STARTS:
            del self._sequences[next(iter(self._sequences))]


def format_start_key(target_id: str, born_ms: int) -> str:
    """Return a text that identifies one start of a target between nodes.

    Args:
        target_id: Id of the target; a restarted target may have the same id.
        born_ms: Start time of the target in Unix milliseconds; 0 if not known.
    """
    return f"{target_id}/{born_ms}"


def _start_key(announcement: Announcement) -> tuple[str, int]:
    """Return what identifies the start of the target that sent a heartbeat."""
    return announcement.target_id, announcement.born_ms
