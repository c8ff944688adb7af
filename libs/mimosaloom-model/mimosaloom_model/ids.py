"""Request ids, and hashes that are equal in every process."""

import random
from hashlib import blake2b

__all__ = [
    "REQUEST_ID_HEX_DIGITS",
    "digest_bytes",
    "hash_to_unit_interval",
    "new_request_id",
]

REQUEST_ID_HEX_DIGITS = 32
DIGEST_BYTES = 16


def new_request_id(rng: random.Random) -> str:
    """Return a random request id of 32 lower-case hexadecimal digits."""
    return f"{rng.getrandbits(4 * REQUEST_ID_HEX_DIGITS):0{REQUEST_ID_HEX_DIGITS}x}"


def hash_to_unit_interval(text: str) -> float:
    """Hash a string to a number in [0, 1) that is the same in every process.

    Python's built-in `hash` gives different values in different processes, so nodes
    that must make the same choice independently can't use it.
    """
    raw = blake2b(text.encode(), digest_size=8).digest()
    # A float holds 53 bits exactly, so the result is never rounded up to 1.
    return (int.from_bytes(raw, "big") >> 11) / (1 << 53)


def digest_bytes(body: bytes) -> str:
    """Return a hexadecimal digest of a body, for comparison with another body."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
