"""Claims on keys that callers brought: the first claim in the log wins.

A node that wants to run a request with a brought key (see `keys`) appends a claim to
the stream of the service and reads the stream up to that claim. One record holds the
claims of several nodes.

Only the first claim for a key in the log may ever win, and only its claimant may run
the key, once, in one incarnation. Everything else makes a node conclude less, never
something else, so nodes need not agree on a clock or have read equally far:

- Expiry: a claim for a key that was issued over `window_s` before the latest time
  the reader knows is void. The time only grows, so once one claim for a key is void
  to a reader, all later ones are, and the reader may drop the key from memory. The
  same holds for the floor, which rises when there are over `max_keys` keys.
- Gap: a reader that has skipped records (a truncated head, or a start after it)
  concludes nothing about keys that could have been claimed in them. A claimant takes
  keys issued up to `ahead_s` after its clock, and clocks err by up to `skew_s`, so
  these are the keys issued up to `ahead_s + 2 * skew_s` after the gap was found.
- Duplicate appends and lost append answers: a second claim changes nothing, so a
  claim is appended again whenever its fate is unknown and it has not been read.
- A paused claimant: there is no lease. If its claim is the first, no other node has
  run the key or ever will; if not, it reads so before it starts.
- Outage: the claimant withdraws. A withdrawn key does not start, even if the claim
  is in the log and wins, so it may be refused as not run. This speaks of what this
  claimant can still run; it is not certain, and the outcome is unknown, if the run
  has started, or if the reader saw another claim first or can conclude nothing.
- A new incarnation is another claimant, so it never runs what an older one claimed.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .keys import BroughtKey, parse_key

__all__ = [
    "AppendFate",
    "Claim",
    "ClaimBook",
    "ClaimLimits",
    "ClaimRecord",
    "ClaimReplay",
    "Claimed",
    "Unclaimed",
    "Undecided",
    "Verdict",
    "Withdrawal",
]


class Claim(NamedTuple):
    """A wish of a claimant (upstream and incarnation) to run a key."""

    key: str
    claimant: str


class ClaimRecord(NamedTuple):
    """One record of a `claims-SERVICE` stream."""

    record_id: str
    claims: tuple[Claim, ...]


class ClaimLimits(NamedTuple):
    """Bounds of claims.

    Attributes:
        window_s: Age at which a key can no longer be claimed.
        ahead_s: How far the time of issue may be ahead of the claimant's clock.
        skew_s: Error of a node's wall clock at most.
        max_keys: Keys that a reader remembers at most.
    """

    window_s: float = 60.0
    ahead_s: float = 5.0
    skew_s: float = 5.0
    max_keys: int = 300_000


@dataclass(frozen=True, slots=True)
class Claimed:
    """The first claim in the log is of this claimant."""

    claimant: str


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """No claim for the key is in the part of the log that was read."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """Who claimed the key first can't be told any more."""


Verdict = Claimed | Unclaimed | Undecided


