"""State of the links of a node with its peers, and their timing."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["LinkTiming", "Peer"]


class LinkTiming(NamedTuple):
    """Timing of the links, in seconds or in heartbeats.

    Attributes:
        heartbeat_interval_s: Time between two heartbeats.
        timeout_s: Time without messages after which a neighbour is suspected.
        ack_timeout_heartbeats: Heartbeats without an acknowledgement after which a
            link is replaced.
        probe_interval_heartbeats: Heartbeats between two probes of a dead member.
        stable_heartbeats: Heartbeats for which the digests of two member tables must
            differ in the same way before the tables are compared. Differences due to
            updates in transit need no comparison.
        request_timeout_s: Time after which an unanswered request is repeated.
    """

    heartbeat_interval_s: float = 1.0
    timeout_s: float = 4.0
    ack_timeout_heartbeats: int = 4
    probe_interval_heartbeats: int = 10
    stable_heartbeats: int = 2
    request_timeout_s: float = 3.0


@dataclass
class Peer:
    """State of the link with a peer.

    Attributes:
        sent_sequence: Number of the last heartbeat sent.
        acked_sequence: Number of the last heartbeat that the peer has acknowledged.
        opened_sequence: Number of the last heartbeat sent before the link was opened.
        received_sequence: Number of the last heartbeat received.
        last_digests: Last pair of member digests, that of this node first.
        unchanged_heartbeats: Heartbeats for which this pair has stayed the same while
            the two digests differ.
        digests_sent_s: Time at which bucket digests were last sent to start a
            comparison of the tables, on the monotonic clock.
        digests_answered_s: Time at which bucket digests of the peer were last answered.
        snapshot_sent_s: Time at which a snapshot was last sent to the peer.
    """

    sent_sequence: int = 0
    acked_sequence: int = 0
    opened_sequence: int = 0
    received_sequence: int = 0
    last_digests: tuple[int, int] = (0, 0)
    unchanged_heartbeats: int = 0
    digests_sent_s: float = float("-inf")
    digests_answered_s: float = float("-inf")
    snapshot_sent_s: float = float("-inf")

    def count_unchanged_difference(self, own: int, other: int) -> int:
        """Return for how many heartbeats two digests have differed in the same way."""
        if own == other:
            self.unchanged_heartbeats = 0
        elif self.last_digests == (own, other):
            self.unchanged_heartbeats += 1
        else:
            self.unchanged_heartbeats = 0
        self.last_digests = (own, other)
        return self.unchanged_heartbeats

    def is_silent(self, heartbeats: int) -> bool:
        """Return whether this many heartbeats on the open link are unacknowledged."""
        return (
            self.sent_sequence - max(self.acked_sequence, self.opened_sequence)
            >= heartbeats
        )
