"""Tokens that a holder keeps, and those that holders give to each other.

See docs/design/quotas.md.
"""

import math
from typing import NamedTuple

from .quota import DemandMeter, QuotaLimits

__all__ = ["HolderBucket", "TokenMove"]

# A holder keeps room for this multiple of its demand, and for this part of its share.
KEEP_DEMAND_RATIO = 1.25
KEEP_SHARE_RATIO = 0.05
# Time whose demand a holder keeps in tokens, at most half of them, when another asks.
KEEP_DEMAND_S = 0.5
# A borrower asks for the share of this multiple of its demand.
BORROW_DEMAND_RATIO = 1.5
# Questions a second for an organisation whose bucket is empty, as long as no asker has
# to wait for more than the longest pause.
MAX_ASKERS_PER_S = 100.0
MAX_PAUSE_S = 2.0
MIN_PAUSE_S = 0.02
# Tolerance for whole numbers of tokens, which are sums of fractions.
ROUNDING = 1e-9


class TokenMove(NamedTuple):
    """What a holder gives to one of another failure domain.

    Attributes:
        share: Share of the quota that accrues at the other holder for a while.
        hold_s: For how many seconds share and tokens are valid; the giver counts from
            its answer, the receiver from its question.
        tokens: Tokens from the bucket.
        has_returned: Whether the giver has given back what the receiver had lent to it
            before it asked.
    """

    share: float = 0.0
    hold_s: float = 0.0
    tokens: float = 0.0
    has_returned: bool = False


class _Part(NamedTuple):
    """Share of the quota, or number of tokens, until a time.

    Attributes:
        amount: The share or number.
        until_s: Up to which time, on the monotonic clock.
        name: Other holder that has lent or borrowed it.
        since_s: Since when.
    """

    amount: float
    until_s: float
    name: str = ""
    since_s: float = 0.0


