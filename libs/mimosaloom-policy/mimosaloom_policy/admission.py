"""Admission control of one target: concurrency limit, queue and admission level.

A call that arrives is refused at once, waits in the queue, or starts. The admission
level refuses calls by rank (see `rank`), the queue bounds how long calls wait, and the
concurrency limit bounds how many run at once.
"""

import math
from typing import NamedTuple

from mimosaloom_model import ErrorKind

from .limiter import ConcurrencyLimit
from .queue import WaitingQueue
from .rank import PRIORITY_COUNT
from .rate_limit import RateLimit
from .service_times import ServiceTimes
from .shedding import WINDOW_S, LevelControl, WindowStats

__all__ = ["Admission", "Arrival", "Decision", "Refuse", "Start"]

RETRY_AFTER_S = 1.0
# Share of the limit that is reserved for protected classes. Protected calls in flight
# count towards it, so it leaves slots unused only where protected calls are rare.
RESERVED_RATIO = 0.03
# While protected calls use at least this share of the limit, the level may refuse calls
# of protected classes as well.
MAX_PROTECTED_RATIO = 0.9
# Bound of the queue delay. A waiting call holds a slot at each of its callers, up to
# the entry service.
MAX_QUEUE_DELAY_S = 0.07
MIN_QUEUE_CAPACITY = 8


class Arrival(NamedTuple):
    """A call that requests admission.

    Attributes:
        call_key: Key of the call, unique per attempt.
        class_name: Request class.
        priority: Priority of the class; 0 is the most important.
        is_protected: Whether the class has a reserved share of the slots.
        rank: Rank of the request, see `rank_request`.
        deadline_s: Deadline of the call, on the monotonic clock.
        depth: Hops from the root call. The level refuses root calls only. Deeper
            calls belong to requests that are already admitted; the level never
            refuses them, but a full queue, their deadline or a drain does.
    """

    call_key: str
    class_name: str
    priority: int
    is_protected: bool
    rank: float
    deadline_s: float
    depth: int = 0


class Start(NamedTuple):
    """Decision to run the call now."""

    call_key: str


class Refuse(NamedTuple):
    """Decision to refuse the call; no part of it ran.

    Attributes:
        call_key: Key of the call.
        kind: Error kind of the refusal.
        retry_after_s: Time after which the caller may retry; 0 for no hint.
    """

    call_key: str
    kind: ErrorKind
    retry_after_s: float


Decision = Start | Refuse


class _Running(NamedTuple):
    arrival: Arrival
    start_s: float


class _WindowMeter:
    """Measures concurrency and completed calls over one measurement window."""

    def __init__(self, now_s: float):
        self.start_s = now_s
        self._changed_at_s = now_s
        self._busy_slot_s = 0.0
        self._completed = 0
        self.peak = 0

    def advance(self, in_flight: int, now_s: float) -> None:
        """Account for the time since the number of calls in flight last changed."""
        self.peak = max(self.peak, in_flight)
        self._busy_slot_s += in_flight * (now_s - self._changed_at_s)
        self._changed_at_s = now_s

    def count_completion(self, in_flight: int, now_s: float) -> None:
        """Count the completion of one of the calls in flight."""
        self.advance(in_flight, now_s)
        self._completed += 1

    def end_window(self, limit: int, queued: int, now_s: float) -> WindowStats:
        """Return the measurements of the window and start the next one."""
        elapsed_s = now_s - self.start_s
        busy_ratio = self._busy_slot_s / (limit * elapsed_s)
        window = WindowStats(elapsed_s, self._completed, busy_ratio, queued)
        self.start_s, self._busy_slot_s, self._completed, self.peak = now_s, 0.0, 0, 0
        return window


