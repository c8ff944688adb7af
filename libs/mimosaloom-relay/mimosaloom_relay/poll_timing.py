"""How long a node waits for the answer of a long poll of the store.

An answer that is lost on an open connection can't be told from one that is still to
come. Until the poll is given up, the node learns of no change.
"""

from typing import NamedTuple

__all__ = [
    "LONG_POLL",
    "READER_RECORDS_POLL",
    "SHORT_POLL",
    "PollTiming",
    "choose_poll_timing",
]

# Part of the timeout that is left for the answer after the store has stopped waiting.
ANSWER_MARGIN_S = 0.75
# Time for the read that follows a poll that was given up, for the delay before it, and
# for the reader to pass on the result.
REPEAT_MARGIN_S = 0.5
# The store holds a poll no longer.
MAX_POLL_WAIT_S = 30.0
READER_RECORDS_WAIT_S = 6.0
# Share of the store's read rate that the polls of all nodes take while nothing changes.
POLL_RATE_RATIO = 0.05


class PollTiming(NamedTuple):
    """Times of a long poll.

    Attributes:
        wait_s: How long the store may hold the poll while there is no record.
        timeout_s: When the poll is given up.
    """

    wait_s: float
    timeout_s: float


# For records that may be late until another read of the node has shown a failure.
LONG_POLL = PollTiming(MAX_POLL_WAIT_S, MAX_POLL_WAIT_S + 3.0)
# For records that a node reads for others as well.
READER_RECORDS_POLL = PollTiming(
    READER_RECORDS_WAIT_S, READER_RECORDS_WAIT_S + ANSWER_MARGIN_S
)
# For records that another node has read, so that the store answers at once.
SHORT_POLL = PollTiming(0.0, 2 * ANSWER_MARGIN_S)


def choose_poll_timing(
    recovery_s: float, nodes: int, store_reads_per_s: float
) -> PollTiming:
    """Return the times of a poll for records that must not be late.

    A node whose poll is lost has read the store again after `recovery_s`. Where that
    would take too large a part of the store's read rate, polls are longer: with many
    nodes, some of them poll anew soon after a loss, and calls between nodes pass the
    version on.

    Args:
        recovery_s: Time after a disturbance within which a node follows the store.
        nodes: Number of nodes that poll at these times.
        store_reads_per_s: Reads that the store allows all nodes together, in reads/s.
    """
    fleet_wait_s = nodes / (POLL_RATE_RATIO * store_reads_per_s)
    longest_s = recovery_s - REPEAT_MARGIN_S - ANSWER_MARGIN_S
    wait_s = min(max(longest_s, fleet_wait_s, 0.0), MAX_POLL_WAIT_S)
    return PollTiming(wait_s, wait_s + ANSWER_MARGIN_S)
