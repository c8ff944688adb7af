"""Reads the `config` stream of the log and writes snapshots of it."""

import base64
import zlib
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
from eliot import log_message

from mimosaloom_control import choose_snapshot, is_snapshot_due
from mimosaloom_model import Clock

from .config_state import ConfigState
from .log_client import Appended, Gone, LogClient, Page, Record

__all__ = ["CONFIG_STREAM", "SNAPSHOT_STREAM", "ConfigFollower", "SnapshotPlan"]

CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "config-snapshots"
READ_WAIT = timedelta(seconds=5)
IDLE_S = 0.5
APPEND_TIMEOUT = timedelta(seconds=10)
# Below the 65,536 bytes that a record of the log may have, with its other fields.
PART_CHARACTERS = 49_152
MAX_SNAPSHOT_BYTES = 64 << 20


class _Part(msgspec.Struct, frozen=True):
    """A part of a snapshot; parts with one `snapshot` belong together."""

    snapshot: str
    part: int
    parts: int
    data: str


class SnapshotPlan(msgspec.Struct, frozen=True):
    """When snapshots are written.

    Attributes:
        retention_s: Shortest time for which the log service keeps a record.
        max_records: Records after which one is written earlier.
    """

    retention_s: float = 3 * 3_600.0
    max_records: int = 1_024


class ConfigFollower:
    """Keeps a configuration up to date from the log while the node is a reader.

    Args:
        client: Client of the log service.
        state: Receives the records.
        clock: Source of time.
        is_reader: Tells whether this node reads the log.
        is_writer: Tells whether this node writes the snapshots.
        plan: When snapshots are written.
    """

    def __init__(
        self,
        client: LogClient,
        state: ConfigState,
        *,
        clock: Clock,
        is_reader: Callable[[], bool],
        is_writer: Callable[[], bool],
        plan: SnapshotPlan | None = None,
    ):
        self.state = state
        self.is_log_reachable: bool | None = None
        self.reads = 0
        self._client = client
        self._clock = clock
        self._is_reader = is_reader
        self._is_writer = is_writer
        self._plan = plan or SnapshotPlan()
        self._snapshot_s = clock.monotonic_s()
        self._snapshot_offset = 0
        self._backoff = client.new_backoff()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            if self._is_reader():
                await self._read()
            else:
                self.is_log_reachable = None
                await self._client.wait(IDLE_S)
            if self._is_writer() and self._is_due():
                await self._write_snapshot()

    def status(self) -> dict:
        """Return what operators see of the log; reachable is null if not read."""
        return {
            "is_reader": self._is_reader(),
            "is_log_reachable": self.is_log_reachable,
        }

    async def _read(self) -> None:
        self.reads += 1
        outcome = await self._client.read(
            CONFIG_STREAM, self.state.next_offset, wait=READ_WAIT
        )
        if isinstance(outcome, Page):
            self._note_reachable(True)
            self._backoff.reset()
            self.state.take((r.offset, encode_value(r.value)) for r in outcome.records)
        elif isinstance(outcome, Gone):
            self._note_reachable(True)
            await self._take_snapshot(outcome.first_offset)
        else:
            self._note_reachable(False)
            await self._client.wait(self._backoff.next_delay_s())

    def _note_reachable(self, is_reachable: bool) -> None:
        if self.is_log_reachable is not is_reachable:
            log_message(message_type="config_log", is_reachable=is_reachable)
        self.is_log_reachable = is_reachable

    async def _take_snapshot(self, first_offset: int) -> None:
        values = join_parts(await self._read_all(SNAPSHOT_STREAM))
        chosen = choose_snapshot(values, first_offset)
        if chosen is not None and self.state.adopt(chosen):
            self._snapshot_offset = chosen.next_offset
            return
        # A peer may still have the state; otherwise the next snapshot brings it.
        log_message(message_type="config_snapshot_missing", first_offset=first_offset)
        await self._client.wait(self._backoff.next_delay_s())

    async def _read_all(self, stream: str) -> list[Record]:
        records: list[Record] = []
        offset = 0
        while True:
            outcome = await self._client.read(stream, offset)
            if isinstance(outcome, Gone) and outcome.first_offset > offset:
                offset = outcome.first_offset
            elif isinstance(outcome, Page) and outcome.records:
                records += outcome.records
                offset = outcome.next_offset
            else:
                return records

    def _is_due(self) -> bool:
        grown = self.state.next_offset - self._snapshot_offset
        age_s = self._clock.monotonic_s() - self._snapshot_s
        if not self.state.next_offset:
            return False
        is_old = is_snapshot_due(age_s, self._plan.retention_s)
        return is_old or grown >= self._plan.max_records

    async def _write_snapshot(self) -> None:
        offset = self.state.next_offset
        parts = split_snapshot(self._client.new_record_id(), self.state.snapshot())
        for part in parts:
            outcome = await self._client.append(
                SNAPSHOT_STREAM, msgspec.to_builtins(part), give_up_after=APPEND_TIMEOUT
            )
            if not isinstance(outcome, Appended):
                log_message(message_type="config_snapshot_not_written", offset=offset)
                return
        self._snapshot_offset = offset
        self._snapshot_s = self._clock.monotonic_s()
        log_message(
            message_type="config_snapshot_written", offset=offset, parts=len(parts)
        )


def encode_value(value: object) -> bytes:
    """Return a record as the bytes that are replayed, equal on every node."""
    return msgspec.json.encode(value, order="deterministic")


def split_snapshot(snapshot_id: str, value: bytes) -> list[_Part]:
    """Return a snapshot as records that the log service takes."""
    text = base64.b64encode(zlib.compress(value)).decode()
    pieces = [
        text[at : at + PART_CHARACTERS] for at in range(0, len(text), PART_CHARACTERS)
    ]
    return [_Part(snapshot_id, n, len(pieces), data) for n, data in enumerate(pieces)]


def join_parts(records: Iterable[Record]) -> list[bytes]:
    """Return the snapshots of which all parts are there; others are skipped."""
    found: dict[str, dict[int, _Part]] = {}
    for record in records:
        try:
            part = msgspec.convert(record.value, _Part)
        except msgspec.ValidationError:
            continue
        found.setdefault(part.snapshot, {})[part.part] = part
    joined = (_join(parts) for parts in found.values())
    return [value for value in joined if value is not None]


def _join(parts: dict[int, _Part]) -> bytes | None:
    count = next(iter(parts.values())).parts
    if set(parts) != set(range(count)):
        return None
    text = "".join(parts[number].data for number in range(count))
    try:
        # The bound keeps a small record from growing to fill the memory.
        unpacker = zlib.decompressobj()
        return unpacker.decompress(base64.b64decode(text), MAX_SNAPSHOT_BYTES)
    except (ValueError, zlib.error):
        return None
