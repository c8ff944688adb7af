"""Membership through the `members` stream of the log service."""

import asyncio
from datetime import timedelta

from eliot import log_message

from mimosaloom_model import NodeSettings
from mimosaloom_policy import Candidate

from .directory import (
    Directory,
    Member,
    announce_member,
    follow_members,
    record_leave,
)
from .log_client import Appended, LogClient
from .membership import Self

__all__ = ["LogMembership"]

LEAVE_GIVE_UP = timedelta(seconds=1)


class LogMembership:
    """Announces this node in the log and follows the other members there.

    Args:
        settings: Settings of the node.
        client: Client of the log service.
    """

    def __init__(self, settings: NodeSettings, client: LogClient):
        self._settings = settings
        self._client = client
        self._directory = Directory()
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
        """Announce this node and follow the others, both in the background."""
        self._member = _build_member(self._settings, own)
        self._tasks = [
            asyncio.ensure_future(self._announce(self._member)),
            asyncio.ensure_future(
                follow_members(self._client, self._directory, self._log_members)
            ),
        ]

    async def leave(self) -> None:
        """Record the leave; an outage of the log delays it by a second at most."""
        if self._member is None:
            return
        # An announcement that is still being repeated must not follow the leave.
        self._tasks[0].cancel()
        outcome = await record_leave(
            self._client, self._member, give_up_after=LEAVE_GIVE_UP
        )
        if not isinstance(outcome, Appended):
            log_message(message_type="leave_not_recorded", outcome=repr(outcome))

    async def close(self) -> None:
        """End the work in the background and close the client."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def _announce(self, member: Member) -> None:
        offset = await announce_member(self._client, member)
        log_message(message_type="announced", offset=offset)

    def _log_members(self) -> None:
        names = [member.name for member in self._directory.members()]
        log_message(message_type="members_changed", members=names)


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
        control_port=0,
        slots=own.slots,
        max_connections=own.max_connections,
        incarnation=own.incarnation,
    )
