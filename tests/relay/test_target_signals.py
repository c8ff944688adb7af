"""Tests of what a target says about itself in its answers."""

import pytest

from mimosaloom_model import Address, ManualClock
from mimosaloom_platform.headers import HEADER_NAMES
from mimosaloom_policy import RateLimit
from mimosaloom_relay import (
    DecisionLog,
    OwnTarget,
    RelayMetrics,
    TargetSignals,
    read_target_signals,
)
from mimosaloom_relay.target_signals import SignalMonitor


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ((), TargetSignals(None, False)),
        ((("server-limit", "7.5"),), TargetSignals(7.5, False)),
        ((("Server-Limit", "0"),), TargetSignals(0.0, False)),
        ((("Server-Leaving", "1"),), TargetSignals(None, True)),
        ((("Server-Leaving", "0"),), TargetSignals(None, False)),
        *(
            ((("Server-Limit", value),), TargetSignals(None, False))
            for value in ("", "-1", "nan", "inf", "many", "7,5")
        ),
    ],
)
def test_only_meaningful_signals_are_read(headers, expected):
    """Guards against a limit that is missed, and against one that makes no sense."""
    assert read_target_signals(headers, HEADER_NAMES) == expected


@pytest.mark.parametrize(
    ("value", "pace"),
    [
        ("3,0,8,100", 1.0),
        ("3,0,8, 250", 2.5),
        ("3,0,8,50", 0.5),
        ("3,0,8,1000", 10.0),
        *(
            (value, None)
            for value in (
                "",
                "3,0,8",
                "3,0,8,",
                "3,0,8,0",
                "3,0,8,49",
                "3,0,8,1001",
                "3,0,8,-100",
                "3,0,8,nan",
                "3,0,8,inf",
                "3,0,8,fast",
                "3,0,8,100,100",
                "100",
            )
        ),
    ],
)
def test_only_a_pace_that_can_be_true_is_read(value, pace):
    """Guards against a figure that makes a target look infinitely fast or slow."""
    headers = ((HEADER_NAMES.load, value),)
    assert read_target_signals(headers, HEADER_NAMES).pace == pace


def test_pace_causes_no_log_line():
    """Guards against a line for each answer, as the pace changes all the time."""
    changes = []
    metrics = RelayMetrics()
    clock = ManualClock()
    log = DecisionLog(clock, metrics.count_dropped_line)
    log.change = lambda *args, **fields: changes.append(fields)
    own_target = OwnTarget("s", Address("127.0.0.1", 1), clock=clock)
    monitor = SignalMonitor(
        own_target, HEADER_NAMES, lambda: None, clock=clock, log=log, metrics=metrics
    )
    for percent in range(100, 200, 10):
        headers = ((HEADER_NAMES.load, f"3,0,8,{percent}"),)
        monitor.apply(headers, "", RateLimit())
    assert changes == []
