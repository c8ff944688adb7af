"""Runs one node without a control plane: `python -m node.node_process OPTIONS`.

OPTIONS is a JSON object with `service`, `upstream` and `target_url`.
"""

import asyncio
import json
import random
import sys

from mesh.fakes import build_chain_catalog

from mimosaloom_model import (
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    SystemClock,
    TargetSettings,
)
from mimosaloom_node import FixedMembership, Node, run_until_stopped
from mimosaloom_node.logs import start_logging


async def _run(options):
    settings = NodeSettings(
        NodeIdentity(f"node-{options['upstream']}", "r1", "z1"),
        TargetSettings(options["service"], options["upstream"], options["target_url"]),
        LogServiceSettings("http://127.0.0.1:9"),
    )
    start_logging(settings.node.name)
    catalog = build_chain_catalog([options["service"]], upstreams_each=2)
    rng = random.Random(options["upstream"])
    node = Node(settings, catalog, FixedMembership(), clock=SystemClock(), rng=rng)
    await run_until_stopped(node)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
