"""Service times of the request classes of one target."""

from typing import NamedTuple

__all__ = ["TRIAL_INTERVAL_S", "ServiceTimes"]

SERVICE_TIME_SMOOTHING = 0.1
# Time without a measurement after which a class gets a trial call, and time between two
# trial calls. It bounds how long a target that is fast again stays without calls.
TRIAL_INTERVAL_S = 1.0
# A trial has at least this share of the time that calls of its class have on average. A
# call with less time says nothing about the others and would likely fail.
TRIAL_TIME_RATIO = 0.8
TIME_LEFT_SMOOTHING = 0.3


class _Estimate(NamedTuple):
    """Estimate of one class.

    Attributes:
        service_time_s: Smoothed service time.
        updated_s: Time of the last measurement or of the start of the last trial.
        trial_key: Key of the last trial call; empty for none.
    """

    service_time_s: float
    updated_s: float
    trial_key: str = ""


class ServiceTimes:
    """Estimates how long a call of each class takes.

    Only calls that run are measured. If no call of a class had as much time as the
    estimate demands, none would run, and the estimate would never fall again. One call
    per interval without a measurement therefore starts as a trial.
    """

    def __init__(self):
        self._estimates: dict[str, _Estimate] = {}
        # Smoothed time that the calls of a class have when they arrive.
        self._usual_times_left_s: dict[str, float] = {}

    def record_arrival(self, class_name: str, remaining_s: float) -> None:
        """Record how much time a call has when it arrives."""
        usual_s = self._usual_times_left_s.get(class_name, remaining_s)
        usual_s += TIME_LEFT_SMOOTHING * (remaining_s - usual_s)
        self._usual_times_left_s[class_name] = usual_s

    def may_start(
        self, class_name: str, call_key: str, remaining_s: float, now_s: float
    ) -> bool:
        """Return whether a call is expected to end in time, or is a trial.

        A call that is not expected to may become the next trial.

        Args:
            class_name: Class of the call.
            call_key: Key of the call. The trial may start at each later question.
            remaining_s: Time until the deadline of the call.
            now_s: Current time on the monotonic clock.
        """
        estimate = self._estimates.get(class_name)
        if estimate is None or estimate.service_time_s < remaining_s:
            return True
        if call_key == estimate.trial_key:
            return True
        usual_s = self._usual_times_left_s.get(class_name, 0.0)
        is_usual = remaining_s >= TRIAL_TIME_RATIO * usual_s
        if not is_usual or now_s - estimate.updated_s < TRIAL_INTERVAL_S:
            return False
        self._estimates[class_name] = _Estimate(
            estimate.service_time_s, now_s, call_key
        )
        return True

    def record(
        self, class_name: str, call_key: str, elapsed_s: float, now_s: float
    ) -> None:
        """Update the estimate of a class from a call that has ended.

        A trial replaces the estimate, which is outdated then.
        """
        estimate = self._estimates.get(class_name)
        if estimate is None or call_key == estimate.trial_key:
            self._estimates[class_name] = _Estimate(elapsed_s, now_s)
            return
        smoothed_s = estimate.service_time_s
        smoothed_s += SERVICE_TIME_SMOOTHING * (elapsed_s - smoothed_s)
        self._estimates[class_name] = _Estimate(smoothed_s, now_s, estimate.trial_key)
