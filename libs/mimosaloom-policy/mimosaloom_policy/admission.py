"""Admission of calls to one target: concurrency limit, queue and level."""

import math
from typing import NamedTuple

from mimosaloom_model import Kind

from .limiter import ConcurrencyLimit
from .queue import WaitingQueue
from .rank import PRIORITY_COUNT
from .shedding import WINDOW_S, LevelControl, Window

__all__ = ["Admission", "Arrival", "Decision", "Refuse", "Start"]

RETRY_AFTER_S = 1.0
SERVICE_TIME_SMOOTHING = 0.1
# Calls of protected classes in flight count towards the share, so that it leaves
# slots unused only where protected calls are rare.
RESERVED_RATIO = 0.03
PROTECTED_FIT_RATIO = 0.9
# Calls that wait hold slots of their callers, up to the entry service.
MAX_QUEUE_S = 0.07
MIN_QUEUE_CAPACITY = 8


class Arrival(NamedTuple):
    """A call that asks to be run.

    Attributes:
        call_key: Unique for the attempt.
        class_name: Request class.
        priority: Priority of the class, 0 first.
        is_protected: Whether the class has a reserved share of the slots.
        rank: Rank of the request, see `rank_request`.
        deadline_s: Latest useful end, on the monotonic clock.
        depth: Hops from the root. The level refuses roots only; deeper calls belong
            to requests that were admitted, and only a full queue refuses them.
    """

    call_key: str
    class_name: str
    priority: int
    is_protected: bool
    rank: float
    deadline_s: float
    depth: int = 0


class Start(NamedTuple):
    """The call is to be run now."""

    call_key: str


class Refuse(NamedTuple):
    """The call is refused; no part of it ran."""

    call_key: str
    kind: Kind
    retry_after_s: float


Decision = Start | Refuse


class _Running(NamedTuple):
    arrival: Arrival
    start_s: float


class _Meter:
    """Measures the calls in flight and the calls done in a window."""

    def __init__(self, now_s: float):
        self.start_s = now_s
        self._at_s = now_s
        self._busy_s = 0.0
        self._done = 0
        self.peak = 0

    def advance(self, in_flight: int, now_s: float) -> None:
        """Add the time since the last change of the calls in flight."""
        self.peak = max(self.peak, in_flight)
        self._busy_s += in_flight * (now_s - self._at_s)
        self._at_s = now_s

    def count_done(self, in_flight: int, now_s: float) -> None:
        """Record that one of the calls in flight ends."""
        self.advance(in_flight, now_s)
        self._done += 1

    def take(self, limit: int, queued: int, now_s: float) -> Window:
        """End the window and start the next."""
        elapsed_s = now_s - self.start_s
        busy_ratio = self._busy_s / (limit * elapsed_s)
        window = Window(elapsed_s, self._done, busy_ratio, queued)
        self.start_s, self._busy_s, self._done, self.peak = now_s, 0.0, 0, 0
        return window


