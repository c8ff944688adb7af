"""Time that mimosaloom adds to a call, measured against the same stand-ins."""

import asyncio
import json
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple, TypedDict
from urllib.parse import urlsplit

import typer
from hdrh.histogram import HdrHistogram
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from mimosaloom_cli import ExitCode
from mimosaloom_mesh import FixedDirectory, Request, Transport, build_caller
from mimosaloom_model import Answered, SystemClock, build_catalog
from mimosaloom_policy import Candidate

from .deployment import Deployment, start_deployment, wait_for_url
from .latency_target import INCARNATION
from .meshes import ClassPlan, MeshPlan, ServicePlan
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
BODY_BYTES = 200
WARM_UP_S = 1.0
MAX_CLIENTS = 64
CALL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 10.0
READY_INTERVAL_S = 0.05
MAX_RECORDED_US = 10_000_000
SIGNIFICANT_DIGITS = 3

SERVICE = "echo"
CLASS_NAME = "echo-call"
TOKEN = "latency-order-1"
BODY = json.dumps({"token": TOKEN, "padding": ""}).encode()
BODY = BODY.replace(b'""', b'"' + b"x" * (BODY_BYTES - len(BODY)) + b'"')
_PLAN = MeshPlan(
    name="latency",
    region="local",
    failure_domains=("local-a",),
    services=(ServicePlan(SERVICE, 1, 64, 500, 0.0),),
    classes=(ClassPlan(CLASS_NAME, 2, True, False, (SERVICE,), 1.0),),
    deep_service=SERVICE,
    normal_per_s=250.0,
)

Call = Callable[[], Awaitable[bool]]
Rounds = dict[str, list[HdrHistogram]]


class PathReport(TypedDict):
    """Percentiles of calls without and with mimosaloom, and their differences.

    `round_added_p99_ms` holds the difference for each round, as a sign of its spread.
    """

    calls: int
    direct_p50_ms: float
    direct_p99_ms: float
    through_p50_ms: float
    through_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    round_added_p99_ms: list[float]


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


async def measure_all(paths: dict[str, Call], load: LoadPlan) -> Rounds:
    """Measure the paths in turns, so that a change of the machine hits all alike.

    Args:
        paths: Call of each path by name.
        load: Load on each path.

    Returns:
        For each path, one histogram for each round.
    """
    rng = random.Random(load.seed)
    for call in paths.values():
        await measure_path(call, load, rng, WARM_UP_S)
    rounds: Rounds = {name: [] for name in paths}
    for _ in range(load.rounds):
        for name, call in paths.items():
            rounds[name].append(await measure_path(call, load, rng, load.round_s))
    return rounds


def compare_paths(
    direct: list[HdrHistogram], through: list[HdrHistogram]
) -> PathReport:
    """Return the percentiles of two paths and their differences.

    Args:
        direct: Histograms without mimosaloom, one for each round, in microseconds.
        through: Histograms with mimosaloom for the same rounds.
    """
    all_direct, all_through = _merge(direct), _merge(through)
    round_added_p99_ms = [
        round(_read_ms(with_mesh, 99) - _read_ms(without, 99), 3)
        for without, with_mesh in zip(direct, through, strict=True)
    ]
    report = {
        f"{name}_p{percentile}_ms": _read_ms(histogram, percentile)
        for name, histogram in (("direct", all_direct), ("through", all_through))
        for percentile in (50, 99)
    }
    return PathReport(
        calls=all_through.get_total_count(),
        **report,
        added_p50_ms=round(report["through_p50_ms"] - report["direct_p50_ms"], 3),
        added_p99_ms=round(report["through_p99_ms"] - report["direct_p99_ms"], 3),
        round_added_p99_ms=round_added_p99_ms,
    )


def _merge(histograms: list[HdrHistogram]) -> HdrHistogram:
    merged = new_histogram()
    for histogram in histograms:
        merged.add(histogram)
    return merged


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
        deployment = start_deployment(_PLAN, group, Path(name), seed=load.seed)
        embedded_url = _start_embedded_target(group)
        rounds = asyncio.run(_measure(deployment, embedded_url, load))
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
            "slots": _PLAN.service(SERVICE).slots,
            "service_time_s": 0.0,
        },
        "resources": _PLAN.documents(),
    }
    child = group.start(
        "target-embedded", "mimosaloom_bench.latency_target", json.dumps(settings)
    )
    return wait_for_url(child)


async def _measure(deployment: Deployment, embedded_url: str, load: LoadPlan) -> Rounds:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
    [target_url] = deployment.target_urls.values()
    [ingress_url] = deployment.ingress_urls.values()
    transport = Transport()
    paths = {
        "direct": _plain_call(client, target_url),
        "node": _plain_call(client, ingress_url),
        "embedded": _embedded_call(transport, embedded_url),
    }
    try:
        await _wait_until_answered(paths)
        return await measure_all(paths, load)
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


def _plain_call(client: CurlAsyncHTTPClient, url: str) -> Call:
    async def call() -> bool:
        request = HTTPRequest(
            f"{url}/call",
            method="POST",
            headers={
                "Mimosaloom-Class": CLASS_NAME,
                "Content-Type": "application/json",
            },
            body=BODY,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            response = await client.fetch(request, raise_error=False)
        except HTTPError:
            return False
        return response.code == 200 and _is_own(response.body)

    return call


def _embedded_call(transport: Transport, url: str) -> Call:
    parts = urlsplit(url)
    candidate = Candidate(
        name="echo-embedded",
        host=parts.hostname,
        port=parts.port,
        failure_domain="local-a",
        slots=_PLAN.service(SERVICE).slots,
        max_connections=_PLAN.service(SERVICE).max_connections,
        incarnation=INCARNATION,
    )
    directory = FixedDirectory(build_catalog(_PLAN.documents()), {SERVICE: [candidate]})
    caller = build_caller(
        "latency",
        "local-a",
        directory,
        clock=SystemClock(),
        rng=random.Random(3),
        transport=transport,
    )
    request = Request("POST", "/call", (("Content-Type", "application/json"),), BODY)

    async def call() -> bool:
        outcome = await caller.call(SERVICE, request, class_name=CLASS_NAME)
        return (
            isinstance(outcome, Answered)
            and outcome.status == 200
            and _is_own(outcome.body)
        )

    return call


def _is_own(body: bytes) -> bool:
    return TOKEN.encode() in body


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
        f"{'p99':>8}{'added p50':>11}{'p99':>8}  added p99 by round",
    ]
    lines += [
        f"{name:<10}{path['calls']:>7}{path['direct_p50_ms']:>12.3f}"
        f"{path['direct_p99_ms']:>8.3f}{path['through_p50_ms']:>13.3f}"
        f"{path['through_p99_ms']:>8.3f}{path['added_p50_ms']:>11.3f}"
        f"{path['added_p99_ms']:>8.3f}  "
        f"{min(path['round_added_p99_ms']):.3f} to "
        f"{max(path['round_added_p99_ms']):.3f}"
        for name, path in (("node", report), ("embedded", report["embedded"]))
    ]
    return "\n".join(lines)
