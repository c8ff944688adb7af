"""Faults of a soak, each a coroutine that ends when the fault has been undone."""

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

from platform_adapter.store_standin import FakeStore
from soak.bad_requests import BadRequests
from soak.callers import call_once
from soak.checks import STABLE_S, Disturbance
from soak.links import LinkMode, LinkProxy
from soak.machines import READY_PORT, Machine, NodeProcess
from soak.operations import CONFIG_TOPIC, NODES_TOPIC, Operations
from soak.signals import LimitSpan
from soak.stores import CopyKeeper, StoreFault, StoreView
from soak.targets import DRAIN_S, Leave, TargetHost

__all__ = ["Faults", "Member"]

# All nodes have read a record of the store after this time.
READ_S = 0.3
START_TIMEOUT_S = 20.0
LIMITED_S = (5.0, 10.0)
# A heartbeat of before a leave arrives up to this long after the nodes have started.
MAX_LATE_HEARTBEAT_S = 3.0
# How long a target that has left serves, after the nodes near it are in touch again.
LINGER_S = 2.0

Fault = Callable[[], Awaitable[None]]


class Member:
    """A machine with all that a soak runs on it.

    Attributes:
        is_busy: Whether a fault on its node or target is in progress.
    """

    def __init__(
        self,
        machine: Machine,
        node: NodeProcess,
        host: TargetHost,
        link: LinkProxy,
        store: StoreView,
    ):
        self.machine = machine
        self.node = node
        self.host = host
        self.link = link
        self.store = store
        self.is_busy = False


