"""Claims on caller keys: the first claim for a key in the log wins.

A node that is asked to run a request with a caller key (see `keys`) appends a claim
to the claims stream of the service in the log. It then reads the stream up to that
claim. One record of the stream holds the claims of several nodes. A claimant is one
incarnation of the node of one upstream.

Only the first claim for a key in the log can win, and only its claimant may run the
key, once. In each case below a reader reaches either the verdict that the log implies
or no verdict (`Undecided`), never a different one. So nodes need neither agree on a
clock nor have read equally far:

- Expiry: a claim is void if its key was issued more than `window_s` before the latest
  time that the reader knows. That time only increases. Once one claim for a key is
  void to a reader, all later ones are, so the reader may drop the key from memory.
  The same holds for keys issued at or before the floor. The floor rises when a reader
  holds more than `max_keys` keys and drops the oldest.
- Gap: a reader that has skipped records, because the head of the stream was truncated
  or the reader started at a later offset, returns no verdict on keys that may be
  claimed in them. A claimant accepts keys issued up to `ahead_s` after its own clock,
  and each clock is off by up to `skew_s`. So these are the keys issued up to
  `ahead_s + 2 * skew_s` after the gap was found.
- Duplicate appends and lost append responses: a second claim of the same claimant
  changes nothing. So a claim is appended again while its append is not known to be
  stored and the claim has not been read.
- A paused claimant: there is no lease. If its claim is the first, no other node has
  run the key or ever will. If not, the claimant reads the first claim before it starts
  the run.
- Outage of the log: the claimant withdraws the key. A withdrawn key does not start,
  even if its claim is in the log and wins, so the request may be refused as not run.
  This covers only what this claimant can still run. The outcome is unknown if the run
  has started, if the reader saw the claim of another claimant first, or if the reader
  has no verdict.
- Restart: a new incarnation is another claimant, so it never runs a key that an older
  incarnation claimed.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .keys import CallerKey, parse_key

__all__ = [
    "AppendResult",
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
    """A request of a claimant to run a key.

    Attributes:
        key: A caller key.
        claimant: Upstream and incarnation.
    """

    key: str
    claimant: str


class ClaimRecord(NamedTuple):
    """One record of a `claims-SERVICE` stream, with claims of one or more nodes."""

    record_id: str
    claims: tuple[Claim, ...]


class ClaimLimits(NamedTuple):
    """Limits on keys and clocks; the same on all nodes.

    Attributes:
        window_s: Age above which a key can no longer be claimed.
        ahead_s: How far the time of issue may be ahead of the claimant's clock.
        skew_s: Maximum error of the wall clock of a node.
        max_keys: Maximum number of keys that a reader remembers.
    """

    window_s: float = 60.0
    ahead_s: float = 5.0
    skew_s: float = 5.0
    max_keys: int = 300_000


@dataclass(frozen=True, slots=True)
class Claimed:
    """Verdict: `claimant` made the first claim for the key in the log."""

    claimant: str


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """Verdict: no claim for the key is in the part of the log that was read."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """Verdict: the first claimant of the key can't be determined."""


Verdict = Claimed | Unclaimed | Undecided


class ClaimReplay:
    """State of a reader of a claims stream: the winner of each recent key.

    Args:
        limits: Limits on keys and clocks; the same on all nodes.
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
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def bad_claims(self) -> int:
        """Number of claims that were skipped because their key is malformed."""
        return self._bad_claims

    def apply(self, offset: int, record: ClaimRecord, wall_s: float) -> None:
        """Apply the claims of a record; a record that was applied before is ignored.

        Args:
            offset: Offset of the record.
            record: The record.
            wall_s: A time after the record was received, in Unix seconds.
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
        """Continue at a later offset because the head of the stream was truncated.

        Args:
            offset: Offset of the next record to read.
            wall_s: A time after the gap was found, in Unix seconds.
        """
        if offset <= self._next_offset:
            return
        self._next_offset = offset
        self._advance_time(wall_s)
        margin_s = self._limits.ahead_s + 2 * self._limits.skew_s
        self._undecidable_until_s = max(self._undecidable_until_s, wall_s + margin_s)

    def find_verdict(self, key: str, wall_s: float) -> Verdict:
        """Return the verdict on a key according to the part of the log that was read.

        Args:
            key: Key of a request.
            wall_s: Current time in Unix seconds.
        """
        self._advance_time(wall_s)
        parsed = parse_key(key)
        if not isinstance(parsed, CallerKey) or self._is_void(parsed.issued_s):
            return Undecided()
        if parsed.issued_s <= self._undecidable_until_s:
            return Undecided()
        claimant = self._winners.get(key)
        return Unclaimed() if claimant is None else Claimed(claimant)

    def _apply_claim(self, claim: Claim) -> None:
        parsed = parse_key(claim.key)
        if not isinstance(parsed, CallerKey):
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


class AppendResult(StrEnum):
    """Whether the log has stored a record; the value `taken` means that it has."""

    STORED = "taken"
    NOT_STORED = "not_taken"
    UNKNOWN = "unknown"


