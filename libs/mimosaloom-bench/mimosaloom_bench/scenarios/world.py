"""State of one running scenario.

As in other Gherkin tools, the state that the steps of a scenario share is called the
world.
"""

import asyncio
import random
import signal
import time
from pathlib import Path
from typing import NamedTuple

from mimosaloom_standins import read_journal

from ..deployment import Deployment, post_json
from ..load import CallerBehavior, Order, OrderSender
from ..processes import ChildProcess, ProcessGroup
from ..verdicts import Attempt, TargetRecord, Violations, count_violations
from .relay import Relay

__all__ = ["CommandResult", "PlannedStop", "StepFailed", "World", "wait_until"]

WAIT_TIMEOUT_S = 10.0
WAIT_INTERVAL_S = 0.01
# Time for runs on the targets to end after the last answer to a caller.
SETTLE_S = 0.3
SCENARIO_SEED = 7


class StepFailed(Exception):
    """A step failed: a guarantee is not met or an action could not be carried out.

    The text gives the reason.
    """


class PlannedStop(NamedTuple):
    """A planned stop of a node, or the fault that a scenario injects in its place.

    Attributes:
        upstream: Upstream of the node.
        journal: Journal of the target beside the node.
        requested_s: Time of the request to stop, on the monotonic clock.
    """

    upstream: str
    journal: Path
    requested_s: float


class CommandResult(NamedTuple):
    """Result of an operator's command.

    Attributes:
        code: Exit code.
        text: Standard output and standard error.
    """

    code: int
    text: str


class World:
    """The mesh, callers, operators and records of one scenario.

    Args:
        group: Group that stops the processes at the end of the scenario.
        directory: Directory for settings and journals.

    Attributes:
        rng: Random generator for the seeds of the loads.
        behavior: How the callers choose idempotency keys and when they retry.
        orders: All orders of the scenario.
        load_tasks: Tasks of loads and commands that have not been awaited.
        planned_stops: Planned stops so far.
        relays: Relays by the upstream of the node that they stand before.
        paused_processes: Processes that were paused and not resumed.
        command_results: Results of the operators' last commands.
        notes: Remarks for the timeline entry of the current step.
        noted_revision: Revision of the retry allowance that operators noted last.
        expected_exits: Names of processes that steps have stopped or killed.
    """

    def __init__(self, group: ProcessGroup, directory: Path):
        self.group = group
        self.directory = directory
        self.rng = random.Random(SCENARIO_SEED)
        self.behavior = CallerBehavior()
        self.orders: list[Order] = []
        self.load_tasks: list[asyncio.Task] = []
        self.planned_stops: list[PlannedStop] = []
        self.relays: dict[str, Relay] = {}
        self.paused_processes: list[ChildProcess] = []
        self.command_results: list[CommandResult] = []
        self.notes: list[str] = []
        self.noted_revision = 0
        self.expected_exits: set[str] = set()
        self._deployment: Deployment | None = None
        self._sender: OrderSender | None = None

    @property
    def deployment(self) -> Deployment:
        """The running mesh; raises `StepFailed` before it has started."""
        if self._deployment is None:
            raise StepFailed("no mesh runs; begin with `the water mesh runs`")
        return self._deployment

    @property
    def sender(self) -> OrderSender:
        """Sender of the orders; raises `StepFailed` before the mesh has started."""
        if self._sender is None:
            raise StepFailed("no mesh runs; begin with `the water mesh runs`")
        return self._sender

    @property
    def attempts(self) -> list[Attempt]:
        """All calls of the callers so far."""
        return self.sender.attempts

    def set_mesh(self, deployment: Deployment, sender: OrderSender) -> None:
        """Set the mesh of the scenario and the sender of its orders."""
        self._deployment = deployment
        self._sender = sender

    def note(self, text: str) -> None:
        """Add a remark to the timeline entry of the current step."""
        self.notes.append(text)

    def require_upstream(self, name: str) -> str:
        """Return the name of an upstream.

        Raises:
            StepFailed: If the mesh has no such upstream.
        """
        known = sorted(self.deployment.targets)
        if name not in known:
            raise StepFailed(f"unknown upstream {name}; use one of {', '.join(known)}")
        return name

    def journal_path(self, upstream: str) -> Path:
        """Return the path of the journal of the current target of an upstream."""
        return self.directory / f"{self.deployment.targets[upstream].name}.journal"

    def read_records(self) -> TargetRecord:
        """Return the records of all targets, those of killed ones included."""
        parts = [read_journal(path) for path in self.directory.glob("*.journal")]
        return TargetRecord(
            [run for runs, _ in parts for run in runs],
            [mark for _, refused in parts for mark in refused],
        )

    def describe_unexpected_exits(self) -> list[str]:
        """Return a message about each process that ended although no step ended it."""
        return [
            child.describe("ended unexpectedly")
            for child in self.group.find_exited()
            if child.name not in self.expected_exits
        ]

    async def finish_loads(self) -> None:
        """Wait until all orders have their last answer and all commands have ended.

        If there were any, wait `SETTLE_S` more for runs on the targets to end.
        """
        if self.load_tasks:
            await asyncio.gather(*self.load_tasks)
            self.load_tasks.clear()
            await asyncio.sleep(SETTLE_S)

    async def count_violations(self, retry_bound: int) -> Violations:
        """Wait for the end of all loads and count the violations in the scenario.

        Args:
            retry_bound: Number of retries that one request may cause.
        """
        await self.finish_loads()
        classes = {c.name: c for c in self.deployment.plan.classes}
        return count_violations(
            self.attempts, self.read_records(), classes, retry_bound
        )

    async def control_target(self, upstream: str, **changes) -> None:
        """Change options of a target."""
        url = self.deployment.target_urls[self.require_upstream(upstream)]
        await asyncio.to_thread(post_json, f"{url}/.target/control", changes)

    async def control_log(self, **changes) -> None:
        """Change options of the log service."""
        url = f"{self.deployment.log_url}/control"
        await asyncio.to_thread(post_json, url, changes)

    async def close(self) -> None:
        """Resume paused processes, cancel loads, and close relays and connections."""
        for child in self.paused_processes:
            child.send_signal(signal.SIGCONT)
        for load in self.load_tasks:
            load.cancel()
        await asyncio.gather(*self.load_tasks, return_exceptions=True)
        for relay in self.relays.values():
            await relay.stop()
        if self._sender is not None:
            self._sender.close()


async def wait_until(description: str, condition) -> None:
    """Wait until a condition holds.

    Args:
        description: Clause that describes the condition.
        condition: Returns whether the condition holds; may block for some milliseconds.

    Raises:
        StepFailed: If the condition does not hold within `WAIT_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise StepFailed(
                f"timed out after {WAIT_TIMEOUT_S:g} s waiting until {description}"
            )
        await asyncio.sleep(WAIT_INTERVAL_S)
