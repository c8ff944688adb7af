"""Processor time and memory of each decision, with the clock of the process."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import TypedDict

import typer

from mimosaloom_model import (
    Answered,
    CallContext,
    decode_context,
    encode_context,
    new_request_id,
)
from mimosaloom_policy import (
    Admission,
    Arrival,
    Candidate,
    Claim,
    ClaimLimits,
    ClaimRecord,
    ClaimReplay,
    EpochRule,
    Ledger,
    LevelTable,
    Router,
    RunTable,
    Stamp,
    format_brought_key,
)

__all__ = ["DecisionReport", "measure_decisions", "show_decisions"]

INCARNATION = "0000000000001-00000001"
SLOTS = 70
UPSTREAMS = 5
US_PER_S = 1e6
CALL_INTERVAL_S = 0.004
ANSWER = Answered(200, (), b"x" * 200)


class DecisionReport(TypedDict):
    """Figures per call or per entry; times are processor time."""

    calls: int
    admission_us: float
    routing_us: float
    ledger_us: float
    context_us: float
    run_table_us: float
    run_table_bytes: float
    claim_us: float
    claim_bytes: float


def show_decisions(calls: int, *, is_json: bool) -> None:
    """Measure and print the decisions."""
    report = measure_decisions(calls)
    if is_json:
        typer.echo(json.dumps(report))
        return
    for name, value in report.items():
        typer.echo(f"{name:<16} {value:10.1f}")


def measure_decisions(calls: int) -> DecisionReport:
    """Return the cost of each decision.

    Args:
        calls: Calls, or entries of the tables.
    """
    return DecisionReport(
        calls=calls,
        admission_us=_time_us(_admit, calls),
        routing_us=_time_us(_route, calls),
        ledger_us=_time_us(_lend, calls),
        context_us=_time_us(_pass_context, calls),
        run_table_us=_time_us(_run_once, calls),
        run_table_bytes=_entry_bytes(_run_once, calls),
        claim_us=_time_us(_claim, calls),
        claim_bytes=_entry_bytes(_claim, calls),
    )


def _time_us(work: Callable[[int], object], calls: int) -> float:
    started_s = time.process_time()
    work(calls)
    return (time.process_time() - started_s) / calls * US_PER_S


def _entry_bytes(work: Callable[[int], object], entries: int) -> float:
    tracemalloc.start()
    # The table has to live until the memory is read.
    table = work(entries)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return size / entries


def _admit(calls: int) -> Admission:
    admission = Admission(SLOTS, 0.0)
    rng = random.Random(1)
    for number in range(calls):
        now_s = number * CALL_INTERVAL_S
        key = str(number)
        arrival = Arrival(key, "c", 4, False, rng.random(), now_s + 2.0)
        admission.offer(arrival, now_s)
        admission.finish(key, now_s + 0.001, is_success=True)
    return admission


def _route(calls: int) -> Router:
    rng = random.Random(1)
    router = Router("billing", "me", "z1", rng)
    levels = LevelTable(rng)
    names = [f"billing-{number}" for number in range(UPSTREAMS)]
    candidates = [
        Candidate(name, "127.0.0.1", 1, "z1", SLOTS, 300, INCARNATION) for name in names
    ]
    router.set_candidates(candidates, 0.0, callers=UPSTREAMS)
    for number in range(calls):
        now_s = number * CALL_INTERVAL_S
        levels.admits("billing", "c", 0.5, now_s)
        refusing = levels.refusing("billing", "c", 0.5, now_s)
        name = router.pick(now_s, refusing).name
        router.start(name, now_s)
        router.finish(name, now_s, elapsed_s=0.01, kind=None)
        levels.observe("billing", "c", name, 1.0, now_s)
    return router


def _lend(calls: int) -> Ledger:
    ledger = Ledger()
    for number in range(calls):
        key = str(number)
        ledger.open(key, 3)
        lent = ledger.lend(key, key)
        ledger.give_back(key, lent, lent, key)
        ledger.close(key)
    return ledger


def _pass_context(calls: int) -> None:
    request_id = new_request_id(random.Random(1))
    for number in range(calls):
        context = CallContext(request_id, str(number), "status-inquiry", 1_500)
        decode_context(encode_context(context))


def _run_once(calls: int) -> RunTable:
    rule = EpochRule(INCARNATION, 0.0, max_entries=calls)
    table = RunTable(rule)
    stamp = Stamp(INCARNATION, 0)
    rng = random.Random(1)
    for _ in range(calls):
        key = new_request_id(rng)
        table.begin(key, "digest", 0.0, stamp, 1)
        table.finish(key, ANSWER, 0.0)
    return table


def _claim(calls: int) -> ClaimReplay:
    replay = ClaimReplay(ClaimLimits(max_keys=calls))
    rng = random.Random(1)
    for offset in range(calls):
        key = format_brought_key(1_000, f"{rng.getrandbits(64):016x}")
        record = ClaimRecord(str(offset), (Claim(key, "billing-1/1"),))
        replay.apply(offset, record, 1_000.0)
    return replay
