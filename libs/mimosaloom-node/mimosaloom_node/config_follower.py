"""Follows the `config` stream of the log service and writes snapshots of it."""

import base64
import zlib
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
from eliot import log_message

from mimosaloom_control import choose_snapshot, is_snapshot_due
from mimosaloom_model import Clock

from .config_state import ConfigState
from .log_client import Appended, LogClient, OffsetExpired, Page, Record

__all__ = ["CONFIG_STREAM", "SNAPSHOT_STREAM", "ConfigFollower", "SnapshotPlan"]

CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "config-snapshots"
READ_WAIT = timedelta(seconds=5)
READER_CHECK_INTERVAL_S = 0.5
APPEND_TIMEOUT = timedelta(seconds=10)
# With its other fields, a record stays below the log service's limit of 65,536 bytes.
MAX_PART_CHARACTERS = 49_152
MAX_SNAPSHOT_BYTES = 64 << 20


class _Part(msgspec.Struct, frozen=True):
    """A record that holds one part of a snapshot.

    Attributes:
        snapshot: Id of the snapshot; the same in all its parts.
        part: Number of this part, from 0.
        parts: Number of parts of the snapshot.
        data: Base64 text of this part of the compressed snapshot.
    """

    snapshot: str
    part: int
    parts: int
    data: str


class SnapshotPlan(msgspec.Struct, frozen=True):
    """Schedule on which snapshots are written.

    Attributes:
        retention_s: Minimum time for which the log service keeps a record.
        max_records: Number of new records after which a snapshot is written even if
            the last one is recent.
    """

    retention_s: float = 3 * 3_600.0
    max_records: int = 1_024


class ConfigFollower:
    """Keeps the configuration up to date from the log while the node is a reader.

    A few nodes of each failure domain, the readers, read the log; the other nodes get
    the configuration from their peers. One reader of the mesh writes the snapshots.

    Args:
        client: Client of the log service.
        state: Configuration to which the records are applied.
        clock: Source of time.
        is_reader: Returns whether this node reads the log.
        is_snapshot_writer: Returns whether this node writes the snapshots.
        plan: Schedule of the snapshots.

    Attributes:
        state: Configuration to which the records are applied.
        is_log_reachable: Whether the last read got a valid answer; None before the
            first read and while this node does not read the log.
        reads: Number of reads of the configuration so far.
    """

    def __init__(
        self,
        client: LogClient,
        state: ConfigState,
        *,
        clock: Clock,
        is_reader: Callable[[], bool],
        is_snapshot_writer: Callable[[], bool],
        plan: SnapshotPlan | None = None,
    ):
        self.state = state
        self.is_log_reachable: bool | None = None
        self.reads = 0
        self._client = client
        self._clock = clock
        self._is_reader = is_reader
        self._is_snapshot_writer = is_snapshot_writer
        self._plan = plan or SnapshotPlan()
        self._snapshot_written_s = clock.monotonic_s()
        self._snapshot_offset = 0
        self._backoff = client.new_backoff()

    async def run(self) -> None:
        """Read the log and write snapshots until cancelled."""
        while True:
            if self._is_reader():
                await self._read_records()
            else:
                self.is_log_reachable = None
                await self._client.wait(READER_CHECK_INTERVAL_S)
            if self._is_snapshot_writer() and self._is_snapshot_due():
                await self._write_snapshot()

    def status(self) -> dict:
        """Return the status fields for operators.

        `is_log_reachable` is null while this node does not read the log.
        """
        return {
            "is_reader": self._is_reader(),
            "is_log_reachable": self.is_log_reachable,
        }

    async def _read_records(self) -> None:
        self.reads += 1
        outcome = await self._client.read(
            CONFIG_STREAM, self.state.next_offset, wait=READ_WAIT
        )
        if isinstance(outcome, Page):
            self._set_log_reachable(True)
            self._backoff.reset()
            self.state.apply_records(
                (r.offset, encode_record_value(r.value)) for r in outcome.records
            )
        elif isinstance(outcome, OffsetExpired):
            self._set_log_reachable(True)
            await self._adopt_snapshot(outcome.first_offset)
        else:
            self._set_log_reachable(False)
            await self._client.wait(self._backoff.next_delay_s())

    def _set_log_reachable(self, is_reachable: bool) -> None:
        if self.is_log_reachable is not is_reachable:
            log_message(message_type="config_log", is_reachable=is_reachable)
        self.is_log_reachable = is_reachable

    async def _adopt_snapshot(self, first_offset: int) -> None:
        values = assemble_snapshots(await self._read_all(SNAPSHOT_STREAM))
        chosen = choose_snapshot(values, first_offset)
        if chosen is not None and self.state.adopt_snapshot(chosen):
            self._snapshot_offset = chosen.next_offset
            return
        # A peer may send the missing state; if none has it, a later snapshot contains
        # it.
        log_message(message_type="config_snapshot_missing", first_offset=first_offset)
        await self._client.wait(self._backoff.next_delay_s())

    async def _read_all(self, stream: str) -> list[Record]:
        records: list[Record] = []
        offset = 0
        while True:
            outcome = await self._client.read(stream, offset)
            if isinstance(outcome, OffsetExpired) and outcome.first_offset > offset:
                offset = outcome.first_offset
            elif isinstance(outcome, Page) and outcome.records:
                records += outcome.records
                offset = outcome.next_offset
            else:
                return records

    def _is_snapshot_due(self) -> bool:
        new_records = self.state.next_offset - self._snapshot_offset
        age_s = self._clock.monotonic_s() - self._snapshot_written_s
        if not self.state.next_offset:
            return False
        is_old = is_snapshot_due(age_s, self._plan.retention_s)
        return is_old or new_records >= self._plan.max_records

    async def _write_snapshot(self) -> None:
        offset = self.state.next_offset
        parts = split_into_parts(self._client.new_record_id(), self.state.snapshot())
        for part in parts:
            outcome = await self._client.append(
                SNAPSHOT_STREAM, msgspec.to_builtins(part), timeout=APPEND_TIMEOUT
            )
            if not isinstance(outcome, Appended):
                log_message(message_type="config_snapshot_not_written", offset=offset)
                return
        self._snapshot_offset = offset
        self._snapshot_written_s = self._clock.monotonic_s()
        log_message(
            message_type="config_snapshot_written", offset=offset, parts=len(parts)
        )


