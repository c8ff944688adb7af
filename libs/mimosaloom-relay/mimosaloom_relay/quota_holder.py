"""Keeps tokens of organisations for the other nodes of the own failure domain.

See docs/design/quotas.md. Decisions are in `mimosaloom_policy.quota_holders`.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Clock
from mimosaloom_policy import (
    CLAIM_MEMORY_S,
    SLOTS,
    ClaimAnswer,
    HeardClaims,
    HolderBucket,
    QuotaLimits,
    Rival,
    SlotRole,
    TokenMove,
    find_slot,
)

from .decision_log import DecisionLog
from .metrics import RelayMetrics
from .peer_messenger import PeerMessenger
from .quota_messages import (
    ClaimQuestion,
    ClaimReply,
    LendQuestion,
    LendReply,
    TokenQuestion,
    TokenReply,
    decode_reply,
    encode_message,
)
from .quota_view import QuotaView

__all__ = ["QUOTA_PATH", "QuotaHolder", "QuotaSender"]

QUOTA_PATH = "/.mimosaloom/quota"
CLAIM_TIMEOUT_S = 0.3
# A member that was asked for tokens claims the role for this long.
ASKED_S = 2.0
# It claims the role at once, at most at this interval.
URGENT_INTERVAL_S = 0.2
# Shares are lent to other failure domains for this long.
LEND_S = 0.5
LEND_TIMEOUT_S = 0.15
TRANSFER_INTERVAL_S = 0.25
# While other failure domains have nothing to spare, they are asked less often.
MAX_TRANSFER_INTERVAL_S = 1.0
# Time at the rate of the quota for which tokens are asked for.
TRANSFER_S = 0.25
MIN_TRANSFER_TOKENS = 3.0
# Values of a label of `mimosaloom_quota_questions_total`.
_METRIC_KINDS = {
    TokenQuestion: "tokens",
    ClaimQuestion: "claims",
    LendQuestion: "shares",
}


class QuotaSender:
    """Sends questions about quotas and counts their results.

    Args:
        messenger: Sends the messages.
        view: Knows the nodes; it is told which gave no answer.
        metrics: Counts the questions.
    """

    def __init__(
        self, messenger: PeerMessenger, view: QuotaView, metrics: RelayMetrics
    ):
        self.tasks = messenger.tasks
        self._messenger = messenger
        self._view = view
        self._metrics = metrics

    async def ask(
        self,
        name: str,
        question: TokenQuestion | ClaimQuestion | LendQuestion,
        timeout_s: float,
    ) -> TokenReply | ClaimReply | LendReply | None:
        """Return the answer of a node; None if there is no usable one in time."""
        record = self._view.find(name)
        if record is None:
            return None
        request = Request("POST", QUOTA_PATH, (), encode_message(question))
        response = await self._messenger.send(record.address, request, timeout_s)
        reply = None
        if isinstance(response, Response) and response.status == 200:
            reply = decode_reply(response.body)
        if reply is None:
            self._view.note_silent(name)
        result = "lost" if reply is None else "answered"
        self._metrics.count_quota_question(_METRIC_KINDS[type(question)], result)
        return reply


class _Held(NamedTuple):
    """Time during which this node is the holder of a slot without a break."""

    since_s: float
    end_s: float


class QuotaHolder:
    """Claims the role of the holder, and serves as one.

    Args:
        view: Knows the members of each slot.
        sender: Sends questions to other nodes.
        has_read_records: Returns whether the records of the other nodes were read.
        clock: Source of time.
        log: Receives a line for each change of the role.
    """

    def __init__(
        self,
        view: QuotaView,
        sender: QuotaSender,
        has_read_records: Callable[[], bool],
        *,
        clock: Clock,
        log: DecisionLog,
    ):
        self._view = view
        self._sender = sender
        self._has_read_records = has_read_records
        self._clock = clock
        self._log = log
        # Until then, what this node has heard does not go back far enough.
        self._start_s = clock.monotonic_s() + CLAIM_MEMORY_S
        self._claims = HeardClaims()
        self._roles = {slot: SlotRole(view.own_name) for slot in range(SLOTS)}
        self._held: dict[int, _Held] = {}
        self._asked_until_s: dict[int, float] = {}
        self._next_urgent_s = 0.0
        # A node that knows only itself would hear of no other claimant.
        self._knows_nodes = False
        self._is_stopping = False
        self._limits: dict[str, QuotaLimits] = {}
        self._buckets: dict[str, HolderBucket] = {}
        self._transfers: dict[str, asyncio.Task] = {}
        self._transfer_times: dict[str, tuple[float, float]] = {}

    @property
    def held_count(self) -> int:
        """Number of slots of which this node is the holder."""
        now_s = self._clock.monotonic_s()
        return sum(now_s < held.end_s for held in self._held.values())

    def set_limits(self, limits: dict[str, QuotaLimits]) -> None:
        """Apply limits, by organisation."""
        now_s = self._clock.monotonic_s()
        self._limits = limits
        for organisation in list(self._buckets):
            if organisation not in limits:
                del self._buckets[organisation]
                self._transfer_times.pop(organisation, None)
                continue
            self._sync_bucket(organisation, now_s)
            self._buckets[organisation].set_limits(limits[organisation], now_s)

    async def renew(self) -> None:
        """Claim slots before their members, if this node may be the holder."""
        asked_s = self._clock.monotonic_s()
        if not self._knows_nodes and self._has_read_records():
            self._knows_nodes = True
            self._view.refresh()
        claimed = []
        for slot in range(SLOTS):
            self._set_members(slot)
            if self._is_candidate(slot, asked_s):
                self._roles[slot].record_trial(asked_s)
                claimed.append(slot)
            self._note_end(slot, asked_s)
        slots_by_member = self._group_by_member(claimed)
        own_name = self._view.own_name
        for slot in slots_by_member.pop(own_name, ()):
            claimant = Rival(own_name, self._is_holder(slot, asked_s))
            rivals = self._claims.hear(claimant, slot, asked_s, asked_s)
            answer = ClaimAnswer(tuple(rivals), asked_s >= self._start_s)
            self._record_answer(own_name, slot, answer, asked_s)
        await asyncio.gather(
            *(self._claim(name, slots) for name, slots in slots_by_member.items())
        )

    def answer_claim(self, question: ClaimQuestion) -> ClaimReply:
        """Remember or forget claims; tell which other nodes claim the slots."""
        now_s = self._clock.monotonic_s()
        rivals = {}
        if question.is_withdrawal:
            self._note_withdrawal(question)
        else:
            for slot in question.slots[:SLOTS]:
                claimant = Rival(question.claimant, slot in question.held)
                heard = self._claims.hear(claimant, slot, question.sent_s, now_s)
                if heard:
                    rivals[slot] = heard
        return ClaimReply(rivals, now_s >= self._start_s, *self._view.count())

    def _note_withdrawal(self, question: ClaimQuestion) -> None:
        """Forget claims; have the next member claim the slots of a holder."""
        name, was_holder = question.claimant, False
        for slot in question.slots[:SLOTS]:
            was_holder |= self._claims.forget(name, slot, question.sent_s)
        if was_holder and name != self._view.own_name:
            # No node may ask for tokens for a while, in which none would accrue.
            self._view.note_silent(name)

    async def serve(self, question: TokenQuestion) -> TokenReply:
        """Give tokens to an origin of the own failure domain."""
        organisation, slot = question.organisation, find_slot(question.organisation)
        now_s = self._clock.monotonic_s()
        if organisation not in self._limits:
            return TokenReply()
        is_holder = self._sync_bucket(organisation, now_s)
        claimant = self._find_other_claimant(slot, now_s)
        if not is_holder and claimant:
            return TokenReply(holder=claimant)
        self._asked_until_s[slot] = now_s + ASKED_S
        if not is_holder and now_s >= self._next_urgent_s:
            self._next_urgent_s = now_s + URGENT_INTERVAL_S
            await self.renew()
            now_s = self._clock.monotonic_s()
            if organisation not in self._limits:
                return TokenReply()
            is_holder = self._sync_bucket(organisation, now_s)
        bucket = self._buckets[organisation]
        wanted = max(0.0, question.tokens)
        bucket.demand.add(wanted, now_s)
        got = bucket.take(wanted, now_s)
        if got < wanted and now_s >= self._start_s:
            await self._transfer(organisation, slot, wanted - got)
            now_s = self._clock.monotonic_s()
            if organisation not in self._buckets:
                return TokenReply(got, is_holder=True)
            is_holder = self._sync_bucket(organisation, now_s)
            got += self._buckets[organisation].take(wanted - got, now_s)
        pause_s = 0.0 if got else bucket.reserve_pause_s(now_s)
        return TokenReply(got, pause_s, is_holder or got > 0)

    def lend(self, question: LendQuestion) -> LendReply:
        """Give a holder of another failure domain what is not needed here."""
        now_s = self._clock.monotonic_s()
        slot = find_slot(question.organisation)
        if question.organisation not in self._limits or self._is_stopping:
            return LendReply()
        if not self._sync_bucket(question.organisation, now_s):
            return LendReply(holder=self._find_other_claimant(slot, now_s))
        bucket = self._buckets[question.organisation]
        bucket.return_loans(question.borrower, now_s)
        move = bucket.lend(
            question.borrower, question.share, question.tokens, LEND_S, now_s
        )
        move = move._replace(has_returned=True)
        return LendReply(*move, holder=self._view.own_name)

    async def stop(self) -> None:
        """Give up the role, so that another node can have it before this one ends."""
        self._is_stopping = True
        # What was lent stays lent for this long.
        await asyncio.sleep(LEND_S)
        now_s = self._clock.monotonic_s()
        for slot in range(SLOTS):
            self._roles[slot].drop(now_s)
            self._note_end(slot, now_s)
        self._withdraw(range(SLOTS))

    def _withdraw(self, slots: Iterable[int]) -> None:
        """Withdraw the claims on slots."""
        own_name, now_s = self._view.own_name, self._clock.monotonic_s()
        for name, shared in self._group_by_member(slots).items():
            question = ClaimQuestion(own_name, shared, [], now_s, is_withdrawal=True)
            if name == own_name:
                self.answer_claim(question)
            else:
                self._sender.tasks.spawn(
                    self._sender.ask(name, question, CLAIM_TIMEOUT_S)
                )

    def _group_by_member(self, slots: Iterable[int]) -> dict[str, list[int]]:
        """Return the slots by the name of each of their members."""
        slots_by_member: dict[str, list[int]] = defaultdict(list)
        for slot in slots:
            for member in self._view.members(self._view.own_domain, slot):
                slots_by_member[member].append(slot)
        return slots_by_member

    def _is_candidate(self, slot: int, now_s: float) -> bool:
        if not self._knows_nodes or self._is_stopping:
            return False
        if not self._roles[slot].may_ask(now_s):
            return False
        first = self._view.first_usable(self._view.own_domain, slot)
        is_asked = now_s < self._asked_until_s.get(slot, 0.0)
        return is_asked or first == self._view.own_name

    async def _claim(self, name: str, slots: list[int]) -> None:
        asked_s = self._clock.monotonic_s()
        held = [slot for slot in slots if self._is_holder(slot, asked_s)]
        question = ClaimQuestion(self._view.own_name, slots, held, asked_s)
        reply = await self._sender.ask(name, question, CLAIM_TIMEOUT_S)
        if not isinstance(reply, ClaimReply) or self._is_stopping:
            return
        self._view.note_count(reply.domain_nodes, reply.domains)
        for slot in slots:
            self._set_members(slot)
            rivals = tuple(reply.rivals.get(slot, ()))
            answer = ClaimAnswer(rivals, reply.is_informed)
            self._record_answer(name, slot, answer, asked_s)

    def _record_answer(
        self, member: str, slot: int, answer: ClaimAnswer, asked_s: float
    ) -> None:
        now_s = self._clock.monotonic_s()
        if self._roles[slot].record_answer(member, answer, asked_s, now_s):
            self._withdraw([slot])
        self._note_end(slot, now_s)

    def _is_holder(self, slot: int, now_s: float) -> bool:
        return now_s < self._roles[slot].find_end_s()

    def _find_other_claimant(self, slot: int, now_s: float) -> str:
        """Return another node that claims a slot, a holder first; empty for none."""
        claimants = self._claims.find_claimants(slot, now_s)
        return next((name for name in claimants if name != self._view.own_name), "")

    def _set_members(self, slot: int) -> None:
        self._roles[slot].set_members(
            self._view.members(self._view.own_domain, slot),
            self._view.largest_domain_nodes(),
        )

    def _note_end(self, slot: int, now_s: float) -> None:
        """Update since when and up to when this node is the holder of a slot."""
        end_s = self._roles[slot].find_end_s()
        held = self._held.get(slot)
        if held is not None and now_s >= held.end_s:
            # An answer that arrives now begins a new time with an empty bucket.
            self._log.change("quota_holder_changed", slot=slot, is_holder=False)
            held = None
            del self._held[slot]
        if held is not None:
            self._held[slot] = _Held(held.since_s, end_s)
        elif now_s < end_s:
            self._log.change("quota_holder_changed", slot=slot, is_holder=True)
            self._held[slot] = _Held(now_s, end_s)

    def _sync_bucket(self, organisation: str, now_s: float) -> bool:
        """Apply the role to a bucket; return whether this node is the holder."""
        slot = find_slot(organisation)
        self._note_end(slot, now_s)
        held = self._held.get(slot, _Held(now_s, now_s))
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = HolderBucket(self._limits[organisation], held.since_s)
            self._buckets[organisation] = bucket
        share = self._view.domain_share
        bucket.set_own_share(share, held.since_s, held.end_s, now_s)
        return now_s < held.end_s

    async def _transfer(self, organisation: str, slot: int, wanted: float) -> None:
        """Ask the other failure domains for share and tokens, at most at times."""
        task = self._transfers.get(organisation)
        now_s = self._clock.monotonic_s()
        next_s, interval_s = self._transfer_times.get(organisation, (0.0, 0.0))
        if task is None and now_s >= next_s and self._view.other_domains:
            task = self._sender.tasks.spawn(
                self._ask_domains(organisation, slot, wanted, interval_s)
            )
            self._transfers[organisation] = task
            task.add_done_callback(lambda _: self._transfers.pop(organisation, None))
        if task is not None:
            await asyncio.wait([task], timeout=LEND_TIMEOUT_S)

    async def _ask_domains(
        self, organisation: str, slot: int, wanted: float, interval_s: float
    ) -> None:
        start_s = self._clock.monotonic_s()
        bucket = self._buckets[organisation]
        rate_per_s = self._limits[organisation].rate_per_s
        wanted = max(wanted, rate_per_s * TRANSFER_S, MIN_TRANSFER_TOKENS)
        share = bucket.wanted_share(start_s)
        domains = self._view.other_domains
        count = len(domains)
        question = LendQuestion(
            self._view.own_name, organisation, share / count, wanted / count
        )
        replies = await asyncio.gather(
            *(self._ask_domain(domain, slot, question) for domain in domains)
        )
        now_s = self._clock.monotonic_s()
        for reply in replies:
            if reply is not None and self._buckets.get(organisation) is bucket:
                hold_s = min(reply.hold_s, LEND_S)
                move = TokenMove(reply.share, hold_s, reply.tokens, reply.has_returned)
                bucket.receive(reply.holder, move, start_s, now_s)
        has_got = any(reply and (reply.share or reply.tokens) for reply in replies)
        interval_s = min(MAX_TRANSFER_INTERVAL_S, 2 * interval_s)
        if has_got or not interval_s:
            interval_s = TRANSFER_INTERVAL_S
        self._transfer_times[organisation] = start_s + interval_s, interval_s

    async def _ask_domain(
        self, domain: str, slot: int, question: LendQuestion
    ) -> LendReply | None:
        name = next(iter(self._view.holders(domain, slot)), "")
        reply = await self._sender.ask(name, question, LEND_TIMEOUT_S)
        if not isinstance(reply, LendReply):
            return None
        self._view.note_holder(domain, slot, reply.holder)
        return reply
