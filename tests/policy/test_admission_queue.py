"""Tests of the waiting queue, compared with a plain list, and of call deadlines."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import ErrorKind
from mimosaloom_policy import Admission, Arrival, Start
from mimosaloom_policy import queue as queue_module
from mimosaloom_policy.queue import MAX_WAIT_S, NEWEST_FIRST_WAIT_S, WaitingQueue

CAPACITY = 5

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(0, 3), st.booleans()),
        st.tuples(st.just("pop"), st.booleans(), st.just(0)),
        st.tuples(st.just("remove"), st.integers(0, 30), st.just(0)),
        st.tuples(st.just("wait"), st.sampled_from([0.01, 0.06, 0.3]), st.just(0)),
        st.tuples(st.just("expire"), st.just(0), st.just(0)),
    ),
    max_size=40,
)


def make_arrival(key, priority=0, is_protected=False, rank=0.1, deadline_s=9.0):
    """Return a call for admission."""
    return Arrival(key, "any", priority, is_protected, rank, deadline_s)


class PlainQueue:
    """Reference queue that searches a list; entries are (arrival, queued at)."""

    def __init__(self):
        self.entries = []

    def lanes(self):
        """Return the occupied lanes, the most important first."""
        return sorted({(a.priority, not a.is_protected) for a, _ in self.entries})

    def lane(self, key):
        """Return the entries of a lane, the oldest first."""
        return [
            e for e in self.entries if (e[0].priority, not e[0].is_protected) == key
        ]

    def push(self, arrival, now_s):
        """Add a call and return the call that is evicted from a full queue."""
        self.entries.append((arrival, now_s))
        if len(self.entries) <= CAPACITY:
            return []
        return [self.remove(self.lane(self.lanes()[-1])[0])]

    def pop(self, now_s, only_protected):
        """Remove and return the next call; None if there is none."""
        for key in self.lanes():
            if key[1] and only_protected:
                continue
            lane = self.lane(key)
            is_newest_first = now_s - lane[0][1] > NEWEST_FIRST_WAIT_S
            return self.remove(lane[-1 if is_newest_first else 0])
        return None

    def remove(self, entry):
        """Remove an entry and return its call."""
        self.entries.remove(entry)
        return entry[0]

    def expire(self, now_s):
        """Remove and return the unprotected calls that waited too long."""
        late = [
            e
            for e in self.entries
            if not e[0].is_protected and now_s - e[1] > MAX_WAIT_S
        ]
        return [self.remove(entry) for entry in late]


def check_against_plain_queue(steps):
    """Run the same steps on both queues and compare every result."""
    queue, plain, now_s = WaitingQueue(CAPACITY), PlainQueue(), 0.0
    for number, (name, first, second) in enumerate(steps):
        if name == "push":
            arrival = make_arrival(str(number), first, second)
            assert queue.push(arrival, now_s) == plain.push(arrival, now_s)
        elif name == "pop":
            popped = queue.pop(now_s, only_protected=first)
            assert popped == plain.pop(now_s, first)
        elif name == "remove":
            entry = [e for e in plain.entries if e[0].call_key == str(first)]
            assert queue.remove(str(first)) == bool(entry)
            plain.entries = [e for e in plain.entries if e not in entry]
        elif name == "expire":
            assert queue.expire(now_s, lambda a: False) == plain.expire(now_s)
        else:
            now_s += first
        assert len(queue) == len(plain.entries)


@given(STEPS)
def test_queue_matches_plain_list(steps):
    """Guards against lost, repeated or reordered calls after removals from a lane."""
    check_against_plain_queue(steps)


BROKEN_STEPS = [
    ("push", 1, False),
    ("push", 1, False),
    ("push", 1, False),
    ("remove", 0, 0),
    ("remove", 2, 0),
    ("pop", False, 0),
]


def test_comparison_finds_a_queue_that_forgets_removals(monkeypatch):
    """Verifies that the comparison rejects a queue that keeps removed calls."""
    check_against_plain_queue(BROKEN_STEPS)
    monkeypatch.setattr(queue_module, "_drop_removed_ends", lambda lane: None)
    with pytest.raises((AssertionError, KeyError)):
        check_against_plain_queue(BROKEN_STEPS)


def test_call_that_cannot_finish_is_refused_before_it_starts():
    """Guards against slots spent on calls that would end after their deadline."""
    admission = Admission(1, 0.0)
    assert admission.offer(make_arrival("a"), 0.0) == [Start("a")]
    admission.finish("a", 0.5, is_success=True)
    refused = admission.offer(make_arrival("b", deadline_s=0.9), 0.5)
    assert [r.kind for r in refused] == [ErrorKind.DEADLINE_TOO_SHORT]
    assert admission.offer(make_arrival("c", deadline_s=1.2), 0.5) == [Start("c")]


def test_waiting_call_that_would_miss_its_deadline_is_refused():
    """Guards against a queue that starts expired calls after an overload."""
    admission = Admission(1, 0.0)
    admission.offer(make_arrival("a"), 0.0)
    assert admission.offer(make_arrival("b", deadline_s=0.2), 0.0) == []
    decisions = admission.finish("a", 0.3, is_success=True)
    assert [(d.call_key, d.kind) for d in decisions] == [("b", ErrorKind.QUEUE_TIMEOUT)]
    assert (admission.in_flight, admission.queued) == (0, 0)
