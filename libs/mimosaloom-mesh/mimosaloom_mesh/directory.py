"""The interface through which the data path reads resources and members."""

from collections.abc import Hashable
from typing import Protocol

from mimosaloom_model import Catalog
from mimosaloom_policy import Candidate

__all__ = ["Directory", "FixedDirectory"]


class Directory(Protocol):
    """Provides the resources in force and the upstreams that can be called."""

    @property
    def version(self) -> Hashable:
        """Value that differs after each change of the contents."""

    def catalog(self) -> Catalog:
        """Return the resources in force."""

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service with the addresses of their nodes."""


class FixedDirectory:
    """A directory with fixed contents, for embedding and tests.

    Args:
        catalog: Resources in force.
        candidates: Upstreams for each service.
    """

    def __init__(
        self, catalog: Catalog, candidates: dict[str, list[Candidate]] | None = None
    ):
        self._catalog = catalog
        self._candidates = candidates or {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def catalog(self) -> Catalog:
        """Return the resources."""
        return self._catalog

    def candidates(self, service: str) -> list[Candidate]:
        """Return the upstreams of a service."""
        return self._candidates.get(service, [])

    def set_candidates(self, service: str, candidates: list[Candidate]) -> None:
        """Replace the upstreams of a service."""
        self._candidates[service] = candidates
        self._version += 1
