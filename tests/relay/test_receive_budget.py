"""Which connections are closed when all of them hold too much memory."""

import pytest

from mimosaloom_relay.receive_budget import ORDINARY_BYTES, ReceiveBudget

LIMIT_BYTES = 1_000_000


class FakeConnection:
    """A connection that holds one request.

    Attributes:
        is_started: Whether the request is started, so that eviction frees nothing.
        is_evicted: Whether it was closed.
    """

    def __init__(self, budget, held_bytes, is_started=False):
        self.is_started = is_started
        self.is_evicted = False
        self._budget = budget
        self._held_bytes = held_bytes
        budget.update(self, held_bytes)

    @property
    def evictable_bytes(self):
        """Memory that eviction frees."""
        return 0 if self.is_started or self.is_evicted else self._held_bytes

    def evict(self):
        """Free the memory."""
        self.is_evicted = True
        self._budget.update(self, 0)


@pytest.fixture
def budget():
    """Return a budget without holders."""
    return ReceiveBudget(LIMIT_BYTES)


def test_ordinary_requests_are_outside_the_budget(budget):
    """Guards against ordinary callers that a crowd of others pushes out."""
    ordinary = [FakeConnection(budget, ORDINARY_BYTES) for _ in range(1000)]
    large = [FakeConnection(budget, 200_000) for _ in range(20)]
    budget.make_room()
    assert not any(connection.is_evicted for connection in ordinary)
    assert any(connection.is_evicted for connection in large)
    assert not budget.is_exceeded


def test_largest_holders_are_closed_first(budget):
    """Guards against uploads that are closed before the requests that fill memory."""
    upload = FakeConnection(budget, 100_000)
    crowd = [FakeConnection(budget, 250_000) for _ in range(10)]
    budget.make_room()
    assert not upload.is_evicted
    assert sum(not connection.is_evicted for connection in crowd) == 3


def test_started_requests_are_kept(budget):
    """Guards against requests that are cut off after they have begun to run."""
    started = [FakeConnection(budget, 400_000, is_started=True) for _ in range(4)]
    waiting = FakeConnection(budget, 50_000)
    budget.make_room()
    assert waiting.is_evicted
    assert not any(connection.is_evicted for connection in started)
    assert budget.is_exceeded


def test_complete_request_replaces_only_larger_ones(budget):
    """Guards against a large request that pushes out smaller uploads."""
    smaller = FakeConnection(budget, 100_000)
    larger = FakeConnection(budget, 900_000)
    complete = FakeConnection(budget, 300_000)
    budget.make_room(spared=complete, least_bytes=300_000)
    assert larger.is_evicted
    assert not smaller.is_evicted
    FakeConnection(budget, 800_000, is_started=True)
    budget.make_room(spared=complete, least_bytes=300_000)
    assert not smaller.is_evicted
    assert budget.is_exceeded


def test_memory_is_counted_as_it_changes(budget):
    """Guards against a budget that fills up with requests that have ended."""
    connection = FakeConnection(budget, 500_000)
    budget.update(connection, 300_000)
    assert budget.used_bytes == 300_000 - ORDINARY_BYTES
    budget.update(connection, ORDINARY_BYTES)
    assert budget.used_bytes == 0
