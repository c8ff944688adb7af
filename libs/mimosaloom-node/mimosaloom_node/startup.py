"""Builds a node from its settings and runs it."""

import asyncio
import random
import sys
from pathlib import Path

from mimosaloom_model import (
    Catalog,
    Invalid,
    NodeSettings,
    SystemClock,
    build_catalog,
    read_resources,
)

from .claims_log import LogClaims
from .daemon import Node, run_until_stopped
from .log_client import LogClient
from .log_membership import LogMembership
from .logs import start_logging

__all__ = ["run_node"]

EXIT_OK = 0
EXIT_INVALID = 3


def run_node(settings: NodeSettings) -> int:
    """Run a node until it is told to stop.

    Args:
        settings: Checked settings.

    Returns:
        The exit code: 0 after a graceful stop, 3 if the resource file is invalid.

    Raises:
        OSError: If a listener can't be opened.
    """
    catalog = _read_catalog(settings)
    if isinstance(catalog, Invalid):
        for fault in catalog.faults:
            print(f"{fault.file}: {fault.path}: {fault.message}", file=sys.stderr)
        return EXIT_INVALID
    start_logging(settings.node.name)
    asyncio.run(_run(settings, catalog))
    return EXIT_OK


def _read_catalog(settings: NodeSettings) -> Catalog | Invalid:
    if not settings.resources_file:
        return build_catalog([])
    documents = read_resources([Path(settings.resources_file)])
    return documents if isinstance(documents, Invalid) else build_catalog(documents)


async def _run(settings: NodeSettings, catalog: Catalog) -> None:
    clock = SystemClock()
    rng = random.Random()
    client = LogClient(settings.log_service, clock, rng)
    membership = LogMembership(settings, client)

    def build_claims(claimant: str) -> LogClaims:
        claims_client = LogClient(settings.log_service, clock, rng)
        return LogClaims(settings.target.service, claimant, claims_client, clock)

    node = Node(
        settings, catalog, membership, clock=clock, rng=rng, build_claims=build_claims
    )
    await run_until_stopped(node)
