"""Measures the processor time of two nodes for a call, alone and by source file."""

import asyncio
import json
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
import typer

from mimosaloom_cli import ExitCode
from mimosaloom_mesh.messages import Request
from mimosaloom_model import Address
from mimosaloom_relay import HttpClient

from ..processes import ChildProcess, ProcessGroup, StartFailed
from .load import PathLoad
from .names import CALLS_PER_ROOT, LEAF_SERVICE, ROOT_SERVICE
from .node_process import NodePlan

__all__ = ["path_cost"]

NODE_MODULE = "mimosaloom_bench.path_cost.node_process"
WARM_UP_ROOTS = 50
SLOTS = 64
# The share of calls that the target of the called service rejects, by case.
CASES = {"plain": 0.0, "rejects": 0.25}
SHOWN_FILES = 24


class CaseResult(NamedTuple):
    """Figures of one case.

    Attributes:
        name: Name of the case.
        calls: Requests of the client and calls of the target.
        failed: Requests of the client without a successful answer.
        user_us: Processor time in user mode of both nodes, for each call.
        system_us: The same in system mode.
    """

    name: str
    calls: int
    failed: int
    user_us: float
    system_us: float


class Profile(NamedTuple):
    """Profile of both nodes.

    Attributes:
        seconds: Time spent by source file.
        function_calls: Number of calls of functions; hardly varies between runs.
    """

    seconds: dict[str, float]
    function_calls: int


def path_cost(
    roots: Annotated[
        int, typer.Option(min=100, help="Requests of the client in each case.")
    ] = 2000,
    profile: Annotated[
        bool, typer.Option(help="Also show the time by source file, from a profile.")
    ] = False,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object as the last line.")
    ] = False,
) -> None:
    """Measure the processor time that two nodes spend on a call.

    A request of a client runs on a target that makes four calls to another service,
    through both nodes. In the case `rejects`, the called target rejects a quarter of
    the calls, and they are repeated.
    """
    results = []
    try:
        for name, reject_ratio in CASES.items():
            results.append(_run_case(name, reject_ratio, roots)[0])
        if profile:
            result, profiled = _run_case("profile", 0.0, roots, is_profiled=True)
    except StartFailed as error:
        typer.echo(f"nothing was measured: {error}", err=True)
        raise typer.Exit(ExitCode.ERROR) from None
    for row in results:
        typer.echo(
            f"{row.name:<10}{row.calls:>7} calls{row.user_us:>8.0f} us user"
            f"{row.system_us:>8.0f} us system a call, {row.failed} requests failed"
        )
    if profile:
        _show_files(profiled, result.calls)
    if json_output:
        typer.echo(json.dumps([row._asdict() for row in results]))


def _show_files(profile: Profile, calls: int) -> None:
    seconds = profile.seconds
    total_s = sum(seconds.values())
    largest = sorted(seconds.items(), key=lambda item: -item[1])[:SHOWN_FILES]
    typer.echo(f"\n{profile.function_calls / calls:.0f} function calls a call")
    typer.echo(f"by source file, under the profiler ({total_s:.1f} s in all):")
    for path, spent_s in largest:
        typer.echo(
            f"{path:<44}{1e6 * spent_s / calls:>7.1f} us a call"
            f"{100 * spent_s / total_s:>6.1f} %"
        )


def _run_case(
    name: str, reject_ratio: float, roots: int, *, is_profiled: bool = False
) -> tuple[CaseResult, Profile | None]:
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(
            _measure(name, reject_ratio, roots, Path(directory), is_profiled)
        )


async def _measure(
    name: str, reject_ratio: float, roots: int, directory: Path, is_profiled: bool
) -> tuple[CaseResult, Profile | None]:
    load = PathLoad(reject_ratio)
    ports = await load.listen()
    with ProcessGroup(directory) as group:
        nodes = [
            group.start(service, NODE_MODULE, _encode_plan(service, port, is_profiled))
            for service, port in zip((ROOT_SERVICE, LEAF_SERVICE), ports, strict=True)
        ]
        ready = [node.wait_for_line(lambda line: "outbound" in line) for node in nodes]
        await _introduce(load.client, ready)
        load.outbound = Address("127.0.0.1", ready[0]["outbound"])
        await load.send_roots(WARM_UP_ROOTS)
        before = [_read_cpu_time(node, 0) for node in nodes]
        failed = await load.send_roots(roots)
        after = [_read_cpu_time(node, 1) for node in nodes]
        load.close()
        group.stop()
        profile = _read_profiles(nodes) if is_profiled else None
    calls = roots * (1 + CALLS_PER_ROOT)
    user_us, system_us = (
        1e6 * sum(a[key] - b[key] for a, b in zip(after, before, strict=True)) / calls
        for key in ("user_s", "system_s")
    )
    return CaseResult(name, calls, failed, user_us, system_us), profile


def _encode_plan(service: str, target_port: int, is_profiled: bool) -> str:
    plan = NodePlan(service, service, target_port, SLOTS, is_profiled)
    return msgspec.json.encode(plan).decode()


async def _introduce(client: HttpClient, ready: list[dict]) -> None:
    """Send each node the records of both."""
    for node in ready:
        address = Address("127.0.0.1", node["announcements"])
        for record in (peer["record"] for peer in ready):
            name = json.loads(record)["name"]
            request = Request("PUT", f"/{name}", (), record.encode())
            await client.send(address, request)


def _read_cpu_time(node: ChildProcess, number: int) -> dict:
    """Ask a node for its processor time; `number` counts the earlier questions."""
    node.send_signal(signal.SIGUSR1)
    return node.wait_for_line(lambda line: line.get("cpu_report") == number)


def _read_profiles(nodes: list[ChildProcess]) -> Profile:
    seconds: Counter[str] = Counter()
    function_calls = 0
    for node in nodes:
        line = node.wait_for_line(lambda line: "profile" in line)
        seconds.update(line["profile"])
        function_calls += line["function_calls"]
    return Profile(dict(seconds), function_calls)
