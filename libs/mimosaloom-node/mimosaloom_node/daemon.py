"""The node daemon: listeners, data path, membership and graceful stop."""

import asyncio
import random
import signal
from collections.abc import Callable
from datetime import timedelta

from eliot import log_message

from mimosaloom_mesh import (
    DataPath,
    MeshMetrics,
    Place,
    TargetLink,
    Transport,
    WholeRequestServer,
    build_caller,
    build_data_path,
)
from mimosaloom_mesh.owners import format_owner
from mimosaloom_mesh.server import Handler
from mimosaloom_model import Address, Catalog, Clock, NodeSettings, Upstream

from .admin import Admin
from .claims_log import LogClaims
from .incarnation import new_incarnation
from .logs import log_listening
from .membership import LocalNode, Membership, NodeDirectory
from .stopping import drain_data_path, wait_until_quiet

__all__ = ["Node", "run_until_stopped"]

LEAVE_TIMEOUT = timedelta(seconds=1)
INGRESS_QUIET_TIMEOUT_S = 2.0
# Used for a target whose upstream is not declared in the resources yet.
UNDECLARED_SLOTS = 8
UNDECLARED_MAX_CONNECTIONS = 64


class Node:
    """A node with its listeners, data path and membership.

    Args:
        settings: Settings of the node.
        catalog: Resources in force at the start.
        membership: Members of the mesh.
        clock: Source of time.
        rng: Source of ids and random choices.
        build_claims: Creates the `LogClaims` for a claimant, see `format_owner`. If
            None, idempotency keys supplied by callers are refused.

    Attributes:
        settings: Settings of the node.
        incarnation: Incarnation of this process.
        directory: Resources in force and members of the mesh.
        metrics: Metrics of the data path.
        addresses: Address of each open listener, by name.
        stop_requested: Set to make `run_until_stopped` stop the node.
        data_path: Path of the calls through this node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        catalog: Catalog,
        membership: Membership,
        *,
        clock: Clock,
        rng: random.Random,
        build_claims: Callable[[str], LogClaims] | None = None,
    ):
        self.settings = settings
        self.incarnation = new_incarnation(clock, rng)
        self.directory = NodeDirectory(catalog, membership)
        self.metrics = MeshMetrics()
        self.addresses: dict[str, Address] = {}
        self.stop_requested = asyncio.Event()
        self._clock = clock
        self._membership = membership
        self._transport = Transport()
        self._upstream = _find_upstream(settings, catalog)
        owner = format_owner(settings.target.upstream, self.incarnation)
        self._claims = None if build_claims is None else build_claims(owner)
        self._target = TargetLink(
            settings.target.url, self._transport, self._upstream.max_connections
        )
        self.data_path = self._build_data_path(clock, rng)
        self._tick_task: asyncio.Task | None = None
        admin = Admin(
            settings,
            self.incarnation,
            self.data_path,
            self.stop_requested.set,
            membership.describe,
        )
        self._servers = {
            "ingress": self._build_server(self.data_path.ingress.handle),
            "egress": self._build_server(self.data_path.egress.handle),
            "admin": self._build_server(admin.handle),
        }

    async def start(self) -> None:
        """Open the listeners and join the mesh."""
        wanted = self.settings.listen._asdict()
        for name, server in self._servers.items():
            self.addresses[name] = server.listen(wanted[name])
        control = self._membership.open_listener()
        if control is not None:
            self.addresses["control"] = control
        log_listening(self.addresses, self.incarnation)
        self._tick_task = asyncio.ensure_future(self.data_path.gate.run_ticks())
        own = LocalNode(
            self.incarnation,
            self.addresses["ingress"],
            self.addresses["admin"],
            self._upstream.slots,
            self._upstream.max_connections,
        )
        await self._membership.join(own)
        if self._claims is not None:
            await self._claims.start()

    async def stop(self) -> None:
        """Drain the node, wait for calls in flight and close everything."""
        leave_task = asyncio.ensure_future(self._leave())
        timeout_s = self.settings.limits.drain_timeout_s
        await drain_data_path(self.data_path, self._clock, timeout_s=timeout_s)
        ingress = self._servers["ingress"]
        ingress.stop_accepting()
        await wait_until_quiet(ingress, self._clock, timeout_s=INGRESS_QUIET_TIMEOUT_S)
        await leave_task
        await self.close()
        log_message(message_type="stopped")

    async def close(self) -> None:
        """Close listeners and connections once the answers in progress are written."""
        for server in self._servers.values():
            await server.stop()
        await self._target.stop()
        await self._membership.close()
        if self._claims is not None:
            await self._claims.close()
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._transport.close()

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT.total_seconds()):
                await self._membership.leave()
        except TimeoutError:
            log_message(message_type="leave_not_recorded")

    def _build_data_path(self, clock: Clock, rng: random.Random) -> DataPath:
        settings = self.settings
        caller = build_caller(
            settings.node.name,
            settings.node.failure_domain,
            self.directory,
            own_service=settings.target.service,
            clock=clock,
            rng=rng,
            transport=self._transport,
            metrics=self.metrics,
        )
        place = Place(
            name=settings.node.name,
            failure_domain=settings.node.failure_domain,
            service=settings.target.service,
            upstream=settings.target.upstream,
            incarnation=self.incarnation,
            slots=self._upstream.slots,
            queue_capacity=settings.limits.queue_capacity,
            max_context_bytes=settings.limits.max_context_bytes,
        )
        return build_data_path(
            place, caller, self._transport, self._target.execute, self._claims
        )

    def _build_server(self, handle: Handler) -> WholeRequestServer:
        return WholeRequestServer(
            handle,
            clock=self._clock,
            max_body_bytes=self.settings.limits.max_body_bytes,
            count_refusal=self.metrics.count_refusal,
        )


async def run_until_stopped(node: Node) -> None:
    """Run a node until SIGTERM, SIGINT or `POST /drain`, then stop it gracefully."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop_requested.set)
    await node.start()
    await node.stop_requested.wait()
    await node.stop()


def _find_upstream(settings: NodeSettings, catalog: Catalog) -> Upstream:
    target = settings.target
    declared = catalog.upstreams.get(target.upstream)
    if declared is not None:
        return declared
    return Upstream(
        target.upstream,
        target.service,
        settings.node.failure_domain,
        UNDECLARED_SLOTS,
        UNDECLARED_MAX_CONNECTIONS,
    )
