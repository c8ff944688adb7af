"""Checks whether a target serves before the node believes its first heartbeat."""

import asyncio
from collections.abc import Awaitable, Callable

from mimosaloom_model import Clock

from .decision_log import DecisionLog
from .own_target import MAX_LATENESS_S, OwnTarget
from .task_set import TaskSet

__all__ = ["TargetCheck"]

# Time between two health checks of a target that has failed one, for example as it was
# full.
RETRY_DELAY_S = 0.3


class TargetCheck:
    """Sends health checks to a target that the node knows from heartbeats only.

    The node may have acknowledged before its start that the target leaves, and neither
    the store nor other nodes need know of it. A heartbeat of before that arrives late
    looks like one of a target that has just started. A target that leaves fails its
    health check, and one that has ended does not answer.

    Args:
        own_target: State of the target.
        find_health_path: Returns the path of the health check; None while it is not
            known.
        is_serving: Sends a health check to a path; returns whether the target of the
            given id answers it with success.
        on_result: Called when the target has passed a check, or failed the first one.
        tasks: Runs the checks.
        clock: Source of time.
        log: Receives the log lines of the results.
    """

    def __init__(
        self,
        own_target: OwnTarget,
        find_health_path: Callable[[], str | None],
        is_serving: Callable[[str, str], Awaitable[bool]],
        on_result: Callable[[], None],
        tasks: TaskSet,
        *,
        clock: Clock,
        log: DecisionLog,
    ):
        self._own_target = own_target
        self._find_health_path = find_health_path
        self._is_serving = is_serving
        self._on_result = on_result
        self._tasks = tasks
        self._clock = clock
        self._log = log
        self._running: asyncio.Task | None = None

    def start_if_needed(self) -> None:
        """Check the target unless it needs no check or one is running."""
        is_running = self._running is not None and not self._running.done()
        health_path = self._find_health_path()
        if self._own_target.is_unchecked and health_path is not None and not is_running:
            self._running = self._tasks.spawn(self._run(health_path))

    async def _run(self, health_path: str) -> None:
        """Repeat the check while it fails, as long as the last heartbeat may be late.

        Later heartbeats start it again.
        """
        own = self._own_target
        end_s = self._clock.monotonic_s() + MAX_LATENESS_S
        logged_key = ""
        while own.is_unchecked and self._clock.monotonic_s() < end_s:
            start_key = own.start_key
            is_serving = await self._is_serving(health_path, own.target_id)
            if start_key != own.start_key or not own.is_unchecked:
                continue
            if is_serving:
                own.end_check()
                self._log.change("target_confirmed", start=start_key)
                self._on_result()
                return
            if start_key != logged_key:
                logged_key = start_key
                self._log.change("target_not_confirmed", start=start_key)
                self._on_result()
            await asyncio.sleep(RETRY_DELAY_S)
