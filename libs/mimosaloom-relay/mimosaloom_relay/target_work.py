"""Work on the target beside a node, for targets that tell the pace of their machine."""

from collections.abc import Iterator
from contextlib import contextmanager

from mimosaloom_model import Clock
from mimosaloom_policy import FinishEstimate, WorkMeter

from .hop_messages import HopContext
from .metrics import RelayMetrics

__all__ = ["TargetWork"]

_NO_ESTIMATE = FinishEstimate()
# Digits after the point of times that are told to other nodes.
DIGITS = 5


class TargetWork:
    """Feeds a meter of own work per start of the target.

    Until the target has told a pace, nothing is measured and there are no estimates.

    Args:
        clock: Source of time.
        metrics: Shows pace and own work.
    """

    def __init__(self, clock: Clock, metrics: RelayMetrics):
        self._clock = clock
        self._metrics = metrics
        self._slots = 1
        self._meter: WorkMeter | None = None

    def reset(self, slots: int) -> None:
        """Drop all measurements, as another start of the target begins.

        Args:
            slots: Number of requests that the target runs at once.
        """
        self._slots = slots
        self._meter = None

    def record_start(self, context: HopContext) -> None:
        """Record that a request was sent to the target."""
        if self._meter is not None:
            now_s = self._clock.monotonic_s()
            self._meter.record_start(context.request_id, context.route, now_s)

    def record_answer(
        self, context: HopContext, pace: float | None, *, is_success: bool
    ) -> None:
        """Record an answer of the current start of the target.

        Args:
            context: Context of the request.
            pace: Pace that the target tells in the answer; None if it tells none.
            is_success: Whether the target has done the work of the request.
        """
        if self._meter is None:
            if pace is None:
                return
            self._meter = WorkMeter(self._slots)
        now_s = self._clock.monotonic_s()
        self._meter.observe_pace(pace, now_s)
        self._meter.record_end(context.request_id, now_s, is_success=is_success)
        if pace is not None:
            self._metrics.target_pace.set(pace)

    def record_end(self, context: HopContext) -> None:
        """Record the end of a request; no effect if its answer was recorded."""
        if self._meter is not None:
            now_s = self._clock.monotonic_s()
            self._meter.record_end(context.request_id, now_s, is_success=False)

    @contextmanager
    def record_call(self, parent: HopContext | None) -> Iterator[None]:
        """Record the time of a call that a running request makes.

        Args:
            parent: The running request; None for a request of a client.
        """
        meter = self._meter
        if meter is None or parent is None:
            yield
            return
        meter.record_call_start(parent.request_id, self._clock.monotonic_s())
        try:
            yield
        finally:
            meter.record_call_end(parent.request_id, self._clock.monotonic_s())

    def estimate(self, class_name: str, queued: int) -> FinishEstimate:
        """Return what one more request of a class would take.

        Args:
            class_name: Class of the request.
            queued: Requests that wait for the target already.
        """
        if self._meter is None:
            return _NO_ESTIMATE
        now_s = self._clock.monotonic_s()
        wait_s, service_s = self._meter.estimate(class_name, queued, now_s)
        if not service_s:
            return _NO_ESTIMATE
        self._metrics.show_expected_service(class_name, service_s)
        return FinishEstimate(round(wait_s, DIGITS), round(service_s, DIGITS))
