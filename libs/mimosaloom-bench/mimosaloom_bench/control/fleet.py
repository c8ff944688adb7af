"""Runs the control planes of many nodes and a log service in one process."""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mimosaloom_control import ConfigRecord, encode_record
from mimosaloom_model import (
    Address,
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    SystemClock,
    TargetSettings,
)
from mimosaloom_node import ControlPlane, LocalNode
from mimosaloom_node.incarnation import new_incarnation
from mimosaloom_node.log_client import LogClient
from mimosaloom_standins import LogOptions, LogStore, build_log_application

__all__ = ["Fleet", "wait_until"]

SERVICE_NAME = "a"
DOMAIN_COUNT = 17
REGION_COUNT = 7
POLL_INTERVAL_S = 0.005
START_BATCH_SIZE = 20


async def wait_until(condition: Callable[[], bool], *, timeout_s: float) -> float:
    """Wait until a condition holds.

    Returns:
        The elapsed time in seconds; infinity if the timeout passed first.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > timeout_s:
            return float("inf")
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start_s


class Fleet:
    """A log service and the control planes of nodes in all failure domains.

    Args:
        seed: Seed of the random choices of all nodes.

    Attributes:
        planes: Control plane of each running node by node name.
    """

    def __init__(self, seed: int):
        self.planes: dict[str, ControlPlane] = {}
        self._seed = seed
        self._changes = 0
        self._log_store = LogStore(LogOptions(appends_per_s=1e6), time.monotonic())
        sockets = bind_sockets(0, "127.0.0.1")
        self._log_server = HTTPServer(build_log_application(self._log_store))
        self._log_server.add_sockets(sockets)
        self._log_url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    async def start(self, count: int) -> None:
        """Start nodes in batches, as a deployment does."""
        for number in range(count):
            await self._start_node(number)
            if number % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                await asyncio.sleep(POLL_INTERVAL_S)

    def change_resource(self) -> int:
        """Append a configuration change and return the offset after it."""
        self._changes += 1
        record = ConfigRecord(
            id=f"change-{self._changes}",
            kind="Service",
            name=f"s-{self._changes}",
            expected_revision=0,
            base_offset=0,
            spec={"calls": []},
        )
        value = msgspec.json.decode(encode_record(record))
        return self._log_store.append("config", value, time.monotonic()) + 1

    def stop_log(self) -> None:
        """Start an outage of the log service."""
        self._log_store.update_options({"is_down": True})

    def has_converged(self) -> bool:
        """Return whether all nodes have the same complete member table."""
        member_count = len(self.planes)
        planes = self.planes.values()
        has_all_members = all(len(p.network.index.live) == member_count for p in planes)
        return has_all_members and len({p.network.index.digest for p in planes}) == 1

    def receives_no_calls(self, name: str) -> bool:
        """Return whether no other node would send new calls to a node."""
        return not any(
            candidate.name == f"up-{name}" and not candidate.is_draining
            for plane in self.planes.values()
            for candidate in plane.candidates(SERVICE_NAME)
        )

    def kill(self, name: str) -> None:
        """Stop a node without an announcement to the others, as a crash does."""
        plane = self.planes.pop(name)
        plane.crash()

    def count_traffic(self) -> tuple[int, int]:
        """Return the messages and the bytes that all nodes have sent and received."""
        traffic = [p.network.links.traffic for p in self.planes.values()]
        messages = sum(t.sent_messages + t.received_messages for t in traffic)
        return messages, sum(t.sent_bytes + t.received_bytes for t in traffic)

    async def close(self) -> None:
        """Stop all nodes and the log service."""
        await asyncio.gather(*(plane.close() for plane in self.planes.values()))
        self._log_server.stop()

    async def _start_node(self, number: int) -> None:
        name = f"n-{number:04d}"
        domain = number % DOMAIN_COUNT
        settings = NodeSettings(
            NodeIdentity(name, f"r-{domain % REGION_COUNT}", f"z-{domain}"),
            TargetSettings(SERVICE_NAME, f"up-{name}", "http://127.0.0.1:9"),
            LogServiceSettings(self._log_url),
        )
        clock, rng = SystemClock(), random.Random(f"{self._seed}/{name}")
        client = LogClient(settings.log_service, clock, rng)
        plane = ControlPlane(settings, client, [], clock=clock, rng=rng)
        plane.open_listener()
        address = Address("127.0.0.1", 9)
        incarnation = new_incarnation(clock, rng)
        await plane.join(LocalNode(incarnation, address, address, 70, 500))
        self.planes[name] = plane
