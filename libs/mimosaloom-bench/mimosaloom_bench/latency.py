"""Time that mimosaloom adds to a call, measured against the same stand-ins."""

import asyncio
import gc
import json
import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, TypedDict

import typer
from hdrh.histogram import HdrHistogram
from tornado.curl_httpclient import CurlAsyncHTTPClient

from mimosaloom_cli import ExitCode
from mimosaloom_mesh import Transport

from .deployment import Deployment, start_deployment, wait_for_url
from .latency_paths import BODY_BYTES, PLAN, SERVICE, Call, embedded_call, plain_call
from .processes import ProcessGroup, StartFailed

__all__ = [
    "LatencyReport",
    "LoadPlan",
    "PathReport",
    "compare_paths",
    "run_latency",
    "show_latency",
]

GOAL_ADDED_P99_MS = 0.49
WARM_UP_S = 1.0
MAX_CLIENTS = 64
READY_TIMEOUT_S = 10.0
READY_INTERVAL_S = 0.05
MAX_RECORDED_US = 10_000_000
SIGNIFICANT_DIGITS = 3


class Turn(NamedTuple):
    """What one turn of a path gave.

    Attributes:
        histogram: Times of the calls in microseconds.
        cpu_s: Processor time that the caller and all other processes used.
    """

    histogram: HdrHistogram
    cpu_s: float


Rounds = dict[str, list[Turn]]


class PathReport(TypedDict):
    """Percentiles of calls without and with mimosaloom, and their differences.

    `round_added_p99_ms` holds the difference for each round, as a sign of its spread.
    The processor time per call is that of all processes together; other work on the
    machine disturbs it less than the percentiles.
    """

    calls: int
    direct_p50_ms: float
    direct_p99_ms: float
    through_p50_ms: float
    through_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    round_added_p99_ms: list[float]
    direct_cpu_us: float
    through_cpu_us: float
    added_cpu_us: float


class LatencyReport(PathReport):
    """The node path, with the embedded path as a part of its own."""

    rate_per_s: float
    body_bytes: int
    goal_added_p99_ms: float
    embedded: PathReport


class LoadPlan(NamedTuple):
    """Load on each path.

    Attributes:
        rate_per_s: Calls a second, with random distances.
        rounds: Number of rounds; each measures every path once.
        round_s: Length of a path's turn in a round.
        seed: Seed of the distances.
    """

    rate_per_s: float = 250.0
    rounds: int = 8
    round_s: float = 2.0
    seed: int = 1


class CallFailed(RuntimeError):
    """A call of the measurement had no whole answer, so the figures mean nothing."""


