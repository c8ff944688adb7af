"""What the daemon needs of the members: who they are, and to be one of them."""

from typing import NamedTuple, Protocol

from mimosaloom_model import Address, Catalog
from mimosaloom_policy import Candidate

__all__ = ["FixedMembership", "Membership", "NodeDirectory", "Self"]


class Self(NamedTuple):
    """What this node tells the others about itself.

    Attributes:
        incarnation: Incarnation of this process.
        ingress: Address for calls.
        admin: Address for operators.
        slots: Calls that the target runs at once.
        max_connections: Connections that the target accepts.
    """

    incarnation: str
    ingress: Address
    admin: Address
    slots: int
    max_connections: int


class Membership(Protocol):
    """The members of the mesh as known to this node."""

    @property
    def version(self) -> int:
        """Return a number that changes with each change of the members."""

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""

    def open_listener(self) -> Address | None:
        """Open the listener for other nodes, if there is one; before `join`."""

    def describe(self) -> dict:
        """Return what operators see of the control parts."""

    async def join(self, own: Self) -> None:
        """Announce this node and begin to follow the others; returns at once."""

    async def leave(self) -> None:
        """Record that this node leaves, within a bounded time."""

    async def close(self) -> None:
        """End all work in the background."""


class FixedMembership:
    """Members that are set by hand, for tests and for meshes without a log.

    Args:
        candidates: Upstreams for each service.
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
        """Open nothing: there are no other nodes to talk to."""

    def describe(self) -> dict:
        """Return nothing: there are no control parts."""
        return {}

    async def join(self, own: Self) -> None:
        """Do nothing: the members are fixed."""

    async def leave(self) -> None:
        """Do nothing: callers learn of the leave from answers."""

    async def close(self) -> None:
        """Do nothing: there is no work in the background."""


class NodeDirectory:
    """Resources in force together with the members.

    Args:
        catalog: Resources in force at the start.
        membership: The members.
    """

    def __init__(self, catalog: Catalog, membership: Membership):
        self._catalog = catalog
        self._membership = membership
        self._changes = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return what changes with each change of resources or members."""
        return self._changes, self._membership.version

    def catalog(self) -> Catalog:
        """Return the resources in force."""
        return self._catalog

    def set_catalog(self, catalog: Catalog) -> None:
        """Put other resources in force."""
        self._catalog = catalog
        self._changes += 1

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""
        return self._membership.candidates(service)
