"""Exponential backoff with jitter."""

import random

__all__ = ["Backoff"]

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 5.0


class Backoff:
    """Random delays of growing length, so that many nodes do not retry at once.

    Args:
        rng: Source of the jitter.
        base_s: Upper bound of the first delay.
        cap_s: Upper bound of all delays.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        base_s: float = BACKOFF_BASE_S,
        cap_s: float = BACKOFF_CAP_S,
    ):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._bound_s = base_s

    def next_delay_s(self) -> float:
        """Return a delay between 0 and a bound, and double the bound up to the cap."""
        bound_s = self._bound_s
        self._bound_s = min(self._cap_s, 2 * bound_s)
        return self._rng.uniform(0, bound_s)

    def reset(self) -> None:
        """Set the bound back to the base, after a success."""
        self._bound_s = self._base_s
