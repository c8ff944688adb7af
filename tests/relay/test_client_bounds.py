"""Bounds on what all clients together may take, without a network."""

import tracemalloc
from typing import NamedTuple

import pytest

from mimosaloom_relay.bodies import Body
from mimosaloom_relay.client_bounds import (
    PARTS_BURST_S,
    PARTS_PER_S,
    ParsingPace,
    choose_backlog,
    choose_dispensable,
    choose_max_connections,
    choose_max_overlapping,
    choose_received_bytes,
)


class FakeClock:
    """A clock that the test advances."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic_s(self):
        """Return the time."""
        return self.now_s


class FakeConnection(NamedTuple):
    """A connection of a client."""

    name: str
    is_awaiting_client: bool = True
    has_served: bool = False
    stalled_s: float = 0.0


def test_connection_that_never_sent_a_request_closes_first():
    """Guards against ordinary callers whose idle connections close for a crowd."""
    newest = FakeConnection("newest")
    connections = [
        FakeConnection("running", is_awaiting_client=False, stalled_s=9),
        FakeConnection("kept", has_served=True, stalled_s=8),
        FakeConnection("fresh", stalled_s=1),
        FakeConnection("silent", stalled_s=3),
        newest,
    ]
    closed = []
    while len(connections) > 1:
        found = choose_dispensable(connections, newest)
        connections.remove(found)
        closed.append(found.name)
    assert closed == ["silent", "fresh", "kept", "newest"]


def test_connections_fit_beside_those_to_nodes_and_targets():
    """Guards against clients that take all descriptors of a node."""
    for max_sockets in (400, 3900):
        accepted = choose_max_connections(10**9, max_sockets)
        accepted += choose_backlog(max_sockets)
        assert accepted + accepted // 2 <= max_sockets
    assert choose_max_connections(128 * 10**6, 3900) == 488


def test_many_short_parts_get_a_bounded_pace():
    """Guards against chunks of one byte that take all time of a node."""
    clock = FakeClock()
    pace = ParsingPace(clock)
    ends_s = [clock.now_s + pace.delay_s(1000) for _ in range(1000)]
    assert ends_s[-1] - clock.now_s == pytest.approx(
        1_000_000 / PARTS_PER_S - PARTS_BURST_S
    )
    assert ends_s == sorted(ends_s)


def test_single_request_of_many_short_parts_is_not_delayed():
    """Guards against a single odd request that is served late in calm."""
    clock = FakeClock()
    pace = ParsingPace(clock)
    for _ in range(3):
        assert pace.delay_s(100_000) == pace.delay_s(100_000) == 0
        assert pace.delay_s(100_000) > 0
        clock.now_s += 10


def test_short_pieces_take_little_more_than_their_bytes():
    """Guards against a body of single bytes that takes 50 times its size."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    body = Body(lambda: None, lambda: None)
    for number in range(200_000):
        body.feed(b"%d" % (number % 10))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held - before < 2 * 200_000
    body.finish()
    assert body.take_buffered() == b"0123456789" * 20_000


def test_short_and_long_pieces_keep_their_order():
    """Guards against pieces that are joined in another order than they arrived."""
    body = Body(lambda: None, lambda: None)
    pieces = [b"a", b"b" * 600, b"c", b"d", b"e" * 20_000, b"f", b"g" * 511, b"h"]
    for piece in pieces:
        body.feed(piece)
    assert body.peek(602) == b"a" + b"b" * 600 + b"c"
    body.finish()
    assert body.take_buffered() == b"".join(pieces)


def test_bounds_follow_the_settings_of_the_process():
    """Guards against bounds that a small instance can't hold."""
    assert choose_received_bytes(128 * 10**6) == 16 * 10**6
    assert choose_max_overlapping(128 * 10**6, 3900) == 625
    assert choose_max_overlapping(10**12, 400) == 100
