"""Incarnations: ids that order the starts of a node process."""

import random

from mimosaloom_model import Clock

__all__ = ["new_incarnation"]

TIME_HEX_DIGITS = 13
RANDOM_BITS = 32
MS_PER_S = 1_000


def new_incarnation(clock: Clock, rng: random.Random) -> str:
    """Return a new incarnation; later starts of a node sort after earlier ones."""
    started_ms = int(clock.now().timestamp() * MS_PER_S)
    return f"{started_ms:0{TIME_HEX_DIGITS}x}-{rng.getrandbits(RANDOM_BITS):08x}"
