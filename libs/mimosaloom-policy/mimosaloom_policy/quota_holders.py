"""Which node of a failure domain keeps the tokens of an organisation: its holder.

Organisations are spread over slots. The first nodes of a failure domain in the order of
a slot are its members. A node is the holder by what it hears from them: most have to
answer it, and none of these may have heard a claim of another one before.
See docs/design/quotas.md.
"""

import math
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from .readers import choose_readers

__all__ = [
    "CLAIM_MEMORY_S",
    "SLOTS",
    "ClaimAnswer",
    "HeardClaims",
    "RecentMaximum",
    "Rival",
    "SlotRole",
    "choose_majority",
    "choose_members",
    "find_slot",
]

# More slots spread the questions over more nodes, and cost more messages.
SLOTS = 8
MAX_MEMBERS = 7
# What a member has answered counts for this long: at the member, which remembers the
# claim, from the arrival of the question, and at the claimant from its sending, so that
# it ends there first.
CLAIM_MEMORY_S = 1.2
# A claimant that yields to an earlier one claims nothing for this long.
YIELD_S = 2 * CLAIM_MEMORY_S
# One that does not become the holder for the first time claims nothing for the second.
# That is longer than others yield to it.
MAX_TRIAL_S = 2 * CLAIM_MEMORY_S
FAILED_TRIAL_S = 3 * YIELD_S
# A node that knows fewer nodes than others, because it has just started or one has just
# been added, goes by the larger number for this long.
VIEW_MEMORY_S = 10.0


def find_slot(organisation: str) -> int:
    """Return the slot of an organisation."""
    return zlib.crc32(organisation.encode("utf-8", "replace")) % SLOTS


def choose_members(domain: str, slot: int, names: Iterable[str]) -> tuple[str, ...]:
    """Return the members of a slot, the preferred holder first.

    Args:
        domain: Name of the failure domain.
        slot: Number of the slot.
        names: Names of all known nodes of the failure domain, reachable or not: nodes
            that see different faults must ask the same members.
    """
    return choose_readers(f"{domain}/quota-{slot}", names, count=MAX_MEMBERS)


def choose_majority(members: int) -> int:
    """Return how many members a holder has to hear from: two thirds, rounded up.

    Any two sets of that size have a member in common, which hears both claimants. From
    four members on, they also do if one member differs between two views.
    """
    return (2 * members + 2) // 3


class RecentMaximum:
    """Largest number seen in the last `VIEW_MEMORY_S` seconds, or a little longer."""

    def __init__(self):
        self._maximum = 0
        self._earlier_maximum = 0
        self._turn_s = 0.0

    def add(self, value: int, now_s: float) -> None:
        """Note a number."""
        self._turn(now_s)
        self._maximum = max(self._maximum, value)

    def find(self, now_s: float) -> int:
        """Return the largest number; 0 if none was noted."""
        self._turn(now_s)
        return max(self._maximum, self._earlier_maximum)

    def _turn(self, now_s: float) -> None:
        if now_s >= self._turn_s:
            is_recent = now_s < self._turn_s + VIEW_MEMORY_S
            self._earlier_maximum = self._maximum if is_recent else 0
            self._maximum = 0
            self._turn_s = now_s + VIEW_MEMORY_S


class Rival(NamedTuple):
    """Another node that claims a slot.

    Attributes:
        name: Name of the node.
        is_holder: Whether it was the holder when it claimed the slot last.
    """

    name: str
    is_holder: bool


class _Claim(NamedTuple):
    """A claim that was heard.

    Attributes:
        until_s: Up to when it counts, on the clock of the member.
        sent_s: When it was sent last, on the clock of the claimant.
        is_holder: Whether the claimant was the holder then.
    """

    until_s: float
    sent_s: float
    is_holder: bool


class HeardClaims:
    """Claims on slots that a member has heard; it refuses none of them."""

    def __init__(self):
        self._by_slot: dict[int, dict[str, _Claim]] = {}

    def hear(
        self, claimant: Rival, slot: int, sent_s: float, now_s: float
    ) -> list[Rival]:
        """Remember a claim; return the other nodes that claim the slot.

        Args:
            claimant: The node that claims the slot.
            slot: Number of the slot.
            sent_s: When it sent the claim, on its own clock.
            now_s: Current time on the monotonic clock.
        """
        if not 0 <= slot < SLOTS:
            return []
        claims = self._valid(slot, now_s)
        known = claims.get(claimant.name)
        if known is None or known.sent_s <= sent_s:
            claims[claimant.name] = _Claim(
                now_s + CLAIM_MEMORY_S, sent_s, claimant.is_holder
            )
        return [
            Rival(name, claim.is_holder)
            for name, claim in claims.items()
            if name != claimant.name
        ]

    def forget(self, claimant: str, slot: int, sent_s: float) -> bool:
        """Forget a claim that was withdrawn, unless it was renewed since.

        Returns:
            Whether the claim of a holder was forgotten.
        """
        claims = self._by_slot.get(slot, {})
        if claimant not in claims or claims[claimant].sent_s >= sent_s:
            return False
        return claims.pop(claimant).is_holder

    def find_claimants(self, slot: int, now_s: float) -> list[str]:
        """Return the nodes that claim a slot: a holder first, then the last one."""
        valid = self._valid(slot, now_s)
        return sorted(
            valid, key=lambda n: (valid[n].is_holder, valid[n].until_s), reverse=True
        )

    def _valid(self, slot: int, now_s: float) -> dict[str, _Claim]:
        claims = self._by_slot.get(slot, {})
        valid = {name: claim for name, claim in claims.items() if now_s < claim.until_s}
        self._by_slot[slot] = valid
        return valid


