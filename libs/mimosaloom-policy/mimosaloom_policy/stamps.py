"""Stamps: proof that a call was sent after a known moment of a node's life.

A node counts epochs of a fixed length from its start and publishes the current
number with its incarnation on answers and pings. A sender stamps a call of a
non-idempotent class with the last one it learned from that node. `RunTable` states
what follows from a stamp.
"""

from typing import NamedTuple

__all__ = ["MAX_STAMP_CHARS", "Stamp", "StampBook", "format_stamp", "parse_stamp"]

MAX_STAMP_CHARS = 40
# A stamp in use is younger than this, so that a call has at least the rest of the
# window of `EpochRule` (105 s by default) to arrive.
STAMP_MAX_AGE_S = 30.0


class Stamp(NamedTuple):
    """An epoch of one incarnation of a node; epochs count from 0."""

    incarnation: str
    epoch: int


def format_stamp(stamp: Stamp) -> str:
    """Return the text form, such as `019a0b1c2d3e4-89abcdef.1f`."""
    return f"{stamp.incarnation}.{stamp.epoch:x}"


def parse_stamp(text: str) -> Stamp | None:
    """Read the text form; None if it is not valid."""
    incarnation, dot, digits = text.rpartition(".")
    is_hex = 0 < len(digits) <= 8 and all(c in "0123456789abcdef" for c in digits)
    if not dot or not incarnation or len(text) > MAX_STAMP_CHARS or not is_hex:
        return None
    return Stamp(incarnation, int(digits, 16))


class StampBook:
    """The last stamp that a sender learned from each upstream.

    Args:
        fresh_s: Age at which a stamp is no longer put on new calls; the sender then
            pings first. An old stamp would not be unsafe, but the node may answer
            `outcome_unknown` to a call that carries it.
    """

    def __init__(self, *, max_age_s: float = STAMP_MAX_AGE_S):
        self._max_age_s = max_age_s
        self._learned: dict[str, tuple[Stamp, float]] = {}

    def learn(self, upstream: str, stamp: Stamp, now_s: float) -> None:
        """Record a stamp; one that is older than the known one is ignored."""
        known = self._learned.get(upstream)
        if known is None or known[0] <= stamp:
            self._learned[upstream] = (stamp, now_s)

    def current(self, upstream: str, now_s: float) -> Stamp | None:
        """Return the stamp for a new call; None if the sender has to ping first."""
        known = self._learned.get(upstream)
        if known is None or now_s - known[1] >= self._max_age_s:
            return None
        return known[0]

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that has left."""
        self._learned.pop(upstream, None)
