"""Overlay of nodes: the same few neighbours are found on every node.

Each ring orders all names by a hash of its own, and a node's neighbours are those
before and after it on each ring. One ring connects all nodes; three independent ones
give about six neighbours and short paths, and keep the graph connected when many
nodes are lost at once.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["Overlay"]

RINGS = 3
HASH_BYTES = 8


class Overlay:
    """The rings over the members that are known.

    Args:
        names: Names of the members.
        rings: Number of rings; a node has up to twice as many neighbours.
    """

    def __init__(self, names: Iterable[str] = (), *, rings: int = RINGS):
        known = set(names)
        self._rings = [
            sorted(_place(name, ring) for name in known) for ring in range(rings)
        ]

    def __len__(self):
        return len(self._rings[0])

    def add(self, name: str) -> None:
        """Add a member; nothing happens if it is there."""
        for number, ring in enumerate(self._rings):
            place = _place(name, number)
            at = bisect_left(ring, place)
            if at == len(ring) or ring[at] != place:
                insort(ring, place)

    def remove(self, name: str) -> None:
        """Remove a member; nothing happens if it is not there."""
        for number, ring in enumerate(self._rings):
            place = _place(name, number)
            at = bisect_left(ring, place)
            if at < len(ring) and ring[at] == place:
                del ring[at]

    def neighbors_of(self, name: str) -> tuple[str, ...]:
        """Return the neighbours of a member, sorted.

        The relation is symmetric. A name that is not a member gets those it would
        have, so that a starting node knows whom to ask.
        """
        found: set[str] = set()
        for number, ring in enumerate(self._rings):
            place = _place(name, number)
            at = bisect_left(ring, place)
            is_member = at < len(ring) and ring[at] == place
            after = at + 1 if is_member else at
            if ring:
                found |= {ring[at - 1][1], ring[after % len(ring)][1]}
        return tuple(sorted(found - {name}))


def _place(name: str, ring: int) -> tuple[bytes, str]:
    digest = blake2b(name.encode(), digest_size=HASH_BYTES, salt=bytes([ring]))
    return digest.digest(), name
