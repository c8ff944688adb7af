"""Control planes of several nodes on loopback, with their own log service."""

import asyncio
import random
import time

import msgspec
from mesh.fakes import ANY_PORT
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mimosaloom_control import ConfigRecord, encode_record
from mimosaloom_model import (
    Address,
    ListenSettings,
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    SystemClock,
    TargetSettings,
)
from mimosaloom_node import ControlPlane, LinkTiming, LocalNode
from mimosaloom_node.incarnation import new_incarnation
from mimosaloom_node.log_client import LogClient
from mimosaloom_standins import LogOptions, LogStore, build_log_application

FAST = LinkTiming(
    heartbeat_interval_s=0.05,
    timeout_s=1.0,
    probe_interval_heartbeats=4,
    request_timeout_s=0.5,
)


async def until(condition):
    """Wait until a condition holds; only the timeout of the test limits the wait."""
    while not condition():
        await asyncio.sleep(0.01)


class ControlMesh:
    """A log service and the control planes of nodes without a data path."""

    def __init__(self, **options):
        self.store = LogStore(
            LogOptions(appends_per_s=1e6, **options), time.monotonic()
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.log = HTTPServer(build_log_application(self.store))
        self.log.add_sockets(sockets)
        self.log_url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        self.planes = {}
        self.catalogs = {}

    def append(self, kind, name, spec, *, expected_revision=0, record_id=None):
        """Append a configuration change to the log, like an operator's command."""
        record = ConfigRecord(
            id=record_id or f"{kind}-{name}-{random.getrandbits(64):x}",
            kind=kind,
            name=name,
            expected_revision=expected_revision,
            base_offset=0,
            spec=spec,
        )
        value = msgspec.json.decode(encode_record(record))
        return self.store.append("config", value, time.monotonic())

    def build(self, name, *, domain="z1", documents=(), port=0, **arguments):
        """Return the control plane of a node without starting it."""
        settings = NodeSettings(
            NodeIdentity(name, "r1", domain),
            TargetSettings("a", f"up-{name}", "http://127.0.0.1:9"),
            LogServiceSettings(self.log_url, timeout_s=1.0),
            ListenSettings(control=Address("127.0.0.1", port)),
        )
        clock, rng = SystemClock(), random.Random(name)
        client = LogClient(settings.log_service, clock, rng)
        arguments = {"timing": FAST, **arguments}
        return ControlPlane(
            settings, client, documents, clock=clock, rng=rng, **arguments
        )

    async def start(self, name, *, incarnation=None, **arguments):
        """Start the control plane of a node."""
        plane = self.planes[name] = self.build(name, **arguments)
        plane.on_catalog_changed = lambda catalog: self.catalogs.update({name: catalog})
        plane.address = plane.open_listener()
        incarnation = incarnation or new_incarnation(SystemClock(), random.Random())
        await plane.join(LocalNode(incarnation, ANY_PORT, ANY_PORT, 4, 16))
        return plane

    async def start_many(self, names, **arguments):
        """Start nodes and wait until all know each other and have reachable peers."""
        planes = [await self.start(name, **arguments) for name in names]
        await until(
            lambda: all(len(p.network.index.live) == len(names) for p in planes)
        )
        await until(lambda: all(p.network.list_reachable_peers() for p in planes))
        return planes

    async def close(self):
        """Stop all nodes and the log service."""
        await asyncio.gather(*(plane.close() for plane in self.planes.values()))
        self.log.stop()
