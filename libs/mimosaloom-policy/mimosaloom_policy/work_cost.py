"""What one more request would take at a target, learned by the node beside it.

Answers the load of requests that look alike and cost very different amounts of work, on
targets of different speed. See docs/design/placement.md.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["MAX_PACE", "MIN_PACE", "FinishEstimate", "WorkMeter"]

# Bounds on the pace that a target may tell.
MIN_PACE = 0.5
MAX_PACE = 10.0
# Machines are slow for moments; a pace that was told longer ago says nothing of now.
PACE_MAX_AGE_S = 1.0
WORK_SMOOTHING = 0.05
# The relation between pace and own time is learned over more requests than their mean,
# as the work of single requests differs more than the pace does.
TRUST_SMOOTHING = 0.01
# Variance of the logarithm of the pace that the trust starts with.
INITIAL_PACE_VARIANCE = 0.1
MIN_PACE_VARIANCE = 1e-6
# The tail of the work is cut here, in logarithms, for the relation to the pace.
MAX_DEVIATION = 1.5
MIN_OWN_TIME_S = 1e-4
# Requests of a class that must have been measured before an estimate is told.
MIN_SAMPLES = 5
# With a heavy tail, what has run long will run longer: at least this share of the time
# that it has run already.
REMAINING_RATIO = 0.3


class FinishEstimate(NamedTuple):
    """When one more request of a class would be done at a target.

    Attributes:
        wait_s: Wait in seconds until a slot is free.
        service_s: Own work of the request in seconds at the present pace, without the
            time of the calls that it makes; 0 if not known.
    """

    wait_s: float = 0.0
    service_s: float = 0.0


@dataclass(slots=True)
class _Run:
    """A request that runs on the target.

    Attributes:
        class_name: Class of the request.
        start_s: Time at which it was sent to the target.
        log_pace: Logarithm of the pace at that time.
        open_calls: Calls of its own that are in progress.
        calls_start_s: Time since which at least one of them has been.
        calls_s: Time in which at least one was, before that.
    """

    class_name: str
    start_s: float
    log_pace: float
    open_calls: int = 0
    calls_start_s: float = 0.0
    calls_s: float = 0.0


@dataclass(slots=True)
class _ClassWork:
    """Own work of a class, and the pace at which it was measured, in logarithms."""

    log_own_time: float
    log_pace: float
    samples: int = 1


class WorkMeter:
    """Measures the own work of requests on one start of a target.

    The own time of a request depends on the pace of the machine when it starts; how
    much is learned, so that a figure that is false has no effect in the end.

    Args:
        slots: Number of requests that the target runs at once.

    Attributes:
        pace: Last pace that the target has told; None before the first.
    """

    def __init__(self, slots: int):
        self.pace: float | None = None
        self._slots = max(1, slots)
        self._log_pace = 0.0
        self._pace_at_s = -math.inf
        self._runs: dict[str, _Run] = {}
        self._sum_of_starts_s = 0.0
        self._classes: dict[str, _ClassWork] = {}
        self._held_s: float | None = None
        self._covariance = self._variance = INITIAL_PACE_VARIANCE

    @property
    def running(self) -> int:
        """Number of requests that run on the target."""
        return len(self._runs)

    @property
    def pace_trust(self) -> float:
        """How closely own times follow the told pace: 0 not at all, 1 fully."""
        if self._variance < MIN_PACE_VARIANCE:
            return 1.0
        return min(1.0, max(0.0, self._covariance / self._variance))

    def record_start(self, key: str, class_name: str, now_s: float) -> None:
        """Record that a request was sent to the target."""
        self._remove(key)
        self._runs[key] = _Run(class_name, now_s, self._current_log_pace(now_s))
        self._sum_of_starts_s += now_s

    def record_call_start(self, key: str, now_s: float) -> None:
        """Record that a running request has begun a call of its own."""
        run = self._runs.get(key)
        if run is None:
            return
        if run.open_calls == 0:
            run.calls_start_s = now_s
        run.open_calls += 1

    def record_call_end(self, key: str, now_s: float) -> None:
        """Record that a call of a running request has ended."""
        run = self._runs.get(key)
        if run is None or run.open_calls == 0:
            return
        run.open_calls -= 1
        if run.open_calls == 0:
            run.calls_s += now_s - run.calls_start_s

    def record_end(self, key: str, now_s: float, *, is_success: bool) -> None:
        """Record the end of a request; only successful ones are learned from.

        A slot that a failed request has held for longer than usual counts as held, as
        requests that are ended by their deadline hold it as well.
        """
        run = self._remove(key)
        if run is None:
            return
        held_s = now_s - run.start_s
        self._learn_held(held_s / self._pace_effect(run.log_pace), is_success)
        if not is_success:
            return
        calls_s = run.calls_s
        if run.open_calls:
            calls_s += now_s - run.calls_start_s
        log_own_time = math.log(max(MIN_OWN_TIME_S, held_s - calls_s))
        self._learn(run.class_name, log_own_time, run.log_pace)

    def observe_pace(self, pace: float | None, now_s: float) -> None:
        """Record the pace that the target tells: 1 as usual, 2 for twice as long."""
        if pace is None or not MIN_PACE <= pace <= MAX_PACE:
            return
        if pace != self.pace:
            self.pace = pace
            self._log_pace = math.log(pace)
        self._pace_at_s = now_s

    def estimate(self, class_name: str, queued: int, now_s: float) -> FinishEstimate:
        """Return the estimate for one more request of a class.

        Args:
            class_name: Class of the request.
            queued: Requests that wait for the target already.
            now_s: Current time on the monotonic clock.
        """
        work = self._classes.get(class_name)
        service_s = 0.0
        if work is not None and work.samples >= MIN_SAMPLES:
            log_pace = self._current_log_pace(now_s) - work.log_pace
            service_s = math.exp(work.log_own_time + self.pace_trust * log_pace)
        return FinishEstimate(self._estimate_wait_s(queued, now_s), service_s)

    def _estimate_wait_s(self, queued: int, now_s: float) -> float:
        """Return the time until a slot is free, from sums over all that runs."""
        running = len(self._runs)
        if self._held_s is None or not running:
            return 0.0
        if running < self._slots and not queued:
            return 0.0
        held_s = self._held_s * self._pace_effect(self._current_log_pace(now_s))
        run_s = now_s - self._sum_of_starts_s / running
        remaining_s = max(held_s - run_s, REMAINING_RATIO * run_s)
        return max(0.0, remaining_s + queued * held_s) / running

    def _pace_effect(self, log_pace: float) -> float:
        """Return how many times as long work takes at a pace."""
        return math.exp(self.pace_trust * log_pace)

    def _learn_held(self, held_s: float, is_success: bool) -> None:
        known_s = self._held_s
        if is_success and known_s is None:
            self._held_s = held_s
        elif known_s is not None and (is_success or held_s > known_s):
            self._held_s = known_s + WORK_SMOOTHING * (held_s - known_s)

    def _learn(self, class_name: str, log_own_time: float, log_pace: float) -> None:
        work = self._classes.get(class_name)
        if work is None:
            self._classes[class_name] = _ClassWork(log_own_time, log_pace)
            return
        time_deviation = log_own_time - work.log_own_time
        pace_deviation = log_pace - work.log_pace
        work.samples += 1
        share = max(WORK_SMOOTHING, 1 / work.samples)
        work.log_own_time += share * time_deviation
        work.log_pace += share * pace_deviation
        time_deviation = min(MAX_DEVIATION, max(-MAX_DEVIATION, time_deviation))
        self._covariance += TRUST_SMOOTHING * (
            pace_deviation * time_deviation - self._covariance
        )
        self._variance += TRUST_SMOOTHING * (pace_deviation**2 - self._variance)

    def _current_log_pace(self, now_s: float) -> float:
        return self._log_pace if now_s - self._pace_at_s <= PACE_MAX_AGE_S else 0.0

    def _remove(self, key: str) -> _Run | None:
        run = self._runs.pop(key, None)
        if run is not None:
            # Without runs the sum starts anew, so that rounding does not add up.
            self._sum_of_starts_s -= run.start_s
            if not self._runs:
                self._sum_of_starts_s = 0.0
        return run
