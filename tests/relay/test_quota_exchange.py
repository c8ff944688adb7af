"""Tests of quotas over all nodes, on a virtual clock with faults of the network."""

import asyncio
import random

import pytest
from relay.quota_figures import play_cuts
from relay.quota_network import QuotaNetwork, allowed, largest_window, run_virtual

from mimosaloom_mesh.messages import Request
from mimosaloom_policy import CLAIM_MEMORY_S, Quota, QuotaBounds, find_slot
from mimosaloom_relay.quota_exchange import MAX_RETRY_AFTER_S, QUOTA_PATH

BOUNDS = QuotaBounds()
# Time in which all holders are chosen after a start, and buckets fill.
WARM_UP_S = 8.0


def play(network, script):
    """Start a network, run a script on a virtual clock and return the network."""

    async def run():
        network.start()
        await script(network)

    run_virtual(run())
    return network


def check_windows(network, organisation="o"):
    """Assert that no window has more requests than the bounds allow."""
    quota = network.quotas[organisation]
    largest = largest_window(network.runs[organisation], BOUNDS.window_s)
    assert largest <= allowed(quota, BOUNDS)


def run_share(network, organisation="o"):
    """Return the share of the requests that were not refused."""
    runs = len(network.runs[organisation])
    return runs / (runs + len(network.refused[organisation]))


def holders(network, organisation="o"):
    """Return the nodes that are the holder of the slot of an organisation."""
    slot = find_slot(organisation)
    found = []
    for node in network.nodes:
        holder = node.exchange._holder
        now_s = holder._clock.monotonic_s()
        if node.is_up and now_s < holder._roles[slot].find_end_s():
            found.append(node)
    return found


def anywhere(network):
    """Return a function that chooses any node."""
    return lambda: network.rng.choice(network.nodes)


PLACES = {
    "everywhere": anywhere,
    "one node": lambda network: lambda: network.nodes[3],
    "one domain": lambda network: lambda: network.rng.choice(network.nodes[::3]),
}


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("rate_per_s", [5, 50, 300])
def test_organisation_within_its_quota_is_not_refused(place, rate_per_s):
    """Guards against shares by node or domain that refuse what is within the quota."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        await network.load("o", rate_per_s / 1.6, 12, PLACES[place](network))

    network = QuotaNetwork(3, 28, {"o": Quota(rate_per_s)}, BOUNDS, seed=7)
    assert run_share(play(network, script)) >= 0.995


def test_organisation_whose_clients_move_is_rarely_refused():
    """Guards against tokens that stay where the clients were a second ago."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        loop = asyncio.get_running_loop()

        def choose():
            return network.rng.choice(network.nodes[int(loop.time()) % 3 :: 3])

        await network.load("o", 30, 20, choose)

    network = QuotaNetwork(3, 28, {"o": Quota(50)}, BOUNDS, seed=7)
    assert run_share(play(network, script)) >= 0.9


@pytest.mark.parametrize("quota", [Quota(5), Quota(50, 20), Quota(300)])
@pytest.mark.parametrize("place", PLACES)
def test_organisation_beyond_its_quota_gets_the_quota_and_no_more(place, quota):
    """Guards against nodes that each allow the quota, and tokens that expire."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        await network.load("o", 5 * quota.rate_per_s, 12, PLACES[place](network))

    network = play(QuotaNetwork(3, 9, {"o": quota}, BOUNDS, seed=8), script)
    check_windows(network)
    assert len(network.runs["o"]) >= 0.85 * 12 * quota.rate_per_s


def test_other_organisations_are_not_affected_by_one_beyond_its_quota():
    """Guards against a bucket or a question that organisations share."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(network.load("hot", 400, 10, anywhere(network)))
            group.create_task(network.load("o", 12, 10, anywhere(network)))

    quotas = {"hot": Quota(20), "o": Quota(20)}
    network = play(QuotaNetwork(3, 5, quotas, BOUNDS, seed=9), script)
    check_windows(network, "hot")
    assert not network.refused["o"]


def test_acquire_without_quota_asks_nobody():
    """Guards against questions for organisations, or deployments, without a quota."""

    async def script(network):
        await asyncio.sleep(3)
        for node in network.nodes:
            assert await network.request(node, "o") == 0.0

    network = play(QuotaNetwork(3, 5, {}, BOUNDS), script)
    assert not network.messages


