"""Run table of a node: which keyed calls are running, have run, or may never run.

A tombstone is an entry that forbids attempts. A run starts only if the key has no
entry, or a tombstone that does not forbid the attempt. So a key can run twice only if
its entry was dropped or abandoned in between. `RetentionRule` bounds the memory, but
drops no entry that still prevents a second run:

- The node counts epochs of `period_s` from its start. A call carries a stamp (see
  `stamps`) of an epoch that its sender learned before it sent the call.
- A key without an entry is accepted only if its stamp is of this incarnation and less
  than `retained` epochs old. A call without a stamp is never accepted (`NotAccepted`:
  no copy of that attempt runs anywhere). If the stamp is older or of another
  incarnation, an entry may have been lost: the decision is `Unknown`, which is
  answered with `outcome_unknown`.
- Each change of an entry, and each refusal because of it, sets the epoch of the entry
  to the current one, c. The entry is dropped when the current epoch reaches
  c + retained, but never while its call is running.

Rules for the sender: it sends a key to the same incarnation again only after that
incarnation refused the last attempt as not run, and then with a higher attempt number.
After an attempt that may have run, it only resolves the key. It sends the key to
another upstream only after a refusal as not run or a `NotRun` resolution.

Why a key runs at most once in an incarnation: assume two runs, from copies of
attempts a1 at epoch c1 and a2 at epoch c2. Between them the entry was dropped or
abandoned.

- Dropped: then c2 >= c1 + retained, and the stamp s2 of the second copy is greater
  than c2 - retained >= c1. So a2 was sent after a1 had begun to run, and a2 is not
  a1. By the rules for the sender, a refusal of a1 as not run came before a2. But a
  refusal forbids all attempts up to its own (`abandon`) for as long as copies of them
  are accepted, because their stamps are at most the epoch in which the refused attempt
  arrived. So a1 did not run after its refusal, nor before it: no refusal is sent after
  a run began.
- Abandoned: no part of the first run was executed.

Across upstreams: a `NotRun` resolution or a refusal as not run leaves a tombstone that
outlives every acceptable copy, by the same argument. Only then is the key sent to
another upstream. `resolve` with an old stamp returns `Unknown`, because the entry of a
run may have been dropped. A new incarnation accepts no stamp of an earlier one.

When `max_entries` is reached, the current epoch becomes the floor: keys without an
entry whose stamps are at or below the floor are refused permanently. Such a refusal
is reliable although it leaves no entry. Calls are accepted again once their senders
have learned the next epoch and there is room.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from mimosaloom_model import Answered, ErrorKind, Failed

from .stamps import Stamp

__all__ = [
    "Blocked",
    "Conflict",
    "Done",
    "Join",
    "NotAccepted",
    "NotRun",
    "Replay",
    "Resolution",
    "RetentionRule",
    "Run",
    "RunDecision",
    "RunTable",
    "Running",
    "Unknown",
]

# Higher than any attempt number, so that a tombstone with it forbids every attempt.
EVERY_ATTEMPT = 1 << 30
MAX_RESULT_BYTES = 16 << 20

# The decisions are dataclasses because empty named tuples of different types are equal.


@dataclass(frozen=True, slots=True)
class Run:
    """Run the call: it is the first one with its key that may run."""


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the result: a call with this key is running."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer with the stored result: a call with this key has ended."""

    result: Answered | Failed


@dataclass(frozen=True, slots=True)
class Blocked:
    """A tombstone forbids this attempt: it has not run on this node and never will.

    The tombstone comes from a refusal or a resolution. The sender that received this
    may have run the key on another node since.
    """


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """Refuse the attempt as not run: no copy of it runs on this node, now or later.

    The attempt carries no stamp, or the table is full. The answer carries the current
    stamp, with which the next attempt can be accepted.
    """


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used before with a different body."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the call ran can't be determined: answer with `outcome_unknown`."""


RunDecision = Run | Join | Replay | Blocked | NotAccepted | Conflict | Unknown


@dataclass(frozen=True, slots=True)
class Done:
    """The call ended with this result."""

    result: Answered | Failed


@dataclass(frozen=True, slots=True)
class Running:
    """The call is still running."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The call has not run on this node and never will."""


Resolution = Done | Running | NotRun | Unknown