class Withdrawal(StrEnum):
    """What a withdrawn request may be answered with."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class _ClaimState(StrEnum):
    """State of a key that this node claims.

    A claim goes from `TO_APPEND` by way of `APPENDING` to `APPENDED`, and back to
    `TO_APPEND` when it has to be appended again. The key becomes `STARTED` once its
    claim has won. A `WITHDRAWN` key starts only after another request for it.
    """

    TO_APPEND = "to_append"
    APPENDING = "appending"
    APPENDED = "appended"
    STARTED = "started"
    WITHDRAWN = "withdrawn"


class ClaimBook:
    """Claims of one node incarnation in the claims stream of one service.

    Args:
        claimant: Upstream and incarnation of the node; no other process uses it.
        find_verdict: Returns the verdict on a key, given the key and the current Unix
            time in seconds; `ClaimReplay.find_verdict` or
            `ReceivedVerdicts.find_verdict`.
        limits: Limits on keys and clocks; the same on all nodes.
    """

    def __init__(
        self,
        claimant: str,
        find_verdict: Callable[[str, float], Verdict],
        limits: ClaimLimits,
    ):
        self._claimant = claimant
        self._find_verdict = find_verdict
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
        """Request to run a key, and claim it if that is possible.

        Args:
            key: A caller key.
            wall_s: Current time in Unix seconds.

        Returns:
            `Undecided` if the key can't be claimed; the outcome of the request is
            then unknown. Otherwise the current verdict; a claim for the key is then
            queued, unless one exists already.
        """
        self._advance_time(wall_s)
        parsed = parse_key(key)
        if not isinstance(parsed, CallerKey) or self._is_expired(parsed.issued_s):
            return Undecided()
        if parsed.issued_s > wall_s + self._limits.ahead_s:
            return Undecided()
        verdict = self._find_verdict(key, wall_s)
        state = self._states.get(key, _ClaimState.WITHDRAWN)
        if not isinstance(verdict, Undecided) and state is _ClaimState.WITHDRAWN:
            self._add_claim(key, parsed.issued_s)
        return verdict

    def take_record(
        self, record_id: str, wall_s: float, *, max_claims: int = 512
    ) -> ClaimRecord | None:
        """Return a record to append now; None if there is nothing to claim.

        Args:
            record_id: Unique id of the append.
            wall_s: Current time in Unix seconds.
            max_claims: Maximum number of claims in the record.
        """
        self._advance_time(wall_s)
        chosen: list[str] = []
        while self._to_append and len(chosen) < max_claims:
            key = next(iter(self._to_append))
            del self._to_append[key]
            if isinstance(self._find_verdict(key, wall_s), Unclaimed):
                self._states[key] = _ClaimState.APPENDING
                chosen.append(key)
        if not chosen:
            return None
        claims = tuple(Claim(key, self._claimant) for key in chosen)
        self._records[record_id] = ClaimRecord(record_id, claims)
        return self._records[record_id]

    def settle_append(self, record_id: str, result: AppendResult) -> None:
        """Record the result of an append.

        Claims that are not known to be stored are queued again.
        """
        record = self._records.pop(record_id, None)
        for claim in record.claims if record else ():
            if self._states.get(claim.key) is not _ClaimState.APPENDING:
                continue
            if result is AppendResult.STORED:
                self._states[claim.key] = _ClaimState.APPENDED
            else:
                self._states[claim.key] = _ClaimState.TO_APPEND
                self._to_append[claim.key] = None

    def repeat(self, key: str) -> None:
        """Claim a key again if its claim is stored but has not been read in time."""
        if self._states.get(key) is _ClaimState.APPENDED:
            self._states[key] = _ClaimState.TO_APPEND
            self._to_append[key] = None

    def start(self, key: str, wall_s: float) -> bool:
        """Mark a key as started if this claimant has won it.

        Returns:
            Whether the run starts now; True at most once per key.
        """
        self._advance_time(wall_s)
        state = self._states.get(key, _ClaimState.WITHDRAWN)
        if state in (_ClaimState.STARTED, _ClaimState.WITHDRAWN):
            return False
        if self._find_verdict(key, wall_s) != Claimed(self._claimant):
            return False
        self._states[key] = _ClaimState.STARTED
        return True

    def withdraw(self, key: str, wall_s: float) -> Withdrawal:
        """Withdraw a key, for example in an outage of the log.

        The key starts only if it is requested again.
        """
        self._advance_time(wall_s)
        state = self._states.get(key)
        if state is None or state is _ClaimState.STARTED:
            return Withdrawal.UNKNOWN
        self._states[key] = _ClaimState.WITHDRAWN
        self._to_append.pop(key, None)
        verdict = self._find_verdict(key, wall_s)
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
        """Forget keys that are too old to be requested or started again."""
        self._latest_time_s = max(self._latest_time_s, wall_s)
        while self._issue_times and self._is_expired(self._issue_times[0]):
            for key in self._keys_by_issue.pop(heapq.heappop(self._issue_times)):
                del self._states[key]
                self._to_append.pop(key, None)
