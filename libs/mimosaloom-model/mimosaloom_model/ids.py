"""Identifiers of requests, calls and node incarnations."""

import random
from hashlib import blake2b

__all__ = ["REQUEST_ID_HEX_DIGITS", "digest_bytes", "hash_unit", "new_request_id"]

REQUEST_ID_HEX_DIGITS = 32
DIGEST_BYTES = 16


def new_request_id(rng: random.Random) -> str:
    """Return a random request id of 32 hexadecimal digits."""
    return f"{rng.getrandbits(4 * REQUEST_ID_HEX_DIGITS):0{REQUEST_ID_HEX_DIGITS}x}"


def hash_unit(text: str) -> float:
    """Map a text to a number in [0, 1) that is the same in every process.

    Python's own `hash` differs between processes, so it can't be used to reach
    the same choice on several nodes.
    """
    raw = blake2b(text.encode(), digest_size=8).digest()
    # 53 bits fit a float exactly, so the result stays below 1.
    return (int.from_bytes(raw, "big") >> 11) / (1 << 53)


def digest_bytes(body: bytes) -> str:
    """Return a hexadecimal digest by which a body can be compared."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