def encode_record_value(value: object) -> bytes:
    """Encode a record for the replay; the bytes are the same on every node."""
    return msgspec.json.encode(value, order="deterministic")


def split_into_parts(snapshot_id: str, value: bytes) -> list[_Part]:
    """Split a snapshot into records within the size limit of the log service."""
    text = base64.b64encode(zlib.compress(value)).decode()
    pieces = [
        text[at : at + MAX_PART_CHARACTERS]
        for at in range(0, len(text), MAX_PART_CHARACTERS)
    ]
    return [_Part(snapshot_id, n, len(pieces), data) for n, data in enumerate(pieces)]


def assemble_snapshots(records: Iterable[Record]) -> list[bytes]:
    """Return the complete snapshots; incomplete and invalid ones are skipped."""
    parts_by_snapshot: dict[str, dict[int, _Part]] = {}
    for record in records:
        try:
            part = msgspec.convert(record.value, _Part)
        except msgspec.ValidationError:
            continue
        parts_by_snapshot.setdefault(part.snapshot, {})[part.part] = part
    snapshots = (_assemble_snapshot(parts) for parts in parts_by_snapshot.values())
    return [value for value in snapshots if value is not None]


def _assemble_snapshot(parts: dict[int, _Part]) -> bytes | None:
    count = next(iter(parts.values())).parts
    if set(parts) != set(range(count)):
        return None
    text = "".join(parts[number].data for number in range(count))
    try:
        # The limit keeps a small record from filling the memory when decompressed.
        unpacker = zlib.decompressobj()
        return unpacker.decompress(base64.b64decode(text), MAX_SNAPSHOT_BYTES)
    except (ValueError, zlib.error):
        return None