class Admission:
    """Decides which calls run on one target, and when.

    Args:
        slots: Declared concurrency of the target; the start and the upper bound of
            the limit.
        now_s: Current time on the monotonic clock.
        queue_capacity: Calls that may wait.
    """

    def __init__(self, slots: int, now_s: float, *, queue_capacity: int = 256):
        self._limit = ConcurrencyLimit(slots)
        self._queue_capacity = queue_capacity
        # The speed of the target is not known yet; the longest wait bounds the queue.
        self._queue = WaitingQueue(queue_capacity)
        self._running: dict[str, _Running] = {}
        self._service_s: dict[str, float] = {}
        self._is_draining = False
        self._control = LevelControl()
        self._meter = _Meter(now_s)
        self._protected_running = 0
        self._highest_protected = -1
        self._lowest_other = PRIORITY_COUNT

    @property
    def limit(self) -> int:
        """Calls that may run at once now."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Calls that run now."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def level(self) -> float:
        """Calls whose rank is below this number are admitted; 1 admits all.

        A draining target admits none.
        """
        return 0.0 if self._is_draining else self._control.level

    def offer(self, arrival: Arrival, now_s: float) -> list[Decision]:
        """Take in a call.

        Returns:
            Decisions on this call and on others that it displaces. A call for which
            there is no decision waits in the queue.
        """
        self._end_window(now_s)
        if self._is_draining:
            return [Refuse(arrival.call_key, Kind.DRAINING, 0.0)]
        self._note_arrival(arrival)
        if arrival.depth == 0 and arrival.rank >= self.level:
            return [Refuse(arrival.call_key, Kind.OVERLOADED, RETRY_AFTER_S)]
        if self._is_hopeless(arrival, now_s):
            return [Refuse(arrival.call_key, Kind.DEADLINE_TOO_SHORT, 0.0)]
        displaced = self._queue.push(arrival, now_s)
        return [
            *(Refuse(a.call_key, Kind.OVERLOADED, RETRY_AFTER_S) for a in displaced),
            *self._start_waiting(now_s),
        ]

    def finish(
        self, call_key: str, now_s: float, *, is_success: bool
    ) -> list[Decision]:
        """Record that a running call has ended; return decisions on waiting ones."""
        running = self._running.get(call_key)
        if running is None:
            return []
        self._meter.count_done(len(self._running), now_s)
        del self._running[call_key]
        self._protected_running -= running.arrival.is_protected
        if is_success:
            self._learn_service_time(running, now_s)
        self._end_window(now_s)
        return self._start_waiting(now_s)

    def cancel(self, call_key: str, now_s: float) -> list[Decision]:
        """Forget a waiting call whose caller is gone; running ones need `finish`."""
        self._queue.remove(call_key)
        return self._start_waiting(now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse calls that waited too long; call this about every 50 ms."""
        self._end_window(now_s)
        expired = self._queue.expire(now_s, lambda a: self._is_hopeless(a, now_s))
        return [
            *(Refuse(a.call_key, Kind.QUEUE_TIMEOUT, RETRY_AFTER_S) for a in expired),
            *self._start_waiting(now_s),
        ]

    def start_draining(self) -> None:
        """Refuse all new calls; those that wait or run still finish."""
        self._is_draining = True

    def _start_waiting(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self._running) < self.limit:
            is_reserved = len(self._running) >= self.limit - self._reserved()
            arrival = self._queue.pop(now_s, only_protected=is_reserved)
            if arrival is None:
                break
            if self._is_hopeless(arrival, now_s):
                refusal = Refuse(arrival.call_key, Kind.QUEUE_TIMEOUT, RETRY_AFTER_S)
                decisions.append(refusal)
                continue
            self._meter.advance(len(self._running), now_s)
            self._running[arrival.call_key] = _Running(arrival, now_s)
            self._protected_running += arrival.is_protected
            decisions.append(Start(arrival.call_key))
        return decisions

    def _note_arrival(self, arrival: Arrival) -> None:
        self._control.record_arrival(arrival.rank)
        if arrival.is_protected:
            self._highest_protected = max(self._highest_protected, arrival.priority)
        else:
            self._lowest_other = min(self._lowest_other, arrival.priority)

    def _end_window(self, now_s: float) -> None:
        if now_s - self._meter.start_s < WINDOW_S:
            return
        self._meter.advance(len(self._running), now_s)
        peak = self._meter.peak
        window = self._meter.take(self.limit, len(self._queue), now_s)
        self._limit.end_window(peak)
        self._control.end_window(window, self._protected_floor())
        if self._control.capacity_per_s:
            fitting = int(self._control.capacity_per_s * MAX_QUEUE_S)
            # A small target never has more calls waiting than running: those that wait
            # hold slots of their callers, which other classes need.
            places = min(MIN_QUEUE_CAPACITY, self.limit)
            fitting = max(places, fitting)
            self._queue.capacity = min(self._queue_capacity, fitting)

    def _reserved(self) -> int:
        """Return the free slots that are kept for protected classes."""
        if self._highest_protected < 0:
            return 0
        share = math.ceil(RESERVED_RATIO * self.limit)
        return max(0, share - self._protected_running)

    def _protected_floor(self) -> float:
        """Return the level under which only protected classes lie, if they fit."""
        if self._protected_running >= PROTECTED_FIT_RATIO * self.limit:
            return 0.0
        return min(self._highest_protected + 1, self._lowest_other) / PRIORITY_COUNT

    def _is_hopeless(self, arrival: Arrival, now_s: float) -> bool:
        """Tell whether a call that starts now would end after its deadline."""
        service_s = self._service_s.get(arrival.class_name, 0.0)
        return now_s + service_s >= arrival.deadline_s

    def _learn_service_time(self, running: _Running, now_s: float) -> None:
        name = running.arrival.class_name
        elapsed_s = now_s - running.start_s
        known_s = self._service_s.get(name, elapsed_s)
        self._service_s[name] = known_s + SERVICE_TIME_SMOOTHING * (elapsed_s - known_s)
