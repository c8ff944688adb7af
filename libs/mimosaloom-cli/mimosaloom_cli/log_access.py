"""Reads the configuration from the log and appends changes to it."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

import msgspec

from mimosaloom_control import (
    MAX_RECORD_BYTES,
    ConfigRecord,
    Effect,
    Outcome,
    Replay,
    choose_snapshot,
    encode_record,
)
from mimosaloom_model import Clock
from mimosaloom_node.log_client import (
    Appended,
    AppendOutcome,
    AppendUnknown,
    Gone,
    LogClient,
    NotAppended,
    Page,
    Unreadable,
)

from .changes import Action, Change

__all__ = [
    "Result",
    "ResultKind",
    "Unavailable",
    "append_changes",
    "read_configuration",
]

CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "config-snapshots"
READ_TRIES = 3
APPEND_LIMIT = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The configuration can't be read."""

    reason: str


class ResultKind(StrEnum):
    """What became of a change."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    NOT_SENT = "not_sent"


class Result(NamedTuple):
    """A change and what became of it.

    Attributes:
        change: The change.
        kind: What became of it.
        offset: Offset of its record; -1 if there is none.
        revision: Revision of the resource after it; 0 if there is no resource.
        reason: Why it was not accepted.
    """

    change: Change
    kind: ResultKind
    offset: int = -1
    revision: int = 0
    reason: str = ""


async def read_configuration(
    client: LogClient, replay: Replay | None = None
) -> Replay | Unavailable:
    """Read the configuration up to the end of the log.

    Args:
        client: Client of the log service.
        replay: State to go on from; from the start of the log if None.
    """
    replay = replay or Replay()
    while True:
        outcome = await _read_page(client, CONFIG_STREAM, replay.next_offset)
        if isinstance(outcome, Unreadable):
            return Unavailable(outcome.reason)
        if isinstance(outcome, Gone):
            adopted = await _adopt_snapshot(client, replay, outcome.first_offset)
            if isinstance(adopted, Unavailable):
                return adopted
            continue
        for record in outcome.records:
            replay.apply(record.offset, bytes(record.raw))
        if not outcome.records:
            return replay


async def _read_page(
    client: LogClient, stream: str, start: int
) -> Page | Gone | Unreadable:
    backoff = client.new_backoff()
    for _ in range(READ_TRIES - 1):
        outcome = await _try_read(client, stream, start)
        if not isinstance(outcome, Unreadable):
            return outcome
        await client.wait(backoff.next_delay_s())
    return await _try_read(client, stream, start)


async def _try_read(
    client: LogClient, stream: str, start: int
) -> Page | Gone | Unreadable:
    try:
        return await client.read(stream, start)
    except RecursionError:
        return Unreadable(f"a record from offset {start} on is nested too deeply")


async def _adopt_snapshot(
    client: LogClient, replay: Replay, first_offset: int
) -> Unavailable | None:
    values: list[bytes] = []
    start = 0
    while True:
        outcome = await _read_page(client, SNAPSHOT_STREAM, start)
        if isinstance(outcome, Unreadable):
            return Unavailable(outcome.reason)
        if isinstance(outcome, Gone):
            start = max(start + 1, outcome.first_offset)
            continue
        values += [bytes(record.raw) for record in outcome.records]
        start = outcome.next_offset
        if not outcome.records:
            break
    state = choose_snapshot(values, first_offset)
    if state is None or not replay.adopt(state):
        reason = f"the log begins at offset {first_offset} and no snapshot reaches it"
        return Unavailable(reason)
    return None


async def append_changes(
    client: LogClient,
    replay: Replay,
    changes: Iterable[Change],
    *,
    author: str,
    clock: Clock,
) -> list[Result]:
    """Append changes one after the other and tell what became of each.

    The first change that the log service refuses or whose answer is lost ends the
    series; those after it are not sent.

    Args:
        client: Client of the log service.
        replay: The configuration that the changes were planned against.
        changes: Changes in the order in which they are appended.
        author: Who makes them.
        clock: Source of the time of the records.

    Returns:
        A result for each change.
    """
    sent: list[_Sent] = []
    is_stopped = False
    for change in changes:
        if is_stopped or change.action is Action.NONE or change.is_outdated:
            sent.append(_Sent(change, is_stopped=is_stopped))
            continue
        record = _build_record(client, replay, change, author, clock)
        outcome = await _append(client, record)
        sent.append(_Sent(change, record.id, outcome))
        is_stopped = not isinstance(outcome, Appended)
    if any(item.record_id for item in sent):
        await read_configuration(client, replay)
    return [_settle(item, replay) for item in sent]


async def _append(client: LogClient, record: ConfigRecord) -> AppendOutcome:
    encoded = encode_record(record)
    if len(encoded) > MAX_RECORD_BYTES:
        limit = f"expected at most {MAX_RECORD_BYTES} bytes in one record"
        return NotAppended(f"{limit}, got {len(encoded)}")
    fields = msgspec.json.decode(encoded)
    return await client.append(CONFIG_STREAM, fields, give_up_after=APPEND_LIMIT)


class _Sent(NamedTuple):
    change: Change
    record_id: str = ""
    outcome: AppendOutcome | None = None
    is_stopped: bool = False


def _build_record(
    client: LogClient, replay: Replay, change: Change, author: str, clock: Clock
) -> ConfigRecord:
    return ConfigRecord(
        id=client.new_record_id(),
        kind=change.kind,
        name=change.name,
        expected_revision=change.expected_revision,
        base_offset=replay.next_offset,
        spec=change.spec,
        author=author,
        time_ms=int(clock.now().timestamp() * 1000),
    )


def _settle(sent: _Sent, replay: Replay) -> Result:
    change = sent.change
    if change.action is Action.NONE:
        kind = ResultKind.UNCHANGED
        return Result(change, kind, revision=change.current_revision)
    if sent.is_stopped:
        return Result(change, ResultKind.NOT_SENT)
    if not sent.record_id:
        return Result(change, ResultKind.CONFLICT, revision=change.current_revision)
    if isinstance(sent.outcome, NotAppended):
        return Result(change, ResultKind.REFUSED, reason=sent.outcome.reason)
    known = replay.outcome_of(sent.record_id)
    if known is not None:
        return _settle_known(change, known)
    if isinstance(sent.outcome, AppendUnknown):
        return Result(change, ResultKind.UNKNOWN, reason=sent.outcome.reason)
    offset = sent.outcome.offset
    if replay.next_offset > offset:
        reason = "the nodes skip the record as bad"
        return Result(change, ResultKind.REFUSED, offset, reason=reason)
    reason = "the record is in the log, but the log can't be read"
    return Result(change, ResultKind.UNKNOWN, offset, reason=reason)


def _settle_known(change: Change, known: Outcome) -> Result:
    if known.effect is Effect.ACCEPTED:
        return Result(change, ResultKind.ACCEPTED, known.offset, known.revision)
    if known.effect is Effect.CONFLICT:
        return Result(change, ResultKind.CONFLICT, known.offset, known.revision)
    reason = "too many records came in between"
    return Result(change, ResultKind.REFUSED, known.offset, reason=reason)
