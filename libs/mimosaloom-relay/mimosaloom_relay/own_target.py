"""State of the target beside the node, from the heartbeats that the target sends."""

from enum import StrEnum
from typing import NamedTuple

from mimosaloom_model import Address, Clock

__all__ = [
    "MAX_BORN_MS",
    "MAX_LATENESS_S",
    "MAX_SEQUENCE",
    "MAX_SLOTS",
    "Announcement",
    "HeartbeatResult",
    "OwnTarget",
    "TargetState",
    "format_start_key",
]


# The start time of a target is published, as an integer of 64 bits.
MAX_BORN_MS = (1 << 63) - 1
# Log lines have integers of 64 bits.
MAX_SEQUENCE = (1 << 63) - 1
# Calls that a target runs at once; each needs a connection, and so a port, of its own.
MAX_SLOTS = 65535
# Number of starts of targets at one address whose last sequence numbers are kept, so
# that late heartbeats of an earlier start are recognised, and whose leaves are kept.
MAX_TRACKED_STARTS = 16
# How late a message of a target may arrive. Messages are delayed by seconds, also those
# of a target that has ended meanwhile.
MAX_LATENESS_S = 10.0


class TargetState(StrEnum):
    """State that a target announces."""

    READY = "ready"
    DRAINING = "draining"


