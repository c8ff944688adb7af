"""Deterministic replay of the `config` stream.

The state depends only on the records from offset 0 up to the current offset, so all
nodes at the same offset hold the same state.

- The revision of a resource is the offset of the record that last set it, plus one.
  Revisions are never reused. A change made against an old revision therefore remains
  a conflict, even after the resource has been deleted and created again.
- If several records expect the same revision of a resource, the first is accepted and
  the others are conflicts.
- A record whose id has been seen before is a duplicate; the outcome of the first copy
  stands. Ids are kept for `ID_WINDOW` offsets.
- A record at an offset more than `ID_WINDOW` after its `base_offset` is stale. This
  makes it safe to drop old ids: the first copy at offset o has base_offset <= o, and
  its id is dropped only after o + ID_WINDOW, so any later copy is past
  base_offset + ID_WINDOW and thus stale.
- A record whose `base_offset` is after its own offset would break this guarantee and
  counts as a bad record.
- Bad records are skipped and counted by reason.
"""

from collections import Counter, deque
from collections.abc import Iterable
from enum import StrEnum
from hashlib import blake2b
from typing import Annotated, NamedTuple

import msgspec

from .records import BadReason, BadRecord, ConfigRecord, decode_record

__all__ = [
    "ID_WINDOW",
    "Effect",
    "Outcome",
    "Replay",
    "ReplayState",
    "Resource",
    "SeenRecord",
    "replay_records",
]

# All records of one `apply` command may have the same base offset. The window must
# therefore exceed the number of resources in one `apply`: 6,200 upstreams and services
# at the size expected in two years.
ID_WINDOW = 16_384
CHAIN_DIGEST_BYTES = 16