class ClaimAnswer(NamedTuple):
    """What a member has answered to a claim.

    Attributes:
        rivals: Other nodes that claim the slot.
        is_informed: Whether the member has run for `CLAIM_MEMORY_S`, so that it has
            heard all claims that may still count.
    """

    rivals: tuple[Rival, ...] = ()
    is_informed: bool = True


class SlotRole:
    """Whether a claimant is the holder of one slot, by the answers of the members.

    The answer of a member counts if it knew of no other claimant, or if its previous
    answer still counts: then it has named this claimant to all others since. So it
    counts for one claimant at a time, and one is the holder while those of most members
    count. A claimant yields to a holder, and of two claimants the later one in the
    order yields.

    Args:
        own_name: Name of the claimant.
    """

    def __init__(self, own_name: str):
        self._own_name = own_name
        # Up to when the answer of a member counts.
        self._until_s: dict[str, float] = {}
        self._members: tuple[str, ...] = ()
        self._majority = 1
        self._dropped_s = -math.inf
        self._yields_until_s = 0.0
        self._tries_since_s: float | None = None

    def set_members(self, members: tuple[str, ...], known_nodes: int) -> None:
        """Change the members; answers of others no longer count.

        Args:
            members: Members that this node knows.
            known_nodes: Nodes of the failure domain, by the node that knows most.
        """
        self._members = members
        self._majority = choose_majority(
            min(MAX_MEMBERS, max(len(members), known_nodes))
        )

    def record_answer(
        self, member: str, answer: ClaimAnswer, asked_s: float, now_s: float
    ) -> bool:
        """Record that a member has answered a claim.

        Args:
            member: Name of the member.
            answer: What it has answered.
            asked_s: When it was asked.
            now_s: Current time on the monotonic clock.

        Returns:
            Whether this node now has to withdraw its claim, for another claimant.
        """
        if asked_s <= self._dropped_s:
            return False
        rivals = [rival for rival in answer.rivals if rival.name in self._members]
        if any(self._goes_before(rival, now_s) for rival in rivals):
            self.drop(now_s)
            if not any(rival.is_holder for rival in rivals):
                self._yields_until_s = now_s + YIELD_S
            return True
        until_s = self._until_s.get(member, 0.0)
        if (answer.is_informed and not rivals) or now_s < until_s:
            self._until_s[member] = max(asked_s + CLAIM_MEMORY_S, until_s)
        return False

    def record_trial(self, now_s: float) -> None:
        """Record that this node claims the slot.

        A claimant whose questions arrive while the answers don't would otherwise keep
        the role from all others.
        """
        if now_s < self.find_end_s() or self._tries_since_s is None:
            self._tries_since_s = now_s
        elif now_s - self._tries_since_s >= MAX_TRIAL_S:
            self._tries_since_s = None
            self._yields_until_s = now_s + FAILED_TRIAL_S

    def drop(self, now_s: float) -> None:
        """Forget all answers, also those that are on their way."""
        self._until_s.clear()
        self._dropped_s = now_s

    def may_ask(self, now_s: float) -> bool:
        """Return whether this node may claim the slot."""
        return self._own_name in self._members and now_s >= self._yields_until_s

    def find_end_s(self) -> float:
        """Return up to which time this node is the holder; in the past if it is not."""
        if self._own_name not in self._members:
            return 0.0
        ends = sorted((self._until_s.get(n, 0.0) for n in self._members), reverse=True)
        return ends[self._majority - 1] if self._majority <= len(ends) else 0.0

    def _goes_before(self, rival: Rival, now_s: float) -> bool:
        members = self._members
        if self._own_name not in members:
            return True
        is_holder = now_s < self.find_end_s()
        if is_holder != rival.is_holder:
            return rival.is_holder
        return members.index(rival.name) < members.index(self._own_name)
