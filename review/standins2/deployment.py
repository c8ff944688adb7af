"""A small deployment: a store, nodes with their upstreams, and clients that record."""

import asyncio
import contextlib
import itertools
import json
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from http_io import Message, call
from nodes import Node
from store import Store
from upstream import Upstream

__all__ = ["BROKEN", "HELD", "NOT_RUN", "Deployment", "Run", "Sent", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 30.0
HOST = "case.example"


class Run:
    """One run of a request at an upstream."""

    def __init__(self, request_id: str, upstream: Upstream, at_s: float):
        self.request_id, self.upstream, self.at_s = request_id, upstream, at_s


class Sent:
    """One request of a client, and the status of its answer; None without one."""

    def __init__(self, request_id: str, node: Node, path: str, at_s: float):
        self.request_id, self.node, self.path, self.at_s = request_id, node, path, at_s
        self.status: int | None = None
        self.ended_s: float | None = None


class Deployment:
    """Store, nodes and upstreams of one case.

    Attributes:
        runs: All runs at upstreams, in order.
        sent: All requests of clients by their id.
        lines: Lines of the record.
    """

    def __init__(self, folder: Path, budget_base: int = 49):
        self.store = Store()
        self.nodes: list[Node] = []
        self.upstreams: list[Upstream] = []
        self.runs: list[Run] = []
        self.sent: dict[str, Sent] = {}
        self.lines: list[str] = []
        self.services: list[str] = []
        self.start_s = time.monotonic()
        self._folder = folder
        self._budget_base = budget_base
        self._numbers = itertools.count(1)
        self._clients: set[asyncio.Task] = set()

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line to the record."""
        at_s = time.monotonic() if at_s is None else at_s
        self.lines.append(f"{at_s - self.start_s:9.3f} s  {text}")

    async def start(self, services: list[str], routes: list[dict]) -> None:
        """Start one node and one upstream for each entry of `services`."""
        await self.store.start()
        self.services = sorted(set(services))
        self.publish("r5", routes)
        for index, service in enumerate(services):
            node = Node(
                f"node-{index}",
                service,
                f"zone-{index % 3}",
                self.store.port,
                self._folder,
                self._budget_base,
            )
            self.nodes.append(node)
            upstream = Upstream(
                f"i-{index:08x}",
                service,
                node.zone,
                node.ports["target"],
                node.ports["admin"],
                self._record_run,
            )
            self.upstreams.append(upstream)
            node.start()
            await upstream.start()
        for node in self.nodes:
            if not await node.wait_until_ready(READY_TIMEOUT_S):
                raise RuntimeError(f"{node.name} did not become ready")
        # The nodes learn of each other and of the upstreams meanwhile.
        await asyncio.sleep(4.0)

    def publish(self, version: str, routes: list[dict]) -> None:
        """Put a configuration in force, as the operator does."""
        document = {
            "version": version,
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConns": 500}
                for name in self.services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "vhosts": [{"host": HOST, "paths": routes}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def close(self) -> None:
        """End all processes and tasks."""
        for task in self._clients:
            task.cancel()
        for upstream in self.upstreams:
            upstream.close()
        for node in self.nodes:
            node.kill()
        self.store.close()

    def send(
        self, node: Node, method: str, path: str, timeout_ms: int = 3000
    ) -> asyncio.Task:
        """Send a request of a client on the machine of a node."""
        request_id = f"c{next(self._numbers):06d}"
        sent = Sent(request_id, node, path, time.monotonic())
        self.sent[sent.request_id] = sent
        task = asyncio.ensure_future(self._send(sent, method, path, timeout_ms))
        self._clients.add(task)
        task.add_done_callback(self._clients.discard)
        return task

    async def _send(self, sent: Sent, method: str, path: str, timeout_ms: int) -> None:
        headers = {
            "Host": HOST,
            "Mimosaloom-Attempt-Id": sent.request_id,
            "Mimosaloom-Timeout-Ms": str(timeout_ms),
        }
        port = sent.node.ports["outbound"]
        answer = await call(
            "127.0.0.1", port, method, path, headers, timeout_s=timeout_ms / 1000 + 1
        )
        sent.status = None if answer is None else answer.status
        sent.ended_s = time.monotonic()

    def start_clients(
        self, node: Node, method: str, path: str, per_s: float, timeout_ms: int = 3000
    ) -> asyncio.Task:
        """Send requests at a steady rate until the returned task is cancelled."""

        async def run() -> None:
            next_s = time.monotonic()
            while True:
                self.send(node, method, path, timeout_ms)
                next_s += 1 / per_s
                await asyncio.sleep(max(0.0, next_s - time.monotonic()))

        task = asyncio.ensure_future(run())
        self._clients.add(task)
        return task

    def _record_run(self, request_id: str, upstream: Upstream, _: Message) -> None:
        self.runs.append(Run(request_id, upstream, time.monotonic()))

    def write_record(self, path: Path) -> None:
        """Write what was noted, sent, answered and run."""
        rows = [
            (sent.at_s, f"sent {sent.request_id} to {sent.node.name}, {sent.path}")
            for sent in self.sent.values()
        ]
        rows += [
            (sent.ended_s, f"answered {sent.request_id} with {sent.status}")
            for sent in self.sent.values()
            if sent.ended_s is not None
        ]
        rows += [
            (run.at_s, f"run {run.request_id} at {run.upstream.instance_id}")
            for run in self.runs
        ]
        rows.sort()
        text = [f"{at_s - self.start_s:9.3f} s  {row}" for at_s, row in rows]
        path.write_text("\n".join([*self.lines, "", *text]) + "\n", encoding="utf-8")


def run_case(
    play: Callable[[Deployment], Awaitable[int]], record: Path, **options
) -> None:
    """Play a case, write its record and exit with its result."""

    async def run(folder: Path) -> int:
        deployment = Deployment(folder, **options)
        result = NOT_RUN
        # All processes are ended also if the script is told to end.
        playing = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            async with asyncio.timeout(110):
                result = await play(deployment)
        except (RuntimeError, OSError, TimeoutError) as error:
            deployment.note(f"the case could not run: {error!r}")
        finally:
            deployment.close()
            deployment.note(f"result {result}")
            deployment.write_record(record)
            print("\n".join(deployment.lines))
        return result

    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.suppress(KeyboardInterrupt),
    ):
        sys.exit(asyncio.run(run(Path(folder))))
