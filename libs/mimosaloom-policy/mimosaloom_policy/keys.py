"""Idempotency keys of root requests: minted by a node, or brought by the caller.

- Minted: `m`, 28 characters of base64url, `.`, name of the owning upstream. The 28
  characters hold 21 bytes: start of the incarnation in milliseconds (7), random part
  of the incarnation (4), seconds from that start to the issue (4), random part (6).
  Only the incarnation in the key may run the request, see option A in the design.
- Brought: time of issue as 10 decimal digits of Unix seconds, `-`, 8 to 53 characters
  of `A-Z a-z 0-9 _ -` that the caller draws at random. See `claims`.

Both are at most 64 characters, the limit of a call id.
"""

import random
import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from typing import NamedTuple

__all__ = [
    "MAX_KEY_CHARS",
    "MAX_OWNER_CHARS",
    "BroughtKey",
    "MintedKey",
    "format_brought_key",
    "mint_key",
    "parse_key",
]

MAX_KEY_CHARS = 64
MAX_OWNER_CHARS = 34
START_BYTES = 7
INCARNATION_BYTES = 4
AGE_BYTES = 4
RANDOM_BYTES = 6
PACKED_CHARS = 28

_MINTED = re.compile(r"m([A-Za-z0-9_-]{28})\.([a-z0-9]([a-z0-9-]{0,32}[a-z0-9])?)")
_BROUGHT = re.compile(r"([0-9]{10})-([A-Za-z0-9_-]{8,53})")
_INCARNATION = re.compile(r"[0-9a-f]{13}-[0-9a-f]{8}")


class MintedKey(NamedTuple):
    """A key that a node minted.

    Attributes:
        owner: Upstream whose node holds the key.
        incarnation: Incarnation of that node.
        age_s: Whole seconds from the start of the incarnation to the issue.
        nonce: Random part, 12 hexadecimal digits.
    """

    owner: str
    incarnation: str
    age_s: int
    nonce: str

    @property
    def issued_s(self) -> float:
        """Time of issue in Unix seconds by the owner's clock."""
        return int(self.incarnation[:13], 16) / 1000 + self.age_s


class BroughtKey(NamedTuple):
    """A key that the caller brought.

    Attributes:
        issued_s: Time of issue in Unix seconds by the caller's clock.
        nonce: Random part.
    """

    issued_s: int
    nonce: str


def mint_key(owner: str, incarnation: str, age_s: float, rng: random.Random) -> str:
    """Return a new key.

    Args:
        owner: Name of the upstream beside the minting node.
        incarnation: Its incarnation, 13 hexadecimal digits, `-`, 8 of them.
        age_s: Seconds since the start of the incarnation, on the monotonic clock.
        rng: Source of the random part. In production a `random.SystemRandom`, since
            a key that can be guessed gives access to a stored answer.

    Raises:
        ValueError: If the owner is over 34 characters or the incarnation malformed.
    """
    if not _INCARNATION.fullmatch(incarnation):
        raise ValueError(f"{incarnation!r} is not an incarnation")
    start, _, suffix = incarnation.partition("-")
    packed = (
        int(start, 16).to_bytes(START_BYTES, "big")
        + int(suffix, 16).to_bytes(INCARNATION_BYTES, "big")
        + int(age_s).to_bytes(AGE_BYTES, "big")
        + rng.getrandbits(8 * RANDOM_BYTES).to_bytes(RANDOM_BYTES, "big")
    )
    key = f"m{urlsafe_b64encode(packed).decode('ascii')}.{owner}"
    if not _MINTED.fullmatch(key):
        raise ValueError(f"{owner!r} is not a name of at most {MAX_OWNER_CHARS}")
    return key


def format_brought_key(issued_s: float, nonce: str) -> str:
    """Return a key in the format that callers use.

    Raises:
        ValueError: If the nonce is too short, too long or has other characters.
    """
    key = f"{int(issued_s):010d}-{nonce}"
    if not _BROUGHT.fullmatch(key):
        raise ValueError(f"{nonce!r} is not 8 to 53 of A-Z, a-z, 0-9, _ and -")
    return key


def parse_key(text: str) -> MintedKey | BroughtKey | None:
    """Read a key; None if it has neither format."""
    if len(text) > MAX_KEY_CHARS:
        return None
    brought = _BROUGHT.fullmatch(text)
    if brought:
        return BroughtKey(int(brought[1]), brought[2])
    minted = _MINTED.fullmatch(text)
    if not minted:
        return None
    packed = urlsafe_b64decode(minted[1])
    start, rest = packed[:START_BYTES], packed[START_BYTES:]
    if start[0] >= 0x10:
        return None
    suffix, rest = rest[:INCARNATION_BYTES], rest[INCARNATION_BYTES:]
    incarnation = f"{int.from_bytes(start, 'big'):013x}-{suffix.hex()}"
    age_s = int.from_bytes(rest[:AGE_BYTES], "big")
    return MintedKey(minted[2], incarnation, age_s, rest[AGE_BYTES:].hex())
