"""What a node knows of each peer that it has a link with."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["LinkTiming", "Peer"]


class LinkTiming(NamedTuple):
    """Times of the links, in seconds or in beats.

    Attributes:
        beat_s: Time between two beats.
        timeout_s: Silence after which a neighbour is suspected.
        silent_beats: Beats without an acknowledgement after which a link is replaced.
        probe_beats: Beats between two probes of a member that is held for dead.
        stable_beats: Beats for which two member tables have to differ in the same way
            before they are compared; news under way need no comparison.
        ask_timeout_s: Time after which an unanswered question is asked again.
    """

    beat_s: float = 1.0
    timeout_s: float = 4.0
    silent_beats: int = 4
    probe_beats: int = 10
    stable_beats: int = 2
    ask_timeout_s: float = 3.0


@dataclass
class Peer:
    """State of the link with a peer.

    Attributes:
        sent: Number of the last beat sent.
        acked: Number of the last beat that the peer has acknowledged.
        opened_at: Number of the last beat when the link was opened.
        received: Number of the last beat that came from it.
        difference: Last pair of different member digests, own one first.
        same_beats: Beats for which the digests have differed in this way.
        compared_s: When tables were last compared, on the monotonic clock.
        answered_s: When digests of buckets of the peer were last answered.
        snapshot_s: When a snapshot was last sent to it.
    """

    sent: int = 0
    acked: int = 0
    opened_at: int = 0
    received: int = 0
    difference: tuple[int, int] = (0, 0)
    same_beats: int = 0
    compared_s: float = float("-inf")
    answered_s: float = float("-inf")
    snapshot_s: float = float("-inf")

    def note_difference(self, own: int, other: int) -> int:
        """Compare two digests; return for how many beats they differ like this."""
        if own == other:
            self.same_beats = 0
        elif self.difference == (own, other):
            self.same_beats += 1
        else:
            self.same_beats = 0
        self.difference = (own, other)
        return self.same_beats

    def is_silent(self, beats: int) -> bool:
        """Whether the peer has acknowledged nothing for so many beats."""
        return self.sent - max(self.acked, self.opened_at) >= beats
