"""Target with embedded mimosaloom: `python -m mimosaloom_bench.latency_target JSON`.

The JSON object has the fields `target`, the options of the target stand-in, and
`resources`, a list of resource documents. The first line on stdout is a JSON object
with `host`, `port` and `pid`, as with the stand-ins.
"""

import asyncio
import json
import os
import random
import signal
import sys

from mimosaloom_mesh import FixedDirectory, Place, Transport, admit, build_caller
from mimosaloom_model import Address, ResourceDocument, SystemClock, build_catalog
from mimosaloom_standins import Target, TargetOptions, build_target_application

__all__ = ["main"]

INCARNATION = "0000000000001-00000001"


def main() -> None:
    """Serve calls until SIGTERM."""
    settings = json.loads(sys.argv[1])
    asyncio.run(_serve(settings["target"], settings["resources"]))


async def _serve(options: dict, documents: list[ResourceDocument]) -> None:
    target = Target(TargetOptions(**options))
    transport = Transport()
    caller = build_caller(
        "embedded",
        "local-a",
        FixedDirectory(build_catalog(documents)),
        clock=SystemClock(),
        rng=random.Random(2),
        transport=transport,
    )
    place = Place(
        name="embedded",
        failure_domain="local-a",
        service=target.options.service,
        upstream=target.options.upstream,
        incarnation=INCARNATION,
        slots=target.options.slots,
    )
    admitted = admit(build_target_application(target), place, caller, transport)
    address = admitted.server.listen(Address())
    ticks = asyncio.create_task(admitted.data_path.gate.run_ticks())
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    ready = {"host": address.host, "port": address.port, "pid": os.getpid()}
    print(json.dumps(ready), flush=True)
    await stop.wait()
    ticks.cancel()
    await admitted.server.stop()


if __name__ == "__main__":
    main()
