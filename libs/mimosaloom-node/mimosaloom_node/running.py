"""Runs a node from its settings until it is stopped."""

import asyncio
import random

from eliot import log_message

from mimosaloom_model import (
    Catalog,
    Invalid,
    NodeSettings,
    SystemClock,
    build_catalog,
    read_resources,
)

from .daemon import Node, run_until_stopped
from .log_membership import LogMembership
from .logs import start_logging

__all__ = ["run_node"]

EXIT_OK = 0
EXIT_INVALID = 3


def run_node(settings: NodeSettings) -> int:
    """Run a node until SIGTERM, SIGINT or `POST /drain`.

    Args:
        settings: Settings of the node; its resources file is read at the start.

    Returns:
        0 after a graceful stop, 3 if the resources are not valid.

    Raises:
        OSError: If a listener can't be opened.
    """
    start_logging(settings.node.name)
    catalog = _read_catalog(settings)
    if isinstance(catalog, Invalid):
        for fault in catalog.faults:
            log_message(message_type="invalid_resources", **fault._asdict())
        return EXIT_INVALID
    asyncio.run(_run(settings, catalog))
    return EXIT_OK


async def _run(settings: NodeSettings, catalog: Catalog) -> None:
    clock = SystemClock()
    rng = random.SystemRandom()
    membership = LogMembership(settings, clock, rng)
    node = Node(settings, catalog, membership, clock=clock, rng=rng)
    await run_until_stopped(node)


def _read_catalog(settings: NodeSettings) -> Catalog | Invalid:
    if not settings.resources_file:
        return build_catalog([])
    documents = read_resources([settings.resources_file])
    return documents if isinstance(documents, Invalid) else build_catalog(documents)
