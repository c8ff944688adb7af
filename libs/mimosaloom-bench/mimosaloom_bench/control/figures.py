"""Measures the control plane at several fleet sizes and extrapolates to 5,200 nodes."""

import asyncio
import resource
import time
from pathlib import Path
from typing import TypedDict

from mimosaloom_control import Announce, Member, Resource
from mimosaloom_node.config_consistency import revert_inconsistent_resources
from mimosaloom_node.member_index import MemberIndex

from .fleet import Fleet, wait_until

__all__ = [
    "TARGET_NODES",
    "Fit",
    "SizeReport",
    "TableReport",
    "Verdict",
    "check_limits",
    "extrapolate",
    "measure_size",
    "measure_tables",
]

TARGET_NODES = 5_200
TARGET_SERVICES = 1_000
LIMIT_BYTES_PER_S = 4_096.0
LIMIT_CPU_RATIO = 0.043
LIMIT_MEMORY_MB = 128.0
LIMIT_IN_FORCE_S = 16.0
LIMIT_LEAVE_S = 3.0
# TCP and IP headers of a message and of its TCP acknowledgement, and the length field
# of the message.
OVERHEAD_BYTES_PER_MESSAGE = 52 + 52 + 8
SETTLE_TIME_S = 3.0
MEASURING_TIME_S = 8.0
CONFIG_CHANGE_COUNT = 5
START_TIMEOUT_S = 90.0
EVENT_TIMEOUT_S = 30.0


class SizeReport(TypedDict):
    """Figures of one fleet size; rates are per node and count both directions.

    Attributes:
        nodes: Number of nodes.
        level_s: Time from the start until all nodes have the same member table.
        bytes_per_s: Traffic at rest, with protocol overhead.
        messages_per_s: Messages at rest.
        cpu_ratio: Processor time per second at rest.
        memory_mb: Memory of a process with one node.
        in_force_s: Longest time until a configuration change reached all nodes.
        leave_s: Time until no node sends new calls to a node that leaves.
        leave_log_down_s: The same, with the log service down.
        death_s: The same, after a crash.
    """

    nodes: int
    level_s: float
    bytes_per_s: float
    messages_per_s: float
    cpu_ratio: float
    memory_mb: float
    in_force_s: float
    leave_s: float
    leave_log_down_s: float
    death_s: float


class TableReport(TypedDict):
    """Cost of the member and resource tables of one node at the target size.

    Attributes:
        members: Number of members.
        resources: Number of resources in force.
        memory_mb: Memory of both tables.
        settle_ms: Processor time to recompute the resources in force after one change.
        member_change_us: Processor time to apply the announcement of one member.
    """

    members: int
    resources: int
    memory_mb: float
    settle_ms: float
    member_change_us: float


class Fit(TypedDict):
    """A line fitted to the figures of several sizes: value = base + slope * nodes."""

    base: float
    slope: float
    at_target: float


class Verdict(TypedDict):
    """A figure at the target size, compared with its limit."""

    figure: str
    value: float
    limit: float
    unit: str
    is_met: bool


async def measure_size(nodes: int, seed: int) -> SizeReport:
    """Start nodes and measure them at rest, during changes and during failures."""
    fleet = Fleet(seed)
    before_mb = _read_rss_mb()
    await fleet.start(nodes)
    level_s = await wait_until(fleet.has_converged, timeout_s=START_TIMEOUT_S)
    await asyncio.sleep(SETTLE_TIME_S)
    messages_before, bytes_before, cpu_s = *fleet.count_traffic(), _read_cpu_s()
    started_s = time.monotonic()
    await asyncio.sleep(MEASURING_TIME_S)
    elapsed_s = time.monotonic() - started_s
    cpu_s = _read_cpu_s() - cpu_s
    messages_after, bytes_after = fleet.count_traffic()
    per_node_s = nodes * elapsed_s
    payload_bytes_per_s, messages_per_s = (
        (bytes_after - bytes_before) / per_node_s,
        (messages_after - messages_before) / per_node_s,
    )
    memory_mb = before_mb + (_read_rss_mb() - before_mb) / nodes
    in_force_s = max(
        [await _measure_config_change(fleet) for _ in range(CONFIG_CHANGE_COUNT)]
    )
    names = sorted(fleet.planes)
    leave_s = await _measure_leave(fleet, names[1])
    fleet.stop_log()
    leave_log_down_s = await _measure_leave(fleet, names[2])
    fleet.kill(names[3])
    death_s = await wait_until(
        lambda: fleet.receives_no_calls(names[3]), timeout_s=EVENT_TIMEOUT_S
    )
    await fleet.close()
    return SizeReport(
        nodes=nodes,
        level_s=level_s,
        bytes_per_s=payload_bytes_per_s + messages_per_s * OVERHEAD_BYTES_PER_MESSAGE,
        messages_per_s=messages_per_s,
        cpu_ratio=cpu_s / per_node_s,
        memory_mb=memory_mb,
        in_force_s=in_force_s,
        leave_s=leave_s,
        leave_log_down_s=leave_log_down_s,
        death_s=death_s,
    )


