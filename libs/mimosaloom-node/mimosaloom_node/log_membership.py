"""Members of the mesh as recorded in the log service."""

import asyncio
import random
from datetime import timedelta

from mimosaloom_model import Clock, NodeSettings
from mimosaloom_policy import Candidate

from .directory import (
    Directory,
    Member,
    announce_member,
    follow_members,
    record_leave,
)
from .log_client import LogClient
from .membership import Self

__all__ = ["LogMembership"]

LEAVE_GIVE_UP = timedelta(seconds=0.5)


class LogMembership:
    """Announces this node in the log and follows the others there.

    Args:
        settings: Settings of the node.
        clock: Source of time.
        rng: Source of record ids and of jitter.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, rng: random.Random):
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._directory = Directory()
        self._client: LogClient | None = None
        self._member: Member | None = None
        self._tasks: list[asyncio.Task] = []

    @property
    def version(self) -> int:
        """Return a number that changes with each change of the members."""
        return self._directory.version

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""
        return self._directory.candidates(service)

    async def join(self, own: Self) -> None:
        """Announce this node and begin to follow the others; returns at once."""
        client = LogClient(self._settings.log_service, self._clock, self._rng)
        wait = timedelta(seconds=self._settings.log_service.poll_interval_s)
        self._client = client
        self._member = _build_member(self._settings, own)
        follow = follow_members(client, self._directory, lambda: None, wait=wait)
        announce = announce_member(client, self._member)
        self._tasks = [asyncio.ensure_future(follow), asyncio.ensure_future(announce)]

    async def leave(self) -> None:
        """Record that this node leaves; gives up after a short time."""
        if self._client is None or self._member is None:
            return
        self._tasks[1].cancel()
        await record_leave(self._client, self._member, give_up_after=LEAVE_GIVE_UP)

    async def close(self) -> None:
        """End the work in the background."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._client is not None:
            self._client.close()


def _build_member(settings: NodeSettings, own: Self) -> Member:
    return Member(
        name=settings.node.name,
        region=settings.node.region,
        service=settings.target.service,
        upstream=settings.target.upstream,
        failure_domain=settings.node.failure_domain,
        host=own.ingress.host,
        ingress_port=own.ingress.port,
        admin_port=own.admin.port,
        # Nodes have no links of their own yet; operators' port stands in.
        control_port=own.admin.port,
        slots=own.slots,
        max_connections=own.max_connections,
        incarnation=own.incarnation,
    )
