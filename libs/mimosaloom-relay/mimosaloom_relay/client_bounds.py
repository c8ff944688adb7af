"""Bounds on what all clients of a node together may take of its process.

They answer crowds of clients that send odd or endless requests: what a node holds for
them stays a fixed share of what its process may take, so that it lives and ordinary
callers still find room.
"""

__all__ = ["choose_max_overlapping", "choose_received_bytes"]

RECEIVED_MEMORY_RATIO = 0.125

# Memory that a started request takes on its way through the system: its task, the hop
# to another node and the connection for it.
STARTED_COST_BYTES = 20 * 1024
OVERLAPPING_MEMORY_RATIO = 0.1
# Each started request needs a connection to another node or to the own target.
OVERLAPPING_SOCKETS_RATIO = 0.25


def choose_max_overlapping(memory_bytes: int, max_sockets: int) -> int:
    """Return how many requests may be started when one more starts beside others.

    Answers clients that send many requests on each connection before they read an
    answer.

    Args:
        memory_bytes: Memory that the process may take.
        max_sockets: Sockets that the process may have.
    """
    by_memory = int(OVERLAPPING_MEMORY_RATIO * memory_bytes / STARTED_COST_BYTES)
    return min(by_memory, int(OVERLAPPING_SOCKETS_RATIO * max_sockets))


def choose_received_bytes(memory_bytes: int) -> int:
    """Return what the requests of all clients may hold beyond ordinary ones.

    Answers clients that send many header lines or large bodies, complete or not.

    Args:
        memory_bytes: Memory that the process may take.
    """
    return int(RECEIVED_MEMORY_RATIO * memory_bytes)
