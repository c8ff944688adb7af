"""Access to the log: reads the configuration and appends changes to it."""

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
    LogClient,
    NotAppended,
    OffsetExpired,
    Page,
    ReadFailed,
)

from .changes import Action, Change

__all__ = [
    "ChangeOutcome",
    "ChangeResult",
    "Unavailable",
    "append_changes",
    "read_configuration",
]

CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "config-snapshots"
READ_ATTEMPTS = 3
APPEND_TIMEOUT = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The configuration can't be read from the log.

    Attributes:
        reason: Why it can't be read, for the operator.
    """

    reason: str


class ChangeOutcome(StrEnum):
    """Outcome of a change.

    Attributes:
        ACCEPTED: The change is in force.
        UNCHANGED: The resource already has this state; nothing was appended.
        CONFLICT: The resource has another revision than the change expected.
        UNKNOWN: It is not known whether the change was accepted.
        REFUSED: The record was not appended, or the nodes skip it.
        NOT_SENT: The append of an earlier change failed or has an unknown outcome, so
            this change was not appended.
    """

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    NOT_SENT = "not_sent"


class ChangeResult(NamedTuple):
    """A change and its outcome.

    Attributes:
        change: The change.
        kind: Outcome of the change.
        offset: Offset of its record in the log; -1 if it is not known or there is no
            record.
        revision: For `ACCEPTED`, `UNCHANGED` and `CONFLICT`, the revision of the
            resource in force, or 0 if it doesn't exist; 0 for other outcomes.
        reason: Why the change was not accepted; empty if `kind` is reason enough.
    """

    change: Change
    kind: ChangeOutcome
    offset: int = -1
    revision: int = 0
    reason: str = ""


async def read_configuration(
    client: LogClient, replay: Replay | None = None
) -> Replay | Unavailable:
    """Read the configuration up to the end of the log.

    Args:
        client: Client of the log service.
        replay: State to continue from, which is updated; None starts with an empty
            state at offset 0.

    Returns:
        The state at the end of the log, or the reason why the log can't be read.
    """
    replay = replay or Replay()
    while True:
        outcome = await _read_page(client, CONFIG_STREAM, replay.next_offset)
        if isinstance(outcome, ReadFailed):
            return Unavailable(outcome.reason)
        if isinstance(outcome, OffsetExpired):
            failure = await _adopt_snapshot(client, replay, outcome.first_offset)
            if isinstance(failure, Unavailable):
                return failure
            continue
        for record in outcome.records:
            replay.apply(record.offset, bytes(record.raw))
        if not outcome.records:
            return replay


async def _read_page(
    client: LogClient, stream: str, start: int
) -> Page | OffsetExpired | ReadFailed:
    backoff = client.new_backoff()
    for _ in range(READ_ATTEMPTS - 1):
        outcome = await _read_page_once(client, stream, start)
        if not isinstance(outcome, ReadFailed):
            return outcome
        await client.wait(backoff.next_delay_s())
    return await _read_page_once(client, stream, start)


async def _read_page_once(
    client: LogClient, stream: str, start: int
) -> Page | OffsetExpired | ReadFailed:
    try:
        return await client.read(stream, start)
    except RecursionError:
        return ReadFailed(f"a record from offset {start} on is nested too deeply")


async def _adopt_snapshot(
    client: LogClient, replay: Replay, first_offset: int
) -> Unavailable | None:
    values: list[bytes] = []
    start = 0
    while True:
        outcome = await _read_page(client, SNAPSHOT_STREAM, start)
        if isinstance(outcome, ReadFailed):
            return Unavailable(outcome.reason)
        if isinstance(outcome, OffsetExpired):
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
) -> list[ChangeResult]:
    """Append changes in order and read their outcomes from the log.

    After the first change that is not appended, or for which the answer of the log
    service is lost, no further change is appended.

    Args:
        client: Client of the log service.
        replay: Configuration against which the changes were planned. It is updated to
            the end of the log.
        changes: Changes in the order in which they are to be appended.
        author: Author of the changes, as recorded with each.
        clock: Clock for the timestamps of the records.

    Returns:
        A result for each change, in the same order.
    """
    attempts: list[_AppendAttempt] = []
    is_stopped = False
    for change in changes:
        if is_stopped or change.action is Action.NONE or change.is_outdated:
            attempts.append(_AppendAttempt(change, is_skipped=is_stopped))
            continue
        record = _build_record(client, replay, change, author, clock)
        outcome = await _append(client, record)
        attempts.append(_AppendAttempt(change, record.id, outcome))
        is_stopped = not isinstance(outcome, Appended)
    if any(attempt.record_id for attempt in attempts):
        await read_configuration(client, replay)
    return [_build_result(attempt, replay) for attempt in attempts]


async def _append(client: LogClient, record: ConfigRecord) -> AppendOutcome:
    encoded = encode_record(record)
    if len(encoded) > MAX_RECORD_BYTES:
        expectation = f"expected at most {MAX_RECORD_BYTES} bytes in one record"
        return NotAppended(f"{expectation}, got {len(encoded)}")
    fields = msgspec.json.decode(encoded)
    return await client.append(CONFIG_STREAM, fields, timeout=APPEND_TIMEOUT)


class _AppendAttempt(NamedTuple):
    """A change and what was done to append it.

    Attributes:
        change: The change.
        record_id: Id of its record; empty if no record was built.
        outcome: Result of the append; None if no record was built.
        is_skipped: Whether the append of an earlier change failed or has an unknown
            outcome, so that this change was not appended.
    """

    change: Change
    record_id: str = ""
    outcome: AppendOutcome | None = None
    is_skipped: bool = False


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


def _build_result(attempt: _AppendAttempt, replay: Replay) -> ChangeResult:
    change = attempt.change
    if change.action is Action.NONE:
        kind = ChangeOutcome.UNCHANGED
        return ChangeResult(change, kind, revision=change.current_revision)
    if attempt.is_skipped:
        return ChangeResult(change, ChangeOutcome.NOT_SENT)
    if not attempt.record_id:
        return ChangeResult(
            change, ChangeOutcome.CONFLICT, revision=change.current_revision
        )
    if isinstance(attempt.outcome, NotAppended):
        return ChangeResult(
            change, ChangeOutcome.REFUSED, reason=attempt.outcome.reason
        )
    replayed = replay.outcome_of(attempt.record_id)
    if replayed is not None:
        return _build_replayed_result(change, replayed)
    if isinstance(attempt.outcome, AppendUnknown):
        return ChangeResult(
            change, ChangeOutcome.UNKNOWN, reason=attempt.outcome.reason
        )
    offset = attempt.outcome.offset
    if replay.next_offset > offset:
        reason = "the nodes skip the record as invalid"
        return ChangeResult(change, ChangeOutcome.REFUSED, offset, reason=reason)
    reason = "the record was appended, but the log can't be read"
    return ChangeResult(change, ChangeOutcome.UNKNOWN, offset, reason=reason)


def _build_replayed_result(change: Change, replayed: Outcome) -> ChangeResult:
    if replayed.effect is Effect.ACCEPTED:
        return ChangeResult(
            change, ChangeOutcome.ACCEPTED, replayed.offset, replayed.revision
        )
    if replayed.effect is Effect.CONFLICT:
        return ChangeResult(
            change, ChangeOutcome.CONFLICT, replayed.offset, replayed.revision
        )
    reason = "too many other records were appended before it"
    return ChangeResult(change, ChangeOutcome.REFUSED, replayed.offset, reason=reason)