class ClaimReplay:
    """What a reader knows of a stream of claims.

    Args:
        limits: Bounds; the same on all nodes.
    """

    def __init__(self, limits: ClaimLimits):
        self._limits = limits
        self._next_offset = 0
        self._latest_time_s = float("-inf")
        self._undecidable_until_s = float("-inf")
        self._floor_s = float("-inf")
        self._winners: dict[str, str] = {}
        self._keys_by_issue: dict[int, list[str]] = {}
        self._issue_times: list[int] = []
        self._bad_claims = 0

    def __len__(self):
        return len(self._winners)

    @property
    def next_offset(self) -> int:
        """Offset from which the stream is to be read."""
        return self._next_offset

    @property
    def bad_claims(self) -> int:
        """Claims skipped because their key is malformed."""
        return self._bad_claims

    def apply(self, offset: int, record: ClaimRecord, wall_s: float) -> None:
        """Take in a record; one that was read before is ignored.

        Args:
            offset: Offset of the record.
            record: The record.
            wall_s: Time, in Unix seconds, after the record was received.
        """
        if offset < self._next_offset:
            return
        if offset > self._next_offset:
            self.skip_to(offset, wall_s)
        self._next_offset = offset + 1
        self._advance_time(wall_s)
        for claim in record.claims:
            self._apply_claim(claim)

    def skip_to(self, offset: int, wall_s: float) -> None:
        """Continue at a later offset because the head of the stream is gone."""
        if offset <= self._next_offset:
            return
        self._next_offset = offset
        self._advance_time(wall_s)
        margin_s = self._limits.ahead_s + 2 * self._limits.skew_s
        self._undecidable_until_s = max(self._undecidable_until_s, wall_s + margin_s)

    def find(self, key: str, wall_s: float) -> Verdict:
        """Return who may run a key, as far as the read part of the log tells."""
        self._advance_time(wall_s)
        parsed = parse_key(key)
        if not isinstance(parsed, BroughtKey) or self._is_void(parsed.issued_s):
            return Undecided()
        if parsed.issued_s <= self._undecidable_until_s:
            return Undecided()
        claimant = self._winners.get(key)
        return Unclaimed() if claimant is None else Claimed(claimant)

    def _apply_claim(self, claim: Claim) -> None:
        parsed = parse_key(claim.key)
        if not isinstance(parsed, BroughtKey):
            self._bad_claims += 1
            return
        if claim.key in self._winners or self._is_void(parsed.issued_s):
            return
        self._winners[claim.key] = claim.claimant
        if parsed.issued_s not in self._keys_by_issue:
            heapq.heappush(self._issue_times, parsed.issued_s)
        self._keys_by_issue.setdefault(parsed.issued_s, []).append(claim.key)
        while len(self._winners) > self._limits.max_keys:
            self._floor_s = self._drop_oldest_keys()

    def _is_void(self, issued_s: float) -> bool:
        is_expired = issued_s + self._limits.window_s < self._latest_time_s
        return is_expired or issued_s <= self._floor_s

    def _advance_time(self, wall_s: float) -> None:
        self._latest_time_s = max(self._latest_time_s, wall_s)
        while self._issue_times and self._is_void(self._issue_times[0]):
            self._drop_oldest_keys()

    def _drop_oldest_keys(self) -> int:
        issued_s = heapq.heappop(self._issue_times)
        for key in self._keys_by_issue.pop(issued_s):
            del self._winners[key]
        return issued_s


class AppendFate(StrEnum):
    """What became of an append."""

    TAKEN = "taken"
    NOT_TAKEN = "not_taken"
    UNKNOWN = "unknown"