class Faults:
    """Draws faults and records when they disturb which machine.

    Args:
        members: The machines.
        store: The store behind the views of the machines.
        copies: Copies of the store.
        operations: The operator.
        bad_requests: Sends requests that end targets.
        rng: Source of random choices.
        only: Names of the faults to draw; empty for all.

    Attributes:
        disturbances: All faults so far.
        limits: All rate limits of targets so far.
    """

    def __init__(
        self,
        members: list[Member],
        store: FakeStore,
        copies: CopyKeeper,
        operations: Operations,
        bad_requests: BadRequests,
        rng: random.Random,
        only: tuple[str, ...] = (),
    ):
        self.disturbances: list[Disturbance] = []
        self.limits: list[LimitSpan] = []
        self._members = members
        self._store = store
        self._copies = copies
        self._operations = operations
        self._bad_requests = bad_requests
        self._rng = rng
        self._store_lock = asyncio.Lock()
        self._choices: list[tuple[Fault, int]] = [
            (self.kill_node, 3),
            (self.terminate_nodes, 3),
            (self.pause_node, 3),
            (self.kill_many, 1),
            (self.reload_settings, 1),
            (self.disturb_link, 4),
            (self.break_store, 2),
            (self.lose_poll, 2),
            (self.restore_store, 4),
            (self.drop_history, 1),
            (self.crash_target, 2),
            (self.replace_target, 2),
            (self.kill_all_after_leave, 1),
            (self.spoil_answers, 3),
            (self.limit_target, 3),
            (self.send_bad_request, 1),
            (self.publish, 8),
        ]
        if only:
            self._choices = [c for c in self._choices if c[0].__name__ in only]

    async def run_one(self) -> None:
        """Inject one drawn fault, undo it, and pause."""
        faults, weights = zip(*self._choices, strict=True)
        await self._rng.choices(faults, weights)[0]()
        await asyncio.sleep(self._rng.uniform(0, 0.6))

    def count_faults(self) -> dict[str, int]:
        """Return the number of injected faults by name."""
        return dict(Counter(disturbance.what for disturbance in self.disturbances))

    async def publish(self) -> None:
        """Publish one to four versions in a row."""
        async with self._store_lock:
            for _ in range(self._rng.randint(1, 4)):
                self._operations.publish()
                await asyncio.sleep(self._rng.choice([0, 0.02, 0.3]))

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        with self._take_member("kill") as member:
            if member:
                await self._kill_and_start(member)

    async def kill_many(self) -> None:
        """Kill several nodes at the same moment."""
        with contextlib.ExitStack() as stack:
            taken = [
                stack.enter_context(self._take_member("kill"))
                for _ in range(max(2, len(self._members) // 2))
            ]
            await asyncio.gather(*(self._kill_and_start(m) for m in taken if m))

    async def terminate_nodes(self) -> None:
        """Stop one or two nodes as planned and start them again, also with SIGHUP."""
        for _ in range(self._rng.randint(1, 2)):
            with self._take_member("stop", is_planned=True) as member:
                if member is None:
                    continue
                if self._rng.random() < 0.3:
                    member.node.signal(signal.SIGHUP)
                await member.node.terminate()
                await asyncio.sleep(self._rng.uniform(0, 0.5))
                await self._start(member)

    async def pause_node(self) -> None:
        """Pause a node."""
        with self._take_member("pause") as member:
            if member:
                member.node.pause()
                await asyncio.sleep(self._rng.choice([0.2, 0.8, 2.0, 4.0]))
                member.node.resume()

    async def reload_settings(self) -> None:
        """Send SIGHUP to all nodes."""
        for member in self._members:
            if not member.is_busy:
                member.node.signal(signal.SIGHUP)

    async def disturb_link(self) -> None:
        """Cut, slow down, silence or reset the connections to a node."""
        with self._take_member("link") as member:
            if member is None:
                return
            match self._rng.randrange(4):
                case 0:
                    member.link.reset_connections()
                case 1:
                    member.link.silence_connections()
                case _:
                    modes = [LinkMode.SLOW, LinkMode.SILENT, LinkMode.NO_ANSWERS]
                    member.link.mode = self._rng.choice([*modes, LinkMode.REFUSED])
                    await asyncio.sleep(self._rng.uniform(0.2, 3.0))
                    member.link.mode = LinkMode.OPEN

    async def break_store(self) -> None:
        """Disturb the store for some or all nodes."""
        async with self._store_lock:
            count = self._rng.choice([1, len(self._members) // 2, len(self._members)])
            members = self._rng.sample(self._members, max(1, count))
            fault = self._rng.choice(
                [
                    StoreFault.BUSY,
                    StoreFault.AWAY,
                    StoreFault.SLOW,
                    StoreFault.LOSSY,
                    StoreFault.SILENT,
                ]
            )
            with self._disturb("", f"store {fault}"):
                if fault is StoreFault.AWAY:
                    await asyncio.gather(*(m.store.close() for m in members))
                for member in members:
                    member.store.start_fault(fault)
                await asyncio.sleep(self._rng.uniform(0.3, 2.5))
                for member in members:
                    if fault is StoreFault.AWAY:
                        member.store.open()
                    member.store.fault = StoreFault.NONE

    async def lose_poll(self) -> None:
        """Never answer the open poll of a node for one topic."""
        member = self._rng.choice(self._members)
        with self._disturb(member.machine.name, "poll lost"):
            member.store.lose_open_reads(self._rng.choice([CONFIG_TOPIC, NODES_TOPIC]))

    async def restore_store(self) -> None:
        """Bring the store back from an older copy, at times with further faults.

        Some nodes are paused meanwhile, and to some the store is silent, busy, slow or
        loses answers.
        """
        async with self._store_lock:
            with contextlib.ExitStack() as stack:
                stack.enter_context(self._disturb("", "store restored"))
                paused = [
                    stack.enter_context(self._take_member("pause"))
                    for _ in range(self._rng.randrange(3))
                ]
                paused = [member for member in paused if member is not None]
                for member in paused:
                    member.node.pause()
                if self._rng.random() < 0.5:
                    # The change is acknowledged and lost.
                    self._operations.publish()
                if self._rng.random() < 0.5:
                    await self._restore_after_outage()
                else:
                    self._go_back()
                    # The store is back before a node can tell that it was away.
                    self._store.cut_reads()
                self._break_for_some()
                await asyncio.sleep(self._rng.choice([0, 0.5, 1.5]))
                for member in self._members:
                    member.store.fault = StoreFault.NONE
                for member in paused:
                    member.node.resume()

    def _break_for_some(self) -> None:
        """Let the store serve some nodes badly, half of the time none."""
        count = self._rng.choice([0, 0, 1, len(self._members) // 2])
        fault = self._rng.choice(
            [StoreFault.SILENT, StoreFault.BUSY, StoreFault.SLOW, StoreFault.LOSSY]
        )
        for member in self._rng.sample(self._members, count):
            member.store.start_fault(fault)

    async def drill_store(self) -> None:
        """Restore the store unnoticed, so that its log ends where the nodes have read.

        No other fault is near, so the rules with a time bound hold soon after it.
        """
        async with self._store_lock:
            copy = self._store.take_copy()
            for _ in range(self._rng.randint(1, 3)):
                self._operations.publish()
                await asyncio.sleep(READ_S)
            length = len(self._store.topics[CONFIG_TOPIC])
            with self._disturb("", "store drill"):
                self._store.restore(copy)
                while len(self._store.topics[CONFIG_TOPIC]) < length:
                    self._operations.publish()
                self._store.cut_reads()

    async def _restore_after_outage(self) -> None:
        await asyncio.gather(*(m.store.close() for m in self._members))
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        self._go_back()
        for member in self._members:
            member.store.open()

    def _go_back(self) -> None:
        """Restore the store from a copy; the operator writes again what is lost."""
        old_length = len(self._store.topics[CONFIG_TOPIC])
        self._store.restore(self._rng.choice(self._copies.copies))
        self._operations.write_again()
        for _ in range(self._rng.randrange(4)):
            self._operations.publish()
        if self._rng.random() < 0.5:
            # The log ends again where the nodes have read up to.
            while len(self._store.topics[CONFIG_TOPIC]) < old_length:
                self._operations.publish()

    async def drop_history(self) -> None:
        """Let the store forget all but the newest records."""
        for topic in list(self._store.topics):
            self._store.drop_history(topic)

    async def crash_target(self) -> None:
        """Crash a target; it comes back with its id or with another one."""
        with self._take_member("target crash") as member:
            if member:
                member.host.crash()
                await asyncio.sleep(self._rng.uniform(0.05, 1.5))
                await member.host.start(keeps_id=self._rng.random() < 0.5)

    async def replace_target(self) -> None:
        """Drain a target, end it and start another one at its address."""
        with self._take_member("target drain") as member:
            if member:
                await member.host.drain()
                await asyncio.sleep(self._rng.uniform(0.05, 0.5))
                await member.host.start()

    async def kill_all_after_leave(self) -> None:
        """Kill all nodes right after one has acknowledged that its target leaves.

        At times the store does not take the leave. The target serves on, and one of its
        heartbeats of before arrives when the nodes have started again.
        """
        async with self._store_lock:
            with contextlib.ExitStack() as stack:
                taken = self._take_all(stack)
                if not taken or taken[0].host.target is None:
                    return
                leaving, host = taken[0], taken[0].host
                heartbeat = host.stop_announcing()
                fault = self._rng.choice(
                    [
                        StoreFault.NONE,
                        StoreFault.BUSY,
                        StoreFault.SLOW,
                        StoreFault.LOSSY,
                    ]
                )
                for member in taken:
                    member.store.start_fault(fault)
                await host.leave()
                await asyncio.gather(*(member.node.kill() for member in taken))
                for member in taken:
                    member.store.fault = StoreFault.NONE
                await asyncio.sleep(self._rng.uniform(0.05, 1.0))
                await asyncio.gather(*(self._start(member) for member in taken))
        # Its node is calm, but the target must not be drawn for another fault.
        leaving.is_busy = True
        late_s = self._rng.uniform(0, MAX_LATE_HEARTBEAT_S)
        await asyncio.sleep(late_s)
        await host.send(heartbeat)
        await asyncio.sleep(DRAIN_S + STABLE_S + LINGER_S - late_s)
        host.crash()
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        await host.start()
        leaving.is_busy = False

    def _take_all(self, stack: contextlib.ExitStack) -> list[Member]:
        """Take all machines on which no fault is in progress."""
        taken = []
        while (member := stack.enter_context(self._take_member("kill"))) is not None:
            taken.append(member)
        return taken

    def list_leaves(self) -> list[Leave]:
        """Return all acknowledged leaves of targets."""
        return [leave for member in self._members for leave in member.host.leaves]

    async def spoil_answers(self) -> None:
        """Let a target spoil part of its answers."""
        with self._take_member("target faulty") as member:
            if member and member.host.target:
                member.host.target.is_faulty = True
                await asyncio.sleep(self._rng.uniform(0.5, 3.0))
                if member.host.target:
                    member.host.target.is_faulty = False

    async def limit_target(self) -> None:
        """Let a target name a rate limit, also while its node has other faults."""
        host = self._rng.choice(self._members).host
        target = host.target
        if target is None or target.signals:
            return
        loop = asyncio.get_running_loop()
        rate_per_s, start_s = round(self._rng.uniform(1, 8), 1), loop.time()
        target.signals = [f"Server-Limit: {rate_per_s}"]
        end_s = start_s + self._rng.uniform(*LIMITED_S)
        while host.target is target and loop.time() < end_s:
            await asyncio.sleep(0.05)
        self.limits.append(
            LimitSpan(target.target_id, rate_per_s, start_s, loop.time())
        )
        if any("Limit" in line for line in target.signals):
            target.signals = []

    async def send_bad_request(self) -> None:
        """Send a request that ends targets on a route that stays."""
        prefixes = [p for p in self._operations.newest.services if "-a" not in p]
        await self._bad_requests.send(self._rng.choice(prefixes))

    async def keep_targets(self) -> None:
        """Start targets that a request has ended again, until cancelled."""
        starting: set[asyncio.Task] = set()
        while True:
            for member in self._members:
                target = member.host.target
                if target is not None and target.has_ended and not member.is_busy:
                    member.is_busy = True
                    starting.add(asyncio.ensure_future(self._start_target(member)))
            await asyncio.sleep(0.05)

    async def _start_target(self, member: Member) -> None:
        member.host.crash()
        await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        await member.host.start()
        member.is_busy = False

    async def _kill_and_start(self, member: Member) -> None:
        await member.node.kill()
        await asyncio.sleep(self._rng.uniform(0.05, 1.0))
        await self._start(member)

    async def _start(self, member: Member) -> None:
        """Start a node and wait until it listens, at last for a while."""
        await member.node.start()
        end_s = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError, TimeoutError):
                await call_once(
                    member.machine.address(READY_PORT), "GET", "/", timeout_s=1.0
                )
                return

    def find_ended_nodes(self) -> list[str]:
        """Return the nodes whose process has ended without a fault that ends it."""
        return [
            f"{member.machine.name} ended by itself with {member.node.exit_code}"
            for member in self._members
            if not member.is_busy and not member.node.is_running
        ]

    @contextlib.contextmanager
    def _take_member(
        self, what: str, *, is_planned: bool = False
    ) -> Iterator[Member | None]:
        """Take a machine on which no fault is in progress; None if there is none."""
        free = [member for member in self._members if not member.is_busy]
        if not free:
            yield None
            return
        member = self._rng.choice(free)
        member.is_busy = True
        try:
            with self._disturb(member.machine.name, what, is_planned=is_planned):
                yield member
        finally:
            member.is_busy = False

    @contextlib.contextmanager
    def _disturb(
        self, machine: str, what: str, *, is_planned: bool = False
    ) -> Iterator[None]:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        open_ended = Disturbance(machine, start_s, float("inf"), is_planned, what)
        self.disturbances.append(open_ended)
        try:
            yield
        finally:
            self.disturbances.remove(open_ended)
            self.disturbances.append(open_ended._replace(end_s=loop.time()))
