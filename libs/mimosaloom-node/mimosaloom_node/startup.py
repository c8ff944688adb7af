"""Builds a node from its settings and runs it."""

import asyncio
import random
import sys
from pathlib import Path

from mimosaloom_model import (
    Invalid,
    NodeSettings,
    ResourceDocument,
    SystemClock,
    build_catalog,
    read_resources,
)

from .claims_log import LogClaims
from .control_plane import ControlPlane
from .daemon import Node, run_until_stopped
from .log_client import LogClient
from .logs import start_logging

__all__ = ["report_faults", "run_node"]

EXIT_OK = 0
EXIT_INVALID = 3


def run_node(settings: NodeSettings) -> int:
    """Run a node until it receives a signal or a drain request.

    Args:
        settings: Validated settings.

    Returns:
        The exit code: 0 after a graceful stop, 3 if the resource file is invalid.

    Raises:
        OSError: If a listener cannot be opened.
    """
    documents = _read_documents(settings)
    if isinstance(documents, Invalid):
        return report_faults(documents)
    start_logging(settings.node.name)
    asyncio.run(_run(settings, documents))
    return EXIT_OK


def report_faults(invalid: Invalid) -> int:
    """Print each fault on a line of stderr; return the exit code for invalid input."""
    for fault in invalid.faults:
        print(f"{fault.file}: {fault.path}: {fault.message}", file=sys.stderr)
    return EXIT_INVALID


def _read_documents(settings: NodeSettings) -> list[ResourceDocument] | Invalid:
    if not settings.resources_file:
        return []
    return read_resources([Path(settings.resources_file)])


async def _run(settings: NodeSettings, documents: list[ResourceDocument]) -> None:
    clock = SystemClock()
    rng = random.Random()
    client = LogClient(settings.log_service, clock, rng)
    plane = ControlPlane(settings, client, documents, clock=clock, rng=rng)

    def build_claims(claimant: str) -> LogClaims:
        claims_client = LogClient(settings.log_service, clock, rng)
        return LogClaims(settings.target.service, claimant, claims_client, clock)

    node = Node(
        settings,
        build_catalog(documents),
        plane,
        clock=clock,
        rng=rng,
        build_claims=build_claims,
    )
    plane.on_catalog_changed = node.directory.set_catalog
    await run_until_stopped(node)
