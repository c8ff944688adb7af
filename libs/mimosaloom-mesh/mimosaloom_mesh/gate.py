"""Lets coroutines wait for the decisions of `Admission`."""

import asyncio

from mimosaloom_model import Clock
from mimosaloom_policy import Admission, Arrival, Decision, Start

from .metrics import MeshMetrics

__all__ = ["AdmissionGate", "Withdrawn"]

TICK_INTERVAL_S = 0.05


class Withdrawn:
    """The call was removed from the queue, as its caller no longer waits for it."""


class AdmissionGate:
    """Lets coroutines wait for the admission of their calls.

    Args:
        admission: Decides which calls start and which are refused.
        clock: Source of time.
        metrics: Metrics whose gauges show the state of the admission.
    """

    def __init__(self, admission: Admission, clock: Clock, metrics: MeshMetrics):
        self.admission = admission
        self.is_draining = False
        self._clock = clock
        self._metrics = metrics
        self._waiting: dict[str, asyncio.Future] = {}
        metrics.limit.set_function(lambda: admission.limit)
        metrics.level.set_function(lambda: admission.level)
        metrics.in_flight.set_function(lambda: admission.in_flight)
        metrics.queued.set_function(lambda: admission.queued)

    async def wait_for_admission(self, arrival: Arrival) -> Decision | Withdrawn:
        """Wait until a call is started, refused or withdrawn.

        A started call must be ended with `finish`. If the awaiting task is cancelled,
        this method ends or withdraws the call itself.
        """
        future = asyncio.get_running_loop().create_future()
        key = arrival.call_key
        self._waiting[key] = future
        self._deliver_decisions(
            self.admission.offer(arrival, self._clock.monotonic_s())
        )
        try:
            return await future
        except asyncio.CancelledError:
            if not future.cancelled() and isinstance(future.result(), Start):
                self.finish(key, is_success=False)
            else:
                self.withdraw(key)
            raise

    def finish(self, key: str, *, is_success: bool) -> None:
        """Record that a started call has ended."""
        now_s = self._clock.monotonic_s()
        self._deliver_decisions(
            self.admission.finish(key, now_s, is_success=is_success)
        )

    def withdraw(self, key: str) -> None:
        """Remove a call from the queue; do nothing if it is not in the queue."""
        future = self._waiting.pop(key, None)
        if future is None:
            return
        if not future.done():
            future.set_result(Withdrawn())
        self._deliver_decisions(self.admission.cancel(key, self._clock.monotonic_s()))

    def announce_draining(self) -> None:
        """Announce the drain on each answer, but still admit calls."""
        self.is_draining = True

    def start_draining(self) -> None:
        """Refuse all new calls."""
        self.is_draining = True
        self.admission.start_draining()

    async def run_ticks(self) -> None:
        """Refuse calls that waited too long; runs until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._deliver_decisions(self.admission.tick(self._clock.monotonic_s()))

    def _deliver_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.call_key, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Start):
                # The caller was cancelled in the same iteration of the event loop.
                self.finish(decision.call_key, is_success=False)
