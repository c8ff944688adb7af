"""Runs some nodes with their targets and one store on loopback, in this process."""

import asyncio
import contextlib
import itertools
import random

import msgspec
from platform_adapter.standins import FakeTarget, build_document
from platform_adapter.store_standin import FakeStore
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address, SystemClock
from mimosaloom_platform.announcements import build_announcement_handler
from mimosaloom_platform.configuration import decode_configuration
from mimosaloom_platform.headers import HEADER_NAMES
from mimosaloom_platform.program import connect_store
from mimosaloom_platform.store import StoreClient
from mimosaloom_policy import Backoff
from mimosaloom_relay import (
    HttpClient,
    Listeners,
    RelayMetrics,
    RelayNode,
    RelaySettings,
    SharedRetryBudget,
    decode_record,
    new_event_loop,
)

ANY_PORT = Address("127.0.0.1", 0)
WAIT_TIMEOUT_S = 5.0


class Member:
    """A node with the target beside it.

    Attributes:
        node: The node.
        target: The target.
        sequence: Number of the last heartbeat that was sent for the target.
    """

    def __init__(self, node: RelayNode, target: FakeTarget, client: HttpClient):
        self.node = node
        self.target = target
        self.sequence = 0
        self._client = client

    def sees_all_available(self, members: dict[str, "Member"]) -> bool:
        """Whether this node knows the targets of all members as available."""
        peers = self.node.upstreams.peers
        records = [peers.get(name) for name in members]
        return all(record is not None and record.is_available for record in records)

    async def announce(self, state: str = "ready", **fields) -> Response:
        """Send a heartbeat of the target.

        Args:
            state: State of the target.
            **fields: Further fields of the body, or other values of its fields.
        """
        self.sequence += 1
        settings = self.node.settings
        body = {
            "address": f"{settings.target.host}:{settings.target.port}",
            "info": {"service": settings.service, "zone": "z", "slots": 8},
            "status": {"state": state, "seq": self.sequence, "coldLeftMs": 0},
            **fields,
        }
        path = f"/-/instances/{self.target.target_id}"
        return await self.call(
            self.node.addresses.announcements, "PUT", path, msgspec.json.encode(body)
        )

    async def leave(self, body: bytes = b"") -> Response:
        """Announce that the target has left."""
        path = f"/-/instances/{self.target.target_id}"
        address = self.node.addresses.announcements
        return await self.call(address, "DELETE", path, body)

    async def send_request(
        self, path: str, request_id: str = "id-1", **options
    ) -> Response:
        """Send a request as a client on this instance does.

        Args:
            path: Path with the query.
            request_id: Id of the request.
            **options: `headers`, `host`, `timeout_ms`, `method` and `body`.
        """
        headers = options.pop("headers", ())
        headers = (
            ("Host", options.pop("host", "h.example")),
            ("Mimosaloom-Attempt-Id", request_id),
            ("Mimosaloom-Timeout-Ms", str(options.pop("timeout_ms", 3000))),
            *headers,
        )
        method = options.pop("method", "GET")
        body = options.pop("body", b"")
        address = self.node.addresses.outbound
        return await self.call(address, method, path, body, headers)

    async def call(self, address, method, path, body=b"", headers=()) -> Response:
        """Send a request to an address of the node."""
        outcome = await self._client.send(
            address, Request(method, path, headers, body), needs_fresh_connection=True
        )
        if outcome.streamed_body is None:
            return outcome.response
        body = b"".join([piece async for piece in outcome.streamed_body.pieces()])
        assert outcome.streamed_body.is_complete
        return outcome.response._replace(body=body)


