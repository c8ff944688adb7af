"""Checks on news that depend on what the node knows already."""

from mimosaloom_control import MemberNews, MemberTable, Suspect
from mimosaloom_model import Clock

from .link_messages import Rejected

__all__ = ["check_news", "is_future"]

# An incarnation is a wall-clock time. Clocks of instances differ by less than this;
# a later one would hold against all restarts of the name until that time.
MAX_CLOCK_SKEW_MS = 300_000
TIME_HEX_DIGITS = 13


def is_future(incarnation: str, clock: Clock) -> bool:
    """Whether an incarnation claims to have started later than now."""
    started_ms = int(incarnation[:TIME_HEX_DIGITS], 16)
    return started_ms > clock.now().timestamp() * 1000 + MAX_CLOCK_SKEW_MS


def check_news(news: MemberNews, table: MemberTable, clock: Clock) -> Rejected | None:
    """Tell why news are dropped; None if they are taken in.

    A suspicion counts only for the incarnation that is known: one of a higher
    incarnation would remove a member that nobody has announced.
    """
    is_suspicion = isinstance(news, Suspect)
    name = news.name if is_suspicion else news.member.name
    incarnation = news.incarnation if is_suspicion else news.member.incarnation
    if is_future(incarnation, clock):
        return Rejected.FUTURE_INCARNATION
    view = table.find(name)
    known = view.incarnation if view else ""
    if incarnation < known:
        return Rejected.OLD_NEWS
    if is_suspicion and incarnation != known:
        return Rejected.FORGED_INCARNATION
    return None
