"""Exchanges of quotas on a virtual clock, with faults of the network between them."""

import asyncio
import heapq
import random
from collections import defaultdict
from datetime import UTC, datetime

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_relay import Answer, DecisionLog, RelayMetrics
from mimosaloom_relay.peer_messenger import PeerMessenger
from mimosaloom_relay.peers import PeerRecord
from mimosaloom_relay.quota_exchange import QuotaExchange


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes at once while all tasks wait."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0
        self._clock_resolution = 1e-9

    def time(self):
        """Return the virtual time."""
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


def run_virtual(coroutine):
    """Run a coroutine on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class NodeClock:
    """Clock of one node: virtual time and an offset of its own."""

    def __init__(self, offset_s):
        self._offset_s = offset_s

    def monotonic_s(self):
        """Return the seconds on the monotonic clock of the node."""
        return asyncio.get_running_loop().time() + self._offset_s

    def now(self):
        """Return a constant; quotas don't use it."""
        return datetime(2026, 1, 1, tzinfo=UTC)


class Node:
    """A node of the network, whose process may be replaced by a new one."""

    def __init__(self, network, number, domain):
        self.name = f"n-{number}"
        self.port = number
        self.domain = domain
        self.network = network
        self.is_up = False
        self.clock_offset_s = network.rng.uniform(0, 1000)
        self.paused_until_s = 0.0
        # Whether what is sent to it does not arrive, while its own messages do.
        self.is_deaf = False
        self.known = None
        self.has_read = True

    def record(self):
        """Return the record of this node."""
        return PeerRecord(
            self.name, "127.0.0.1", self.port, self.domain, "s", "i", "t", 1, True
        )

    def start(self):
        """Start a process, which knows nothing of the previous one."""
        rng = self.network.rng
        clock, self.metrics = NodeClock(self.clock_offset_s), RelayMetrics()
        log = DecisionLog(clock, self.metrics.count_dropped_line)
        client = _Client(self.network, self)
        records = self.records
        self.messenger = PeerMessenger(self.name, client, records, log, rng=rng)
        self.exchange = QuotaExchange(
            self.name,
            self.domain,
            self.network.bounds,
            records,
            records,
            self.messenger,
            clock=clock,
            log=log,
            metrics=self.metrics,
            has_read_records=lambda: self.has_read,
        )
        self.is_up = True
        self.exchange.apply_quotas(self.network.quotas)

    def kill(self):
        """End the process."""
        self.is_up = False
        self.messenger.tasks.cancel()

    def records(self):
        """Return the records of the nodes that this one knows."""
        known = self.network.nodes if self.known is None else self.known
        return [node.record() for node in known]


class _Client:
    """Delivers the messages of one node as `HttpClient` does."""

    def __init__(self, network, node):
        self._network = network
        self._node = node

    async def send(self, address, request, *, needs_fresh_connection):
        return await self._network.deliver(self._node, address.port, request)


class QuotaNetwork:
    """Nodes in failure domains.

    Args:
        domains: Number of failure domains.
        per_domain: Nodes in each.
        quotas: Quotas by organisation.
        bounds: Bounds of the quotas.
        seed: Seed of all random choices.
    """

    def __init__(self, domains, per_domain, quotas, bounds, seed=1):
        self.rng = random.Random(seed)
        self.quotas = quotas
        self.bounds = bounds
        self.delay_s = 0.001
        self.loss_ratio = 0.0
        self.repeat_ratio = 0.0
        self.late_ratio = 0.0
        self.side = {}
        self.messages = defaultdict(int)
        self.bytes = 0
        self.runs = defaultdict(list)
        self.refused = defaultdict(list)
        self.nodes = [
            Node(self, number, f"d{number % domains}")
            for number in range(domains * per_domain)
        ]

    def start(self):
        """Start all nodes."""
        for node in self.nodes:
            node.start()

    def is_cut(self, one, other):
        """Return whether two nodes can't reach each other."""
        return self.side.get(one.name, 0) != self.side.get(other.name, 0)

    async def deliver(self, sender, port, request: Request):
        """Deliver a message and its answer, with the faults in force."""
        node = self.nodes[port]
        kind = "between" if node.domain != sender.domain else "within"
        self.messages[kind] += 1
        self.bytes += len(request.body)
        await self._wait_while_paused(sender)
        await self._pass(sender, node)
        exchange = node.exchange
        if self.rng.random() < self.repeat_ratio:
            node.messenger.tasks.spawn(exchange.handle(request))
        answer: Answer = await exchange.handle(request)
        self.bytes += len(answer.response.body)
        await self._pass(node, sender)
        if not node.is_up or node.exchange is not exchange:
            await asyncio.Event().wait()
        assert isinstance(answer.response, Response)
        return answer

    async def _pass(self, sender, receiver):
        delay_s = self.rng.uniform(0.5, 1.5) * self.delay_s
        if self.rng.random() < self.late_ratio:
            delay_s += self.rng.expovariate(5.0)
        await asyncio.sleep(delay_s)
        await self._wait_while_paused(receiver)
        is_lost = receiver.is_deaf or self.rng.random() < self.loss_ratio
        if is_lost or not receiver.is_up or self.is_cut(sender, receiver):
            await asyncio.Event().wait()

    async def _wait_while_paused(self, node):
        now_s = asyncio.get_running_loop().time()
        if node.paused_until_s > now_s:
            await asyncio.sleep(node.paused_until_s - now_s)

    async def request(self, node, organisation):
        """Send a request of a client; note whether it runs."""
        await self._wait_while_paused(node)
        if not node.is_up:
            return 0.0
        wait_s = await node.exchange.acquire(organisation)
        now_s = asyncio.get_running_loop().time()
        (self.refused if wait_s else self.runs)[organisation].append(now_s)
        return wait_s

    async def load(self, organisation, rate_per_s, duration_s, choose_node):
        """Send requests at random times to nodes that a function chooses."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        tasks = set()
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= end_s:
                break
            task = asyncio.ensure_future(self.request(choose_node(), organisation))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(2.0)


def largest_window(times_s, window_s):
    """Return the largest number of times in any window."""
    heap, largest = [], 0
    for time_s in sorted(times_s):
        heapq.heappush(heap, time_s)
        while heap[0] <= time_s - window_s:
            heapq.heappop(heap)
        largest = max(largest, len(heap))
    return largest


def allowed(quota, bounds):
    """Return how many requests may run in a window."""
    within = quota.rate_per_s * bounds.window_s + quota.burst
    return within * (1 + bounds.overage_ratio) + bounds.slack