def test_frequent_organisation_rarely_waits_for_a_question():
    """Guards against a message for each request of a frequent organisation."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        node, waited = network.nodes[4], 0
        for _ in range(2000):
            await asyncio.sleep(0.005)
            sent = asyncio.ensure_future(node.exchange.acquire("o"))
            # One step of the task, in which only a request that does not wait ends.
            await asyncio.sleep(0)
            waited += not sent.done()
            assert await sent == 0.0
        assert waited < 200

    play(QuotaNetwork(3, 5, {"o": Quota(1000)}, BOUNDS), script)


@pytest.mark.parametrize("fault", ["kill", "cut", "pause", "deaf"])
def test_next_holder_takes_over_from_one_that_is_gone(fault):
    """Guards against an organisation that is refused until its holder returns."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        load = asyncio.ensure_future(network.load("o", 30, 30, anywhere(network)))
        await asyncio.sleep(2)
        loop = asyncio.get_running_loop()
        for gone in holders(network)[:1]:
            if fault == "kill":
                gone.kill()
            elif fault == "cut":
                network.side[gone.name] = 1
            elif fault == "deaf":
                gone.is_deaf = True
            else:
                gone.paused_until_s = loop.time() + 30
        await asyncio.sleep(7 * CLAIM_MEMORY_S)
        assert len(holders(network)) == 3
        late = len(network.refused["o"])
        await load
        # Those at the node itself.
        assert len(network.refused["o"]) - late <= 0.05 * 30 * 16

    network = QuotaNetwork(3, 28, {"o": Quota(50)}, BOUNDS, seed=3)
    check_windows(play(network, script))


def test_holder_that_stops_hands_over_at_once():
    """Guards against a rolling restart in which each holder leaves a gap."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        for _ in range(6):
            load = asyncio.ensure_future(network.load("o", 30, 3, anywhere(network)))
            await asyncio.sleep(0.5)
            node = holders(network)[0]
            node.exchange.stop()
            await load
            node.kill()
            node.start()

    network = play(QuotaNetwork(3, 28, {"o": Quota(50)}, BOUNDS, seed=3), script)
    check_windows(network)
    assert run_share(network) >= 0.98


def test_half_of_a_failure_domain_has_no_holder_of_its_own():
    """Guards against two holders of one failure domain that is cut into parts."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        load = asyncio.ensure_future(network.load("o", 500, 30, anywhere(network)))
        domain = network.nodes[0].domain
        for step in range(10):
            network.side = {
                node.name: network.rng.randrange(2)
                for node in network.nodes
                if node.domain == domain and step % 2 == 0
            }
            await asyncio.sleep(3)
            found = [node.domain for node in holders(network)]
            assert len(found) == len(set(found))
        await load

    network = QuotaNetwork(3, 9, {"o": Quota(100)}, BOUNDS, seed=5)
    check_windows(play(network, script))


def test_one_answer_would_not_be_enough():
    """Guards against a simulation in which no rule could exceed the bounds."""
    assert play_cuts(2) <= 1
    assert play_cuts(2, majority=1) > 1.2


def test_start_of_all_nodes_at_once_neither_bursts_nor_refuses_for_long():
    """Guards against nodes that each believe to be alone, and against a slow start."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        load = asyncio.ensure_future(network.load("o", 250, 22, anywhere(network)))
        for _ in range(4):
            await asyncio.sleep(2.6)
            for node in network.nodes:
                node.kill()
            for node in network.nodes:
                # A node that has not read the records of the others knows only itself.
                node.known, node.has_read = [node], False
                node.start()
            await asyncio.sleep(network.rng.random())
            for node in network.nodes:
                node.known, node.has_read = None, True
            await asyncio.sleep(CLAIM_MEMORY_S + 1)
            assert len(holders(network)) == 3
        await load

    network = QuotaNetwork(3, 9, {"o": Quota(50)}, BOUNDS, seed=5)
    check_windows(play(network, script))


def test_new_nodes_that_not_all_know_raise_nothing():
    """Guards against two views of the membership that each have a holder."""

    async def script(network):
        nodes = network.nodes
        for node in nodes[:18]:
            node.known = nodes[:18]
        for node in nodes[18:]:
            node.kill()
        await asyncio.sleep(WARM_UP_S)
        load = asyncio.ensure_future(network.load("o", 250, 20, anywhere(network)))
        await asyncio.sleep(2)
        for node in nodes[18:]:
            node.start()
        for node in network.rng.sample(nodes[:18], 18):
            await asyncio.sleep(0.3)
            node.known = None
        await load

    network = QuotaNetwork(3, 7, {"o": Quota(50)}, BOUNDS, seed=5)
    check_windows(play(network, script))


def test_lower_quota_holds_at_once():
    """Guards against tokens of a higher quota that are used after a reload."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        load = asyncio.ensure_future(network.load("o", 600, 16, anywhere(network)))
        await asyncio.sleep(8)
        changed_s = asyncio.get_running_loop().time()
        network.quotas = {"o": Quota(10)}
        for node in network.nodes:
            node.exchange.apply_quotas(network.quotas)
        await load
        late = [run_s for run_s in network.runs["o"] if run_s > changed_s]
        assert largest_window(late, BOUNDS.window_s) <= allowed(Quota(10), BOUNDS)
        assert len(late) >= 50

    play(QuotaNetwork(3, 9, {"o": Quota(300, 100)}, BOUNDS, seed=5), script)


