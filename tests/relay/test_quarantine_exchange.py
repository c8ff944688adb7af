"""Tests of how nodes tell each other which requests are suspected."""

import asyncio
import random

import msgspec
import pytest

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address, SystemClock
from mimosaloom_policy import ENDS_BEFORE_HOLD, Quarantine
from mimosaloom_relay import Answer, DecisionLog, RelayMetrics
from mimosaloom_relay.peer_messenger import PeerMessenger
from mimosaloom_relay.peers import PeerRecord
from mimosaloom_relay.quarantine_exchange import QuarantineExchange

OK = Answer(Response(200, ()))


class FakeNetwork:
    """Delivers messages between the exchanges of a test, except to those cut off."""

    def __init__(self, count, seed=1):
        rng = random.Random(seed)
        self.cut_off = set()
        self.sent = 0
        self.records = [
            PeerRecord(f"n-{i}", "127.0.0.1", i, "z", "s", "i", "t", 1, True)
            for i in range(count)
        ]
        self.exchanges = {i: self._build(i, rng) for i in range(count)}

    def _build(self, number, rng):
        clock, metrics = SystemClock(), RelayMetrics()
        log = DecisionLog(clock, metrics.count_dropped_line)
        messenger = PeerMessenger(
            f"n-{number}", self, lambda: self.records, log, rng=rng
        )
        return QuarantineExchange(
            Quarantine(rng),
            messenger,
            clock=clock,
            log=log,
            metrics=metrics,
        )

    async def send(self, address, request, *, needs_fresh_connection):
        """Deliver a message as `HttpClient` does."""
        self.sent += 1
        if address.port in self.cut_off:
            await asyncio.Event().wait()
        exchange = self.exchanges[address.port]
        if request.method == "GET":
            return Answer(Response(200, (), exchange.build_news()))
        is_read = exchange.apply_news(request.body)
        return Answer(Response(204 if is_read else 400, ()))

    def holding(self, key):
        """Return the numbers of the nodes that hold back a request."""
        return {
            number
            for number, exchange in self.exchanges.items()
            if exchange.table.count_ends(key) >= ENDS_BEFORE_HOLD
        }


def end_three_targets(network, key):
    """End targets under a request at three nodes."""
    for number in range(ENDS_BEFORE_HOLD):
        network.exchanges[number].report_end(f"t-{number}", [key])


async def settle():
    """Wait until all news has been passed on."""
    await asyncio.sleep(0.3)


@pytest.mark.parametrize("count", [4, 15, 60])
def test_ends_seen_at_several_nodes_hold_a_request_back_at_all(count):
    """Guards against nodes that each allow a number of ends of their own."""

    async def run():
        network = FakeNetwork(count)
        end_three_targets(network, "bad")
        await settle()
        assert network.holding("bad") == set(range(count))

    asyncio.run(run())


def test_answer_at_one_node_releases_a_request_at_all():
    """Guards against a request that stays held back where it is not answered."""

    async def run():
        network = FakeNetwork(15)
        end_three_targets(network, "a")
        await settle()
        network.exchanges[14].report_answer("a", OK)
        await settle()
        assert network.holding("a") == set()

    asyncio.run(run())


def test_node_that_has_answered_a_request_tells_those_that_have_not():
    """Guards against a popular request that is held back at nodes with few calls."""

    async def run():
        network = FakeNetwork(15)
        for number in range(5, 15):
            network.exchanges[number].report_answer("popular", OK)
        end_three_targets(network, "popular")
        await settle()
        assert network.holding("popular") == set()

    asyncio.run(run())


def test_answer_at_the_deadline_does_not_release_a_request():
    """Guards against release because a target was stopped before its end."""

    async def run():
        network = FakeNetwork(4)
        end_three_targets(network, "bad")
        await settle()
        network.exchanges[0].report_answer("bad", Answer(Response(504, ())))
        await settle()
        assert network.holding("bad") == {0, 1, 2, 3}

    asyncio.run(run())


def test_node_that_was_cut_off_learns_what_is_held_back_by_the_digest():
    """Guards against a node that has missed the news and lets a request through."""

    async def run():
        network = FakeNetwork(15)
        network.cut_off = {14}
        end_three_targets(network, "bad")
        await settle()
        assert 14 not in network.holding("bad")
        network.cut_off = set()
        digest = network.exchanges[3].table.digest
        late = network.exchanges[14]
        sent = network.sent
        for _ in range(50):
            late.compare_digest(digest, Address("127.0.0.1", 3))
        assert network.sent <= sent + 1
        await settle()
        assert 14 in network.holding("bad")
        assert late.table.digest == digest

    asyncio.run(run())


def test_message_that_can_not_be_read_changes_nothing():
    """Guards against a crash because of what another node sends."""

    async def run():
        network = FakeNetwork(2)
        exchange = network.exchanges[0]
        for message in (b"", b"[]", b'{"ends":{"t":3}}', b"\xff", b'{"cleared":"a"}'):
            assert not exchange.apply_news(message)
        assert exchange.apply_news(msgspec.json.encode({"new_field": 1}))
        assert exchange.table.digest == 0

    asyncio.run(run())
