"""Delay after which a refused caller is asked to retry."""

import random

__all__ = ["choose_retry_after"]

# About the duration of a short overload of a target.
BASE_DELAY_S = 0.5
# Callers wait at most this share of their remaining time. They would all cut a longer
# delay to that limit, and would then retry at the same moment.
MAX_DELAY_RATIO = 1 / 3
MIN_DELAY_S = 0.05


def choose_retry_after(
    remaining_s: float, requested_s: float, priority: int, rng: random.Random
) -> float:
    """Return the seconds after which a refused caller may retry.

    This protects against overload that outlasts a caller's timeout: callers of priority
    0 retry first, and callers refused together retry at different times.

    Args:
        remaining_s: Time until the caller's own timeout.
        requested_s: Delay that the refusing node has asked for; 0 if none.
        priority: Priority of the class; 0 is the highest.
        rng: Source of the random spread.
    """
    delay_s = max(requested_s, BASE_DELAY_S) * (1 if priority == 0 else 2)
    max_delay_s = min(delay_s * 1.5, remaining_s * MAX_DELAY_RATIO)
    return max(MIN_DELAY_S, rng.uniform(max_delay_s / 3, max_delay_s))