@pytest.mark.parametrize("seed", range(12))
def test_no_schedule_of_faults_exceeds_the_bounds(seed):
    """Guards against tokens that a lost, late or repeated message makes."""
    rng = random.Random(seed)
    quota = Quota(rng.choice([2, 20, 200, 600]), rng.choice([0, 0, 50]))
    domains, per_domain = rng.choice([(1, 3), (2, 4), (3, 5), (3, 9)])

    async def disturb(network):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(rng.expovariate(1.5))
            network.delay_s = rng.choice([0.001, 0.01, 0.1])
            network.loss_ratio = rng.choice([0, 0, 0.05, 0.5])
            network.repeat_ratio = rng.choice([0, 0.3])
            network.late_ratio = rng.choice([0, 0, 0.3])
            network.side = {}
            for node in network.nodes:
                # Each node may not know of one other node.
                unknown = rng.choice([None, *network.nodes])
                others = [n for n in network.nodes if n is not unknown]
                node.known = others if unknown is not node else None
            if rng.random() < 0.5:
                network.side = {n.name: rng.randrange(2) for n in network.nodes}
            for node in rng.sample(network.nodes, len(network.nodes) // 3):
                if rng.random() < 0.3:
                    node.kill()
                    node.start()
                elif rng.random() < 0.3:
                    node.paused_until_s = loop.time() + rng.expovariate(0.5)

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        faults = asyncio.ensure_future(disturb(network))
        rate_per_s = min(600, 5 * quota.rate_per_s)
        await network.load("o", rate_per_s, 30, anywhere(network))
        faults.cancel()

    network = QuotaNetwork(domains, per_domain, {"o": quota}, BOUNDS, seed=seed)
    check_windows(play(network, script))


def test_refused_callers_are_asked_to_return_at_different_times():
    """Guards against callers that all come back at one moment."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        node = network.nodes[0]
        waits = await asyncio.gather(*(network.request(node, "o") for _ in range(300)))
        refused = [wait_s for wait_s in waits if wait_s]
        assert len(refused) > 200
        assert max(refused) <= MAX_RETRY_AFTER_S
        slots = [round(wait_s, 2) for wait_s in refused]
        assert max(slots.count(slot) for slot in slots) < 0.1 * len(refused)

    play(QuotaNetwork(3, 5, {"o": Quota(20)}, BOUNDS), script)


def test_token_that_was_put_back_can_be_used_but_not_for_longer():
    """Guards against refused requests that use up the quota, or keep tokens alive."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        exchange = network.nodes[0].exchange
        assert await exchange.acquire("o") == 0.0
        expires_s = exchange.taken_expires_s
        exchange.put_back("o", expires_s)
        sent = sum(network.messages.values())
        with pytest.raises(StopIteration):
            exchange.acquire("o").send(None)
        assert sum(network.messages.values()) == sent
        await asyncio.sleep(2)
        exchange.put_back("o", expires_s)
        assert exchange._accounts["o"].balance.tokens(1e9) == 0

    play(QuotaNetwork(3, 5, {"o": Quota(5)}, BOUNDS), script)


def test_cancelled_request_does_not_end_the_question_that_others_wait_for():
    """Guards against a client that leaves and takes the tokens of others along."""

    async def script(network):
        await asyncio.sleep(WARM_UP_S)
        network.delay_s = 0.05
        exchange = network.nodes[1].exchange
        first = asyncio.ensure_future(exchange.acquire("o"))
        second = asyncio.ensure_future(exchange.acquire("o"))
        await asyncio.sleep(0.01)
        first.cancel()
        assert await second == 0.0

    play(QuotaNetwork(3, 5, {"o": Quota(5)}, BOUNDS), script)


@pytest.mark.parametrize("body", [b"", b"[]", b'["t"]', b'["x",1]', b"\xff", b"{}"])
def test_message_that_can_not_be_read_is_refused(body):
    """Guards against a crash because of what another node sends."""

    async def script(network):
        request = Request("POST", QUOTA_PATH, (), body)
        answer = await network.nodes[0].exchange.handle(request)
        assert answer.response.status == 400

    play(QuotaNetwork(1, 1, {"o": Quota(5)}, BOUNDS), script)
