"""Overlay network: gives each node a few neighbours to exchange messages with.

The overlay consists of hash rings. Each ring orders the names of all members by its
own hash function. The neighbours of a node are its predecessor and its successor on
each ring, so all nodes with the same members compute the same neighbours.

A single ring connects all nodes. Three independent rings give a node about six
neighbours, keep paths short, and keep the graph connected when many nodes fail at once.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["Overlay"]

RINGS = 3
HASH_BYTES = 8


class Overlay:
    """The rings over a set of members.

    Args:
        names: Names of the initial members.
        rings: Number of rings; a node has at most two neighbours per ring.
    """

    def __init__(self, names: Iterable[str] = (), *, rings: int = RINGS):
        members = set(names)
        self._rings = [
            sorted(_ring_position(name, ring_number) for name in members)
            for ring_number in range(rings)
        ]

    def __len__(self):
        return len(self._rings[0])

    def add(self, name: str) -> None:
        """Add a member; no effect if it is already in the overlay."""
        for ring_number, ring in enumerate(self._rings):
            position = _ring_position(name, ring_number)
            index = bisect_left(ring, position)
            if index == len(ring) or ring[index] != position:
                insort(ring, position)

    def remove(self, name: str) -> None:
        """Remove a member; no effect if it is not in the overlay."""
        for ring_number, ring in enumerate(self._rings):
            position = _ring_position(name, ring_number)
            index = bisect_left(ring, position)
            if index < len(ring) and ring[index] == position:
                del ring[index]

    def neighbors_of(self, name: str) -> tuple[str, ...]:
        """Return the names of the neighbours of a member, sorted.

        The relation between members is symmetric. For a name that is not a member, the
        result is the neighbours that it would have as a member, so that a starting
        node can contact them.
        """
        neighbors: set[str] = set()
        for ring_number, ring in enumerate(self._rings):
            position = _ring_position(name, ring_number)
            index = bisect_left(ring, position)
            is_member = index < len(ring) and ring[index] == position
            successor = index + 1 if is_member else index
            if ring:
                neighbors |= {ring[index - 1][1], ring[successor % len(ring)][1]}
        return tuple(sorted(neighbors - {name}))


def _ring_position(name: str, ring_number: int) -> tuple[bytes, str]:
    digest = blake2b(name.encode(), digest_size=HASH_BYTES, salt=bytes([ring_number]))
    return digest.digest(), name
