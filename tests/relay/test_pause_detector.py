"""Tests of the detection of pauses of the process."""

from datetime import timedelta

import pytest

from mimosaloom_model import ManualClock
from mimosaloom_relay.pause_detector import (
    MIN_PAUSE_S,
    READ_DELAY_S,
    TICK_INTERVAL_S,
    PauseDetector,
)


def run_for(clock, detector, time_s):
    """Let the timer of a running process fire for a while."""
    for _ in range(round(time_s / TICK_INTERVAL_S)):
        clock.advance(timedelta(seconds=TICK_INTERVAL_S))
        detector.tick()


@pytest.mark.parametrize("ticks_first", [True, False])
def test_message_that_is_read_after_a_pause_may_have_waited_for_it(ticks_first):
    """Guards against a deadline that counts from the end of a pause."""
    clock = ManualClock()
    detector = PauseDetector(clock)
    run_for(clock, detector, 2)
    assert detector.recent_pause_s() == 0
    clock.advance(timedelta(seconds=8))
    if ticks_first:
        detector.tick()
    assert detector.recent_pause_s() == pytest.approx(8)
    detector.tick()
    assert detector.recent_pause_s() == pytest.approx(8)
    clock.advance(timedelta(seconds=1.1 * READ_DELAY_S))
    detector.tick()
    assert detector.recent_pause_s() == 0


def test_busy_process_is_not_taken_for_a_paused_one():
    """Guards against requests that are refused because a node is slow."""
    clock = ManualClock()
    detector = PauseDetector(clock)
    for _ in range(20):
        clock.advance(timedelta(seconds=0.9 * MIN_PAUSE_S))
        assert detector.recent_pause_s() == 0
        detector.tick()
        assert detector.recent_pause_s() == 0