def measure_tables() -> TableReport:
    """Measure one node's tables with the members and resources of the target size."""
    before_mb = _read_rss_mb()
    index = MemberIndex("n-0000", "z-0")
    started_s = time.process_time()
    for number in range(TARGET_NODES):
        index.apply(_build_announcement(number), 0.0)
    change_s = (time.process_time() - started_s) / TARGET_NODES
    wanted = _build_resources()
    in_force = revert_inconsistent_resources(wanted, {}).in_force
    memory_mb = _read_rss_mb() - before_mb
    wanted["Service", "s-0"] = Resource(TARGET_NODES * 2, {"calls": ["s-2"]})
    started_s = time.process_time()
    revert_inconsistent_resources(wanted, in_force)
    settle_s = time.process_time() - started_s
    return TableReport(
        members=len(index.live),
        resources=len(in_force),
        memory_mb=memory_mb,
        settle_ms=settle_s * 1e3,
        member_change_us=change_s * 1e6,
    )


def extrapolate(reports: list[SizeReport], figure: str) -> Fit:
    """Fit a line by least squares and extrapolate it to the target size."""
    xs = [float(report["nodes"]) for report in reports]
    ys = [float(report[figure]) for report in reports]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = 0.0
    if spread:
        pairs = zip(xs, ys, strict=True)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    base = mean_y - slope * mean_x
    return Fit(base=base, slope=slope, at_target=base + slope * TARGET_NODES)


def check_limits(reports: list[SizeReport], tables: TableReport) -> list[Verdict]:
    """Compare the figures at the target size with their limits.

    A falling line is not extrapolated below the smallest measured figure.
    """
    limits = {
        "bytes_per_s": (LIMIT_BYTES_PER_S, "B/s"),
        "cpu_ratio": (LIMIT_CPU_RATIO, "cores"),
        "memory_mb": (LIMIT_MEMORY_MB, "MB"),
        "in_force_s": (LIMIT_IN_FORCE_S, "s"),
        "leave_s": (LIMIT_LEAVE_S, "s"),
        "leave_log_down_s": (LIMIT_LEAVE_S, "s"),
        "death_s": (LIMIT_IN_FORCE_S, "s"),
    }
    verdicts = []
    for figure, (limit, unit) in limits.items():
        smallest = min(report[figure] for report in reports)
        value = max(extrapolate(reports, figure)["at_target"], smallest)
        if figure == "memory_mb":
            # The measured nodes have small tables, so the memory of the tables at the
            # target size is added.
            value = smallest + tables["memory_mb"]
        is_met = value <= limit
        verdicts.append(
            Verdict(figure=figure, value=value, limit=limit, unit=unit, is_met=is_met)
        )
    return verdicts


async def _measure_config_change(fleet: Fleet) -> float:
    offset = fleet.change_resource()
    planes = fleet.planes.values()
    return await wait_until(
        lambda: all(p.config.next_offset >= offset for p in planes),
        timeout_s=EVENT_TIMEOUT_S,
    )


async def _measure_leave(fleet: Fleet, name: str) -> float:
    plane = fleet.planes.pop(name)
    leaving = asyncio.ensure_future(plane.leave())
    elapsed_s = await wait_until(
        lambda: fleet.receives_no_calls(name), timeout_s=EVENT_TIMEOUT_S
    )
    await leaving
    await plane.close()
    return elapsed_s


def _build_announcement(number: int) -> Announce:
    name = f"n-{number:04d}"
    member = Member(
        name=name,
        region=f"r-{number % 7}",
        service=f"s-{number % TARGET_SERVICES}",
        upstream=f"up-{name}",
        failure_domain=f"z-{number % 17}",
        host="127.0.0.1",
        ingress_port=1,
        admin_port=2,
        control_port=3,
        slots=70,
        max_connections=500,
        incarnation=f"{number + 1:013x}-00000000",
    )
    return Announce(id=f"{name}/0", member=member)


def _build_resources() -> dict[tuple[str, str], Resource]:
    resources: dict[tuple[str, str], Resource] = {}
    for number in range(TARGET_SERVICES):
        is_last = number == TARGET_SERVICES - 1
        calls = [] if is_last else [f"s-{number + 1}"]
        key = ("Service", f"s-{number}")
        resources[key] = Resource(len(resources) + 1, {"calls": calls})
    for number in range(TARGET_NODES):
        spec = {
            "service": f"s-{number % TARGET_SERVICES}",
            "failure_domain": f"z-{number % 17}",
            "slots": 70,
            "max_connections": 500,
        }
        resources["Upstream", f"up-{number}"] = Resource(len(resources) + 1, spec)
    return resources


def _read_cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _read_rss_mb() -> float:
    for line in Path("/proc/self/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise OSError("no VmRSS in /proc/self/status")
