"""Tells how long this process has just been paused, or kept from running."""

import asyncio

from mimosaloom_model import Clock

__all__ = ["PauseDetector"]

TICK_INTERVAL_S = 0.1
# A busy event loop is late by less.
MIN_PAUSE_S = 0.5
# What had arrived during a pause is read within this time after it.
READ_DELAY_S = 0.1


class PauseDetector:
    """Notices pauses by a timer that fires late.

    A message that is read right after a pause may have waited for as long as the pause
    lasted, so that the time that it leaves may have run out.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._ticked_s = clock.monotonic_s()
        self._resumed_s = self._ticked_s
        self._pause_s = 0.0

    async def run(self) -> None:
        """Notice pauses until cancelled."""
        self._ticked_s = self._clock.monotonic_s()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Note that the process runs."""
        now_s = self._clock.monotonic_s()
        late_s = now_s - self._ticked_s
        if late_s > MIN_PAUSE_S:
            self._pause_s, self._resumed_s = late_s, now_s
        self._ticked_s = now_s

    def recent_pause_s(self) -> float:
        """Return how long a message that is read now may have waited, in seconds."""
        now_s = self._clock.monotonic_s()
        late_s = now_s - self._ticked_s
        if late_s > MIN_PAUSE_S:
            return late_s
        return self._pause_s if now_s - self._resumed_s < READ_DELAY_S else 0.0
