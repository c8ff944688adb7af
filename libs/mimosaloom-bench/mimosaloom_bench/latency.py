"""Measures the latency that mimosaloom adds to calls to the same stand-ins.

The direct path calls a target without mimosaloom. The node path calls it through the
node beside it. In the embedded path, caller and target have mimosaloom embedded in
their own processes.
"""

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


class RoundResult(NamedTuple):
    """Measurements of one path in one round.

    Attributes:
        histogram: Latencies of the calls in microseconds.
        cpu_s: Processor time of the caller and of all other processes of the bench.
    """

    histogram: HdrHistogram
    cpu_s: float


RoundsByPath = dict[str, list[RoundResult]]


class PathReport(TypedDict):
    """Percentiles of calls without and with mimosaloom, and their differences.

    "direct" figures are without mimosaloom, "through" figures are with it.
    `round_added_p99_ms` holds the difference in each round and so shows its spread.
    The processor time per call is the sum over all processes of the bench; other
    work on the machine affects it less than the percentiles.
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
    """Report on the node path; `embedded` holds the report on the embedded path."""

    rate_per_s: float
    body_bytes: int
    goal_added_p99_ms: float
    embedded: PathReport


class LoadPlan(NamedTuple):
    """Load on each path.

    Attributes:
        rate_per_s: Mean calls a second, at exponentially distributed intervals.
        rounds: Number of rounds; each round measures every path once.
        round_s: Length of the measurement of one path in a round, in seconds.
        seed: Seed of the intervals.
    """

    rate_per_s: float = 250.0
    rounds: int = 8
    round_s: float = 2.0
    seed: int = 1


class CallFailed(RuntimeError):
    """A call got no whole answer, so the figures are not valid.

    An answer is whole if its status is 200 and its body has the token of the call.
    """


async def measure_path(
    call: Call, load: LoadPlan, rng: random.Random, duration_s: float
) -> HdrHistogram:
    """Make calls at random intervals and return their latencies in microseconds.

    Raises:
        CallFailed: If a call gets no whole answer.
    """
    histogram = new_histogram()

    async def measure_call() -> None:
        start_ns = time.perf_counter_ns()
        is_whole = await call()
        elapsed_us = (time.perf_counter_ns() - start_ns) // 1_000
        if not is_whole:
            raise CallFailed("a call got no whole answer")
        histogram.record_value(elapsed_us)

    tasks = []
    next_s = time.monotonic()
    end_s = next_s + duration_s
    while True:
        next_s += rng.expovariate(load.rate_per_s)
        if next_s >= end_s:
            break
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        tasks.append(asyncio.create_task(measure_call()))
    await asyncio.gather(*tasks)
    return histogram


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


async def measure_rounds(
    paths: dict[str, Call], load: LoadPlan, read_cpu_s: Callable[[], float]
) -> RoundsByPath:
    """Measure all paths alternately, so that changes of the machine affect all alike.

    Args:
        paths: Call of each path, by path name.
        load: Load on each path.
        read_cpu_s: Returns the processor time that all processes have used so far.

    Returns:
        The results of each path, one per round, by path name.
    """
    rng = random.Random(load.seed)
    for call in paths.values():
        await measure_path(call, load, rng, WARM_UP_S)
    rounds: RoundsByPath = {name: [] for name in paths}
    for _ in range(load.rounds):
        for name, call in paths.items():
            start_s = read_cpu_s()
            histogram = await measure_path(call, load, rng, load.round_s)
            rounds[name].append(RoundResult(histogram, read_cpu_s() - start_s))
    return rounds


def compare_paths(direct: list[RoundResult], through: list[RoundResult]) -> PathReport:
    """Return the percentiles of two paths and their differences.

    Args:
        direct: Results without mimosaloom, one for each round.
        through: Results with mimosaloom in the same rounds.
    """
    merged_direct, merged_through = _merge(direct), _merge(through)
    times_ms = {
        f"{name}_p{percentile}_ms": _percentile_ms(histogram, percentile)
        for name, histogram in (("direct", merged_direct), ("through", merged_through))
        for percentile in (50, 99)
    }
    direct_cpu_us, through_cpu_us = _cpu_us_per_call(direct), _cpu_us_per_call(through)
    return PathReport(
        calls=merged_through.get_total_count(),
        **times_ms,
        added_p50_ms=round(times_ms["through_p50_ms"] - times_ms["direct_p50_ms"], 3),
        added_p99_ms=round(times_ms["through_p99_ms"] - times_ms["direct_p99_ms"], 3),
        round_added_p99_ms=[
            round(
                _percentile_ms(result.histogram, 99)
                - _percentile_ms(direct_result.histogram, 99),
                3,
            )
            for direct_result, result in zip(direct, through, strict=True)
        ],
        direct_cpu_us=direct_cpu_us,
        through_cpu_us=through_cpu_us,
        added_cpu_us=round(through_cpu_us - direct_cpu_us, 1),
    )


def _merge(results: list[RoundResult]) -> HdrHistogram:
    merged = new_histogram()
    for result in results:
        merged.add(result.histogram)
    return merged


def _cpu_us_per_call(results: list[RoundResult]) -> float:
    calls = sum(result.histogram.get_total_count() for result in results)
    return round(1e6 * sum(result.cpu_s for result in results) / calls, 1)


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1_000


def run_latency(load: LoadPlan) -> LatencyReport:
    """Start the stand-ins, a node and an embedded target, and measure all paths.

    Raises:
        StartFailed: If a process does not start.
        CallFailed: If a call gets no whole answer.
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
        "resources": PLAN.build_documents(),
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
) -> RoundsByPath:
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
        await _wait_until_ready(paths)
        # Excludes the objects of the imported modules from later garbage collections.
        gc.collect()
        gc.freeze()
        return await measure_rounds(paths, load, read_cpu_s)
    finally:
        client.close()
        transport.close()


async def _wait_until_ready(paths: dict[str, Call]) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for name, call in paths.items():
        while not await call():
            if time.monotonic() > deadline_s:
                raise CallFailed(f"the {name} path gave no whole answer in time")
            await asyncio.sleep(READY_INTERVAL_S)


def show_latency(load: LoadPlan, *, is_json: bool) -> ExitCode:
    """Measure and print the latencies.

    Args:
        load: Load on each path.
        is_json: Whether the last printed line is a JSON object.

    Returns:
        `ERROR` if the measurement failed. The goal is printed with the figures; a
        missed goal is a result and not an error.
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
    """Return the figures as a table for a terminal."""
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