class Withdrawal(StrEnum):
    """How a request whose claim was given up is answered."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class _ClaimState(StrEnum):
    TO_APPEND = "to_append"
    APPENDING = "appending"
    APPENDED = "appended"
    STARTED = "started"
    WITHDRAWN = "withdrawn"


class ClaimBook:
    """The claims of one node incarnation on one service.

    Args:
        claimant: Upstream and incarnation; used by no other process.
        find: `ClaimReplay.find` of the reader that this node relies on.
        limits: Bounds; the same on all nodes.
    """

    def __init__(
        self,
        claimant: str,
        find: Callable[[str, float], Verdict],
        limits: ClaimLimits,
    ):
        self._claimant = claimant
        self._find = find
        self._limits = limits
        self._states: dict[str, _ClaimState] = {}
        self._to_append: dict[str, None] = {}
        self._records: dict[str, ClaimRecord] = {}
        self._latest_time_s = float("-inf")
        self._keys_by_issue: dict[int, list[str]] = {}
        self._issue_times: list[int] = []

    def __len__(self):
        return len(self._states)

    def request(self, key: str, wall_s: float) -> Verdict:
        """Ask to run a key.

        Returns:
            `Undecided` if the key can't be claimed; the request's outcome is then
            unknown. Otherwise the state so far, and the key will be claimed.
        """
        self._advance_time(wall_s)
        parsed = parse_key(key)
        if not isinstance(parsed, BroughtKey) or self._is_expired(parsed.issued_s):
            return Undecided()
        if parsed.issued_s > wall_s + self._limits.ahead_s:
            return Undecided()
        verdict = self._find(key, wall_s)
        state = self._states.get(key, _ClaimState.WITHDRAWN)
        if not isinstance(verdict, Undecided) and state is _ClaimState.WITHDRAWN:
            self._add_claim(key, parsed.issued_s)
        return verdict

    def take_record(
        self, record_id: str, wall_s: float, *, max_claims: int = 512
    ) -> ClaimRecord | None:
        """Return a record to append now; None if nothing is to be claimed.

        Args:
            record_id: Unique id for the append.
            wall_s: Current time in Unix seconds.
            max_claims: Claims in the record at most.
        """
        self._advance_time(wall_s)
        chosen: list[str] = []
        while self._to_append and len(chosen) < max_claims:
            key = next(iter(self._to_append))
            del self._to_append[key]
            if isinstance(self._find(key, wall_s), Unclaimed):
                self._states[key] = _ClaimState.APPENDING
                chosen.append(key)
        if not chosen:
            return None
        claims = tuple(Claim(key, self._claimant) for key in chosen)
        self._records[record_id] = ClaimRecord(record_id, claims)
        return self._records[record_id]

    def settle_append(self, record_id: str, fate: AppendFate) -> None:
        """Record the result of an append; claims not known as taken are repeated."""
        record = self._records.pop(record_id, None)
        for claim in record.claims if record else ():
            if self._states.get(claim.key) is not _ClaimState.APPENDING:
                continue
            if fate is AppendFate.TAKEN:
                self._states[claim.key] = _ClaimState.APPENDED
            else:
                self._states[claim.key] = _ClaimState.TO_APPEND
                self._to_append[claim.key] = None

    def repeat(self, key: str) -> None:
        """Claim a key again whose claim was taken but has not been read for long."""
        if self._states.get(key) is _ClaimState.APPENDED:
            self._states[key] = _ClaimState.TO_APPEND
            self._to_append[key] = None

    def start(self, key: str, wall_s: float) -> bool:
        """Start the run of a key; True at most once, and only for the winner."""
        self._advance_time(wall_s)
        state = self._states.get(key, _ClaimState.WITHDRAWN)
        if state in (_ClaimState.STARTED, _ClaimState.WITHDRAWN):
            return False
        if self._find(key, wall_s) != Claimed(self._claimant):
            return False
        self._states[key] = _ClaimState.STARTED
        return True

    def withdraw(self, key: str, wall_s: float) -> Withdrawal:
        """Give up a key, for example in an outage; it starts only if asked again."""
        self._advance_time(wall_s)
        state = self._states.get(key)
        if state is None or state is _ClaimState.STARTED:
            return Withdrawal.UNKNOWN
        self._states[key] = _ClaimState.WITHDRAWN
        self._to_append.pop(key, None)
        verdict = self._find(key, wall_s)
        is_certain = verdict in (Unclaimed(), Claimed(self._claimant))
        return Withdrawal.NOT_RUN if is_certain else Withdrawal.UNKNOWN

    def _add_claim(self, key: str, issued_s: int) -> None:
        if key not in self._states:
            if issued_s not in self._keys_by_issue:
                heapq.heappush(self._issue_times, issued_s)
            self._keys_by_issue.setdefault(issued_s, []).append(key)
        self._states[key] = _ClaimState.TO_APPEND
        self._to_append[key] = None

    def _is_expired(self, issued_s: float) -> bool:
        return issued_s + self._limits.window_s < self._latest_time_s

    def _advance_time(self, wall_s: float) -> None:
        """Forget keys that are too old to be asked for, or started, here again."""
        self._latest_time_s = max(self._latest_time_s, wall_s)
        while self._issue_times and self._is_expired(self._issue_times[0]):
            for key in self._keys_by_issue.pop(heapq.heappop(self._issue_times)):
                del self._states[key]
                self._to_append.pop(key, None)
