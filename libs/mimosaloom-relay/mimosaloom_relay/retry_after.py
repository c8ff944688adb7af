"""When a refused caller is told to come back."""

import random

__all__ = ["choose_retry_after"]

# About the time in which a short overload of a target passes.
BASE_S = 0.5
# Callers wait at most this part of the time that they have left; a longer time would
# be cut there for all of them alike, and they would return together.
HONOURED_RATIO = 1 / 3
MIN_S = 0.05


def choose_retry_after(
    left_s: float, hint_s: float, priority: int, rng: random.Random
) -> float:
    """Return the seconds after which a refused caller may come back.

    This answers overload that lasts longer than one caller's patience: important
    classes return first, and callers refused together return spread over time.

    Args:
        left_s: Time that the caller has left.
        hint_s: What the refusing node has asked for; 0 if nothing.
        priority: Priority of the class, 0 first.
        rng: Spreads the callers.
    """
    wait_s = max(hint_s, BASE_S) * (1 if priority == 0 else 2)
    longest_s = min(wait_s * 1.5, left_s * HONOURED_RATIO)
    return max(MIN_S, rng.uniform(longest_s / 3, longest_s))
