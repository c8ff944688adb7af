"""Control parts of many nodes in one process, with a log service of their own."""

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
from mimosaloom_node import ControlPlane, Self
from mimosaloom_node.incarnation import new_incarnation
from mimosaloom_node.log_client import LogClient
from mimosaloom_standins import LogOptions, LogStore, build_log_application

__all__ = ["Fleet", "wait_until"]

SERVICE = "a"
DOMAINS = 17
REGIONS = 7
POLL_S = 0.005
START_BATCH = 20


async def wait_until(condition: Callable[[], bool], *, timeout_s: float) -> float:
    """Wait until a condition holds.

    Returns:
        The time it took in seconds; infinity if it did not hold in time.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > timeout_s:
            return float("inf")
        await asyncio.sleep(POLL_S)
    return time.monotonic() - start_s


class Fleet:
    """A log service and the control parts of nodes in all failure domains.

    Args:
        seed: Seed of the choices of all nodes.
    """

    def __init__(self, seed: int):
        self.planes: dict[str, ControlPlane] = {}
        self._seed = seed
        self._changes = 0
        self._store = LogStore(LogOptions(appends_per_s=1e6), time.monotonic())
        sockets = bind_sockets(0, "127.0.0.1")
        self._log = HTTPServer(build_log_application(self._store))
        self._log.add_sockets(sockets)
        self._log_url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    async def start(self, count: int) -> None:
        """Start nodes, a batch at a time as a deployment does."""
        for number in range(count):
            await self._start_node(number)
            if number % START_BATCH == START_BATCH - 1:
                await asyncio.sleep(POLL_S)

    def change_resource(self) -> int:
        """Append a change; return the offset after it."""
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
        return self._store.append("config", value, time.monotonic()) + 1

    def stop_log(self) -> None:
        """Begin an outage of the log service."""
        self._store.change({"is_down": True})

    def is_level(self) -> bool:
        """Whether all nodes know all nodes."""
        wanted = len(self.planes)
        planes = self.planes.values()
        is_known = all(len(p.network.index.live) == wanted for p in planes)
        return is_known and len({p.network.index.digest for p in planes}) == 1

    def gets_no_work(self, name: str) -> bool:
        """Whether no other node would send new calls to a node."""
        return not any(
            candidate.name == f"up-{name}" and not candidate.is_draining
            for plane in self.planes.values()
            for candidate in plane.candidates(SERVICE)
        )

    def kill(self, name: str) -> None:
        """End a node without a word to the others, as a crash does."""
        plane = self.planes.pop(name)
        plane.crash()

    def traffic(self) -> tuple[int, int]:
        """Return messages and bytes of all nodes, sent and received."""
        counted = [p.network.links.traffic for p in self.planes.values()]
        messages = sum(t.sent_messages + t.received_messages for t in counted)
        return messages, sum(t.sent_bytes + t.received_bytes for t in counted)

    async def close(self) -> None:
        """End all nodes and the log service."""
        await asyncio.gather(*(plane.close() for plane in self.planes.values()))
        self._log.stop()

    async def _start_node(self, number: int) -> None:
        name = f"n-{number:04d}"
        domain = number % DOMAINS
        settings = NodeSettings(
            NodeIdentity(name, f"r-{domain % REGIONS}", f"z-{domain}"),
            TargetSettings(SERVICE, f"up-{name}", "http://127.0.0.1:9"),
            LogServiceSettings(self._log_url),
        )
        clock, rng = SystemClock(), random.Random(f"{self._seed}/{name}")
        client = LogClient(settings.log_service, clock, rng)
        plane = ControlPlane(settings, client, [], clock=clock, rng=rng)
        plane.open_listener()
        address = Address("127.0.0.1", 9)
        incarnation = new_incarnation(clock, rng)
        await plane.join(Self(incarnation, address, address, 70, 500))
        self.planes[name] = plane
