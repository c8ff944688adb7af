"""Membership of the mesh: its members, and how this node joins and leaves it."""

from typing import NamedTuple, Protocol

from mimosaloom_model import Address, Catalog
from mimosaloom_policy import Candidate

__all__ = ["FixedMembership", "LocalNode", "Membership", "NodeDirectory"]


class LocalNode(NamedTuple):
    """Data about this node that it announces to the other members.

    Attributes:
        incarnation: Incarnation of this process.
        ingress: Address of the listener for calls.
        admin: Address of the listener for operators.
        slots: Number of calls that the target runs concurrently.
        max_connections: Number of connections that the target accepts.
    """

    incarnation: str
    ingress: Address
    admin: Address
    slots: int
    max_connections: int


class Membership(Protocol):
    """Members of the mesh as known to this node."""

    @property
    def version(self) -> int:
        """Return a number that changes whenever the members change."""

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""

    def open_listener(self) -> Address | None:
        """Open the listener for other nodes, if any; must be called before `join`."""

    def describe(self) -> dict:
        """Return the status fields of the control plane for operators."""

    async def join(self, own: LocalNode) -> None:
        """Announce this node and start to follow the others; returns immediately."""

    async def leave(self) -> None:
        """Announce that this node leaves; returns within a bounded time."""

    async def close(self) -> None:
        """Stop all background tasks."""


class FixedMembership:
    """Fixed members, for tests and for meshes without a log service.

    Args:
        candidates: Upstreams by service.
    """

    def __init__(self, candidates: dict[str, list[Candidate]] | None = None):
        self._candidates = candidates or {}
        self._version = 0

    @property
    def version(self) -> int:
        """Return the number of changes so far."""
        return self._version

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""
        return self._candidates.get(service, [])

    def set_candidates(self, service: str, candidates: list[Candidate]) -> None:
        """Replace the upstreams of a service."""
        self._candidates[service] = candidates
        self._version += 1

    def open_listener(self) -> None:
        """Do nothing: there is no communication with other nodes."""

    def describe(self) -> dict:
        """Return no fields: there is no control plane."""
        return {}

    async def join(self, own: LocalNode) -> None:
        """Do nothing: the members are fixed."""

    async def leave(self) -> None:
        """Do nothing: callers are notified of the leave by the answers they get."""

    async def close(self) -> None:
        """Do nothing: there are no background tasks."""


class NodeDirectory:
    """Directory of the resources in force and the members of the mesh.

    Args:
        catalog: Resources in force at the start.
        membership: Members of the mesh.
    """

    def __init__(self, catalog: Catalog, membership: Membership):
        self._catalog = catalog
        self._membership = membership
        self._changes = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return a value that changes whenever the resources or members change."""
        return self._changes, self._membership.version

    def catalog(self) -> Catalog:
        """Return the resources in force."""
        return self._catalog

    def set_catalog(self, catalog: Catalog) -> None:
        """Replace the resources in force."""
        self._catalog = catalog
        self._changes += 1

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""
        return self._membership.candidates(service)
