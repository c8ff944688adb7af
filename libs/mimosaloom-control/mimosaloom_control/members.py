"""Membership table, built from membership updates that may arrive in any order.

The rules for the updates (`MemberUpdate`) of one name are:

- An update of a higher incarnation replaces all updates of lower ones.
- Within an incarnation, `Leave` is final.
- Otherwise the updates with the highest sequence apply. Those with the same sequence
  are combined: a drain and the suspicions of different monitors are all kept.

The table therefore depends only on the set of updates that were applied, not on their
order, delay or duplication.

A monitor of a member is a neighbour that expects its heartbeats. A member is dead when
two monitors suspect it at the same sequence. A live member that receives a suspicion of
itself announces itself again with a higher sequence. The old suspicions have a lower
sequence and no longer apply.
"""

from enum import StrEnum
from typing import NamedTuple

from .member_updates import Announce, Drain, Leave, Member, MemberUpdate, Suspect

__all__ = ["MemberTable", "MemberView", "SelfAnnouncer", "Status"]

# Number of monitors that must suspect a member at the same sequence to make it dead.
SUSPICION_QUORUM = 2
DEPARTED_RETENTION_S = 24 * 3600.0
MAX_DEPARTED = 4_096


class Status(StrEnum):
    """Status of a member.

    Attributes:
        ALIVE: The member accepts calls.
        DRAINING: The member accepts no new calls.
        DEAD: Two monitors suspect the member.
        LEFT: The member has announced the end of its incarnation.
    """

    ALIVE = "alive"
    DRAINING = "draining"
    DEAD = "dead"
    LEFT = "left"


class MemberView(NamedTuple):
    """State of one name, as far as this node has received updates about it.

    Attributes:
        incarnation: Highest incarnation of the name.
        sequence: Highest sequence of that incarnation.
        is_draining: Whether the member is draining at that sequence.
        has_left: Whether the incarnation has ended.
        suspected_by: Names of the monitors that suspect the member at that sequence.
        member: The member; None if only suspicions have been received.
    """

    incarnation: str
    sequence: int = 0
    is_draining: bool = False
    has_left: bool = False
    suspected_by: frozenset[str] = frozenset()
    member: Member | None = None

    @property
    def status(self) -> Status:
        """Status of the member according to this view."""
        if self.has_left:
            return Status.LEFT
        if len(self.suspected_by) >= SUSPICION_QUORUM:
            return Status.DEAD
        return Status.DRAINING if self.is_draining else Status.ALIVE


class MemberTable:
    """The members of the mesh by name, including those that have departed.

    A member has departed if it is dead or has left.
    """

    def __init__(self):
        self._views: dict[str, MemberView] = {}
        self._departed_at_s: dict[str, float] = {}

    def __len__(self):
        return len(self._views)

    def apply(self, update: MemberUpdate, now_s: float) -> bool:
        """Apply a membership update.

        Args:
            update: The update.
            now_s: Current time on the monotonic clock, in seconds.

        Returns:
            Whether the table changed. If so, the caller forwards the update to the
            neighbours.
        """
        name, update_view = _view_of_update(update)
        current = self._views.get(name)
        view = _merge_views(current, update_view)
        if view == current:
            return False
        self._views[name] = view
        is_departed = view.status in (Status.LEFT, Status.DEAD)
        if not is_departed:
            self._departed_at_s.pop(name, None)
        elif name not in self._departed_at_s:
            self._departed_at_s[name] = now_s
        return True

    def find(self, name: str) -> MemberView | None:
        """Return the view of a name; None if no update about it was applied."""
        return self._views.get(name)

    def views(self) -> dict[str, MemberView]:
        """Return the views of all names."""
        return dict(self._views)

    def list_members(self, status: Status = Status.ALIVE) -> list[Member]:
        """Return the members with a status, sorted by name.

        Names of which only suspicions have been received are left out.
        """
        matching = (v for _, v in sorted(self._views.items()) if v.status is status)
        return [view.member for view in matching if view.member is not None]

    def build_suspicion(self, name: str, monitor: str) -> Suspect | None:
        """Build the suspicion of a member by a monitor, without applying it.

        Returns:
            The suspicion; None if the name is unknown, has left or is already
            suspected by this monitor.
        """
        view = self._views.get(name)
        if view is None or view.has_left or monitor in view.suspected_by:
            return None
        return Suspect(
            name=name,
            incarnation=view.incarnation,
            sequence=view.sequence,
            monitor=monitor,
        )

    def prune(self, now_s: float) -> int:
        """Remove names that departed over a day ago, or that exceed the limit.

        A late update of a removed incarnation adds the name again, until two monitors
        suspect it once more. Names are therefore kept for a day, unless there are more
        than `MAX_DEPARTED`; the oldest are then removed first.

        Returns:
            Number of names removed.
        """
        by_age = sorted(
            self._departed_at_s.items(), key=lambda item: (item[1], item[0])
        )
        excess = len(by_age) - MAX_DEPARTED
        expired = [
            name
            for rank, (name, departed_at_s) in enumerate(by_age)
            if rank < excess or now_s - departed_at_s >= DEPARTED_RETENTION_S
        ]
        for name in expired:
            del self._views[name]
            del self._departed_at_s[name]
        return len(expired)