async def measure_path(
    call: Call, load: LoadPlan, rng: random.Random, duration_s: float
) -> HdrHistogram:
    """Make calls at random distances; return their times in microseconds.

    Raises:
        CallFailed: If a call has no whole answer.
    """
    histogram = new_histogram()

    async def timed() -> None:
        start_ns = time.perf_counter_ns()
        is_whole = await call()
        elapsed_us = (time.perf_counter_ns() - start_ns) // 1_000
        if not is_whole:
            raise CallFailed("a call had no whole answer")
        histogram.record_value(elapsed_us)

    tasks = []
    next_s = time.monotonic()
    end_s = next_s + duration_s
    while True:
        next_s += rng.expovariate(load.rate_per_s)
        if next_s >= end_s:
            break
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        tasks.append(asyncio.create_task(timed()))
    await asyncio.gather(*tasks)
    return histogram


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for microseconds."""
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


async def measure_all(
    paths: dict[str, Call], load: LoadPlan, read_cpu_s: Callable[[], float]
) -> Rounds:
    """Measure the paths in turns, so that a change of the machine hits all alike.

    Args:
        paths: Call of each path by name.
        load: Load on each path.
        read_cpu_s: Returns the processor time that all processes have used.

    Returns:
        For each path, one turn for each round.
    """
    rng = random.Random(load.seed)
    for call in paths.values():
        await measure_path(call, load, rng, WARM_UP_S)
    rounds: Rounds = {name: [] for name in paths}
    for _ in range(load.rounds):
        for name, call in paths.items():
            start_s = read_cpu_s()
            histogram = await measure_path(call, load, rng, load.round_s)
            rounds[name].append(Turn(histogram, read_cpu_s() - start_s))
    return rounds


def compare_paths(direct: list[Turn], through: list[Turn]) -> PathReport:
    """Return the percentiles of two paths and their differences.

    Args:
        direct: Turns without mimosaloom, one for each round.
        through: Turns with mimosaloom in the same rounds.
    """
    all_direct, all_through = _merge(direct), _merge(through)
    times_ms = {
        f"{name}_p{percentile}_ms": _read_ms(histogram, percentile)
        for name, histogram in (("direct", all_direct), ("through", all_through))
        for percentile in (50, 99)
    }
    direct_cpu_us, through_cpu_us = _cpu_us(direct), _cpu_us(through)
    return PathReport(
        calls=all_through.get_total_count(),
        **times_ms,
        added_p50_ms=round(times_ms["through_p50_ms"] - times_ms["direct_p50_ms"], 3),
        added_p99_ms=round(times_ms["through_p99_ms"] - times_ms["direct_p99_ms"], 3),
        round_added_p99_ms=[
            round(_read_ms(turn.histogram, 99) - _read_ms(base.histogram, 99), 3)
            for base, turn in zip(direct, through, strict=True)
        ],
        direct_cpu_us=direct_cpu_us,
        through_cpu_us=through_cpu_us,
        added_cpu_us=round(through_cpu_us - direct_cpu_us, 1),
    )


def _merge(turns: list[Turn]) -> HdrHistogram:
    merged = new_histogram()
    for turn in turns:
        merged.add(turn.histogram)
    return merged


def _cpu_us(turns: list[Turn]) -> float:
    calls = sum(turn.histogram.get_total_count() for turn in turns)
    return round(1e6 * sum(turn.cpu_s for turn in turns) / calls, 1)


def _read_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1_000


def run_latency(load: LoadPlan) -> LatencyReport:
    """Start the stand-ins, one node and one embedded target, and measure.

    Raises:
        StartFailed: If a process does not come up.
        CallFailed: If a call has no whole answer.
    """
    with (
        tempfile.TemporaryDirectory(prefix="mimosaloom-latency-") as name,
        ProcessGroup(Path(name)) as group,
    ):
        deployment = start_deployment(PLAN, group, Path(name), seed=load.seed)
        embedded_url = _start_embedded_target(group)

        def read_cpu_s() -> float:
            return time.process_time() + group.cpu_s()

        rounds = asyncio.run(_measure(deployment, embedded_url, load, read_cpu_s))
    return LatencyReport(
        rate_per_s=load.rate_per_s,
        body_bytes=BODY_BYTES,
        goal_added_p99_ms=GOAL_ADDED_P99_MS,
        **compare_paths(rounds["direct"], rounds["node"]),
        embedded=compare_paths(rounds["direct"], rounds["embedded"]),
    )


def _start_embedded_target(group: ProcessGroup) -> str:
    settings = {
        "target": {
            "service": SERVICE,
            "upstream": "echo-embedded",
            "slots": PLAN.service(SERVICE).slots,
            "service_time_s": 0.0,
        },
        "resources": PLAN.documents(),
    }
    child = group.start(
        "target-embedded", "mimosaloom_bench.latency_target", json.dumps(settings)
    )
    return wait_for_url(child)


async def _measure(
    deployment: Deployment,
    embedded_url: str,
    load: LoadPlan,
    read_cpu_s: Callable[[], float],
) -> Rounds:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
    [target_url] = deployment.target_urls.values()
    [ingress_url] = deployment.ingress_urls.values()
    transport = Transport()
    paths = {
        "direct": plain_call(client, target_url),
        "node": plain_call(client, ingress_url),
        "embedded": embedded_call(transport, embedded_url),
    }
    try:
        await _wait_until_answered(paths)
        # Later collections then skip the objects of the imported modules.
        gc.collect()
        gc.freeze()
        return await measure_all(paths, load, read_cpu_s)
    finally:
        client.close()
        transport.close()


async def _wait_until_answered(paths: dict[str, Call]) -> None:
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    for name, call in paths.items():
        while not await call():
            if time.monotonic() > give_up_s:
                raise CallFailed(f"the {name} path gave no whole answer")
            await asyncio.sleep(READY_INTERVAL_S)


def show_latency(load: LoadPlan, *, is_json: bool) -> ExitCode:
    """Measure and print the figures.

    Args:
        load: Load on each path.
        is_json: Whether the last line is one JSON object.

    Returns:
        `ERROR` if nothing could be measured. The goal is printed beside the figures;
        missing it is a result and not an error.
    """
    try:
        report = run_latency(load)
    except (StartFailed, CallFailed) as error:
        typer.echo(f"nothing was measured: {error}", err=True)
        return ExitCode.ERROR
    typer.echo(format_latency(report))
    if is_json:
        typer.echo(json.dumps(report))
    return ExitCode.OK


def format_latency(report: LatencyReport) -> str:
    """Return the figures as a text for people."""
    lines = [
        f"{report['rate_per_s']:g} calls a second, bodies of {report['body_bytes']} "
        f"bytes, goal {report['goal_added_p99_ms']} ms added at p99",
        "",
        f"{'path':<10}{'calls':>7}{'direct p50':>12}{'p99':>8}{'through p50':>13}"
        f"{'p99':>8}{'added p50':>11}{'p99':>8}{'added CPU':>11}  added p99 by round",
    ]
    lines += [
        f"{name:<10}{path['calls']:>7}{path['direct_p50_ms']:>12.3f}"
        f"{path['direct_p99_ms']:>8.3f}{path['through_p50_ms']:>13.3f}"
        f"{path['through_p99_ms']:>8.3f}{path['added_p50_ms']:>11.3f}"
        f"{path['added_p99_ms']:>8.3f}{path['added_cpu_us']:>8.0f} us  "
        f"{min(path['round_added_p99_ms']):.3f} to "
        f"{max(path['round_added_p99_ms']):.3f}"
        for name, path in (("node", report), ("embedded", report["embedded"]))
    ]
    return "\n".join(lines)
