"""Admission of calls to one target: concurrency limit, queue and level."""

from typing import NamedTuple

from mimosaloom_model import Kind

from .queue import WaitingQueue

__all__ = ["Admission", "Arrival", "Decision", "Refuse", "Start"]

RETRY_AFTER_S = 1.0
SERVICE_TIME_SMOOTHING = 0.1


class Arrival(NamedTuple):
    """A call that asks to be run.

    Attributes:
        call_key: Unique for the attempt.
        class_name: Request class.
        priority: Priority of the class, 0 first.
        is_protected: Whether the class has a reserved share of the slots.
        rank: Rank of the request, see `rank_request`.
        deadline_s: Latest useful end, on the monotonic clock.
    """

    call_key: str
    class_name: str
    priority: int
    is_protected: bool
    rank: float
    deadline_s: float


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


class Admission:
    """Decides which calls run on one target, and when.

    Args:
        slots: Declared concurrency of the target; the start and the upper bound of
            the limit.
        now_s: Current time on the monotonic clock.
        queue_capacity: Calls that may wait.
    """

    def __init__(self, slots: int, now_s: float, *, queue_capacity: int = 256):
        self._slots = slots
        self._queue = WaitingQueue(queue_capacity)
        self._running: dict[str, _Running] = {}
        self._service_s: dict[str, float] = {}
        self._is_draining = False

    @property
    def limit(self) -> int:
        """Calls that may run at once now."""
        return self._slots

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
        """Calls whose rank is below this number are admitted; 1 admits all."""
        return 1.0

    def offer(self, arrival: Arrival, now_s: float) -> list[Decision]:
        """Take in a call.

        Returns:
            Decisions on this call and on others that it displaces. A call for which
            there is no decision waits in the queue.
        """
        if self._is_draining:
            return [Refuse(arrival.call_key, Kind.DRAINING, 0.0)]
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
        running = self._running.pop(call_key, None)
        if running is not None and is_success:
            self._learn_service_time(running, now_s)
        return self._start_waiting(now_s)

    def cancel(self, call_key: str, now_s: float) -> list[Decision]:
        """Forget a waiting call whose caller is gone; running ones need `finish`."""
        self._queue.remove(call_key)
        return self._start_waiting(now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse calls that waited too long; call this about every 50 ms."""
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
            arrival = self._queue.pop(now_s)
            if arrival is None:
                break
            if self._is_hopeless(arrival, now_s):
                refusal = Refuse(arrival.call_key, Kind.QUEUE_TIMEOUT, RETRY_AFTER_S)
                decisions.append(refusal)
                continue
            self._running[arrival.call_key] = _Running(arrival, now_s)
            decisions.append(Start(arrival.call_key))
        return decisions

    def _is_hopeless(self, arrival: Arrival, now_s: float) -> bool:
        """Tell whether a call that starts now would end after its deadline."""
        service_s = self._service_s.get(arrival.class_name, 0.0)
        return now_s + service_s >= arrival.deadline_s

    def _learn_service_time(self, running: _Running, now_s: float) -> None:
        name = running.arrival.class_name
        elapsed_s = now_s - running.start_s
        known_s = self._service_s.get(name, elapsed_s)
        self._service_s[name] = known_s + SERVICE_TIME_SMOOTHING * (elapsed_s - known_s)
