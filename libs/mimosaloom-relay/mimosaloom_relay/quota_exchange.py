"""Keeps the quotas of organisations together with the other nodes.

See docs/design/quotas.md. Decisions are in `mimosaloom_policy.quota`.
"""

import asyncio
import math
from collections.abc import Callable

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Clock
from mimosaloom_policy import (
    Balance,
    DemandMeter,
    Quota,
    QuotaBounds,
    QuotaLimits,
    choose_limits,
    find_slot,
)

from .decision_log import DecisionLog
from .http_client import Answer
from .metrics import RelayMetrics
from .peer_messenger import PeerMessenger
from .peers import PeerRecord
from .quota_holder import QUOTA_PATH, QuotaHolder, QuotaSender
from .quota_messages import (
    ClaimQuestion,
    LendQuestion,
    TokenQuestion,
    TokenReply,
    decode_question,
    encode_message,
)
from .quota_view import QuotaView

__all__ = ["QUOTA_PATH", "QuotaExchange"]

# Three of these intervals fit into the time for which an answer to a claim counts.
RENEW_INTERVAL_S = 0.4
# Beside the time in which a holder asks other failure domains.
ASK_TIMEOUT_S = 0.25
MAX_HOLDERS_ASKED = 3
# Questions that one request waits for. The tokens of the first may go to requests that
# waited before it.
MAX_ROUNDS = 2
# After a question that found no holder.
NO_HOLDER_PAUSE_S = 0.2
MAX_RETRY_AFTER_S = 3.0
# Multiples of it, without their whole part, are evenly spread over [0, 1).
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2


class _Account:
    """What an origin knows of one organisation."""

    def __init__(self, limits: QuotaLimits, now_s: float):
        self.question: asyncio.Task | None = None
        self.waiting = 0
        self.refusals = DemandMeter(now_s)
        self.granted = DemandMeter(now_s)
        self.set_limits(limits, now_s)

    def set_limits(self, limits: QuotaLimits, now_s: float) -> None:
        """Begin with an empty balance under new limits."""
        self.limits = limits
        self.balance = Balance(limits, now_s)
        # No token is to be had until then, as the holder has said.
        self.empty_until_s = now_s


