"""Tells a target that has ended from a connection that was lost."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from mimosaloom_model import Clock

from .own_target import OwnTarget

__all__ = ["LOSS_WINDOW_S", "RESTART_WINDOW_S", "EndDetector", "TargetConnections"]

# A target that ends loses all of its connections within this time, which is short: a
# call waits for it before its loss is reported.
CLOSE_WINDOW_S = 0.02
CLOSE_POLL_S = 0.004
# Calls that were lost in this time before the end of a target count for it, as they may
# have run on without their connection.
LOSS_WINDOW_S = 1.0
# A target may end and listen again at once. Its first heartbeat comes within this time.
RESTART_WINDOW_S = 5.0
# Bounds the memory for lost calls.
MAX_LOST_CALLS = 2048


class TargetConnections(NamedTuple):
    """What is known of the connections to the target.

    Attributes:
        has_open: Returns whether a connection is open.
        can_open: Returns whether the target accepts a new one.
    """

    has_open: Callable[[], bool]
    can_open: Callable[[], Awaitable[bool]]


class EndDetector:
    """Finds the calls that a target was working on when it ended.

    A target that has ended leaves no connection open and accepts none, or another start
    of it announces itself. A target under load may reset some connections and refuse
    new ones; it still has others. One that leaves may close all, and is not meant.

    Args:
        own_target: State of the target.
        connections: Connections to the target.
        on_end: Called with the start of the target that has ended and the request keys
            of the calls that it left without an answer; called again for the same start
            if further calls are lost.
        clock: Source of time.
    """

    def __init__(
        self,
        own_target: OwnTarget,
        connections: TargetConnections,
        on_end: Callable[[str, set[str]], None],
        *,
        clock: Clock,
    ):
        self._own_target = own_target
        self._connections = connections
        self._on_end = on_end
        self._clock = clock
        self._start_key = ""
        self._lost_s: dict[str, float] = {}
        self._ended_start = ""
        self._checking: asyncio.Task | None = None

    def note_lost_call(self, start_key: str, request_key: str) -> None:
        """Note a call that ended without an answer, which the target may still run.

        Args:
            start_key: Start of the target that the call was sent to.
            request_key: Key of the request.
        """
        if start_key != self._start_key:
            self._start_key = start_key
            self._lost_s.clear()
        self._lost_s.pop(request_key, None)
        self._lost_s[request_key] = self._clock.monotonic_s()
        while len(self._lost_s) > MAX_LOST_CALLS:
            del self._lost_s[next(iter(self._lost_s))]

    async def has_ended(self, start_key: str, request_key: str) -> bool:
        """Return whether the target has ended, after it closed a connection.

        Args:
            start_key: Start of the target that the call was sent to.
            request_key: Key of the request.
        """
        self.note_lost_call(start_key, request_key)
        if start_key == self._ended_start:
            self._on_end(start_key, {request_key})
            return True
        if self._checking is None or self._checking.done():
            self._checking = asyncio.ensure_future(self._check())
        await asyncio.shield(self._checking)
        return start_key == self._ended_start

    def note_refused_connection(self) -> None:
        """Note that the target accepts no connection."""
        if not self._connections.has_open():
            self._confirm_end(LOSS_WINDOW_S)

    def note_new_start(self) -> None:
        """Note that another start of the target has replaced one that did not leave."""
        self._confirm_end(RESTART_WINDOW_S)

    def note_answer(self, start_key: str) -> None:
        """Note that a start of the target has answered, so it has not ended."""
        if start_key == self._ended_start:
            self._ended_start = ""

    async def _check(self) -> None:
        end_s = self._clock.monotonic_s() + CLOSE_WINDOW_S
        while self._connections.has_open():
            if self._clock.monotonic_s() >= end_s:
                return
            await asyncio.sleep(CLOSE_POLL_S)
        if not await self._connections.can_open():
            self.note_refused_connection()

    def _confirm_end(self, window_s: float) -> None:
        """Report the calls that were lost in a time before the end of the target."""
        own = self._own_target
        if own.is_leaving or self._start_key in ("", self._ended_start):
            return
        earliest_s = self._clock.monotonic_s() - window_s
        lost = {key for key, at_s in self._lost_s.items() if at_s >= earliest_s}
        if lost:
            self._ended_start = self._start_key
            self._on_end(self._start_key, lost)
