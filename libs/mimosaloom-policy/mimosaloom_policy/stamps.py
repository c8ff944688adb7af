"""Stamps: proof that a call was sent after the start of an epoch of the receiver.

A node counts epochs of a fixed length from its start. It publishes its incarnation and
the number of the current epoch in answers and pings. A sender puts the last stamp that
it learned from a node on each call of a non-idempotent class to that node. The module
`runs` states what the receiver concludes from a stamp.
"""

from typing import NamedTuple

__all__ = ["MAX_STAMP_CHARS", "Stamp", "StampBook", "format_stamp", "parse_stamp"]

MAX_STAMP_CHARS = 40
# Age from which a stamp is not put on new calls. `RetentionRule` accepts a stamp for at
# least 105 s by default, and a call with a younger stamp has at least the rest of this
# time to arrive.
STAMP_MAX_AGE_S = 30.0


class Stamp(NamedTuple):
    """An epoch of one incarnation of a node; epochs count from 0."""

    incarnation: str
    epoch: int


def format_stamp(stamp: Stamp) -> str:
    """Return the text form, such as `019a0b1c2d3e4-89abcdef.1f`."""
    return f"{stamp.incarnation}.{stamp.epoch:x}"


def parse_stamp(text: str) -> Stamp | None:
    """Parse the text form; return None if it is not valid."""
    incarnation, dot, digits = text.rpartition(".")
    is_hex = 0 < len(digits) <= 8 and all(c in "0123456789abcdef" for c in digits)
    if not dot or not incarnation or len(text) > MAX_STAMP_CHARS or not is_hex:
        return None
    return Stamp(incarnation, int(digits, 16))


class StampBook:
    """The last stamp that a sender learned from each upstream.

    Args:
        max_age_s: Age from which a stamp is not put on new calls; the sender then
            pings the upstream first. A call with an older stamp is safe, but the node
            may answer it with `outcome_unknown`.
    """

    def __init__(self, *, max_age_s: float = STAMP_MAX_AGE_S):
        self._max_age_s = max_age_s
        self._latest_stamps: dict[str, tuple[Stamp, float]] = {}

    def record_stamp(self, upstream: str, stamp: Stamp, now_s: float) -> None:
        """Record a stamp of an upstream; a stamp older than the known one is ignored.

        Args:
            upstream: Name of the upstream.
            stamp: Stamp that its answer carried.
            now_s: Current time on the monotonic clock.
        """
        known = self._latest_stamps.get(upstream)
        if known is None or known[0] <= stamp:
            self._latest_stamps[upstream] = (stamp, now_s)

    def current_stamp(self, upstream: str, now_s: float) -> Stamp | None:
        """Return the stamp for a new call; None if the sender must ping first."""
        known = self._latest_stamps.get(upstream)
        if known is None or now_s - known[1] >= self._max_age_s:
            return None
        return known[0]

    def forget(self, upstream: str) -> None:
        """Remove the stamp of an upstream that has left."""
        self._latest_stamps.pop(upstream, None)
