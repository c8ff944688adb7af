"""Bounded priority queue of calls that wait for a slot.

It serves the oldest call first, and the newest first once calls wait too long, so
that a target recovers from an overload.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from .rank import PRIORITY_COUNT

__all__ = ["QueuedCall", "WaitingQueue"]

# Wait of the oldest call above which the newest call of a lane is served first. A queue
# that is served oldest first and stays full yields only calls that are about to expire.
NEWEST_FIRST_WAIT_S = 0.1
# A call that has waited this long is unlikely to succeed, and it holds a slot at its
# caller.
MAX_WAIT_S = 0.25


class QueuedCall(Protocol):
    """Attributes of a call that the queue uses; see `Arrival`."""

    call_key: str
    priority: int
    is_protected: bool
    deadline_s: float


class _Entry:
    """A queued call.

    Attributes:
        arrival: The call.
        at_s: Time at which it was queued.
        is_live: False once the call is removed. A removed entry stays in its lane
            until it is at one end of it.
    """

    __slots__ = ("arrival", "at_s", "is_live")

    def __init__(self, arrival: QueuedCall, at_s: float):
        self.arrival = arrival
        self.at_s = at_s
        self.is_live = True


class WaitingQueue:
    """Calls by priority, protected ones first within a priority.

    Each priority has two lanes, one for protected calls and one for the others.
    Within a lane the oldest call is served first. Once the oldest call has waited
    longer than `NEWEST_FIRST_WAIT_S`, the newest is served first.

    Args:
        capacity: Maximum number of waiting calls. It may be changed at any time; a
            change takes effect with the next `push`.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._lanes: tuple[deque[_Entry], ...] = tuple(
            deque() for _ in range(2 * PRIORITY_COUNT)
        )
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)

    def push(self, arrival: QueuedCall, now_s: float) -> list[QueuedCall]:
        """Add a call.

        Returns:
            The calls that are evicted because the queue is full: the oldest ones of
            the least important lane, which is the new call itself if all others are
            more important.
        """
        entry = _Entry(arrival, now_s)
        self._lanes[_lane_index(arrival)].append(entry)
        self._entries[arrival.call_key] = entry
        evicted = []
        while len(self._entries) > self.capacity:
            evicted.append(self._evict())
        return evicted

    def pop(self, now_s: float, *, only_protected: bool = False) -> QueuedCall | None:
        """Remove and return the call to be started next; None if there is none.

        Args:
            now_s: Current time on the monotonic clock.
            only_protected: Whether to consider calls of protected classes only.
        """
        if not self._entries:
            return None
        lanes = self._lanes[::2] if only_protected else self._lanes
        for lane in lanes:
            if not lane:
                continue
            _drop_removed_ends(lane)
            if not lane:
                continue
            is_newest_first = now_s - lane[0].at_s > NEWEST_FIRST_WAIT_S
            entry = lane.pop() if is_newest_first else lane.popleft()
            return self._remove_entry(entry)
        return None

    def remove(self, call_key: str) -> bool:
        """Remove a call; return False if it is not queued."""
        entry = self._entries.get(call_key)
        if entry is None:
            return False
        self._remove_entry(entry)
        _drop_removed_ends(self._lanes[_lane_index(entry.arrival)])
        return True

    def expire(
        self, now_s: float, misses_deadline: Callable[[QueuedCall], bool]
    ) -> list[QueuedCall]:
        """Remove and return the calls that waited too long or would end too late.

        Protected calls expire by their deadline only.

        Args:
            now_s: Current time on the monotonic clock.
            misses_deadline: Returns whether a call that starts now would end after
                its deadline.
        """
        expired = [
            entry
            for entry in self._entries.values()
            if self._is_overdue(entry, now_s) or misses_deadline(entry.arrival)
        ]
        for entry in expired:
            self.remove(entry.arrival.call_key)
        return [entry.arrival for entry in expired]

    def _is_overdue(self, entry: _Entry, now_s: float) -> bool:
        return not entry.arrival.is_protected and now_s - entry.at_s > MAX_WAIT_S

    def _evict(self) -> QueuedCall:
        for lane in reversed(self._lanes):
            _drop_removed_ends(lane)
            if lane:
                return self._remove_entry(lane.popleft())
        raise AssertionError("queue is over its capacity, but all lanes are empty")

    def _remove_entry(self, entry: _Entry) -> QueuedCall:
        entry.is_live = False
        del self._entries[entry.arrival.call_key]
        return entry.arrival


def _lane_index(arrival: QueuedCall) -> int:
    return 2 * arrival.priority + (0 if arrival.is_protected else 1)


def _drop_removed_ends(lane: deque[_Entry]) -> None:
    """Drop removed calls from both ends, so that queued calls are at the ends."""
    while lane and not lane[0].is_live:
        lane.popleft()
    while lane and not lane[-1].is_live:
        lane.pop()