class HolderBucket:
    """Tokens of one organisation that a holder keeps for its failure domain.

    The rate and the capacity are those of the organisation, multiplied by the own share
    of the holder while it holds the role. The rate, not the capacity, can be lent to
    holders of other failure domains.

    Args:
        limits: Limits of all buckets of the organisation together.
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, limits: QuotaLimits, now_s: float):
        self.demand = DemandMeter(now_s)
        self._limits = limits
        self._tokens = 0.0
        self._at_s = now_s
        self._own = _Part(0.0, now_s)
        self._lent: list[_Part] = []
        self._borrowed: list[_Part] = []
        # Tokens that another holder may still have, and those from another holder.
        self._moved: list[_Part] = []
        self._received: list[_Part] = []
        # When loans of a lender were given back.
        self._returned_s: dict[str, float] = {}
        self._next_room_s = 0.0

    def set_limits(self, limits: QuotaLimits, now_s: float) -> None:
        """Change the rate and the capacity; tokens above the capacity are dropped."""
        self._advance(now_s)
        self._limits = limits
        self._advance(now_s)

    def set_own_share(
        self, share: float, since_s: float, until_s: float, now_s: float
    ) -> None:
        """Change the own share.

        Args:
            share: Own share of the quota.
            since_s: Since when this node has been the holder without a break.
            until_s: Up to when it is.
            now_s: Current time on the monotonic clock.
        """
        if since_s >= self._at_s:
            # Drops what is left of the time before the break.
            self._advance(since_s)
            self._own = _Part(share, until_s)
        else:
            self._own = _Part(min(share, self._own.amount), until_s)
        self._advance(now_s)
        self._own = _Part(share, until_s)
        self._advance(now_s)

    def share(self, now_s: float) -> float:
        """Return the share of the quota that accrues here now."""
        own = self._own.amount if now_s < self._own.until_s else 0.0
        # Shares that were lent are valid no longer than the own one.
        kept = max(0.0, own - _sum_loans(self._lent, now_s))
        return kept + _sum_loans(self._borrowed, now_s)

    def tokens(self, now_s: float) -> float:
        """Return the number of tokens."""
        self._advance(now_s)
        return self._tokens + _sum(self._received, now_s)

    def take(self, wanted: float, now_s: float) -> float:
        """Remove and return up to a number of tokens, whole ones only."""
        taken = float(math.floor(min(wanted, self.tokens(now_s)) + ROUNDING))
        rest = taken
        for index, part in enumerate(self._received):
            used = min(rest, part.amount)
            self._received[index] = part._replace(amount=part.amount - used)
            rest -= used
        self._tokens = max(0.0, self._tokens - rest)
        return taken

    def lend(
        self,
        borrower: str,
        wanted_share: float,
        wanted: float,
        hold_s: float,
        now_s: float,
    ) -> TokenMove:
        """Give up share and tokens that the own failure domain does not need now.

        Of several loans to one borrower, the largest counts.

        Args:
            borrower: Name of the other holder.
            wanted_share: Share that it asks for.
            wanted: Tokens that it asks for.
            hold_s: Time in seconds for which the share is lent, and for which the
                tokens are valid.
            now_s: Current time on the monotonic clock.
        """
        self._advance(now_s)
        rate_per_s = self._limits.rate_per_s
        demand_per_s = KEEP_DEMAND_RATIO * self.demand.rate_per_s(now_s)
        # Nothing is lent beyond the time of the own share: the next holder of the
        # failure domain knows nothing of it.
        hold_s = min(hold_s, self._own.until_s - now_s)
        if hold_s <= 0:
            return TokenMove()
        kept_tokens = min(self._tokens / 2, demand_per_s * KEEP_DEMAND_S)
        tokens = max(0.0, min(wanted, self._tokens - kept_tokens))
        if tokens:
            self._tokens -= tokens
            self._moved.append(_Part(tokens, now_s + hold_s))
        own = self._own.amount
        kept = KEEP_SHARE_RATIO * own
        if rate_per_s:
            kept = max(kept, demand_per_s / rate_per_s)
        others = [part for part in self._lent if part.name != borrower]
        share = min(wanted_share, own - _sum_loans(others, now_s) - kept)
        share = max(0.0, share)
        if share:
            self._lent.append(_Part(share, now_s + hold_s, borrower, now_s))
        self._advance(now_s)
        return TokenMove(share, hold_s, tokens)

    def wanted_share(self, now_s: float) -> float:
        """Return the share that the recent demand needs beyond the own one."""
        if not self._limits.rate_per_s:
            return 0.0
        needed = self.demand.rate_per_s(now_s) / self._limits.rate_per_s
        own = self._own.amount if now_s < self._own.until_s else 0.0
        return max(0.0, min(1.0, BORROW_DEMAND_RATIO * needed) - own)

    def receive(
        self, lender: str, move: TokenMove, asked_s: float, now_s: float
    ) -> None:
        """Add what another holder has given.

        Args:
            lender: Name of the other holder.
            move: What it has given.
            asked_s: When it was asked, on the monotonic clock.
            now_s: Current time on the monotonic clock.
        """
        self._advance(now_s)
        if move.has_returned:
            self._lent = [
                part
                for part in self._lent
                if part.name != lender or part.since_s > asked_s
            ]
        until_s = asked_s + move.hold_s
        if until_s <= now_s:
            return
        is_returned = asked_s <= self._returned_s.get(lender, asked_s - 1)
        if move.share > 0 and not is_returned:
            self._borrowed.append(_Part(move.share, until_s, lender, asked_s))
        if move.tokens > 0:
            # Beside the bucket: they count against the capacity of the lender.
            self._received.append(_Part(move.tokens, until_s))

    def return_loans(self, lender: str, now_s: float) -> None:
        """Give back what a lender has lent, which now is short itself.

        A loan that is still on its way is ignored when it arrives.
        """
        self._advance(now_s)
        self._borrowed = [part for part in self._borrowed if part.name != lender]
        self._returned_s[lender] = now_s

    def reserve_pause_s(self, now_s: float) -> float:
        """Return after how many seconds an asker that got nothing should ask again.

        Askers get different times, which bounds the questions a second.
        """
        next_s = max(self._next_room_s, now_s) + 1 / MAX_ASKERS_PER_S
        self._next_room_s = min(next_s, now_s + MAX_PAUSE_S)
        return max(MIN_PAUSE_S, self._next_room_s - now_s)

    def _advance(self, now_s: float) -> None:
        """Accrue up to now, by the share that was valid at each time."""
        parts = (self._own, *self._lent, *self._borrowed)
        ends = {part.until_s for part in parts if self._at_s < part.until_s < now_s}
        for end_s in (*sorted(ends), now_s):
            share = self.share(self._at_s)
            passed_s = max(0.0, end_s - self._at_s)
            self._tokens += self._limits.rate_per_s * share * passed_s
            self._cut(self._at_s)
            self._at_s = max(self._at_s, end_s)
        self._lent = _valid(self._lent, now_s)
        self._borrowed = _valid(self._borrowed, now_s)
        self._moved = _valid(self._moved, now_s)
        self._received = _valid(self._received, now_s)
        self._cut(now_s)

    def _cut(self, time_s: float) -> None:
        # Tokens that another holder may have count here, so that all buckets and
        # messages together hold no more than the capacity.
        own = self._own.amount if time_s < self._own.until_s else 0.0
        room = self._limits.capacity * own - _sum(self._moved, time_s)
        self._tokens = max(0.0, min(self._tokens, room))


def _sum(parts: list[_Part], now_s: float) -> float:
    return sum(part.amount for part in parts if now_s < part.until_s)


def _sum_loans(parts: list[_Part], now_s: float) -> float:
    """Return the sum over the other holders of the largest loan of each."""
    if not parts:
        return 0.0
    largest: dict[str, float] = {}
    for part in parts:
        if now_s < part.until_s:
            largest[part.name] = max(part.amount, largest.get(part.name, 0.0))
    return sum(largest.values())


def _valid(parts: list[_Part], now_s: float) -> list[_Part]:
    return [part for part in parts if now_s < part.until_s] if parts else parts
