"""Membership: what a node knows of the targets, from news in any order.

For one name, a higher incarnation replaces all that is known of a lower one. Within an
incarnation, `Leave` is final; otherwise the highest sequence holds, and at one
sequence a drain and the suspicions of distinct monitors add up. So a table is a
function of the set of news it got, and the order, copies and delay of news don't
matter. A member is dead when two monitors suspect one sequence of it; when it hears
so, it announces itself with a higher sequence, which none of the old suspicions meet.
"""

from enum import StrEnum
from typing import NamedTuple

from .news import Announce, Drain, Leave, Member, MemberNews, Suspect

__all__ = ["MemberTable", "MemberView", "SelfAnnouncer", "Status"]

MONITORS_TO_DIE = 2
FORGET_S = 24 * 3600.0
MAX_DEPARTED = 4_096


class Status(StrEnum):
    """State of a member."""

    ALIVE = "alive"
    DRAINING = "draining"
    DEAD = "dead"
    LEFT = "left"


class MemberView(NamedTuple):
    """What is known of a name.

    Attributes:
        incarnation: The highest known incarnation.
        sequence: The highest known sequence of it.
        is_draining: Whether it drains at that sequence.
        has_left: Whether the incarnation has ended.
        monitors: Monitors that suspect it at that sequence.
        member: The member; None if only suspicions have arrived.
    """

    incarnation: str
    sequence: int = 0
    is_draining: bool = False
    has_left: bool = False
    monitors: frozenset[str] = frozenset()
    member: Member | None = None

    @property
    def status(self) -> Status:
        """State that follows from the view."""
        if self.has_left:
            return Status.LEFT
        if len(self.monitors) >= MONITORS_TO_DIE:
            return Status.DEAD
        return Status.DRAINING if self.is_draining else Status.ALIVE


class MemberTable:
    """Members by name."""

    def __init__(self):
        self._views: dict[str, MemberView] = {}
        self._departed_s: dict[str, float] = {}

    def __len__(self):
        return len(self._views)

    def apply(self, news: MemberNews, now_s: float) -> bool:
        """Take in news.

        Returns:
            Whether it changed the table, and so is to be passed on to neighbours.
        """
        name, told = _read_news(news)
        known = self._views.get(name)
        view = _join(known, told)
        if view == known:
            return False
        self._views[name] = view
        is_departed = view.status in (Status.LEFT, Status.DEAD)
        if not is_departed:
            self._departed_s.pop(name, None)
        elif name not in self._departed_s:
            self._departed_s[name] = now_s
        return True

    def find(self, name: str) -> MemberView | None:
        """Return what is known of a name."""
        return self._views.get(name)

    def views(self) -> dict[str, MemberView]:
        """Return what is known of all names."""
        return dict(self._views)

    def list_members(self, status: Status = Status.ALIVE) -> list[Member]:
        """Return the announced members in a state, by name."""
        chosen = (v for _, v in sorted(self._views.items()) if v.status is status)
        return [view.member for view in chosen if view.member is not None]

    def suspect(self, name: str, monitor: str) -> Suspect | None:
        """Return a suspicion to apply and send; None if there is nothing to add."""
        view = self._views.get(name)
        if view is None or view.has_left or monitor in view.monitors:
            return None
        return Suspect(
            name=name,
            incarnation=view.incarnation,
            sequence=view.sequence,
            monitor=monitor,
        )

    def prune(self, now_s: float) -> int:
        """Drop names that departed long ago, oldest first; return how many.

        Late news of a dropped incarnation brings the name back until two monitors
        find it dead again, so names are kept for a day as long as they are few.
        """
        ordered = sorted(self._departed_s.items(), key=lambda item: (item[1], item[0]))
        surplus = len(ordered) - MAX_DEPARTED
        gone = [
            name
            for rank, (name, departed_s) in enumerate(ordered)
            if rank < surplus or now_s - departed_s >= FORGET_S
        ]
        for name in gone:
            del self._views[name]
            del self._departed_s[name]
        return len(gone)


def _read_news(news: MemberNews) -> tuple[str, MemberView]:
    """Return the name and a view that holds just this news."""
    if isinstance(news, Suspect):
        monitors = frozenset({news.monitor})
        view = MemberView(news.incarnation, news.sequence, monitors=monitors)
        return news.name, view
    member = news.member
    view = MemberView(
        member.incarnation,
        news.sequence,
        is_draining=isinstance(news, Drain),
        has_left=isinstance(news, Leave),
        member=member,
    )
    return member.name, view


def _join(known: MemberView | None, told: MemberView) -> MemberView:
    """Merge two views of a name; the order of the two doesn't matter."""
    if known is None or told.incarnation > known.incarnation:
        return told
    if told.incarnation < known.incarnation:
        return known
    members = [view.member for view in (known, told) if view.member is not None]
    newest = max(known.sequence, told.sequence)
    current = [view for view in (known, told) if view.sequence == newest]
    return MemberView(
        known.incarnation,
        newest,
        is_draining=any(view.is_draining for view in current),
        has_left=known.has_left or told.has_left,
        monitors=frozenset().union(*(view.monitors for view in current)),
        member=max(members, default=None),
    )


class SelfAnnouncer:
    """What a node says of itself.

    Args:
        member: The node's own member.
    """

    def __init__(self, member: Member):
        self._member = member
        self._sequence = 0
        self._news_type: type[Announce | Drain | Leave] = Announce
        self._is_replaced = False

    @property
    def is_replaced(self) -> bool:
        """Whether a later incarnation of the name exists; this one has to stop."""
        return self._is_replaced

    def current(self) -> Announce | Drain | Leave:
        """Return the newest news of the node itself."""
        news_id = f"{self._member.name}/{self._member.incarnation}/{self._sequence}"
        return self._news_type(id=news_id, member=self._member, sequence=self._sequence)

    def drain(self) -> Drain | Leave:
        """Return the news that the node takes no new calls; there is no way back."""
        return self._advance(Drain) if self._news_type is Announce else self.current()

    def leave(self) -> Leave:
        """Return the news that this incarnation ends."""
        return self._advance(Leave)

    def answer(self, news: MemberNews) -> Announce | Drain | Leave | None:
        """Return news that contradicts a suspicion of this incarnation, or None."""
        name, told = _read_news(news)
        if name != self._member.name:
            return None
        if told.incarnation > self._member.incarnation:
            self._is_replaced = True
            return None
        is_old = told.incarnation < self._member.incarnation
        if is_old or not told.monitors or told.sequence < self._sequence:
            return None
        self._sequence = told.sequence
        return self._advance(self._news_type)

    def _advance(self, news_type: type) -> Announce | Drain | Leave:
        self._sequence += 1
        self._news_type = news_type
        return self.current()
