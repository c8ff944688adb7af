"""Two nodes as processes, with their targets and the store, for a crowd of clients."""

import asyncio
import contextlib
import itertools
import os
import random
import sys
import time
from pathlib import Path
from typing import NamedTuple

from client_crowds.crowds import CROWDS, MAX_HEADER_BYTES, TIMEOUT_MS
from client_crowds.process_usage import read_peak_resident_bytes, read_usage
from platform_adapter.standins import build_document
from platform_adapter.store_standin import FakeStore
from soak.callers import call_once
from soak.machines import OUTBOUND_PORT, READY_PORT, NodeProcess, build_machines
from soak.operations import CONFIG_KEY, CONFIG_TOPIC
from soak.stores import StoreView
from soak.targets import Run, TargetHost

from mimosaloom_model import Address

__all__ = ["MEMORY_BYTES", "Nodes", "PeakUse", "run_crowd"]

ROOT = Path(__file__).parents[2]
SERVICES = ["alpha", "beta"]
# The project's own goal for a node; the smallest instances of users have 200 MB.
MEMORY_MB = 128
MEMORY_BYTES = MEMORY_MB * 10**6
MAX_BODY_BYTES = 16 * 1024 * 1024
START_TIMEOUT_S = 60.0
SAMPLE_INTERVAL_S = 0.1
# How long a crowd stays, and how long after it an ordinary request is sent.
CROWD_S = 10.0
AFTERWARDS_S = 3.0
# Time of an ordinary request; its client waits a little longer.
REQUEST_TIMEOUT_MS = 5000
CLIENT_TIMEOUT_S = 6.0
# Networks of the soaks that may run beside.
NETWORK_COUNT = 250


class PeakUse(NamedTuple):
    """Largest use of any node while a crowd was there.

    Attributes:
        memory_bytes: Resident memory and bytes received and not read.
        descriptors: Open descriptors.
        sockets: Open sockets.
    """

    memory_bytes: int
    descriptors: int
    sockets: int


class Nodes:
    """A node that clients call, and one in front of the target that answers them.

    Args:
        folder: Receives settings and logs.
        max_fds: Descriptors that the settings allow each node.
        limits: Limits in the configuration, where they differ from the usual ones.

    Attributes:
        runs: Runs of requests at the targets.
    """

    def __init__(self, folder: Path, max_fds: int = 4100, **limits: int):
        self.runs: list[Run] = []
        self._store = FakeStore()
        rng = random.Random(1)
        self.machines = build_machines(os.getpid() % NETWORK_COUNT, SERVICES, 1)
        settings = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {max_fds}\n"
        self.processes = [
            NodeProcess(machine, folder, ROOT, settings) for machine in self.machines
        ]
        self._views = [
            StoreView(self._store, machine, has_links=False)
            for machine in self.machines
        ]
        now_ms = lambda: int(1000 * time.time())  # noqa: E731
        self._targets = [
            TargetHost(
                machine, self.runs, rng, now_ms, lambda line, headers, body: False
            )
            for machine in self.machines
        ]
        self._limits = {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15_000,
            **limits,
        }
        self._ids = itertools.count()

    @property
    def outbound(self) -> Address:
        """Address where clients reach the first node."""
        return self.machines[0].address(OUTBOUND_PORT)

    async def start(self) -> None:
        """Start all, and wait until a request is answered."""
        route = {"pathPrefix": "/often-beta/", "service": "beta"}
        route["timeoutMs"] = TIMEOUT_MS
        document = build_document(1, [route], SERVICES, limits=self._limits)
        self._store.put(CONFIG_TOPIC, CONFIG_KEY, document)
        for view, target, process in zip(
            self._views, self._targets, self.processes, strict=True
        ):
            view.open()
            await target.start()
            await process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in self.machines:
                while not await self._is_ready(machine.address(READY_PORT)):
                    await asyncio.sleep(0.1)
            while await self.send_request() != 200:
                await asyncio.sleep(0.1)

    async def _is_ready(self, address: Address) -> bool:
        try:
            return await call_once(address, "GET", "/-/readyz", timeout_s=1.0) == 200
        except (OSError, TimeoutError):
            return False

    async def send_request(self, head: bytes | None = None, body: bytes = b"") -> int:
        """Send a request on a new connection.

        Args:
            head: Its head; by default that of an ordinary request.
            body: Its body as encoded.

        Returns:
            Status of the answer; 0 if there is none.
        """
        if head is None:
            head = (
                f"GET /often-beta/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Mimosaloom-Attempt-Id: ordinary-{next(self._ids)}\r\n"
                f"Mimosaloom-Timeout-Ms: {REQUEST_TIMEOUT_MS}\r\n\r\n"
            ).encode()
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.outbound)
                try:
                    writer.write(head + body)
                    line = await reader.readline()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return 0
        return int(line.split()[1]) if line else 0

    @contextlib.asynccontextmanager
    async def endless_answers(self, name: str):
        """Let an endless target take the place of that of the second node."""
        host, target = self.machines[1].host, self._targets[1].target
        target.crash()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "client_crowds.endless_target",
            name,
            host,
            str(target.port),
            cwd=ROOT / "tests",
        )
        try:
            yield
        finally:
            process.kill()
            await process.wait()
            await target.listen_at(host)

    async def watch(self, duration_s: float) -> PeakUse:
        """Return the largest use of the nodes within a time."""
        peak = PeakUse(0, 0, 0)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            for process in self.processes:
                use = read_usage(process.pid)
                peak = PeakUse(
                    max(peak.memory_bytes, use.resident_bytes + use.unread_bytes),
                    max(peak.descriptors, use.descriptors),
                    max(peak.sockets, use.sockets),
                )
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        resident_bytes = max(read_peak_resident_bytes(p.pid) for p in self.processes)
        return peak._replace(memory_bytes=max(peak.memory_bytes, resident_bytes))

    async def close(self) -> None:
        """End all processes."""
        for view, target, process in zip(
            self._views, self._targets, self.processes, strict=True
        ):
            target.crash()
            await process.kill()
            await view.close()


async def run_crowd(name: str, nodes: Nodes) -> PeakUse:
    """Let a crowd come, stay and leave; return the largest use of the nodes."""
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "client_crowds.crowds",
        name,
        nodes.outbound.host,
        str(nodes.outbound.port),
        cwd=ROOT / "tests",
        stdin=asyncio.subprocess.PIPE,
    )
    try:
        peak = await nodes.watch(CROWD_S)
    finally:
        crowd.stdin.close()
        await crowd.wait()
    assert name in CROWDS
    assert crowd.returncode == 0
    return peak
