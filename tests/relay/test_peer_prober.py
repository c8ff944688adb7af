"""Tests of the queries to other nodes, with a client that stands in for the network."""

import asyncio
import random

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address, SystemClock
from mimosaloom_relay import Answer, DecisionLog
from mimosaloom_relay.peer_messenger import PeerMessenger
from mimosaloom_relay.peer_prober import PeerProber
from mimosaloom_relay.upstreams import Upstreams

PEER = Address("127.0.0.1", 1)


class FailingClient:
    """Raises an exception at the first request and answers the later ones."""

    def __init__(self):
        self.requests = 0

    async def send(self, address, request, **options):
        """Answer a request."""
        self.requests += 1
        if self.requests == 1:
            raise RuntimeError("the handle is closed")
        return Answer(Response(200, (), b"document"))


def test_configuration_is_fetched_again_after_an_exception():
    """Guards against a node that never again fetches a version from its peers."""

    async def scenario():
        clock, rng = SystemClock(), random.Random(1)
        documents = []
        upstreams = Upstreams("front-1", "z", "front", clock=clock, rng=rng)
        log = DecisionLog(clock, lambda reason: None)
        messenger = PeerMessenger(
            "front-1", FailingClient(), upstreams.peers.records, log, rng=rng
        )
        prober = PeerProber(
            "front-1",
            upstreams,
            messenger,
            lambda name, value: None,
            lambda document, source: documents.append(document),
            lambda: 1,
            rng=rng,
            log=log,
        )
        for _ in range(2):
            prober.fetch_if_newer(2, PEER)
            for _ in range(5):
                await asyncio.sleep(0)
        messenger.tasks.cancel()
        return documents

    loop_errors = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: loop_errors.append(context))
        return await scenario()

    assert asyncio.run(run()) == [b"document"]
