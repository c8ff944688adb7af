"""Admission of calls to one target: concurrency limit, queue and level."""

from collections import deque
from typing import NamedTuple

from mimosaloom_model import Kind

__all__ = ["Admission", "Arrival", "Decision", "Refuse", "Start"]

RETRY_AFTER_S = 1.0


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
        self._queue_capacity = queue_capacity
        self._queue: deque[Arrival] = deque()
        self._running: dict[str, Arrival] = {}
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
        if arrival.deadline_s <= now_s:
            return [Refuse(arrival.call_key, Kind.DEADLINE_TOO_SHORT, 0.0)]
        if len(self._queue) >= self._queue_capacity:
            return [Refuse(arrival.call_key, Kind.OVERLOADED, RETRY_AFTER_S)]
        self._queue.append(arrival)
        return self._start_waiting(now_s)

    def finish(
        self, call_key: str, now_s: float, *, is_success: bool
    ) -> list[Decision]:
        """Record that a running call has ended; return decisions on waiting ones."""
        self._running.pop(call_key, None)
        return self._start_waiting(now_s)

    def cancel(self, call_key: str, now_s: float) -> list[Decision]:
        """Forget a waiting call whose caller is gone; running ones need `finish`."""
        self._queue = deque(a for a in self._queue if a.call_key != call_key)
        return self._start_waiting(now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse calls that waited too long; call this about every 50 ms."""
        return self._start_waiting(now_s)

    def start_draining(self) -> None:
        """Refuse all new calls; those that wait or run still finish."""
        self._is_draining = True

    def _start_waiting(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._queue and len(self._running) < self.limit:
            arrival = self._queue.popleft()
            if arrival.deadline_s <= now_s:
                decisions.append(Refuse(arrival.call_key, Kind.QUEUE_TIMEOUT, 0.0))
                continue
            self._running[arrival.call_key] = arrival
            decisions.append(Start(arrival.call_key))
        return decisions
