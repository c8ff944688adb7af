"""Runs one soak: starts all processes, injects faults and checks the rules."""

import asyncio
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from platform_adapter.store_standin import FakeStore
from soak.bad_requests import BadRequests, find_unbounded_ends
from soak.callers import Caller, Exchange, call_once
from soak.checks import (
    STABLE_S,
    Finding,
    count_statuses,
    find_broken_rules,
    find_late_runs,
)
from soak.faults import Faults, Member
from soak.links import LinkProxy
from soak.machines import (
    INBOUND_PORT,
    METRICS_PORT,
    OWN_NETWORK,
    PROXY_NETWORK,
    READY_PORT,
    NodeProcess,
    build_machines,
)
from soak.operations import (
    APPLY_S,
    HOST,
    Operations,
    describe_version,
    kind_of,
)
from soak.signals import find_broken_signals
from soak.stores import CopyKeeper, StoreView
from soak.targets import Run, TargetHost

from mimosaloom_mesh.messages import Request
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address, SystemClock
from mimosaloom_relay import HttpClient

__all__ = ["Report", "Soak", "SoakOptions", "run_soak"]

SERVICES = ["alpha", "beta", "gamma"]
START_TIMEOUT_S = 120.0
# After the last fault, everything is in order again within this time.
SETTLE_S = 6.0
# A state that never comes is told from a late one.
END_TIMEOUT_S = 20.0
# Faults come in bursts. The rules with a time bound hold a while after each of them,
# also for what is published then.
ACTIVE_S = (3.0, 8.0)
CALM_S = APPLY_S + 2.0
# Share of the calm times that begin with a drill of the store.
DRILL_RATIO = 0.5
# Soaks that run side by side use loopback networks of their own.
NETWORK_COUNT = 250


class SoakOptions(NamedTuple):
    """Options of a soak.

    Attributes:
        seed: Seed of all random choices.
        duration_s: Time for which faults are injected.
        copies: Machines of each service.
        callers: Clients on each machine.
        series: Series of faults at the same time.
        tree: Checkout whose sources the nodes run.
        folder: Receives settings and logs.
        only: Names of the faults to inject; empty for all.
        max_pause_s: Longest pause of a client between two requests.
        has_links: Whether nodes reach each other through proxies. Each connection
            takes two descriptors there, which bounds the number of nodes.
    """

    seed: int
    duration_s: float
    copies: int
    callers: int
    series: int
    tree: Path
    folder: Path
    only: tuple[str, ...] = ()
    max_pause_s: float = 0.08
    has_links: bool = True


class Report(NamedTuple):
    """Result of a soak.

    Attributes:
        findings: Broken rules.
        statuses: Number of attempts by kind and status.
        faults: Number of injected faults by name.
        restores: Number of restores of the store.
        versions: Number of published versions.
    """

    findings: list[Finding]
    statuses: dict[str, int]
    faults: dict[str, int]
    restores: int
    versions: int


