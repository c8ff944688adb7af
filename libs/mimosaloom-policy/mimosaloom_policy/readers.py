"""Which nodes of a failure domain read the log for the others."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

__all__ = ["choose_readers"]

READERS_PER_DOMAIN = 2
HASH_BYTES = 8
# Nodes choose readers again and again from the same names.
MAX_CACHED_KEYS = 16_384


def choose_readers(
    domain: str, names: Iterable[str], *, count: int = READERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Choose the nodes of a failure domain that read the log.

    The choice uses rendezvous hashing, so the departure of a node that is not a reader
    changes nothing, and that of a reader replaces this reader only. Nodes whose member
    tables differ may choose different readers, so that more nodes than needed read the
    log. This costs additional reads and does no harm.

    Args:
        domain: Name of the failure domain.
        names: Names of the live members in the failure domain, in any order.
        count: Number of readers; if there are fewer members, all of them are readers.

    Returns:
        Names of the readers, in order of their hash.
    """
    return tuple(sorted(set(names), key=lambda n: _rendezvous_key(domain, n))[:count])


@lru_cache(MAX_CACHED_KEYS)
def _rendezvous_key(domain: str, name: str) -> tuple[bytes, str]:
    text = f"{domain}/{name}".encode()
    return blake2b(text, digest_size=HASH_BYTES).digest(), name