class _Start(NamedTuple):
    """What identifies one start of a target.

    Attributes:
        target_id: Id of the target.
        born_ms: Start time of the target in Unix milliseconds; 0 if not known.
    """

    target_id: str
    born_ms: int


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
        clock: Source of time.

    Attributes:
        announcement: Last heartbeat that was applied, or what a leave that came before
            the first heartbeat says; None before both.
        is_reachable: False from a refused connection to the next heartbeat.
    """

    def __init__(self, service: str, address: Address, *, clock: Clock):
        self.service = service
        self.address = address
        self.announcement: Announcement | None = None
        self.is_reachable = True
        self._clock = clock
        # When the current start was last heard of, and the latest start time of those
        # that have been current and may still be alive.
        self._heard_s = 0.0
        self._newest_born_ms = 0
        # When the check of a start was required that has to answer one.
        self._unchecked_since_s: float | None = None
        # Start with an earlier time that has sent a heartbeat since the current one.
        self._contender: _Start | None = None
        self._sequences: dict[_Start, int] = {}
        # Starts that are draining or have left; ids of targets that left without
        # telling their start time, with the time of that message.
        self._left_starts: dict[_Start, None] = {}
        self._left_ids_s: dict[str, float] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether the target is draining or has left."""
        current = self.announcement
        return current is not None and _start_of(current) in self._left_starts

    @property
    def is_unchecked(self) -> bool:
        """Whether the target must answer a health check before it is used."""
        return self._unchecked_since_s is not None and not self.is_leaving

    @property
    def is_available(self) -> bool:
        """Whether the target takes new calls."""
        return (
            self.announcement is not None
            and self.is_reachable
            and self._unchecked_since_s is None
            and not self.is_leaving
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
        ignored; `_may_replace_current` tells which start is taken for an earlier one.
        """
        if heartbeat.service != self.service or heartbeat.address != self.address:
            return HeartbeatResult.FOREIGN
        current = self.announcement
        start = _start_of(heartbeat)
        is_same_start = current is not None and _start_of(current) == start
        is_draining = heartbeat.state is TargetState.DRAINING
        if not is_same_start and not self._may_replace_current(start, is_draining):
            if start not in self._sequences and start not in self._left_starts:
                self._contender = start
            return HeartbeatResult.STALE
        if heartbeat.sequence <= self._sequences.get(start, 0):
            return HeartbeatResult.STALE
        self._record_sequence(heartbeat)
        was_available = self.is_available
        self._set_current(heartbeat)
        if is_same_start and self._has_outlasted_late_messages():
            self.end_check()
        # A draining target takes new calls again only after a restart.
        if is_draining or self._has_left_by_id(start):
            self._record_leave(start)
        if not is_same_start:
            return HeartbeatResult.NEW
        return (
            HeartbeatResult.UNCHANGED
            if was_available == self.is_available
            else HeartbeatResult.CHANGED
        )

    def resume(self, announcement: Announcement) -> None:
        """Continue with a target that kept running while the node restarted."""
        self._set_current(announcement)

    def require_check(self) -> None:
        """Use the current start only once it has answered a health check.

        A start that goes on to send heartbeats for longer than messages are delayed has
        not left before, and is used also if its health check fails.
        """
        self._unchecked_since_s = self._clock.monotonic_s()

    def end_check(self) -> None:
        """Use the current start without a further check."""
        self._unchecked_since_s = None

    def mark_leaving(self, target_id: str, born_ms: int | None = None) -> bool:
        """Mark a start of a target as leaving, whether or not it has been heard of.

        The leave may overtake heartbeats that were sent before it, also the first one
        since this node started; they do not revoke it.

        Args:
            target_id: Id of the target.
            born_ms: Start time of the target in Unix milliseconds; None if not known.

        Returns:
            False if the leave does not concern the current target. This includes late
            messages of a start that came before it with the same id.
        """
        is_first_word = self.announcement is None
        if is_first_word:
            self._set_current(self._announce_leave(target_id, born_ms or 0))
        current = self.announcement
        is_current_id = target_id == current.target_id
        if born_ms is None and (is_first_word or not is_current_id):
            self._record_left_id(target_id)
        if born_ms is None and not is_current_id:
            return False
        start = _Start(target_id, current.born_ms if born_ms is None else born_ms)
        is_current = start == _start_of(current) or (
            is_current_id and self._may_replace_current(start, is_leaving=True)
        )
        self._record_leave(start)
        if is_current:
            self._set_current(current._replace(born_ms=start.born_ms))
        return is_current

    def mark_unreachable(self) -> bool:
        """Mark the target as unreachable; return False if it already was."""
        was_reachable, self.is_reachable = self.is_reachable, False
        return was_reachable

    def _may_replace_current(self, start: _Start, is_leaving: bool) -> bool:
        """Return whether a message may come from a later start than the current one.

        The start time orders the starts. It is not reliable where the clock of the
        target's instance has been set back between two starts, so that the later one
        has the earlier time. Two things are believed nevertheless. After a silence of
        the current start that is longer than messages are delayed, whoever still sends
        is alive. Until then, a start with the id of the current one that has sent a
        heartbeat since the last one of the current start may be the one that serves its
        requests, so its leave is respected. If both were late messages, the current
        start is back after the same silence.

        Args:
            start: Start of the target that sent the message.
            is_leaving: Whether the message says that the target leaves.
        """
        current = self.announcement
        if current is None:
            return True
        # Starts without a start time can't be ordered. The one that keeps sending newer
        # heartbeats is the one that is alive.
        if start.born_ms == current.born_ms:
            return True
        if start.born_ms > self._newest_born_ms:
            return True
        is_same_id = start.target_id == current.target_id
        if is_leaving and is_same_id and start == self._contender:
            return True
        return self._is_silent()

    def _is_silent(self) -> bool:
        """Return whether late messages of starts before the current one have ended."""
        return self._clock.monotonic_s() - self._heard_s > MAX_LATENESS_S

    def _has_outlasted_late_messages(self) -> bool:
        """Return whether an unchecked start has sent heartbeats for long enough."""
        since_s = self._unchecked_since_s
        return (
            since_s is not None and self._clock.monotonic_s() - since_s > MAX_LATENESS_S
        )

    def _set_current(self, announcement: Announcement) -> None:
        newest_born_ms = 0 if self._is_silent() else self._newest_born_ms
        self._newest_born_ms = max(newest_born_ms, announcement.born_ms)
        self._heard_s = self._clock.monotonic_s()
        self._contender = None
        self.announcement = announcement
        self.is_reachable = True

    def _announce_leave(self, target_id: str, born_ms: int) -> Announcement:
        """Return the announcement of a target of which only its leave is known."""
        return Announcement(
            target_id,
            born_ms,
            0,
            TargetState.DRAINING,
            self.service,
            self.address,
            failure_domain="",
            version="",
            slots=0,
            cold_left_s=0.0,
        )

    def _has_left_by_id(self, start: _Start) -> bool:
        """Return whether a target left that told its id only and may be this start."""
        left_s = self._left_ids_s.get(start.target_id)
        return (
            left_s is not None and self._clock.monotonic_s() - left_s < MAX_LATENESS_S
        )

    def _record_left_id(self, target_id: str) -> None:
        self._left_ids_s.pop(target_id, None)
        self._left_ids_s[target_id] = self._clock.monotonic_s()
        _drop_oldest(self._left_ids_s)

    def _record_leave(self, start: _Start) -> None:
        self._left_starts.pop(start, None)
        self._left_starts[start] = None
        if self.is_leaving:
            # The current start stays the newest, so that others do not displace it.
            current = _start_of(self.announcement)
            self._left_starts.pop(current)
            self._left_starts[current] = None
        _drop_oldest(self._left_starts)

    def _record_sequence(self, heartbeat: Announcement) -> None:
        """Store the last sequence number of the start that sent a heartbeat."""
        start = _start_of(heartbeat)
        self._sequences.pop(start, None)
        self._sequences[start] = heartbeat.sequence
        _drop_oldest(self._sequences)


def format_start_key(target_id: str, born_ms: int) -> str:
    """Return a text that identifies one start of a target between nodes.

    Args:
        target_id: Id of the target; a restarted target may have the same id.
        born_ms: Start time of the target in Unix milliseconds; 0 if not known.
    """
    return f"{target_id}/{born_ms}"


def _start_of(announcement: Announcement) -> _Start:
    """Return the start of the target that sent a heartbeat."""
    return _Start(announcement.target_id, announcement.born_ms)


def _drop_oldest(tracked: dict) -> None:
    """Limit the number of tracked entries, the oldest of which come first."""
    while len(tracked) > MAX_TRACKED_STARTS:
        del tracked[next(iter(tracked))]