class RetentionRule(NamedTuple):
    """Rule for when entries may be dropped; the module docstring explains it.

    Attributes:
        incarnation: Incarnation of the node.
        start_s: Start of epoch 0 on the monotonic clock.
        period_s: Length of an epoch.
        retained: Number of epochs for which a stamp is accepted. A call has between
            `(retained - 1) * period_s` and `retained * period_s` to arrive.
        max_entries: Maximum number of entries.
    """

    incarnation: str
    start_s: float
    period_s: float = 15.0
    retained: int = 8
    max_entries: int = 100_000


class _Entry(NamedTuple):
    """What is known about a key.

    Attributes:
        digest: Digest of the body.
        state: "running", "done" or "tombstone".
        result: Result of the run; None before its end.
        epoch: Epoch of the last change of the entry or refusal because of it.
        attempt: Highest attempt that was begun; a tombstone forbids all up to it.
    """

    digest: str
    state: str
    result: Answered | Failed | None
    epoch: int
    attempt: int


class RunTable:
    """Ensures that each key runs at most once in this incarnation.

    Args:
        rule: When entries may be dropped. Without a rule, no entry is ever dropped
            and stamps are ignored; this is for tests and short-lived tables.
        max_result_bytes: Maximum total size of the answers kept for `Replay`. Above
            it, the oldest answers are replaced by `outcome_unknown`; their keys stay.
    """

    def __init__(
        self,
        rule: RetentionRule | None = None,
        *,
        max_result_bytes: int = MAX_RESULT_BYTES,
    ):
        self._rule = rule
        self._entries: dict[str, _Entry] = {}
        self._keys_by_epoch: dict[int, list[str]] = {}
        self._swept_epoch = 0
        self._floor_epoch = -1
        self._results: OrderedDict[str, int] = OrderedDict()
        self._result_bytes = 0
        self._max_result_bytes = max_result_bytes

    def __len__(self):
        return len(self._entries)

    @property
    def result_bytes(self) -> int:
        """Total size of the stored answers."""
        return self._result_bytes

    def stamp(self, now_s: float) -> Stamp | None:
        """Return the current stamp, to be published; None without a rule."""
        if self._rule is None:
            return None
        return Stamp(self._rule.incarnation, self._current_epoch(now_s))

    def begin(
        self,
        key: str,
        digest: str,
        now_s: float,
        stamp: Stamp | None = None,
        attempt: int = EVERY_ATTEMPT,
    ) -> RunDecision:
        """Decide what to do with a call, and record it if it is to run.

        Args:
            key: Key of the call, the same for each attempt.
            digest: Digest of the body.
            now_s: Current time on the monotonic clock.
            stamp: Stamp that the call carries, if any.
            attempt: Number of the attempt.
        """
        epoch = self._drop_expired(now_s)
        entry = self._entries.get(key)
        if entry is None:
            return self._begin_unseen(key, digest, epoch, stamp, attempt)
        if entry.state == "tombstone":
            if attempt <= entry.attempt:
                self._extend_retention(key, entry, epoch)
                return Blocked()
            return self._begin_unseen(key, digest, epoch, stamp, attempt)
        if entry.digest != digest:
            self._extend_retention(key, entry, epoch)
            return Conflict()
        if entry.result is not None:
            return Replay(entry.result)
        # A refusal of the run (see `abandon`) answers and forbids this attempt too.
        self._entries[key] = entry._replace(attempt=max(entry.attempt, attempt))
        return Join()

    def finish(self, key: str, result: Answered | Failed, now_s: float) -> None:
        """Store the result of a run; a second result of the same run is ignored.

        Raises:
            KeyError: If the key has no entry.
        """
        epoch = self._drop_expired(now_s)
        entry = self._entries[key]
        if entry.state == "running":
            self._set_entry(
                key, entry._replace(state="done", result=result, epoch=epoch)
            )
            self._store_result(key, result)

    def abandon(self, key: str) -> None:
        """Withdraw a run that was refused before any part of it was executed.

        The attempt and all earlier ones remain forbidden, so that no copy of them can
        run after the refusal is sent. If `begin` got no attempt number and there is
        no rule, the key is forgotten.
        """
        entry = self._entries.get(key)
        if entry is None or entry.state != "running":
            return
        if entry.attempt == EVERY_ATTEMPT and self._rule is None:
            del self._entries[key]
            return
        self._set_entry(key, entry._replace(state="tombstone", epoch=self._swept_epoch))

    def resolve(self, key: str, now_s: float, stamp: Stamp | None = None) -> Resolution:
        """Return the outcome of a call; forbid a key that has not run from running.

        Args:
            key: Key of the call.
            now_s: Current time on the monotonic clock.
            stamp: Stamp that the attempt in question carried.
        """
        epoch = self._drop_expired(now_s)
        entry = self._entries.get(key)
        if entry is None or entry.state == "tombstone":
            return self._forbid_key(key, epoch, stamp, entry)
        return Running() if entry.result is None else Done(entry.result)

    def _begin_unseen(
        self, key: str, digest: str, epoch: int, stamp: Stamp | None, attempt: int
    ) -> RunDecision:
        refusal = self._check_stamp(epoch, stamp)
        if refusal is not None:
            return refusal
        if not self._check_capacity(key, epoch):
            return NotAccepted()
        self._set_entry(key, _Entry(digest, "running", None, epoch, attempt))
        return Run()

    def _extend_retention(self, key: str, entry: _Entry, epoch: int) -> None:
        """Retain an entry while copies of the attempt refused now may still arrive."""
        if entry.state != "running":
            self._set_entry(key, entry._replace(epoch=epoch))

    def _check_stamp(
        self, epoch: int, stamp: Stamp | None
    ) -> NotAccepted | Unknown | None:
        """Return why a key without an entry must not run; None if it may."""
        rule = self._rule
        if rule is None:
            return None
        if stamp is None:
            return NotAccepted()
        is_known = stamp.incarnation == rule.incarnation and stamp.epoch <= epoch
        if not is_known or epoch - stamp.epoch >= rule.retained:
            return Unknown()
        return NotAccepted() if stamp.epoch <= self._floor_epoch else None

    def _forbid_key(
        self, key: str, epoch: int, stamp: Stamp | None, entry: _Entry | None
    ) -> Resolution:
        """Forbid all attempts of a key that has not run."""
        refusal = self._check_stamp(epoch, stamp)
        if isinstance(refusal, Unknown) or (self._rule and stamp is None):
            return Unknown()
        if refusal is None and self._check_capacity(key, epoch):
            digest = entry.digest if entry else ""
            self._set_entry(
                key, _Entry(digest, "tombstone", None, epoch, EVERY_ATTEMPT)
            )
        return NotRun()

    def _check_capacity(self, key: str, epoch: int) -> bool:
        """Return whether an entry may be added; raise the floor if not."""
        rule = self._rule
        if rule is None or key in self._entries:
            return True
        if len(self._entries) < rule.max_entries:
            return True
        self._floor_epoch = epoch
        return False

    def _set_entry(self, key: str, entry: _Entry) -> None:
        known = self._entries.get(key)
        self._entries[key] = entry
        is_indexed = known is not None and known.epoch == entry.epoch
        if self._rule is not None and not is_indexed:
            self._keys_by_epoch.setdefault(entry.epoch, []).append(key)

    def _store_result(self, key: str, result: Answered | Failed) -> None:
        size = len(result.body) if isinstance(result, Answered) else 0
        self._results[key] = size
        self._result_bytes += size
        while self._result_bytes > self._max_result_bytes:
            oldest = next(iter(self._results))
            self._drop_result(oldest)
            lost = Failed(ErrorKind.OUTCOME_UNKNOWN, "The stored answer was dropped.")
            self._entries[oldest] = self._entries[oldest]._replace(result=lost)

    def _drop_result(self, key: str) -> None:
        self._result_bytes -= self._results.pop(key, 0)

    def _current_epoch(self, now_s: float) -> int:
        rule = self._rule
        if rule is None:
            return 0
        return max(self._swept_epoch, int((now_s - rule.start_s) // rule.period_s))

    def _drop_expired(self, now_s: float) -> int:
        """Drop entries whose calls are no longer accepted; return the current epoch."""
        epoch = self._current_epoch(now_s)
        rule = self._rule
        if rule is None or epoch == self._swept_epoch:
            return epoch
        self._swept_epoch = epoch
        for changed_epoch in [
            e for e in self._keys_by_epoch if e + rule.retained <= epoch
        ]:
            for key in self._keys_by_epoch.pop(changed_epoch):
                self._drop_unchanged(key, changed_epoch)
        return epoch

    def _drop_unchanged(self, key: str, epoch: int) -> None:
        """Drop an entry unless it changed after `epoch` or its call is running."""
        entry = self._entries.get(key)
        if entry is None or entry.epoch != epoch:
            return
        if entry.state != "running":
            del self._entries[key]
            self._drop_result(key)