class Effect(StrEnum):
    """Effect of a record on the replay.

    Attributes:
        ACCEPTED: The change is in force.
        CONFLICT: The resource had another revision than the record expected.
        STALE: The offset is more than the id window after the base offset.
        DUPLICATE: A record with the same id came before.
        BAD: The record is invalid and is skipped.
        OLD_OFFSET: The record has been read before; nothing changed.
        GAP: Records before this one have not been read; nothing changed.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    STALE = "stale"
    DUPLICATE = "duplicate"
    BAD = "bad"
    OLD_OFFSET = "old_offset"
    GAP = "gap"


class Resource(NamedTuple):
    """A resource in force."""

    revision: int
    spec: dict


class Outcome(NamedTuple):
    """Outcome of a change, reported to the operator who made it.

    Attributes:
        effect: `ACCEPTED`, `CONFLICT` or `STALE`.
        offset: Offset of the first record with this id.
        revision: Revision of the resource after the record; 0 if the resource doesn't
            exist.
    """

    effect: Effect
    offset: int
    revision: int


class SeenRecord(NamedTuple):
    """The id of a record within the id window, with the outcome of the record."""

    id: str
    outcome: Outcome


class ReplayState(NamedTuple):
    """Complete state of a replay, in a canonical order.

    Snapshots encode it as an array, without the names of its fields.

    Attributes:
        next_offset: Offset of the next record to read.
        chain: Hash chain over all records read; see `Replay.chain`.
        resources: Kind, name and resource, sorted by kind and name.
        seen_records: Records within the id window, in order of offset.
        bad_counts: Reason and number of bad records, sorted by reason.
    """

    next_offset: int
    chain: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]*$")]
    resources: tuple[tuple[str, str, Resource], ...]
    seen_records: tuple[SeenRecord, ...]
    bad_counts: tuple[tuple[str, int], ...]


class Replay:
    """State of the configuration at an offset of the `config` stream.

    Args:
        id_window: Number of offsets for which record ids are kept. All nodes must use
            the same value.
    """

    def __init__(self, *, id_window: int = ID_WINDOW):
        self._id_window = id_window
        self._next_offset = 0
        self._chain = b""
        self._resources: dict[tuple[str, str], Resource] = {}
        self._outcomes: dict[str, Outcome] = {}
        self._seen_ids: deque[str] = deque()
        self._bad_counts: Counter[str] = Counter()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def chain(self) -> str:
        """Hash chain over all records read, as a hexadecimal digest.

        Each step hashes the previous digest and the next record, so two replays at the
        same offset have equal digests if they have read the same records.
        """
        return self._chain.hex()

    @property
    def resources(self) -> dict[tuple[str, str], Resource]:
        """Resources in force by kind and name; callers must not modify it."""
        return self._resources

    @property
    def bad_records(self) -> dict[str, int]:
        """Number of bad records skipped, by reason."""
        return dict(self._bad_counts)

    @property
    def conflicts(self) -> int:
        """Number of changes within the id window that ended in a conflict."""
        outcomes = self._outcomes.values()
        return sum(outcome.effect is Effect.CONFLICT for outcome in outcomes)

    def outcome_of(self, record_id: str) -> Outcome | None:
        """Return the outcome of a change; None if its id is not in the id window."""
        return self._outcomes.get(record_id)

    def apply(self, offset: int, value: bytes) -> Effect:
        """Apply the next record.

        Args:
            offset: Offset of the record.
            value: The record as appended.

        Returns:
            The effect of the record. `OLD_OFFSET` and `GAP` change nothing. After
            `GAP`, the caller must supply the missing records or a snapshot.
        """
        if offset != self._next_offset:
            return Effect.OLD_OFFSET if offset < self._next_offset else Effect.GAP
        self._next_offset = offset + 1
        self._chain = blake2b(
            self._chain + value, digest_size=CHAIN_DIGEST_BYTES
        ).digest()
        self._expire_ids()
        record = decode_record(value)
        if isinstance(record, BadRecord):
            return self._count_bad_record(record.reason)
        if record.base_offset > offset:
            return self._count_bad_record(BadReason.BAD_FIELD)
        if record.id in self._outcomes:
            return Effect.DUPLICATE
        return self._apply_change(offset, record)

    def state(self) -> ReplayState:
        """Return the complete state, in a canonical order."""
        resources = (
            (kind, name, resource)
            for (kind, name), resource in sorted(self._resources.items())
        )
        seen = (SeenRecord(i, self._outcomes[i]) for i in self._seen_ids)
        bad_counts = tuple(sorted(self._bad_counts.items()))
        return ReplayState(
            self._next_offset, self.chain, tuple(resources), tuple(seen), bad_counts
        )

    def adopt(self, state: ReplayState) -> bool:
        """Replace the state of the replay if the given state has a higher offset.

        Returns:
            Whether the state was replaced.
        """
        if state.next_offset <= self._next_offset:
            return False
        self._next_offset = state.next_offset
        self._chain = bytes.fromhex(state.chain)
        self._resources = {(k, n): resource for k, n, resource in state.resources}
        self._outcomes = {seen.id: seen.outcome for seen in state.seen_records}
        self._seen_ids = deque(seen.id for seen in state.seen_records)
        self._bad_counts = Counter(dict(state.bad_counts))
        return True

    def _count_bad_record(self, reason: BadReason) -> Effect:
        self._bad_counts[reason.value] += 1
        return Effect.BAD

    def _apply_change(self, offset: int, record: ConfigRecord) -> Effect:
        key = (record.kind, record.name)
        current = self._resources.get(key)
        revision = current.revision if current else 0
        effect = Effect.ACCEPTED
        if offset - record.base_offset > self._id_window:
            effect = Effect.STALE
        elif record.expected_revision != revision:
            effect = Effect.CONFLICT
        elif record.spec is None:
            self._resources.pop(key, None)
            revision = 0
        else:
            revision = offset + 1
            self._resources[key] = Resource(revision, record.spec)
        self._outcomes[record.id] = Outcome(effect, offset, revision)
        self._seen_ids.append(record.id)
        return effect

    def _expire_ids(self) -> None:
        """Drop ids once any further copy of their records would be stale."""
        oldest_kept = self._next_offset - 1 - self._id_window
        while self._seen_ids and self._outcomes[self._seen_ids[0]].offset < oldest_kept:
            del self._outcomes[self._seen_ids.popleft()]


def replay_records(
    records: Iterable[tuple[int, bytes]], replay: Replay | None = None
) -> Replay:
    """Apply many records in order.

    Args:
        records: Offset and value of each record, in order.
        replay: Replay to continue; a new, empty one by default.

    Returns:
        The replay after the last record.

    Raises:
        ValueError: If there is a gap in the offsets.
    """
    replay = replay or Replay()
    for offset, value in records:
        if replay.apply(offset, value) is Effect.GAP:
            raise ValueError(
                f"expected offset {replay.next_offset} but got {offset}: "
                "records in between are missing"
            )
    return replay