def _view_of_update(update: MemberUpdate) -> tuple[str, MemberView]:
    """Return the name that an update is about, and the view from this update alone."""
    if isinstance(update, Suspect):
        monitors = frozenset({update.monitor})
        view = MemberView(update.incarnation, update.sequence, suspected_by=monitors)
        return update.name, view
    member = update.member
    view = MemberView(
        member.incarnation,
        update.sequence,
        is_draining=isinstance(update, Drain),
        has_left=isinstance(update, Leave),
        member=member,
    )
    return member.name, view


def _merge_views(first: MemberView | None, second: MemberView) -> MemberView:
    """Merge two views of a name; the order of the views doesn't matter."""
    if first is None or second.incarnation > first.incarnation:
        return second
    if second.incarnation < first.incarnation:
        return first
    members = [view.member for view in (first, second) if view.member is not None]
    highest = max(first.sequence, second.sequence)
    newest = [view for view in (first, second) if view.sequence == highest]
    return MemberView(
        first.incarnation,
        highest,
        is_draining=any(view.is_draining for view in newest),
        has_left=first.has_left or second.has_left,
        suspected_by=frozenset().union(*(view.suspected_by for view in newest)),
        member=max(members, default=None),
    )


class SelfAnnouncer:
    """Builds the updates that a node publishes about itself.

    Args:
        member: This node as a member.
    """

    def __init__(self, member: Member):
        self._member = member
        self._sequence = 0
        self._update_type: type[Announce | Drain | Leave] = Announce
        self._is_replaced = False

    @property
    def is_replaced(self) -> bool:
        """Whether a later incarnation of the name exists; this one must then stop."""
        return self._is_replaced

    def current_update(self) -> Announce | Drain | Leave:
        """Return the latest update of this node about itself."""
        update_id = f"{self._member.name}/{self._member.incarnation}/{self._sequence}"
        return self._update_type(
            id=update_id, member=self._member, sequence=self._sequence
        )

    def drain(self) -> Drain | Leave:
        """Return the update that announces a drain; a drain can't be undone."""
        return (
            self._next_update(Drain)
            if self._update_type is Announce
            else self.current_update()
        )

    def leave(self) -> Leave:
        """Return the update that announces the end of this incarnation."""
        return self._next_update(Leave)

    def refute_suspicion(self, update: MemberUpdate) -> Announce | Drain | Leave | None:
        """Refute a suspicion of this incarnation.

        Updates about other names and earlier incarnations are ignored. An update of a
        later incarnation of the same name sets `is_replaced`.

        Returns:
            The update to publish, with a higher sequence than the suspicion; None if
            there is nothing to refute.
        """
        name, view = _view_of_update(update)
        if name != self._member.name:
            return None
        if view.incarnation > self._member.incarnation:
            self._is_replaced = True
            return None
        is_old = view.incarnation < self._member.incarnation
        if is_old or not view.suspected_by or view.sequence < self._sequence:
            return None
        self._sequence = view.sequence
        return self._next_update(self._update_type)

    def _next_update(self, update_type: type) -> Announce | Drain | Leave:
        self._sequence += 1
        self._update_type = update_type
        return self.current_update()
