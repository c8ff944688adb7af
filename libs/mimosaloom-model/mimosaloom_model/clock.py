"""Clocks: the system clock for daemons, a manual clock for tests and benchmarks."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Interface of a time source; code that needs the time gets a clock passed in."""

    def monotonic_s(self) -> float:
        """Return the seconds since an arbitrary start; the value never decreases."""

    def now(self) -> datetime:
        """Return the wall-clock time as a timezone-aware datetime in UTC."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return `time.monotonic()` in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that advances only through calls of `advance`.

    Args:
        start: Initial wall-clock time.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed_s = 0.0

    def monotonic_s(self) -> float:
        """Return the seconds by which the clock has been advanced so far."""
        return self._elapsed_s

    def now(self) -> datetime:
        """Return the start time plus the time by which the clock has been advanced."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, step: timedelta) -> None:
        """Advance the clock.

        Args:
            step: Duration by which to advance; must not be negative.

        Raises:
            ValueError: If `step` is negative.
        """
        if step < timedelta(0):
            raise ValueError(f"step must not be negative, got {step}")
        self._elapsed_s += step.total_seconds()
