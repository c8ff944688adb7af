"""Clocks: the system's for daemons, one set by hand for tests and benches."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time that is passed to all code that needs it."""

    def monotonic_s(self) -> float:
        """Return seconds from an arbitrary start; never goes back."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return `time.monotonic()` in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when told to.

    Args:
        start: Wall-clock time at which the clock stands at first.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed_s = 0.0

    def monotonic_s(self) -> float:
        """Return the seconds the clock has been moved so far."""
        return self._elapsed_s

    def now(self) -> datetime:
        """Return the start time plus the time moved so far."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, step: timedelta) -> None:
        """Move the clock forward.

        Args:
            step: How far to move.

        Raises:
            ValueError: If `step` is negative.
        """
        if step < timedelta(0):
            raise ValueError(f"a clock can't go back: {step}")
        self._elapsed_s += step.total_seconds()
