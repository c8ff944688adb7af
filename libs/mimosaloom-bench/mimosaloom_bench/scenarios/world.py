"""State of one running scenario."""

import asyncio
import random
import signal
import time
from pathlib import Path
from typing import NamedTuple

from mimosaloom_standins import read_journal

from ..deployment import Deployment, post_json
from ..load import CallerHabits, Order, OrderSender
from ..processes import ChildProcess, ProcessGroup
from ..verdicts import Attempt, TargetRecord, Violations, count_violations
from .relay import Relay

__all__ = ["CommandResult", "NotMet", "PlannedStop", "World", "wait_until"]

WAIT_TIMEOUT_S = 10.0
WAIT_INTERVAL_S = 0.01
SETTLE_S = 0.3
SCENARIO_SEED = 7


class NotMet(Exception):
    """A check of a scenario found a guarantee unmet; the text says how."""


class PlannedStop(NamedTuple):
    """A drain of a node.

    Attributes:
        upstream: Upstream of the node.
        journal: Journal of the target beside it.
        at_s: When it was asked for, on the monotonic clock.
    """

    upstream: str
    journal: Path
    at_s: float


class CommandResult(NamedTuple):
    """End of an operator's command: its exit code and its output."""

    code: int
    text: str


class World:
    """The mesh, callers, operators and records of one scenario.

    Args:
        group: Owner of the processes.
        directory: Where settings and journals are written.
    """

    def __init__(self, group: ProcessGroup, directory: Path):
        self.group = group
        self.directory = directory
        self.rng = random.Random(SCENARIO_SEED)
        self.habits = CallerHabits()
        self.orders: list[Order] = []
        self.loads: list[asyncio.Task] = []
        self.stops: list[PlannedStop] = []
        self.relays: dict[str, Relay] = {}
        self.paused: list[ChildProcess] = []
        self.commands: list[CommandResult] = []
        self.notes: list[str] = []
        self.revision = 0
        self.may_end: set[str] = set()
        self._deployment: Deployment | None = None
        self._sender: OrderSender | None = None

    @property
    def deployment(self) -> Deployment:
        """The running mesh."""
        if self._deployment is None:
            raise NotMet("no mesh runs; begin with `the water mesh runs`")
        return self._deployment

    @property
    def sender(self) -> OrderSender:
        """Sends orders and keeps the callers' view of them."""
        if self._sender is None:
            raise NotMet("no mesh runs; begin with `the water mesh runs`")
        return self._sender

    @property
    def attempts(self) -> list[Attempt]:
        """All calls of the callers so far."""
        return self.sender.attempts

    def enter(self, deployment: Deployment, sender: OrderSender) -> None:
        """Take over a mesh that has started."""
        self._deployment = deployment
        self._sender = sender

    def note(self, text: str) -> None:
        """Add a remark to the timeline."""
        self.notes.append(text)

    def check_upstream(self, name: str) -> str:
        """Return the name of an upstream, or end the scenario if there is none."""
        known = sorted(self.deployment.targets)
        if name not in known:
            raise NotMet(f"there is no upstream {name}; there are {', '.join(known)}")
        return name

    def journal(self, upstream: str) -> Path:
        """Return the journal of the present target of an upstream."""
        return self.directory / f"{self.deployment.targets[upstream].name}.journal"

    def read_record(self) -> TargetRecord:
        """Return what all targets recorded, also those that were killed."""
        parts = [read_journal(path) for path in self.directory.glob("*.journal")]
        return TargetRecord(
            [run for runs, _ in parts for run in runs],
            [mark for _, refused in parts for mark in refused],
        )

    def find_crashed(self) -> list[str]:
        """Return messages on processes that ended although no step ended them."""
        return [
            child.describe("ended on its own")
            for child in self.group.ended_early()
            if child.name not in self.may_end
        ]

    async def settle(self) -> None:
        """Wait until all orders have their last answer and runs have ended."""
        if self.loads:
            await asyncio.gather(*self.loads)
            self.loads.clear()
            await asyncio.sleep(SETTLE_S)

    async def violations(self, retry_bound: int) -> Violations:
        """Count violations over the whole scenario, from records and callers."""
        await self.settle()
        classes = {c.name: c for c in self.deployment.plan.classes}
        return count_violations(self.attempts, self.read_record(), classes, retry_bound)

    async def control_target(self, upstream: str, **changes) -> None:
        """Change the behaviour of a target."""
        url = self.deployment.target_urls[self.check_upstream(upstream)]
        await asyncio.to_thread(post_json, f"{url}/.target/control", changes)

    async def control_log(self, **changes) -> None:
        """Change the behaviour of the log service."""
        url = f"{self.deployment.log_url}/control"
        await asyncio.to_thread(post_json, url, changes)

    async def close(self) -> None:
        """Resume paused processes, and end loads, connections and relays."""
        for child in self.paused:
            child.send_signal(signal.SIGCONT)
        for load in self.loads:
            load.cancel()
        await asyncio.gather(*self.loads, return_exceptions=True)
        for relay in self.relays.values():
            await relay.stop()
        if self._sender is not None:
            self._sender.close()


async def wait_until(what: str, is_so) -> None:
    """Wait until a condition holds.

    Args:
        what: The condition in words.
        is_so: Tells whether it holds; may block for a few milliseconds.

    Raises:
        NotMet: If it does not hold within `WAIT_TIMEOUT_S`.
    """
    give_up_s = time.monotonic() + WAIT_TIMEOUT_S
    while not is_so():
        if time.monotonic() > give_up_s:
            raise NotMet(f"waited {WAIT_TIMEOUT_S:g} s in vain until {what}")
        await asyncio.sleep(WAIT_INTERVAL_S)
