"""Which node of a failure domain keeps the tokens of an organisation: its holder.

Organisations are spread over slots. The first nodes of a failure domain in the order of
a slot are its members. They vote for one of themselves, and the votes of a quorum make
a holder for a short time. See docs/design/quotas.md.
"""

import math
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from .readers import choose_readers

__all__ = [
    "LEASE_S",
    "SLOTS",
    "RecentMaximum",
    "SlotRole",
    "VoterPromises",
    "choose_members",
    "choose_quorum",
    "find_slot",
]

# More slots spread the questions over more nodes, and cost more votes.
SLOTS = 8
MAX_MEMBERS = 7
# A vote is valid for this long: at the voter from the question's arrival, at the holder
# from its sending, so that it ends at the holder first.
LEASE_S = 1.2
# A candidate that finds that an earlier one asks too leaves the votes to it for this
# long.
YIELD_S = 2 * LEASE_S
# One that gets no quorum for the first time asks for no votes for the second. That is
# longer than others yield to it.
MAX_TRIAL_S = 2 * LEASE_S
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
            that see different faults must count the votes of the same members.
    """
    return choose_readers(f"{domain}/quota-{slot}", names, count=MAX_MEMBERS)


def choose_quorum(members: int) -> int:
    """Return how many votes make a holder: two thirds, rounded up.

    Any two sets of that size have a member in common. From four members on, they also
    do if one member differs between the views of two candidates.
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


class _Promise(NamedTuple):
    """A vote.

    Attributes:
        name: Name of the candidate that has it.
        until_s: Up to when, on the clock of the voter.
        sent_s: When it was asked for last, on the clock of the candidate.
    """

    name: str
    until_s: float
    sent_s: float


class VoterPromises:
    """Votes that a node has given: one at a time for each slot.

    Args:
        start_s: When this node may give its first vote. Its previous process may have
            given votes up to its end.
    """

    def __init__(self, start_s: float):
        self._start_s = start_s
        self._by_slot: dict[int, _Promise] = {}

    def find_holder(self, slot: int, now_s: float) -> str:
        """Return the candidate that has the vote of this node; empty for none."""
        promise = self._by_slot.get(slot)
        return promise.name if promise and now_s < promise.until_s else ""

    def vote(self, candidate: str, slot: int, sent_s: float, now_s: float) -> bool:
        """Vote for a candidate if the vote is free or already its own.

        Args:
            candidate: Name of the candidate.
            slot: Number of the slot.
            sent_s: When the candidate sent its question, on its own clock.
            now_s: Current time on the monotonic clock.
        """
        if now_s < self._start_s or not 0 <= slot < SLOTS:
            return False
        if self.find_holder(slot, now_s) not in ("", candidate):
            return False
        known = self._by_slot.get(slot)
        if known is not None and known.name == candidate:
            sent_s = max(sent_s, known.sent_s)
        self._by_slot[slot] = _Promise(candidate, now_s + LEASE_S, sent_s)
        return True

    def release(self, candidate: str, slot: int, sent_s: float) -> None:
        """Take a vote back from a candidate that has given up the role.

        A message that arrives late does not take back a vote that was asked for since.
        """
        known = self._by_slot.get(slot)
        if known is not None and known.name == candidate and known.sent_s < sent_s:
            del self._by_slot[slot]


class SlotRole:
    """Votes that a candidate has for one slot.

    Args:
        own_name: Name of the candidate.
    """

    def __init__(self, own_name: str):
        self._own_name = own_name
        self._votes: dict[str, float] = {}
        self._members: tuple[str, ...] = ()
        self._quorum = 1
        self._dropped_s = -math.inf
        self._yields_until_s = 0.0
        self._tries_since_s: float | None = None

    def set_members(self, members: tuple[str, ...], known_nodes: int) -> None:
        """Change the members; votes of others no longer count.

        Args:
            members: Members that this node knows.
            known_nodes: Nodes of the failure domain, by the node that knows most.
        """
        self._members = members
        self._quorum = choose_quorum(min(MAX_MEMBERS, max(len(members), known_nodes)))

    def record_vote(self, voter: str, asked_s: float) -> None:
        """Record the vote of a member, which was asked for at a time."""
        if asked_s <= self._dropped_s:
            return
        until_s = asked_s + LEASE_S
        self._votes[voter] = max(until_s, self._votes.get(voter, 0.0))

    def record_refusal(self, promised_to: str, now_s: float) -> bool:
        """Record that a member has voted for another candidate.

        Of two candidates without a quorum, the later one in the order yields.

        Returns:
            Whether this node now has to give its votes back.
        """
        members = self._members
        if self._own_name not in members or promised_to not in members:
            return False
        is_earlier = members.index(promised_to) < members.index(self._own_name)
        if not is_earlier or now_s < max(self.find_end_s(), self._yields_until_s):
            return False
        self.drop(now_s)
        self._yields_until_s = now_s + YIELD_S
        return True

    def record_trial(self, now_s: float) -> None:
        """Record that this node asks for votes.

        A candidate whose questions arrive while the answers don't would otherwise keep
        the votes from all others.
        """
        if now_s < self.find_end_s() or self._tries_since_s is None:
            self._tries_since_s = now_s
        elif now_s - self._tries_since_s >= MAX_TRIAL_S:
            self._tries_since_s = None
            self._yields_until_s = now_s + FAILED_TRIAL_S

    def drop(self, now_s: float) -> None:
        """Forget all votes, also those that are on their way."""
        self._votes.clear()
        self._dropped_s = now_s

    def may_ask(self, now_s: float) -> bool:
        """Return whether this node may ask for votes."""
        return self._own_name in self._members and now_s >= self._yields_until_s

    def find_end_s(self) -> float:
        """Return up to which time this node has a quorum; may be in the past."""
        if self._own_name not in self._members:
            return 0.0
        ends = sorted((self._votes.get(m, 0.0) for m in self._members), reverse=True)
        return ends[self._quorum - 1] if self._quorum <= len(ends) else 0.0
