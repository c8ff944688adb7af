"""Deterministic replay of the `config` stream.

The state is a function of the prefix that was read and of nothing else, so all nodes
at one offset hold the same state.

- The revision of a resource is the offset of the record that set it plus one. A
  revision never comes back, so a change that was made against an old one stays a
  conflict, also after the resource was deleted and created again.
- Of the records that expect a revision, the first wins and the others are conflicts.
- A record whose id was seen is a duplicate; the first outcome holds. Ids are kept for
  `ID_WINDOW` offsets. Forgetting one is safe because a record at an offset more than
  `ID_WINDOW` after its `base_offset` is stale: the first copy at offset o has
  base_offset <= o, so when its id is forgotten, after o + ID_WINDOW, any other copy is
  past base_offset + ID_WINDOW. A `base_offset` after the record's own offset would
  defeat this and is bad.
- Bad records are counted by reason and skipped.
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

# More than the resources of one `apply` at the two-year size (6,200 upstreams and
# services), since all records of an apply may carry one base offset.
ID_WINDOW = 16_384
CHAIN_BYTES = 16


class Effect(StrEnum):
    """What a record did."""

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
    """What became of a change, for the operator who made it.

    Attributes:
        effect: `ACCEPTED`, `CONFLICT` or `STALE`.
        offset: Offset of the first record with the id.
        revision: Revision of the resource after the record; 0 if there is none.
    """

    effect: Effect
    offset: int
    revision: int


class SeenRecord(NamedTuple):
    """A record id within the window and its outcome."""

    id: str
    outcome: Outcome


class ReplayState(NamedTuple):
    """All that a replay holds, in a canonical order.

    Attributes:
        next_offset: Offset of the first record that was not read.
        chain: Hexadecimal digest of all records read, in order.
        resources: Kind, name and resource, sorted.
        seen: Records within the window, by offset.
        bad: Bad records by reason, sorted.
    """

    next_offset: int
    chain: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]*$")]
    resources: tuple[tuple[str, str, Resource], ...]
    seen: tuple[SeenRecord, ...]
    bad: tuple[tuple[str, int], ...]


class Replay:
    """The configuration in force at one offset.

    Args:
        id_window: Offsets for which record ids are kept; the same on all nodes.
    """

    def __init__(self, *, id_window: int = ID_WINDOW):
        self._id_window = id_window
        self._next_offset = 0
        self._chain = b""
        self._resources: dict[tuple[str, str], Resource] = {}
        self._outcomes: dict[str, Outcome] = {}
        self._seen: deque[str] = deque()
        self._bad: Counter[str] = Counter()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def chain(self) -> str:
        """Hexadecimal digest of all records read, in order."""
        return self._chain.hex()

    @property
    def resources(self) -> dict[tuple[str, str], Resource]:
        """Resources in force by kind and name; not to be changed."""
        return self._resources

    @property
    def bad_records(self) -> dict[str, int]:
        """Bad records skipped, by reason."""
        return dict(self._bad)

    @property
    def conflicts(self) -> int:
        """Changes within the window of ids that lost against another one."""
        outcomes = self._outcomes.values()
        return sum(outcome.effect is Effect.CONFLICT for outcome in outcomes)

    def outcome_of(self, record_id: str) -> Outcome | None:
        """Return what became of a change; None if it is not within the window."""
        return self._outcomes.get(record_id)

    def apply(self, offset: int, value: bytes) -> Effect:
        """Take in the next record.

        Args:
            offset: Offset of the record.
            value: The record as appended.

        Returns:
            What it did. `OLD_OFFSET` and `GAP` change nothing; after `GAP` the
            records in between or a snapshot are needed.
        """
        if offset != self._next_offset:
            return Effect.OLD_OFFSET if offset < self._next_offset else Effect.GAP
        self._next_offset = offset + 1
        self._chain = blake2b(self._chain + value, digest_size=CHAIN_BYTES).digest()
        self._forget_ids()
        record = decode_record(value)
        if isinstance(record, BadRecord):
            return self._skip(record.reason)
        if record.base_offset > offset:
            return self._skip(BadReason.BAD_FIELD)
        if record.id in self._outcomes:
            return Effect.DUPLICATE
        return self._decide(offset, record)

    def state(self) -> ReplayState:
        """Return all that is held, in a canonical order."""
        resources = (
            (kind, name, resource)
            for (kind, name), resource in sorted(self._resources.items())
        )
        seen = (SeenRecord(i, self._outcomes[i]) for i in self._seen)
        bad = tuple(sorted(self._bad.items()))
        return ReplayState(
            self._next_offset, self.chain, tuple(resources), tuple(seen), bad
        )

    def adopt(self, state: ReplayState) -> bool:
        """Continue from a state if it is of a higher offset; return whether it is."""
        if state.next_offset <= self._next_offset:
            return False
        self._next_offset = state.next_offset
        self._chain = bytes.fromhex(state.chain)
        self._resources = {(k, n): resource for k, n, resource in state.resources}
        self._outcomes = {seen.id: seen.outcome for seen in state.seen}
        self._seen = deque(seen.id for seen in state.seen)
        self._bad = Counter(dict(state.bad))
        return True

    def _skip(self, reason: BadReason) -> Effect:
        self._bad[reason.value] += 1
        return Effect.BAD

    def _decide(self, offset: int, record: ConfigRecord) -> Effect:
        key = (record.kind, record.name)
        known = self._resources.get(key)
        revision = known.revision if known else 0
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
        self._seen.append(record.id)
        return effect

    def _forget_ids(self) -> None:
        """Drop the ids whose copies would be stale."""
        limit = self._next_offset - 1 - self._id_window
        while self._seen and self._outcomes[self._seen[0]].offset < limit:
            del self._outcomes[self._seen.popleft()]


def replay_records(
    records: Iterable[tuple[int, bytes]], replay: Replay | None = None
) -> Replay:
    """Take in many records, for example to time it.

    Args:
        records: Offsets and values in order.
        replay: State to continue from; an empty one by default.

    Returns:
        The state after the last record.

    Raises:
        ValueError: If records are missing.
    """
    replay = replay or Replay()
    for offset, value in records:
        if replay.apply(offset, value) is Effect.GAP:
            raise ValueError(f"records {replay.next_offset} to {offset} are missing")
    return replay
