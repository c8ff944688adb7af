"""Speed and memory of the replay against a naive full replay."""

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import TypedDict

from mimosaloom_control import (
    BadRecord,
    ConfigRecord,
    Replay,
    Resource,
    adopt_snapshot,
    decode_record,
    encode_record,
    encode_snapshot,
    replay_records,
)

__all__ = ["ReplayReport", "build_records", "measure_replay", "replay_naively"]

NAMES = 6_200
# Share of records that lose against another, and of repeated appends.
CONFLICT_RATIO = 0.05
DUPLICATE_RATIO = 0.02
CHANGES = 100


class ReplayReport(TypedDict):
    """Figures of both ways."""

    records: int
    resources: int
    records_per_s: float
    memory_mb: float
    change_us: float
    snapshot_bytes: int
    snapshot_adopt_s: float
    naive_records_per_s: float
    naive_memory_mb: float
    naive_change_us: float
    is_equal: bool


def build_records(count: int, seed: int) -> list[bytes]:
    """Return records of changes, with conflicts and repeated appends among them."""
    rng = random.Random(seed)
    revisions: dict[str, int] = {}
    records: list[bytes] = []
    while len(records) < count:
        offset = len(records)
        if records and rng.random() < DUPLICATE_RATIO:
            records.append(records[-1])
            continue
        name = f"s-{rng.randrange(NAMES)}"
        is_late = rng.random() < CONFLICT_RATIO
        expected = revisions.get(name, 0)
        record = ConfigRecord(
            id=f"r-{offset}",
            kind="Service",
            name=name,
            expected_revision=expected + 1 if is_late else expected,
            base_offset=offset,
            spec={"calls": [f"s-{rng.randrange(NAMES)}"]},
        )
        if not is_late:
            revisions[name] = offset + 1
        records.append(encode_record(record))
    return records


def replay_naively(values: list[bytes]) -> dict[tuple[str, str], Resource]:
    """Return the configuration by a replay from the first record, keeping all ids."""
    resources: dict[tuple[str, str], Resource] = {}
    seen: set[str] = set()
    for offset, value in enumerate(values):
        record = decode_record(value)
        if isinstance(record, BadRecord) or record.id in seen:
            continue
        seen.add(record.id)
        key = (record.kind, record.name)
        known = resources.get(key)
        if record.expected_revision != (known.revision if known else 0):
            continue
        if record.spec is None:
            resources.pop(key, None)
        else:
            resources[key] = Resource(offset + 1, record.spec)
    return resources


def measure_replay(count: int, seed: int) -> ReplayReport:
    """Replay the same records both ways."""
    values = build_records(count + CHANGES, seed)
    first, changes = values[:count], values[count:]
    own_s, replay = _time(lambda: replay_records(enumerate(first)))
    naive_s, _ = _time(lambda: replay_naively(first))
    memory_mb = _measure_memory_mb(lambda: replay_records(enumerate(first)))
    # The naive way has to keep the records, since it starts again at each change.
    naive_mb = _measure_memory_mb(lambda: [bytes(bytearray(v)) for v in first])
    naive_mb += _measure_memory_mb(lambda: replay_naively(first))
    change_s, _ = _time(lambda: replay_records(enumerate(changes, count), replay))
    naive_change_s, final = _time(lambda: replay_naively(values))
    snapshot = encode_snapshot(replay)
    adopt_s, _ = _time(lambda: adopt_snapshot(Replay(), snapshot))
    return ReplayReport(
        records=count,
        resources=len(replay.resources),
        records_per_s=count / own_s,
        memory_mb=memory_mb,
        change_us=change_s / CHANGES * 1e6,
        snapshot_bytes=len(snapshot),
        snapshot_adopt_s=adopt_s,
        naive_records_per_s=count / naive_s,
        naive_memory_mb=naive_mb,
        naive_change_us=naive_change_s * 1e6,
        is_equal=final == replay.resources,
    )


def _time(work: Callable[[], object]) -> tuple[float, object]:
    started_s = time.perf_counter()
    result = work()
    return time.perf_counter() - started_s, result


def _measure_memory_mb(work: Callable[[], object]) -> float:
    tracemalloc.start()
    result = work()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return held_bytes / 2**20
