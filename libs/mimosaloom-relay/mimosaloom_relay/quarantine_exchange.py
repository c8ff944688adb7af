"""Spreads between nodes which requests are suspected of ending targets.

Each node passes what is new to it on to some others at once. Hops carry a digest of the
requests that a node holds back, by which nodes that have missed something, because they
have just started or were cut off, notice it and ask. This needs no store. The store
keeps a copy for the case that all nodes restart.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address, Clock
from mimosaloom_policy import EndEffect, Quarantine

from .decision_log import DecisionLog
from .decoding import decode_json
from .http_client import Answer
from .metrics import RelayMetrics
from .peer_messenger import PeerMessenger

__all__ = ["QUARANTINE_PATH", "QuarantineExchange", "read_held_keys"]

QUARANTINE_PATH = "/.mimosaloom/quarantine"
# News that arrives within this time is passed on in one message.
BATCH_DELAY_S = 0.02
SEND_TIMEOUT_S = 1.0
# A target that answers at the deadline may not have run the request far enough to tell
# whether it would have ended.
DEADLINE_STATUS = 504
# Least time between two questions for what other nodes hold back.
MIN_FETCH_INTERVAL_S = 1.0


class QuarantineNews(msgspec.Struct, omit_defaults=True):
    """What a node tells others.

    Attributes:
        ends: Keys of the requests that a target had when it ended, by the start of the
            target.
        cleared: Keys of requests that a target has answered.
    """

    ends: dict[str, list[str]] = {}
    cleared: list[str] = []


class QuarantineExchange:
    """Keeps the quarantine of this node in line with those of the others.

    Args:
        table: The quarantine of this node.
        messenger: Sends the messages.
        clock: Source of time.
        log: Receives the log lines of requests that are held back or released.
        metrics: Shows the number of requests that are held back.

    Attributes:
        table: The quarantine, which decides.
        publish: Writes what this node holds back to the store.
    """

    def __init__(
        self,
        table: Quarantine,
        messenger: PeerMessenger,
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        self.publish: Callable[[bytes], None] = lambda news: None
        self.table = table
        self._messenger = messenger
        self._clock = clock
        self._log = log
        self._metrics = metrics
        metrics.quarantined.set_function(lambda: table.held_count)
        self._pending = QuarantineNews({}, [])
        self._is_spread_planned = False
        self._next_fetch_s = 0.0

    def report_own_end(self, start_key: str, request_keys: Iterable[str]) -> None:
        """Record an end of the own target; the store keeps what is held back by it."""
        held = self.report_end(start_key, request_keys)
        if held:
            self.publish(self.build_news())

    def report_end(self, start_key: str, request_keys: Iterable[str]) -> list[str]:
        """Record and spread that a target ended while it had requests.

        Of a request that a target has answered a moment ago, that is what is spread, as
        other nodes may not have seen the answer.

        Returns:
            The keys of those requests that are held back because of this end.
        """
        held = []
        for key in request_keys:
            match self.record_end(start_key, key):
                case EndEffect.SUSPECT:
                    if self.table.is_held(key):
                        held.append(key)
                    self._pending.ends.setdefault(start_key, []).append(key)
                    self._plan_spread()
                case EndEffect.CLEARED:
                    self._pending.cleared.append(key)
                    self._plan_spread()
        return held

    def record_end(self, start_key: str, request_key: str) -> EndEffect:
        """Record that a target ended while it had a request, and spread nothing.

        For the origin of the request: the node beside the target tells all others.
        """
        now_s = self._clock.monotonic_s()
        effect = self.table.record_end(request_key, start_key, now_s)
        if effect is EndEffect.SUSPECT and self.table.is_held(request_key):
            self._log.change(
                "request_quarantined",
                request_key=request_key,
                ended_targets=self.table.count_ends(request_key),
                last_start=start_key,
                hold_s=round(self.table.find_hold_s(request_key, now_s), 1),
            )
        return effect

    def report_answer(self, request_key: str, answer: Answer) -> None:
        """Record that a target has answered a request, and spread it for a suspect."""
        if answer.response.status == DEADLINE_STATUS:
            return
        if self._clear(request_key):
            self.publish(self.build_news())

    def _clear(self, request_key: str) -> bool:
        """Clear a request; return whether it was held back."""
        was_held = self.table.is_held(request_key)
        if self.table.record_answer(request_key, self._clock.monotonic_s()):
            self._pending.cleared.append(request_key)
            self._plan_spread()
        if was_held:
            self._log.change("request_cleared", request_key=request_key)
        return was_held

    def build_news(self) -> bytes:
        """Return the requests that this node holds back, as a message."""
        return msgspec.json.encode(QuarantineNews(self.table.held_starts()))

    def apply_news(self, message: bytes) -> bool:
        """Apply what another node tells; return False if it can't be read."""
        news = _decode_news(message)
        if news is None:
            self._metrics.count_ignored("quarantine")
            return False
        for key in news.cleared:
            self._clear(key)
        for start_key, keys in news.ends.items():
            self.report_end(start_key, keys)
        return True

    def compare_digest(self, digest: int, address: Address) -> None:
        """Ask a node what it holds back if its digest differs, at most at times."""
        if digest in (0, self.table.digest):
            return
        now_s = self._clock.monotonic_s()
        if now_s >= self._next_fetch_s:
            self._next_fetch_s = now_s + MIN_FETCH_INTERVAL_S
            self._messenger.tasks.spawn(self._fetch(address))

    async def _fetch(self, address: Address) -> None:
        request = Request("GET", QUARANTINE_PATH)
        response = await self._messenger.send(address, request, SEND_TIMEOUT_S)
        if isinstance(response, Response) and response.status == 200:
            self.apply_news(response.body)

    def _plan_spread(self) -> None:
        if not self._is_spread_planned:
            self._is_spread_planned = True
            self._messenger.tasks.spawn(self._spread())

    async def _spread(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        self._is_spread_planned = False
        news, self._pending = self._pending, QuarantineNews({}, [])
        request = Request("POST", QUARANTINE_PATH, (), msgspec.json.encode(news))
        self._messenger.broadcast(request, SEND_TIMEOUT_S)


def read_held_keys(message: bytes) -> set[str] | None:
    """Return the keys of the requests that a node holds back; None if not readable."""
    news = _decode_news(message)
    if news is None:
        return None
    return {key for keys in news.ends.values() for key in keys}


def _decode_news(message: bytes) -> QuarantineNews | None:
    return decode_json(message, QuarantineNews)