class Admission:
    """Decides which calls run on one target, and when.

    Args:
        slots: Declared concurrency of the target; the upper bound of the limit, which
            starts at a share of it.
        now_s: Current time on the monotonic clock.
        queue_capacity: Maximum number of calls that wait.

    Attributes:
        rate_limit: Rate at which calls may start.
    """

    def __init__(self, slots: int, now_s: float, *, queue_capacity: int = 256):
        self.rate_limit = RateLimit()
        self._limit = ConcurrencyLimit(slots)
        self._queue_capacity = queue_capacity
        # The throughput of the target is not measured yet, so only the maximum wait
        # bounds the queue delay.
        self._queue = WaitingQueue(queue_capacity)
        self._running: dict[str, _Running] = {}
        self._service_times = ServiceTimes()
        self._is_draining = False
        self._control = LevelControl()
        self._meter = _WindowMeter(now_s)
        self._protected_running = 0
        self._max_protected_priority = -1
        self._min_other_priority = PRIORITY_COUNT

    @property
    def limit(self) -> int:
        """Number of calls that may currently run at once."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return len(self._queue)

    @property
    def level(self) -> float:
        """Admission level: calls with a lower rank are admitted; 1 admits all.

        The level of a draining target is 0, which admits none.
        """
        return 0.0 if self._is_draining else self._control.level

    def offer(self, arrival: Arrival, now_s: float) -> list[Decision]:
        """Request admission of a call.

        Returns:
            Decisions on this call, on calls that it evicts from the queue and on
            waiting calls that can start. A call without a decision waits in the queue.
        """
        self._end_window(now_s)
        if self._is_draining:
            return [Refuse(arrival.call_key, ErrorKind.DRAINING, 0.0)]
        self._record_arrival(arrival, now_s)
        if arrival.depth == 0 and arrival.rank >= self.level:
            return [Refuse(arrival.call_key, ErrorKind.OVERLOADED, RETRY_AFTER_S)]
        if self._misses_deadline(arrival, now_s):
            return [Refuse(arrival.call_key, ErrorKind.DEADLINE_TOO_SHORT, 0.0)]
        evicted = self._queue.push(arrival, now_s)
        return [
            *(Refuse(a.call_key, ErrorKind.OVERLOADED, RETRY_AFTER_S) for a in evicted),
            *self._start_waiting(now_s),
        ]

    def finish(
        self, call_key: str, now_s: float, *, is_success: bool
    ) -> list[Decision]:
        """Record the end of a running call and return decisions on waiting calls."""
        running = self._running.get(call_key)
        if running is None:
            return []
        self._meter.count_completion(len(self._running), now_s)
        del self._running[call_key]
        self._protected_running -= running.arrival.is_protected
        if is_success:
            self._service_times.record(
                running.arrival.class_name, call_key, now_s - running.start_s, now_s
            )
        self._end_window(now_s)
        return self._start_waiting(now_s)

    def cancel(self, call_key: str, now_s: float) -> list[Decision]:
        """Remove a cancelled call from the queue; running calls end by `finish`."""
        self._queue.remove(call_key)
        return self._start_waiting(now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse calls that waited too long; to be called about every 50 ms."""
        self._end_window(now_s)
        expired = self._queue.expire(now_s, lambda a: self._misses_deadline(a, now_s))
        return [
            *(
                Refuse(a.call_key, ErrorKind.QUEUE_TIMEOUT, RETRY_AFTER_S)
                for a in expired
            ),
            *self._start_waiting(now_s),
        ]

    def start_draining(self) -> None:
        """Refuse all new calls; waiting and running calls still finish."""
        self._is_draining = True

    def _start_waiting(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self._running) < self.limit and self.rate_limit.may_start(now_s):
            is_reserved = len(self._running) >= self.limit - self._free_reserved_slots()
            arrival = self._queue.pop(now_s, only_protected=is_reserved)
            if arrival is None:
                break
            if self._misses_deadline(arrival, now_s):
                refusal = Refuse(
                    arrival.call_key, ErrorKind.QUEUE_TIMEOUT, RETRY_AFTER_S
                )
                decisions.append(refusal)
                continue
            self._meter.advance(len(self._running), now_s)
            self._running[arrival.call_key] = _Running(arrival, now_s)
            self.rate_limit.record_start(now_s)
            self._protected_running += arrival.is_protected
            decisions.append(Start(arrival.call_key))
        return decisions

    def _record_arrival(self, arrival: Arrival, now_s: float) -> None:
        self._service_times.record_arrival(
            arrival.class_name, arrival.deadline_s - now_s
        )
        self._control.record_arrival(arrival.rank)
        if arrival.is_protected:
            self._max_protected_priority = max(
                self._max_protected_priority, arrival.priority
            )
        else:
            self._min_other_priority = min(self._min_other_priority, arrival.priority)

    def _end_window(self, now_s: float) -> None:
        if now_s - self._meter.start_s < WINDOW_S:
            return
        self._meter.advance(len(self._running), now_s)
        peak = self._meter.peak
        window = self._meter.end_window(self.limit, len(self._queue), now_s)
        # Under a rate limit, the calls that end take a share of the rate, not of slots.
        rate_ratio = window.completed / (self.rate_limit.rate_per_s * window.elapsed_s)
        window = window._replace(busy_ratio=max(window.busy_ratio, rate_ratio))
        self._limit.end_window(peak)
        self._control.end_window(window, self._protected_level())
        if self._control.capacity_per_s:
            capacity = int(self._control.capacity_per_s * MAX_QUEUE_DELAY_S)
            # The minimum never exceeds the limit, so that a small target has no more
            # calls waiting than running: a waiting call holds slots of its callers,
            # which other classes need.
            min_capacity = min(MIN_QUEUE_CAPACITY, self.limit)
            if self.rate_limit.named_per_s is not None:
                # Calls above the rate are better served by another target.
                min_capacity = 1
            capacity = max(min_capacity, capacity)
            self._queue.capacity = min(self._queue_capacity, capacity)

    def _free_reserved_slots(self) -> int:
        """Return the number of free slots that are reserved for protected classes."""
        if self._max_protected_priority < 0:
            return 0
        share = math.ceil(RESERVED_RATIO * self.limit)
        return max(0, share - self._protected_running)

    def _protected_level(self) -> float:
        """Return the lower bound of the level, at which only protected classes pass.

        It is 0 if protected calls use `MAX_PROTECTED_RATIO` of the limit or more.
        """
        if self._protected_running >= MAX_PROTECTED_RATIO * self.limit:
            return 0.0
        return (
            min(self._max_protected_priority + 1, self._min_other_priority)
            / PRIORITY_COUNT
        )

    def _misses_deadline(self, arrival: Arrival, now_s: float) -> bool:
        """Return whether a call that starts now is expected to miss its deadline.

        Trial calls, by which the expectation is checked, are not.
        """
        remaining_s = arrival.deadline_s - now_s
        return remaining_s <= 0 or not self._service_times.may_start(
            arrival.class_name, arrival.call_key, remaining_s, now_s
        )
