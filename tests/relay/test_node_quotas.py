"""Tests of how a node applies the quotas of its configuration."""

import asyncio
import random

import msgspec

from mimosaloom_mesh.messages import Request
from mimosaloom_model import Address, SystemClock
from mimosaloom_policy import Quota
from mimosaloom_relay import (
    Configuration,
    HeaderNames,
    Incoming,
    Limits,
    Listeners,
    RelayMetrics,
    RelayNode,
    RelaySettings,
    SharedRetryBudget,
)
from mimosaloom_relay.organisations import (
    Organisation,
    OrganisationDirectory,
    digest_key,
)
from mimosaloom_relay.quota_exchange import QUOTA_PATH

NOWHERE = Address("127.0.0.1", 0)
DIRECTORY = OrganisationDirectory(
    {
        digest_key("k1"): Organisation("with", quota=Quota(5.0)),
        digest_key("k2"): Organisation("without"),
    }
)


def build_node(directory):
    """Return a node that reads any document as one configuration."""
    configuration = Configuration(1, {}, {}, Limits(), b"x", directory)
    settings = RelaySettings(
        "n",
        "z",
        "s",
        NOWHERE,
        Listeners(*[NOWHERE] * 5),
        SharedRetryBudget(0.2, 10.0, 10.0),
        6.0,
    )
    names = HeaderNames(**dict.fromkeys(HeaderNames._fields, "x-unused"))
    return RelayNode(
        settings,
        names,
        "i",
        lambda document: configuration,
        clock=SystemClock(),
        rng=random.Random(1),
        metrics=RelayMetrics(),
    )


def count_tasks(node):
    """Return the number of tasks that send messages."""
    return len(node.messenger.tasks._tasks)


def test_quotas_of_the_configuration_apply_to_their_organisations():
    """Guards against quotas that are read and never applied."""

    async def run():
        node = build_node(DIRECTORY)
        node.put_configuration(b"x", "test")
        assert await node.quotas.acquire("with") > 0
        assert await node.quotas.acquire("without") == 0
        question = msgspec.json.encode(["c", "other", [1], [], 1.0])
        incoming = Incoming(Request("POST", QUOTA_PATH, (), question))
        answer = await node._hops.handle(incoming)
        assert answer.response.status == 200
        await node.close()

    asyncio.run(run())


def test_node_without_organisations_sends_nothing_for_quotas():
    """Guards against a cost for deployments that have no quotas."""

    async def run():
        for directory in (None, OrganisationDirectory({b"d": Organisation("o")})):
            node = build_node(directory)
            node.put_configuration(b"x", "test")
            assert count_tasks(node) == 0
            assert await node.quotas.acquire("o") == 0
            await node.close()

    asyncio.run(run())