class Cluster:
    """Members by the name of their node, with the store that they share."""

    def __init__(self):
        self.store = FakeStore()
        self.store_url = ""
        self.members: dict[str, Member] = {}
        self.client = HttpClient(SystemClock(), lambda: None)
        self.tasks: list[asyncio.Task] = []
        self._start_numbers = itertools.count()

    async def add_member(self, name: str, service: str, **options) -> Member:
        """Start a node and its target; the target does not announce itself yet.

        Args:
            name: Name of the node.
            service: Service of the target.
            **options: `target`, a running target to use instead of a new one;
                `target_id`, the id of a new target; `base`, the base of the retry
                budget; `grace_s`, the time in seconds between the stop signal and the
                kill of the process; `listen`, the addresses of the node.
        """
        target = options.get("target")
        if target is None:
            target = FakeTarget(options.get("target_id", f"i-{name}"))
            await target.listen()
        settings = RelaySettings(
            name=name,
            failure_domain="z",
            service=service,
            target=Address("127.0.0.1", target.port),
            listen=options.get("listen", Listeners(*[ANY_PORT] * 5)),
            retry_budget=SharedRetryBudget(0.2, options.get("base", 50.0), 10.0),
            grace_s=options.get("grace_s", 1.0),
        )
        rng = random.Random(len(self.members))
        node = RelayNode(
            settings,
            HEADER_NAMES,
            f"{name}-{next(self._start_numbers)}",
            decode_configuration,
            clock=SystemClock(),
            rng=rng,
            metrics=RelayMetrics(),
        )
        store = StoreClient(self.store_url)
        backoff = lambda: Backoff(rng, base_s=0.01, cap_s=0.05)  # noqa: E731
        self.tasks += connect_store(
            node, store, backoff, SystemClock(), store_reads_per_s=2000
        )
        handler = build_announcement_handler(
            node.apply_heartbeat,
            node.mark_target_left,
            node.spread_leave,
            node.metrics.count_ignored,
        )
        await node.start(handler)
        member = self.members[name] = Member(node, target, self.client)
        return member

    async def restart(self, name: str, **options) -> Member:
        """Kill a node and start it again while its target keeps running.

        Args:
            name: Name of the node.
            **options: Further options of `add_member`.
        """
        old = self.members[name]
        old.node.own_record.send = lambda record: None
        old.node.quarantine.publish = lambda news: None
        await old.node.close()
        service = old.node.settings.service
        new = await self.add_member(name, service, target=old.target, **options)
        new.sequence = old.sequence
        return new

    async def configure(self, version: int, routes: list[dict], **fields) -> None:
        """Publish a configuration and wait until it is in force at all nodes.

        Args:
            version: Number of the version.
            routes: Routes, see `build_document`.
            **fields: Further fields of the document.
        """
        services = {m.node.settings.service for m in self.members.values()}
        services |= {route["service"] for route in routes if "service" in route}
        document = build_document(version, routes, sorted(services), **fields)
        self.store.put("keyed.op", "config", document)
        for member in self.members.values():
            await wait_until(lambda m=member: m.node.version >= version)

    def is_leaving_in_store(self, name: str) -> bool:
        """Return whether the store's record of a node says that its target leaves."""
        value = self.store.newest_values("keyed.nodes").get(name)
        return value is not None and decode_record(value).is_leaving

    async def announce_all(self) -> None:
        """Announce all targets and wait until all nodes know them as available."""
        for member in self.members.values():
            await member.announce()
        for member in self.members.values():
            await wait_until(lambda m=member: m.sees_all_available(self.members))

    async def close(self) -> None:
        """Close all nodes and targets."""
        for task in self.tasks:
            task.cancel()
        for member in self.members.values():
            await member.node.close()
            member.target.close()


async def wait_until(condition) -> None:
    """Wait until a condition holds; raise TimeoutError if it does not in time."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def run_cluster(scenario) -> None:
    """Run a coroutine function in an event loop, with an empty cluster."""

    async def run() -> None:
        cluster = Cluster()
        server = HTTPServer(cluster.store.build_application())
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        cluster.store_url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        try:
            await scenario(cluster)
        finally:
            await cluster.close()
            server.stop()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(server.close_all_connections(), 1)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())