class Soak:
    """All that runs in one soak."""

    def __init__(self, options: SoakOptions):
        self.options = options
        self.rng = random.Random(options.seed)
        self.loop = asyncio.get_running_loop()
        self.store = FakeStore()
        self.copies = CopyKeeper(self.store)
        self.operations = Operations(self.store, SERVICES, self.rng, self.loop.time)
        self.exchanges: list[Exchange] = []
        self.runs: list[Run] = []
        self.machines = build_machines(
            os.getpid() % NETWORK_COUNT, SERVICES, options.copies
        )
        self.bad_requests = BadRequests(self._build_bad_caller, self.rng)
        self.members = [self._build_member(machine) for machine in self.machines]
        self.faults = Faults(
            self.members,
            self.store,
            self.copies,
            self.operations,
            self.bad_requests,
            self.rng,
            options.only,
        )
        self.client = HttpClient(SystemClock(), lambda: None)

    def _build_member(self, machine) -> Member:
        options = self.options
        translation = tuple(
            f'"127.{number}.'.encode() for number in (OWN_NETWORK, PROXY_NETWORK)
        )
        link = LinkProxy(
            Address(machine.proxy_host, INBOUND_PORT),
            machine.address(INBOUND_PORT),
            translation,
        )
        now_ms = lambda: int(1000 * time.time())  # noqa: E731
        return Member(
            machine,
            NodeProcess(machine, options.folder, options.tree),
            TargetHost(
                machine, self.runs, self.rng, now_ms, self.bad_requests.ends_target
            ),
            link,
            StoreView(self.store, machine, has_links=options.has_links),
        )

    async def start(self) -> None:
        """Start all machines and wait until each node is ready."""
        self.operations.publish()
        for member in self.members:
            member.store.open()
            await member.link.open()
            await member.host.start()
            await member.node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for member in self.members:
                while not await self._is_ready(member):
                    await asyncio.sleep(0.1)
        # The targets have announced themselves, and all nodes know them.
        await asyncio.sleep(2)

    async def _is_ready(self, member: Member) -> bool:
        address = member.machine.address(READY_PORT)
        try:
            return await call_once(address, "GET", "/-/readyz", timeout_s=1.0) == 200
        except (OSError, TimeoutError):
            return False

    def _build_bad_caller(self, new_id: Callable[[], str]) -> Caller:
        """Return a client at a random machine."""
        machine = self.rng.choice(self.machines)
        return Caller(machine, self.operations, self.exchanges, new_id, self.rng, 0.0)

    def build_caller(self, member: Member, number: int) -> Caller:
        """Return a client on a machine."""
        rng = random.Random(f"{self.options.seed}/{member.machine.name}/{number}")
        ids = iter(range(10**9))
        prefix = f"{member.machine.name}-{number}"
        return Caller(
            member.machine,
            self.operations,
            self.exchanges,
            lambda: f"{prefix}-{next(ids)}",
            rng,
            self.options.max_pause_s,
        )

    async def play(self) -> None:
        """Send requests while faults are injected, then let everything settle."""
        callers = [
            asyncio.ensure_future(self.build_caller(member, number).run())
            for member in self.members
            for number in range(self.options.callers)
        ]
        copying = asyncio.ensure_future(self.copies.run())
        keeping = asyncio.ensure_future(self.faults.keep_targets())
        await asyncio.sleep(1)
        end_s = self.loop.time() + self.options.duration_s
        while self.loop.time() < end_s:
            active_end_s = self.loop.time() + self.rng.uniform(*ACTIVE_S)
            series = range(self.options.series)
            await asyncio.gather(*(self._run_series(active_end_s) for _ in series))
            if self.rng.random() < DRILL_RATIO:
                await self.faults.drill_store()
            await asyncio.sleep(STABLE_S)
            await self.faults.publish()
            await asyncio.sleep(CALM_S)
        await asyncio.sleep(SETTLE_S)
        for task in (*callers, copying, keeping):
            task.cancel()
        await asyncio.wait([*callers, copying, keeping])
        for task in callers:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def _run_series(self, end_s: float) -> None:
        """Inject faults for a time; the last fault is undone before the end."""
        while self.loop.time() < end_s:
            await self.faults.run_one()

    async def check_end(self) -> list[Finding]:
        """Return what is still wrong after all faults have ended."""
        findings = [Finding("ENDED", what) for what in self.faults.find_ended_nodes()]
        newest = self.operations.newest
        for member in self.members:
            version = await self.wait_for_version(member, newest.number)
            if version != newest.number:
                name = member.machine.name
                detail = f"{name} has version {version}, not {newest.number}"
                findings.append(Finding("CONFIG", f"at the end, {detail}"))
            caller = self.build_caller(member, self.options.callers)
            for prefix in newest.services:
                if not await self.is_served(caller, prefix):
                    detail = f"{member.machine.name} does not serve {prefix}"
                    findings.append(Finding("RECOVER", f"at the end, {detail}"))
        return findings

    async def is_served(self, caller: Caller, prefix: str) -> bool:
        """Return whether a request on a route succeeds, if need be after retries."""
        end_s = self.loop.time() + END_TIMEOUT_S
        while self.loop.time() < end_s:
            is_idempotent = kind_of(prefix) == "idempotent"
            exchange, _ = await caller.send(HOST, f"{prefix}x", is_idempotent)
            if exchange.status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_for_version(
        self, member: Member, number: int, timeout_s: float = END_TIMEOUT_S
    ) -> int | None:
        """Return the version in force when it is the expected one, or at last."""
        end_s = self.loop.time() + timeout_s
        while True:
            version = await self._read_version(member)
            if version == number or self.loop.time() > end_s:
                return version
            await asyncio.sleep(0.2)

    async def _read_version(self, member: Member) -> int | None:
        outcome = await self.client.send(
            member.machine.address(METRICS_PORT), Request("GET", "/status")
        )
        if isinstance(outcome, FailedSend):
            return None
        return describe_version(outcome.response.body)

    async def close(self) -> None:
        """End all processes."""
        self.client.close()
        for member in self.members:
            member.host.crash()
            await member.node.kill()
            member.link.close()
            await member.store.close()


async def run_soak(options: SoakOptions) -> Report:
    """Run one soak and return its report."""
    soak = Soak(options)
    try:
        await soak.start()
        await soak.play()
        at_end = await soak.check_end()
    finally:
        await soak.close()
    findings = find_broken_rules(
        soak.exchanges, soak.runs, soak.operations, soak.faults.disturbances
    )
    findings += find_late_runs(
        soak.exchanges, soak.runs, soak.faults.list_leaves(), soak.faults.disturbances
    )
    findings += find_unbounded_ends(
        soak.bad_requests.sent, soak.exchanges, soak.runs, soak.faults.disturbances
    )
    findings += find_broken_signals(
        soak.exchanges, soak.runs, soak.faults.limits, soak.faults.disturbances
    )
    return Report(
        findings + at_end,
        count_statuses(soak.exchanges),
        soak.faults.count_faults()
        | {
            "leave": len(soak.faults.list_leaves()),
            "target limited": len(soak.faults.limits),
            "bad request": len(soak.bad_requests.sent),
        },
        soak.store.era - 1,
        len(soak.operations.versions),
    )
