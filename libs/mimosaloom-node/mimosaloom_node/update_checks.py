"""Validation of membership updates against the member table."""

from mimosaloom_control import MemberTable, MemberUpdate, Suspect
from mimosaloom_model import Clock

from .link_messages import RejectReason

__all__ = ["check_update", "is_future_incarnation"]

# An incarnation starts with a wall-clock time, and clocks of instances differ by less
# than this. An incarnation further in the future is rejected, since it would take
# precedence over all restarts of the node until that time.
MAX_CLOCK_SKEW_MS = 300_000
TIME_HEX_DIGITS = 13


def is_future_incarnation(incarnation: str, clock: Clock) -> bool:
    """Return whether an incarnation starts in the future, beyond the clock skew."""
    started_ms = int(incarnation[:TIME_HEX_DIGITS], 16)
    return started_ms > clock.now().timestamp() * 1000 + MAX_CLOCK_SKEW_MS


def check_update(
    update: MemberUpdate, table: MemberTable, clock: Clock
) -> RejectReason | None:
    """Return the reason to drop an update; None if it is valid.

    A suspicion is valid only for the known incarnation: a suspicion of a higher one
    would remove a member before that incarnation has been announced.
    """
    is_suspicion = isinstance(update, Suspect)
    name = update.name if is_suspicion else update.member.name
    incarnation = update.incarnation if is_suspicion else update.member.incarnation
    if is_future_incarnation(incarnation, clock):
        return RejectReason.FUTURE_INCARNATION
    view = table.find(name)
    known = view.incarnation if view else ""
    if incarnation < known:
        return RejectReason.OLD_UPDATE
    if is_suspicion and incarnation != known:
        return RejectReason.FORGED_INCARNATION
    return None