class QuotaExchange:
    """Asks holders for tokens, and is a holder for other nodes.

    Args:
        own_name: Name of this node.
        own_domain: Failure domain of this node.
        bounds: How far the requests that run may exceed a quota.
        records: Returns the records of all known nodes.
        usable_records: Returns those that can be reached and do not stop.
        messenger: Sends questions to other nodes.
        clock: Source of time.
        log: Receives the log lines of changes.
        metrics: Counts questions and refusals.
        has_read_records: Returns whether the records of the other nodes were read.
            Before that, this node is no holder.

    Attributes:
        taken_expires_s: Identifies the token of the last `acquire` that returned 0, for
            `put_back`; read it before the next `await`.
    """

    def __init__(
        self,
        own_name: str,
        own_domain: str,
        bounds: QuotaBounds,
        records: Callable[[], list[PeerRecord]],
        usable_records: Callable[[], list[PeerRecord]],
        messenger: PeerMessenger,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
        has_read_records: Callable[[], bool] = lambda: True,
    ):
        self.taken_expires_s = 0.0
        self._bounds = bounds
        self._clock = clock
        self._metrics = metrics
        self._tasks = messenger.tasks
        self._view = QuotaView(
            own_name, own_domain, records, usable_records, clock=clock
        )
        self._sender = QuotaSender(messenger, self._view, metrics)
        self._holder = QuotaHolder(
            self._view, self._sender, has_read_records, clock=clock, log=log
        )
        self._accounts: dict[str, _Account] = {}
        self._is_running = False
        self._is_stopping = False
        self._refused_count = 0
        metrics.quota_slots.set_function(lambda: self._holder.held_count)

    def apply_quotas(self, quotas: dict[str, Quota]) -> None:
        """Apply the quotas of a new configuration, by organisation.

        Tokens that were given under another quota are dropped.
        """
        now_s = self._clock.monotonic_s()
        limits = {
            name: choose_limits(quota, self._bounds) for name, quota in quotas.items()
        }
        self._accounts = {
            name: account for name, account in self._accounts.items() if name in limits
        }
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = _Account(limit, now_s)
            elif account.limits != limit:
                # An answer that is on its way belongs to the previous balance.
                account.set_limits(limit, now_s)
        self._holder.set_limits(limits)
        if limits and not self._is_running:
            self._is_running = True
            self._tasks.spawn(self._run())

    async def acquire(self, organisation: str) -> float:
        """Take a token for a request.

        Returns:
            0 if the request may run, also without a quota; otherwise the time in
            seconds after which there may be room again.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return 0.0
        now_s = self._clock.monotonic_s()
        account.balance.count_request(now_s)
        for _ in range(MAX_ROUNDS):
            if self._try_take(organisation, account, now_s):
                return 0.0
            if now_s < account.empty_until_s:
                break
            account.waiting += 1
            try:
                # Without a shield, a request that is cancelled would end the question
                # that others wait for.
                await asyncio.wait([self._ask_once(organisation, account)])
            finally:
                account.waiting -= 1
            now_s = self._clock.monotonic_s()
        else:
            if self._try_take(organisation, account, now_s):
                return 0.0
        self._metrics.quota_refusals.inc()
        return self._choose_retry_after_s(account, now_s)

    def put_back(self, organisation: str, expires_s: float) -> None:
        """Return the token of a request that was refused before it ran.

        Args:
            organisation: Name of its organisation.
            expires_s: Value of `taken_expires_s` when `acquire` returned.
        """
        account = self._accounts.get(organisation)
        if account is not None:
            account.balance.put_back(expires_s, self._clock.monotonic_s())

    async def handle(self, request: Request) -> Answer:
        """Answer a question of another node."""
        question = decode_question(request.body)
        match question:
            case TokenQuestion():
                reply = await self._holder.serve(question)
            case ClaimQuestion():
                reply = self._holder.answer_claim(question)
            case LendQuestion():
                reply = self._holder.lend(question)
            case _:
                self._metrics.count_ignored("quota")
                return Answer(Response(400, ()))
        return Answer(Response(200, (), encode_message(reply)))

    def stop(self) -> None:
        """Leave the role of the holder to other nodes; called when the node stops."""
        if not self._is_stopping:
            self._is_stopping = True
            if self._is_running:
                self._tasks.spawn(self._holder.stop())

    def _try_take(self, organisation: str, account: _Account, now_s: float) -> bool:
        balance = account.balance
        if not balance.try_take(now_s):
            return False
        self.taken_expires_s = balance.taken_expires_s
        is_free = account.question is None and now_s >= account.empty_until_s
        if is_free and balance.should_prefetch(now_s):
            self._ask_once(organisation, account)
        return True

    def _ask_once(self, organisation: str, account: _Account) -> asyncio.Task:
        """Return the open question for an organisation, or a new one."""
        if account.question is None:
            task = self._tasks.spawn(self._ask(organisation, account))
            account.question = task
            task.add_done_callback(lambda _: setattr(account, "question", None))
        return account.question

    async def _ask(self, organisation: str, account: _Account) -> None:
        """Ask the holder for tokens, or the next one in order if it gives no answer."""
        domain, slot = self._view.own_domain, find_slot(organisation)
        candidates = self._view.holders(domain, slot)
        asked: set[str] = set()
        while candidates and len(asked) < MAX_HOLDERS_ASKED:
            name = candidates.pop(0)
            if name in asked:
                continue
            asked.add(name)
            asked_s = self._clock.monotonic_s()
            balance = account.balance
            wanted = balance.choose_batch(account.waiting, asked_s)
            reply = await self._ask_holder(name, TokenQuestion(organisation, wanted))
            if reply is None:
                continue
            if reply.is_holder:
                self._view.note_holder(domain, slot, name)
                if balance is account.balance:
                    self._receive(account, reply, asked_s)
                return
            if reply.holder:
                candidates.insert(0, reply.holder)
        self._metrics.count_quota_question("tokens", "no_holder")
        account.empty_until_s = self._clock.monotonic_s() + NO_HOLDER_PAUSE_S

    async def _ask_holder(
        self, name: str, question: TokenQuestion
    ) -> TokenReply | None:
        if name == self._view.own_name:
            return await self._holder.serve(question)
        reply = await self._sender.ask(name, question, ASK_TIMEOUT_S)
        return reply if isinstance(reply, TokenReply) else None

    def _receive(self, account: _Account, reply: TokenReply, asked_s: float) -> None:
        now_s = self._clock.monotonic_s()
        if reply.tokens >= 1:
            account.granted.add(reply.tokens, now_s)
            account.balance.add(reply.tokens, asked_s, now_s)
        else:
            pause_s = min(max(0.0, reply.pause_s), MAX_RETRY_AFTER_S)
            account.empty_until_s = now_s + pause_s

    def _choose_retry_after_s(self, account: _Account, now_s: float) -> float:
        """Return a delay that differs between callers that are refused together.

        They return over the time in which this node gets room for them, as far as that
        is within the bound.
        """
        account.refusals.add(1.0, now_s)
        self._refused_count += 1
        pause_s = max(0.05, account.empty_until_s - now_s)
        granted_per_s = max(1.0, account.granted.rate_per_s(now_s))
        spread_s = max(pause_s, account.refusals.rate_per_s(now_s) / granted_per_s)
        spread_s = min(spread_s, max(0.0, MAX_RETRY_AFTER_S - pause_s))
        return pause_s + spread_s * (self._refused_count * GOLDEN_RATIO % 1)

    async def _run(self) -> None:
        """Renew the claims of this node while there are quotas."""
        while self._accounts and not self._is_stopping:
            self._tasks.spawn(self._holder.renew())
            await asyncio.sleep(RENEW_INTERVAL_S)
        self._is_running = False
