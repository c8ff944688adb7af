"""Order of the requests of one connection, and the bounds on running them at once.

A client may send further requests before the first is answered. Answers are written in
the order of the requests, so one that is finished early is held until its turn.
"""

import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from .answer_sizes import ByteBudget

__all__ = ["MAX_HELD_BYTES", "MAX_OVERLAPPING", "MAX_WAITING", "Pipeline"]

# Requests of one connection that are started and not yet answered.
MAX_OVERLAPPING = 64
# Bytes that the unanswered requests of one connection hold, in bodies of requests and
# in answers, expected or finished. The answer that is written next does not count.
MAX_HELD_BYTES = 1 << 20
# Requests of one connection that are read but not started.
MAX_WAITING = 64

_T = TypeVar("_T", bound=Hashable)


class Pipeline(Generic[_T]):
    """Requests of one connection in the order in which they were read.

    A request waits, is started, and leaves when its answer has been written. One that
    may not overlap runs alone.

    Args:
        may_overlap: Returns whether a request may run beside others that may. It is
            called only for connections with more than one request.
        expect_answer_bytes: Returns how many bytes the answer to a request may hold;
            called only for requests that are to run beside others.
        budget: Bytes and started requests of all connections together.

    Attributes:
        is_stopped: Whether no more requests are started.
        held_bytes: Bytes that the started requests hold.
    """

    def __init__(
        self,
        may_overlap: Callable[[_T], bool],
        expect_answer_bytes: Callable[[_T], int] = lambda request: 0,
        budget: ByteBudget | None = None,
    ):
        self.is_stopped = False
        self.held_bytes = 0
        self._may_overlap = may_overlap
        self._expect_answer_bytes = expect_answer_bytes
        self._budget = ByteBudget(math.inf) if budget is None else budget
        # Requests in order, with the bytes that each holds.
        self._started: dict[_T, int] = {}
        self._waiting: dict[_T, int] = {}
        self._waiting_bytes = 0

    def __contains__(self, request: _T) -> bool:
        """Return whether a request waits or is started."""
        return request in self._started or request in self._waiting

    @property
    def is_idle(self) -> bool:
        """Whether all requests that were read are answered."""
        return not self._started and not self._waiting

    @property
    def has_waiting(self) -> bool:
        """Whether requests were read and are not started."""
        return bool(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no more requests are to be read."""
        return len(self._waiting) >= MAX_WAITING or self._waiting_bytes > MAX_HELD_BYTES

    @property
    def first_started(self) -> _T | None:
        """The request that is answered next; None if none is started."""
        return next(iter(self._started), None)

    @property
    def last_started(self) -> _T | None:
        """The request that was started last; None if all of them are answered."""
        return next(reversed(self._started), None)

    @property
    def overlapping_count(self) -> int:
        """Number of requests that were started before the one in front is answered."""
        return max(0, len(self._started) - 1)

    def add(self, request: _T, size_bytes: int) -> None:
        """Add a request that was read, whose body holds some bytes."""
        self._waiting[request] = size_bytes
        self._waiting_bytes += size_bytes

    def start_next(self) -> _T | None:
        """Mark the next request as started and return it; None if it has to wait."""
        request = next(iter(self._waiting), None)
        if request is None or self.is_stopped:
            return None
        reserved_bytes = self._waiting[request]
        if self._started:
            reserved_bytes += self._expect_answer_bytes(request)
            if not self._fits_beside_started(request, reserved_bytes):
                return None
        self._waiting_bytes -= self._waiting.pop(request)
        self._started[request] = reserved_bytes
        self._budget.used_requests += 1
        self._count_held(reserved_bytes)
        return request

    def hold_answer(self, request: _T, size_bytes: int) -> None:
        """Count the bytes of a finished answer, in place of those reserved for it."""
        self._count_held(size_bytes - self._started[request])
        self._started[request] = size_bytes

    def remove(self, request: _T) -> None:
        """Remove a request that is answered, or that gets no answer."""
        if request in self._started:
            self._budget.used_requests -= 1
        self._count_held(-self._started.pop(request, 0))
        self._waiting_bytes -= self._waiting.pop(request, 0)

    def stop_starting(self) -> list[_T]:
        """Start no more requests; remove and return those that wait."""
        self.is_stopped = True
        return self.drop_waiting()

    def drop_waiting(self) -> list[_T]:
        """Remove and return the requests that wait."""
        waiting = list(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0
        return waiting

    def clear(self) -> list[_T]:
        """Remove all requests and return those that are started."""
        started = list(self._started)
        self._budget.used_requests -= len(started)
        self._started.clear()
        self._waiting.clear()
        self._waiting_bytes = 0
        self._count_held(-self.held_bytes)
        return started

    def _count_held(self, change_bytes: int) -> None:
        self.held_bytes += change_bytes
        self._budget.used_bytes += change_bytes

    def _fits_beside_started(self, request: _T, reserved_bytes: int) -> bool:
        return (
            len(self._started) < MAX_OVERLAPPING
            and self.held_bytes + reserved_bytes <= MAX_HELD_BYTES
            and self._budget.has_room(reserved_bytes)
            and self._may_overlap(request)
            and self._may_overlap(self.last_started)
        )
