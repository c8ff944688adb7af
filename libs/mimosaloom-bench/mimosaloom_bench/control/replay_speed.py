"""Measures speed and memory of the config replay against a naive full replay."""

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

RESOURCE_NAME_COUNT = 6_200
# Share of records that conflict with an earlier one, and of repeated appends.
CONFLICT_RATIO = 0.05
DUPLICATE_RATIO = 0.02
CHANGE_COUNT = 100


class ReplayReport(TypedDict):
    """Figures of the replay and of the naive full replay.

    Attributes:
        records: Number of replayed records.
        resources: Number of resources after the replay.
        records_per_s: Speed of the replay.
        memory_mb: Memory that the replay holds.
        change_us: Time to apply one change after the replay.
        snapshot_bytes: Size of a snapshot.
        snapshot_adopt_s: Time to load the snapshot.
        naive_records_per_s: Speed of the naive full replay.
        naive_memory_mb: Memory that the naive full replay holds.
        naive_change_us: Time to apply one change naively, by another full replay.
        is_equal: Whether both gave the same resources.
    """

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
    """Return records of configuration changes, with conflicts and repeated appends."""
    rng = random.Random(seed)
    revisions: dict[str, int] = {}
    records: list[bytes] = []
    while len(records) < count:
        offset = len(records)
        if records and rng.random() < DUPLICATE_RATIO:
            records.append(records[-1])
            continue
        name = f"s-{rng.randrange(RESOURCE_NAME_COUNT)}"
        is_conflicting = rng.random() < CONFLICT_RATIO
        expected = revisions.get(name, 0)
        record = ConfigRecord(
            id=f"r-{offset}",
            kind="Service",
            name=name,
            expected_revision=expected + 1 if is_conflicting else expected,
            base_offset=offset,
            spec={"calls": [f"s-{rng.randrange(RESOURCE_NAME_COUNT)}"]},
        )
        if not is_conflicting:
            revisions[name] = offset + 1
        records.append(encode_record(record))
    return records


def replay_naively(values: list[bytes]) -> dict[tuple[str, str], Resource]:
    """Return the resources after a replay from the first record that keeps all ids."""
    resources: dict[tuple[str, str], Resource] = {}
    seen: set[str] = set()
    for offset, value in enumerate(values):
        record = decode_record(value)
        if isinstance(record, BadRecord) or record.id in seen:
            continue
        seen.add(record.id)
        key = (record.kind, record.name)
        current = resources.get(key)
        if record.expected_revision != (current.revision if current else 0):
            continue
        if record.spec is None:
            resources.pop(key, None)
        else:
            resources[key] = Resource(offset + 1, record.spec)
    return resources


def measure_replay(count: int, seed: int) -> ReplayReport:
    """Measure the replay and the naive full replay of the same records."""
    values = build_records(count + CHANGE_COUNT, seed)
    initial, changes = values[:count], values[count:]
    replay_s, replay = _measure_time(lambda: replay_records(enumerate(initial)))
    naive_s, _ = _measure_time(lambda: replay_naively(initial))
    memory_mb = _measure_memory_mb(lambda: replay_records(enumerate(initial)))
    # The naive replay must keep the records because it starts over at each change.
    # `bytes(bytearray(v))` allocates a copy of each record, so that it is counted.
    naive_mb = _measure_memory_mb(lambda: [bytes(bytearray(v)) for v in initial])
    naive_mb += _measure_memory_mb(lambda: replay_naively(initial))
    change_s, _ = _measure_time(
        lambda: replay_records(enumerate(changes, count), replay)
    )
    naive_change_s, final = _measure_time(lambda: replay_naively(values))
    snapshot = encode_snapshot(replay)
    adopt_s, _ = _measure_time(lambda: adopt_snapshot(Replay(), snapshot))
    return ReplayReport(
        records=count,
        resources=len(replay.resources),
        records_per_s=count / replay_s,
        memory_mb=memory_mb,
        change_us=change_s / CHANGE_COUNT * 1e6,
        snapshot_bytes=len(snapshot),
        snapshot_adopt_s=adopt_s,
        naive_records_per_s=count / naive_s,
        naive_memory_mb=naive_mb,
        naive_change_us=naive_change_s * 1e6,
        is_equal=final == replay.resources,
    )


def _measure_time(work: Callable[[], object]) -> tuple[float, object]:
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
