"""Control plane of a node: configuration, links to peers and membership."""

import asyncio
import random
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
from eliot import log_message

from mimosaloom_control import Leave, Member, MemberUpdate
from mimosaloom_model import Address, Catalog, Clock, NodeSettings, ResourceDocument
from mimosaloom_policy import Candidate

from .config_follower import ConfigFollower, SnapshotPlan
from .config_state import ConfigState
from .log_client import Appended, LogClient, OffsetExpired, Page
from .membership import LocalNode
from .peer_network import PeerNetwork
from .peers import LinkTiming

__all__ = ["MEMBERS_STREAM", "ControlPlane"]

MEMBERS_STREAM = "members"
ANNOUNCE_TIMEOUT = timedelta(seconds=30)
LEAVE_TIMEOUT = timedelta(seconds=1)
READ_WAIT = timedelta(seconds=5)
READER_CHECK_INTERVAL_S = 0.5
# Readers repeat their announcement before the record expires, so that the stream always
# names members that a starting node can contact.
ANNOUNCE_INTERVAL_S = 3_600.0


class ControlPlane:
    """Maintains the membership over links and the configuration from log or peers.

    The members are announced in the stream `members` of the log service. Nodes then
    exchange membership updates over the links between them.

    Args:
        settings: Settings of the node.
        client: Client of the log service; `close` closes it.
        documents: Resources in force until the log has been read.
        clock: Source of time.
        rng: Source of random choices.
        timing: Timing of the links.
        plan: Schedule of the snapshots.
        contacts: Addresses of peers to try in addition to those in the log.

    Attributes:
        on_catalog_changed: Called with the new catalog whenever it changes; set by the
            caller.
        config: Configuration read from the log or received from peers.
        network: Membership and exchange with peers.
        follower: Reader of the configuration in the log.
    """

    def __init__(
        self,
        settings: NodeSettings,
        client: LogClient,
        documents: Iterable[ResourceDocument],
        *,
        clock: Clock,
        rng: random.Random,
        timing: LinkTiming | None = None,
        plan: SnapshotPlan | None = None,
        contacts: Iterable[Address] = (),
    ):
        self.on_catalog_changed: Callable[[Catalog], None] = lambda catalog: None
        self.config = ConfigState(documents, lambda c: self.on_catalog_changed(c))
        self.network = PeerNetwork(
            settings,
            self.config,
            clock=clock,
            rng=rng,
            timing=timing or LinkTiming(),
            contacts=contacts,
        )
        index = self.network.index
        self.follower = ConfigFollower(
            client,
            self.config,
            clock=clock,
            is_reader=index.is_reader,
            is_snapshot_writer=index.is_snapshot_writer,
            plan=plan,
        )
        self._settings = settings
        self._client = client
        self._control_address: Address | None = None
        self._members_offset = 0
        self._announce_task: asyncio.Task | None = None
        self._tasks: list[asyncio.Task] = []

    @property
    def version(self) -> int:
        """Return a number that changes whenever the members change."""
        return self.network.index.version

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""
        return self.network.index.candidates(service)

    def open_listener(self) -> Address:
        """Open the control listener for other nodes and return its address."""
        self._control_address = self.network.links.listen(self._settings.listen.control)
        return self._control_address

    def describe(self) -> dict:
        """Return the status fields for operators."""
        config = {**self.config.status(), **self.follower.status()}
        return {"config": config, "control": self.network.status()}

    async def join(self, own: LocalNode) -> None:
        """Announce this node and start to follow the others; returns immediately."""
        self.network.join(_build_member(self._settings, own, self._control_address))
        self._announce_task = asyncio.ensure_future(self._announce())
        self._tasks = [
            asyncio.ensure_future(_log_failure(coroutine))
            for coroutine in (
                self.network.links.receive(),
                self.network.run(),
                self.follower.run(),
                self._follow_members(),
            )
        ]

    async def leave(self) -> None:
        """Notify the peers of the drain immediately, then record the leave in the log.

        The append to the log is abandoned after `LEAVE_TIMEOUT`.
        """
        if self.network.announcer is None:
            return
        self.network.publish(self.network.announcer.drain())
        # A pending retry of the announcement must not be appended after the leave.
        self._announce_task.cancel()
        current = self.network.announcer.current_update()
        leave = Leave(
            id=f"{current.id}/leave", member=current.member, sequence=current.sequence
        )
        outcome = await self._append(leave, LEAVE_TIMEOUT)
        if not isinstance(outcome, Appended):
            log_message(message_type="leave_not_recorded", outcome=repr(outcome))

    def crash(self) -> None:
        """Stop without notifying anyone, like a killed process; for benchmarks."""
        self.network.links.stop_receiving()
        for task in [*self._tasks, self._announce_task]:
            if task is not None:
                task.cancel()
        self.network.links.abort()
        self._client.close()

    async def close(self) -> None:
        """Notify the peers that this incarnation ends, then stop all tasks."""
        self.network.links.stop_receiving()
        tasks = [*self._tasks, *([self._announce_task] if self._announce_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.network.announcer is not None:
            self.network.publish(self.network.announcer.leave())
        await self.network.links.close()
        self._client.close()

    async def _announce(self) -> None:
        while True:
            outcome = await self._append(
                self.network.announcer.current_update(), ANNOUNCE_TIMEOUT
            )
            if not isinstance(outcome, Appended):
                continue
            log_message(message_type="announced", offset=outcome.offset)
            while True:
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)
                if self.network.index.is_reader():
                    break

    async def _append(self, update: MemberUpdate, timeout: timedelta) -> object:
        record = msgspec.to_builtins(update)
        return await self._client.append(MEMBERS_STREAM, record, timeout=timeout)

    async def _follow_members(self) -> None:
        """Read the stream of members to its end, then read on only when needed.

        That is while this node is a reader or has no reachable peer.
        """
        backoff = self._client.new_backoff()
        is_caught_up = False
        while True:
            has_peers = bool(self.network.list_reachable_peers())
            if is_caught_up and has_peers and not self.network.index.is_reader():
                await self._client.wait(READER_CHECK_INTERVAL_S)
                continue
            wait = READ_WAIT if is_caught_up else timedelta(0)
            outcome = await self._client.read(
                MEMBERS_STREAM, self._members_offset, wait=wait
            )
            if isinstance(outcome, Page):
                backoff.reset()
                is_caught_up = not outcome.records
                self._apply_member_records(outcome)
            elif isinstance(outcome, OffsetExpired) and (
                outcome.first_offset > self._members_offset
            ):
                self._members_offset = outcome.first_offset
            else:
                await self._client.wait(backoff.next_delay_s())

    def _apply_member_records(self, page: Page) -> None:
        self._members_offset = max(self._members_offset, page.next_offset)
        for record in page.records:
            try:
                update = msgspec.convert(record.value, MemberUpdate)
            except msgspec.ValidationError as error:
                log_message(
                    message_type="bad_member_record",
                    offset=record.offset,
                    error=str(error),
                )
                continue
            self.network.apply_logged_update(update)


async def _log_failure(coroutine: object) -> None:
    """Log an exception that ends a background task; nothing else would report it."""
    try:
        await coroutine
    except Exception as error:
        log_message(message_type="control_failed", error=repr(error))
        raise


def _build_member(
    settings: NodeSettings, own: LocalNode, control: Address | None
) -> Member:
    return Member(
        name=settings.node.name,
        region=settings.node.region,
        service=settings.target.service,
        upstream=settings.target.upstream,
        failure_domain=settings.node.failure_domain,
        host=own.ingress.host,
        ingress_port=own.ingress.port,
        admin_port=own.admin.port,
        control_port=control.port if control else 0,
        slots=own.slots,
        max_connections=own.max_connections,
        incarnation=own.incarnation,
    )
