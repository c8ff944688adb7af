"""Tests of what a target says about itself in its answers."""

import pytest

from mimosaloom_platform.headers import HEADER_NAMES
from mimosaloom_relay import TargetSignals, read_target_signals


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
