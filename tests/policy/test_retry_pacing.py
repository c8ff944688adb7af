"""Tests of the retry pacer and of the calls that a request is expected to need."""

from mimosaloom_policy import CallCountEstimate, RetryPacer, retry_reserve

WINDOW_S = 10.0


def take_all(pacer, share, reserve, now_s):
    """Take tokens until none is left for this reserve; return their number."""
    taken = 0
    while pacer.try_take(share, reserve, now_s):
        taken += 1
    return taken


def test_tokens_left_by_others_serve_the_highest_priority():
    """Guards against retries of lower priority that use up the tokens."""
    pacer = RetryPacer(WINDOW_S)
    assert take_all(pacer, 200.0, retry_reserve(2, 1), 0.0) > 0
    assert take_all(pacer, 200.0, retry_reserve(0, 4), 0.0) > 0
    assert take_all(pacer, 200.0, retry_reserve(0, 1), 0.0) > 0
    assert not pacer.try_take(200.0, retry_reserve(0, 1), 0.0)


def test_tokens_return_evenly_over_the_window():
    """Guards against a bucket that is empty for most of a long fault."""
    pacer = RetryPacer(WINDOW_S)
    take_all(pacer, 200.0, 0.0, 0.0)
    refills = [take_all(pacer, 200.0, 0.0, float(second)) for second in range(1, 10)]
    assert max(refills) - min(refills) <= 1
    assert min(refills) > 0


def test_share_that_grows_is_available_at_once():
    """Guards against a bucket that keeps the size of a node without requests."""
    pacer = RetryPacer(WINDOW_S)
    take_all(pacer, 2.0, 0.0, 0.0)
    assert take_all(pacer, 200.0, 0.0, 0.01) > 50


def test_remaining_calls_follow_the_runs_that_succeeded():
    """Guards against reserves by a number of calls that a class does not make."""
    estimate = CallCountEstimate()
    assert estimate.remaining_calls("unknown", 0) == 1
    for _ in range(50):
        estimate.record("four", 4)
    assert [estimate.remaining_calls("four", done) for done in range(6)] == [
        *(4, 3, 2, 1),
        *(1, 1),
    ]
    for _ in range(50):
        estimate.record("four", 2)
    assert estimate.remaining_calls("four", 0) == 2
