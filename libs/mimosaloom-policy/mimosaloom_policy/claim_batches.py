"""Batching of claims: one node per failure domain appends the claims of all nodes.

A node sends its claims to the batcher of its failure domain and receives the verdicts
from it, so the node does not read the claims stream. The node remains the claimant and
is the only one that starts the run. So a batcher that is lost, replaced or duplicated
delays a run, but never causes a second one. Claims that a lost batcher had accepted
are sent again, see `ClaimBook.repeat`. Further copies of a claim in the log change
nothing.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .claims import (
    AppendResult,
    Claim,
    ClaimLimits,
    ClaimRecord,
    Unclaimed,
    Undecided,
    Verdict,
)
from .keys import CallerKey, parse_key

__all__ = ["ClaimBatcher", "ClaimVerdict", "ReceivedVerdicts"]

MAX_OPEN_CLAIMS = 100_000


class ClaimVerdict(NamedTuple):
    """A verdict to be sent to the node that claimed the key.

    Attributes:
        claim: The claim of that node.
        verdict: `Claimed` or `Undecided`.
    """

    claim: Claim
    verdict: Verdict


class ClaimBatcher:
    """Collects claims into records and returns the verdicts on them.

    Args:
        find_verdict: `ClaimReplay.find_verdict` of the reader in this process.
        max_open: Maximum number of claims without a verdict.
    """

    def __init__(
        self,
        find_verdict: Callable[[str, float], Verdict],
        *,
        max_open: int = MAX_OPEN_CLAIMS,
    ):
        self._find_verdict = find_verdict
        self._max_open = max_open
        self._pending: dict[Claim, None] = {}
        self._appended: dict[Claim, None] = {}
        self._records: dict[str, ClaimRecord] = {}

    def __len__(self):
        in_records = sum(len(record.claims) for record in self._records.values())
        return len(self._pending) + len(self._appended) + in_records

    def add(self, claims: Iterable[Claim]) -> list[Claim]:
        """Add claims of nodes of the failure domain.

        Returns:
            The claims that were rejected because too many have no verdict yet.
        """
        rejected = []
        for claim in claims:
            is_known = claim in self._pending or claim in self._appended
            if not is_known and len(self) >= self._max_open:
                rejected.append(claim)
            else:
                self._appended.pop(claim, None)
                self._pending[claim] = None
        return rejected

    def take_record(
        self, record_id: str, *, max_claims: int = 512
    ) -> ClaimRecord | None:
        """Return a record to append now; None if no claim is pending.

        Args:
            record_id: Unique id of the append.
            max_claims: Maximum number of claims in the record.
        """
        chosen = tuple(self._pending)[:max_claims]
        if not chosen:
            return None
        for claim in chosen:
            del self._pending[claim]
        self._records[record_id] = ClaimRecord(record_id, chosen)
        return self._records[record_id]

    def settle_append(self, record_id: str, result: AppendResult) -> None:
        """Record the result of an append.

        Claims are pending again unless the append is known to be stored.

        Args:
            record_id: Id of the append, from `take_record`.
            result: Result of the append.
        """
        record = self._records.pop(record_id, None)
        claims = record.claims if record else ()
        target = self._appended if result is AppendResult.STORED else self._pending
        target.update(dict.fromkeys(claims))

    def take_verdicts(self, wall_s: float) -> list[ClaimVerdict]:
        """Return the verdicts reached since the last call and forget their claims."""
        verdicts = []
        for claims in (self._pending, self._appended):
            for claim in list(claims):
                verdict = self._find_verdict(claim.key, wall_s)
                if not isinstance(verdict, Unclaimed):
                    del claims[claim]
                    verdicts.append(ClaimVerdict(claim, verdict))
        return verdicts


class ReceivedVerdicts:
    """Verdicts that a node received from batchers.

    Its `find_verdict` serves a `ClaimBook` in place of `ClaimReplay.find_verdict`.

    Args:
        limits: Limits on keys and clocks; the same on all nodes.
    """

    def __init__(self, limits: ClaimLimits):
        self._limits = limits
        self._verdicts: dict[str, Verdict] = {}

    def __len__(self):
        return len(self._verdicts)

    def record_verdicts(self, verdicts: Iterable[ClaimVerdict], wall_s: float) -> None:
        """Record verdicts, and forget those on keys older than the claim window."""
        for key in [k for k in self._verdicts if self._is_expired(k, wall_s)]:
            del self._verdicts[key]
        for claim, verdict in verdicts:
            known = self._verdicts.get(claim.key, Undecided())
            # A batcher that skipped records may be undecided where another one is not,
            # but two batchers never name different winners.
            if isinstance(known, Undecided):
                self._verdicts[claim.key] = verdict

    def find_verdict(self, key: str, wall_s: float) -> Verdict:
        """Return the verdict on a key; `Unclaimed` until a verdict has arrived."""
        if self._is_expired(key, wall_s):
            return Undecided()
        return self._verdicts.get(key, Unclaimed())

    def _is_expired(self, key: str, wall_s: float) -> bool:
        parsed = parse_key(key)
        if not isinstance(parsed, CallerKey):
            return True
        return parsed.issued_s + self._limits.window_s < wall_s
