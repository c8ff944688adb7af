"""Tests of the delay after which refused callers retry."""

import random

from mimosaloom_relay.retry_after import choose_retry_after


def test_delays_are_spread_and_within_the_callers_limit():
    """Guards against refused callers that retry together, or after their timeout."""
    rng = random.Random(1)
    waits = [choose_retry_after(5.0, 0.0, 2, rng) for _ in range(200)]
    assert max(waits) <= 5.0 / 3
    assert max(waits) - min(waits) > 0.5
    assert all(choose_retry_after(0.3, 1.0, 0, rng) <= 0.1 for _ in range(50))


def test_top_priority_callers_retry_first():
    """Guards against requests of the highest priority that retry after the others."""
    rng = random.Random(1)
    important = sum(choose_retry_after(9.0, 0.0, 0, rng) for _ in range(200))
    others = sum(choose_retry_after(9.0, 0.0, 2, rng) for _ in range(200))
    assert important < 0.7 * others
