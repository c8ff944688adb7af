"""A node of the bench: `python -m mimosaloom_bench.path_cost.node_process JSON`.

The JSON object is a `NodePlan`. The first line on stdout has the ports and the record
of the node. On each SIGUSR1 it writes the processor time that it has used, and at its
end, with a profile, the time by source file.
"""

import asyncio
import cProfile
import itertools
import json
import os
import pstats
import random
import resource
import signal
import sys
from collections import Counter

import msgspec

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address, SystemClock
from mimosaloom_relay import (
    Announcement,
    Answer,
    Incoming,
    Listeners,
    RelayMetrics,
    RelayNode,
    RelaySettings,
    SharedRetryBudget,
    TargetState,
    configure_garbage_collection,
    log_to_descriptor,
    new_event_loop,
)

from .names import CONFIGURATION, HEADER_NAMES

__all__ = ["NodePlan", "main"]

ANY_PORT = Address("127.0.0.1", 0)
# Large enough that each retry of the bench is allowed.
RETRY_BASE = 1e6


class NodePlan(msgspec.Struct):
    """Settings of one node of the bench.

    Attributes:
        name: Name of the node.
        service: Service of its target.
        target_port: Port of the target on loopback.
        slots: Slots of the target.
        is_profiled: Whether to profile the node, which makes it slower.
    """

    name: str
    service: str
    target_port: int
    slots: int
    is_profiled: bool


def main() -> None:
    """Serve calls until SIGTERM."""
    plan = msgspec.json.decode(sys.argv[1], type=NodePlan)
    profile = cProfile.Profile() if plan.is_profiled else None
    configure_garbage_collection()
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(plan, profile))
    if profile is not None:
        _print(
            profile=_sum_by_file(profile),
            function_calls=pstats.Stats(profile).total_calls,
        )


async def _serve(plan: NodePlan, profile: cProfile.Profile | None) -> None:
    target = Address("127.0.0.1", plan.target_port)
    settings = RelaySettings(
        name=plan.name,
        failure_domain="local",
        service=plan.service,
        target=target,
        listen=Listeners(ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT),
        retry_budget=SharedRetryBudget(1.0, RETRY_BASE, 10.0),
        grace_s=1.0,
    )
    metrics = RelayMetrics()
    # The lines are written as on the platform, but to no reader.
    log_to_descriptor(
        os.open(os.devnull, os.O_WRONLY), metrics.count_dropped_line, node=plan.name
    )
    node = RelayNode(
        settings,
        HEADER_NAMES,
        plan.name,
        lambda document: CONFIGURATION,
        clock=SystemClock(),
        rng=random.Random(1),
        metrics=metrics,
    )

    async def learn_peer(incoming: Incoming) -> Answer:
        name = incoming.request.path.strip("/")
        node.put_record(name, incoming.request.body)
        return Answer(Response(200))

    node.put_configuration(b"", "bench")
    await node.start(learn_peer)
    announcement = Announcement(
        target_id=f"target-{plan.name}",
        born_ms=1,
        sequence=1,
        state=TargetState.READY,
        service=plan.service,
        address=target,
        failure_domain="local",
        version="1",
        slots=plan.slots,
        cold_left_s=0.0,
    )
    node.resume_target(announcement)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    report_numbers = itertools.count()
    loop.add_signal_handler(
        signal.SIGUSR1, lambda: _print_cpu_time(next(report_numbers))
    )
    _print(
        outbound=node.addresses.outbound.port,
        announcements=node.addresses.announcements.port,
        record=msgspec.json.encode(node.own_record.build()).decode(),
    )
    if profile is not None:
        profile.enable()
    await stop_requested.wait()
    if profile is not None:
        profile.disable()
    await node.close()


def _print_cpu_time(report_number: int) -> None:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    _print(cpu_report=report_number, user_s=usage.ru_utime, system_s=usage.ru_stime)


def _print(**fields) -> None:
    print(json.dumps(fields), flush=True)


def _sum_by_file(profile: cProfile.Profile) -> dict[str, float]:
    """Return the seconds spent in each source file, without the waits in poll."""
    seconds: Counter[str] = Counter()
    for (path, _, function), row in pstats.Stats(profile).stats.items():
        if "'poll' of 'select" in function:
            continue
        if path == "~":
            # Functions in C have no file; their time goes to the files that call them.
            for (caller_path, _, _), caller_row in row[4].items():
                seconds[_shorten(caller_path)] += caller_row[2]
            continue
        seconds[_shorten(path)] += row[2]
    return dict(seconds)


def _shorten(path: str) -> str:
    return "/".join(path.split("/")[-2:])


if __name__ == "__main__":
    main()
