"""Measures processor time and memory of each kind of decision in one process."""

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
    LevelTable,
    RetentionRule,
    RetryLedger,
    Router,
    RunTable,
    Stamp,
    format_caller_key,
)

__all__ = ["DecisionReport", "measure_decisions", "show_decisions"]

INCARNATION = "0000000000001-00000001"
SLOTS = 70
UPSTREAM_COUNT = 5
US_PER_S = 1e6
CALL_INTERVAL_S = 0.004
ANSWER = Answered(200, (), b"x" * 200)


class DecisionReport(TypedDict):
    """Figures of each kind of decision; times are processor time per call.

    Attributes:
        calls: Number of calls, or of entries in the tables.
        admission_us: Admission of a call, from its arrival to its end.
        routing_us: Choice of an upstream, with the admission levels of upstreams.
        ledger_us: Lending of retries to a call and their return.
        context_us: Encoding and decoding of the call context.
        run_table_us: Start and end of a call in the run table.
        run_table_bytes: Memory per entry of the run table.
        claim_us: Replay of a claim record.
        claim_bytes: Memory per claimed key.
    """

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
    """Measure and print the cost of each kind of decision."""
    report = measure_decisions(calls)
    if is_json:
        typer.echo(json.dumps(report))
        return
    for name, value in report.items():
        typer.echo(f"{name:<16} {value:10.1f}")


def measure_decisions(calls: int) -> DecisionReport:
    """Return the cost of each kind of decision.

    Args:
        calls: Number of calls, or of entries in the tables.
    """
    return DecisionReport(
        calls=calls,
        admission_us=_measure_us(_exercise_admission, calls),
        routing_us=_measure_us(_exercise_routing, calls),
        ledger_us=_measure_us(_exercise_ledger, calls),
        context_us=_measure_us(_exercise_context, calls),
        run_table_us=_measure_us(_exercise_run_table, calls),
        run_table_bytes=_measure_entry_bytes(_exercise_run_table, calls),
        claim_us=_measure_us(_exercise_claims, calls),
        claim_bytes=_measure_entry_bytes(_exercise_claims, calls),
    )


def _measure_us(work: Callable[[int], object], calls: int) -> float:
    started_s = time.process_time()
    work(calls)
    return (time.process_time() - started_s) / calls * US_PER_S


def _measure_entry_bytes(work: Callable[[int], object], entries: int) -> float:
    tracemalloc.start()
    # The table must stay referenced until its memory is read.
    table = work(entries)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return size / entries


def _exercise_admission(calls: int) -> Admission:
    admission = Admission(SLOTS, 0.0)
    rng = random.Random(1)
    for number in range(calls):
        now_s = number * CALL_INTERVAL_S
        key = str(number)
        arrival = Arrival(key, "c", 4, False, rng.random(), now_s + 2.0)
        admission.offer(arrival, now_s)
        admission.finish(key, now_s + 0.001, is_success=True)
    return admission


def _exercise_routing(calls: int) -> Router:
    rng = random.Random(1)
    router = Router("billing", "me", "z1", rng)
    levels = LevelTable(rng)
    names = [f"billing-{number}" for number in range(UPSTREAM_COUNT)]
    candidates = [
        Candidate(name, "127.0.0.1", 1, "z1", SLOTS, 300, INCARNATION) for name in names
    ]
    router.set_candidates(candidates, 0.0, callers=UPSTREAM_COUNT)
    for number in range(calls):
        now_s = number * CALL_INTERVAL_S
        levels.admits("billing", "c", 0.5, now_s)
        refusing = levels.refusing_upstreams("billing", "c", 0.5, now_s)
        name = router.pick(now_s, refusing).name
        router.start(name, now_s)
        router.finish(name, now_s, elapsed_s=0.01, kind=None)
        levels.record_levels("billing", "c", name, 1.0, now_s)
    return router


def _exercise_ledger(calls: int) -> RetryLedger:
    ledger = RetryLedger()
    for number in range(calls):
        key = str(number)
        ledger.open(key, 3)
        lent = ledger.lend(key, key)
        ledger.give_back(key, lent, lent, key)
        ledger.close(key)
    return ledger


def _exercise_context(calls: int) -> None:
    request_id = new_request_id(random.Random(1))
    for number in range(calls):
        context = CallContext(request_id, str(number), "status-inquiry", 1_500)
        decode_context(encode_context(context))


def _exercise_run_table(calls: int) -> RunTable:
    rule = RetentionRule(INCARNATION, 0.0, max_entries=calls)
    table = RunTable(rule)
    stamp = Stamp(INCARNATION, 0)
    rng = random.Random(1)
    for _ in range(calls):
        key = new_request_id(rng)
        table.begin(key, "digest", 0.0, stamp, 1)
        table.finish(key, ANSWER, 0.0)
    return table


def _exercise_claims(calls: int) -> ClaimReplay:
    replay = ClaimReplay(ClaimLimits(max_keys=calls))
    rng = random.Random(1)
    for offset in range(calls):
        key = format_caller_key(1_000, f"{rng.getrandbits(64):016x}")
        record = ClaimRecord(str(offset), (Claim(key, "billing-1/1"),))
        replay.apply(offset, record, 1_000.0)
    return replay
