"""The target beside the node, as it announces itself."""

from enum import StrEnum
from typing import NamedTuple

from mimosaloom_model import Address

__all__ = ["Announcement", "OwnTarget", "Report", "TargetState"]


# Starts of targets at one address whose late heartbeats are told apart.
MAX_KNOWN_STARTS = 16


class TargetState(StrEnum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Announcement(NamedTuple):
    """One heartbeat of a target.

    Attributes:
        target_id: Id of the target; the same id may start again.
        born_ms: Start of the target in Unix milliseconds; orders its starts.
        sequence: Number of the heartbeat within one start.
        state: Whether it takes new calls.
        service: Its service.
        address: Where it listens.
        failure_domain: Where it runs.
        version: Version of its software.
        slots: Calls that it runs at once.
        cold_left_s: How much longer it is slow after its start.
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


class Report(StrEnum):
    """What became of a heartbeat."""

    NEW = "new"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    FOREIGN = "foreign"


class OwnTarget:
    """State of the target beside the node.

    Args:
        service: Service that runs on this instance.
        address: Where its target listens.
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
    def target_id(self) -> str:
        """Id of the target; empty while it has not announced itself."""
        return "" if self.announcement is None else self.announcement.target_id

    def report(self, heard: Announcement) -> Report:
        """Take in a heartbeat.

        A heartbeat may arrive late, after its sender has crashed and another target
        has started at the same address, so the order of starts decides.
        """
        if heard.service != self.service or heard.address != self.address:
            return Report.FOREIGN
        known = self.announcement
        is_same_start = known is not None and _start_of(known) == _start_of(heard)
        if known is not None and heard.born_ms < known.born_ms:
            return Report.STALE
        if heard.sequence <= self._sequences.get(_start_of(heard), 0):
            return Report.STALE
        self._remember(heard)
        if not is_same_start:
            self.announcement = heard
            self.is_reachable = True
            self.is_leaving = heard.state is TargetState.DRAINING
            return Report.NEW
        was_available = self.is_available
        self.announcement = heard
        self.is_reachable = True
        # A target that leaves does not come back under the same start.
        self.is_leaving = self.is_leaving or heard.state is TargetState.DRAINING
        return (
            Report.UNCHANGED if was_available == self.is_available else Report.CHANGED
        )

    def resume(self, known: Announcement) -> None:
        """Take up a target that has gone on while the node was restarted."""
        self.announcement = known
        self.is_reachable = True

    def leave(self, target_id: str, born_ms: int | None = None) -> bool:
        """Take in that a target is gone; False if it is not the one known here.

        Args:
            target_id: Id of the target.
            born_ms: Its start, if it told; a late message of an earlier start under
                the same id says nothing of the present one.
        """
        known = self.announcement
        if known is None or target_id != known.target_id:
            return False
        if born_ms is not None and born_ms < known.born_ms:
            return False
        self.is_leaving = True
        return True

    def mark_unreachable(self) -> bool:
        """Take in that the target refused a connection; False if that was known."""
        was_reachable, self.is_reachable = self.is_reachable, False
        return was_reachable

    def _remember(self, heard: Announcement) -> None:
        """Keep the last sequence number of each start.

        Without a time of start, two starts can't be put in order; the one that goes on
        to send newer heartbeats is the one that lives.
        """
        start = _start_of(heard)
        self._sequences.pop(start, None)
        self._sequences[start] = heard.sequence
        while len(self._sequences) > MAX_KNOWN_STARTS:
            del self._sequences[next(iter(self._sequences))]


def _start_of(announcement: Announcement) -> tuple[str, int]:
    return announcement.target_id, announcement.born_ms
