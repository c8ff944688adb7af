"""Bounded queue of calls that wait for a slot, with a discipline for recovery."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from .rank import PRIORITY_COUNT

__all__ = ["Waiting", "WaitingQueue"]

# A queue that is served oldest first and stays full hands out only calls that are
# about to expire; over this wait the newest call of a lane is served first.
NEWEST_FIRST_WAIT_S = 0.1
# A call that waited this long holds a slot at its caller for too little hope.
MAX_WAIT_S = 0.25


class Waiting(Protocol):
    """What the queue needs to know of a call."""

    call_key: str
    priority: int
    is_protected: bool
    deadline_s: float


class _Entry:
    __slots__ = ("arrival", "at_s", "is_live")

    def __init__(self, arrival: Waiting, at_s: float):
        self.arrival = arrival
        self.at_s = at_s
        self.is_live = True


class WaitingQueue:
    """Calls by priority, protected ones first within a priority.

    Within a lane the oldest call is served first, until it has waited longer than
    `NEWEST_FIRST_WAIT_S`; from then on the newest.

    Args:
        capacity: Calls that may wait. It may be changed at any time; it takes
            effect with the next call.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._lanes: tuple[deque[_Entry], ...] = tuple(
            deque() for _ in range(2 * PRIORITY_COUNT)
        )
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return len(self._entries)

    def push(self, arrival: Waiting, now_s: float) -> list[Waiting]:
        """Add a call.

        Returns:
            The calls that have to leave because the queue is full: the oldest of
            the least important lane, which is the new call itself if all others
            are more important.
        """
        entry = _Entry(arrival, now_s)
        self._lanes[_lane(arrival)].append(entry)
        self._entries[arrival.call_key] = entry
        displaced = []
        while len(self._entries) > self.capacity:
            displaced.append(self._displace())
        return displaced

    def pop(self, now_s: float, *, only_protected: bool = False) -> Waiting | None:
        """Take out the call to be started next, or None.

        Args:
            now_s: Current time on the monotonic clock.
            only_protected: Whether to look at protected classes only.
        """
        lanes = self._lanes[::2] if only_protected else self._lanes
        for lane in lanes:
            _trim(lane)
            if not lane:
                continue
            is_late = now_s - lane[0].at_s > NEWEST_FIRST_WAIT_S
            entry = lane.pop() if is_late else lane.popleft()
            return self._forget(entry)
        return None

    def remove(self, call_key: str) -> bool:
        """Take out a call whose caller is gone; False if it does not wait."""
        entry = self._entries.get(call_key)
        if entry is None:
            return False
        self._forget(entry)
        _trim(self._lanes[_lane(entry.arrival)])
        return True

    def expire(
        self, now_s: float, is_hopeless: Callable[[Waiting], bool]
    ) -> list[Waiting]:
        """Take out the calls that waited too long or can't finish any more.

        Args:
            now_s: Current time on the monotonic clock.
            is_hopeless: Tells whether a call can't finish before its deadline.
        """
        expired = [
            entry
            for entry in self._entries.values()
            if self._has_waited_out(entry, now_s) or is_hopeless(entry.arrival)
        ]
        for entry in expired:
            self.remove(entry.arrival.call_key)
        return [entry.arrival for entry in expired]

    def _has_waited_out(self, entry: _Entry, now_s: float) -> bool:
        return not entry.arrival.is_protected and now_s - entry.at_s > MAX_WAIT_S

    def _displace(self) -> Waiting:
        for lane in reversed(self._lanes):
            _trim(lane)
            if lane:
                return self._forget(lane.popleft())
        raise AssertionError("a full queue has a call in some lane")

    def _forget(self, entry: _Entry) -> Waiting:
        entry.is_live = False
        del self._entries[entry.arrival.call_key]
        return entry.arrival


def _lane(arrival: Waiting) -> int:
    return 2 * arrival.priority + (0 if arrival.is_protected else 1)


def _trim(lane: deque[_Entry]) -> None:
    """Drop removed calls at both ends, so that the ends are calls that wait."""
    while lane and not lane[0].is_live:
        lane.popleft()
    while lane and not lane[-1].is_live:
        lane.pop()
