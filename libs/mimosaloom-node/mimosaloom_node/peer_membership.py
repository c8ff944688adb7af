"""Membership over the links: heartbeats, news and comparison of member tables."""

import asyncio
import random
from collections.abc import Callable, Iterable

from eliot import log_message

from mimosaloom_control import (
    Drain,
    HeartbeatMonitor,
    Member,
    MemberNews,
    SelfAnnouncer,
    Status,
    Suspect,
)
from mimosaloom_model import Address, Clock, NodeSettings

from .config_exchange import ConfigExchange
from .config_state import ConfigState
from .link_messages import (
    MAX_NEWS_PER_MESSAGE,
    AskConfig,
    Beat,
    Buckets,
    ConfigRecords,
    Envelope,
    News,
    Rejected,
    SnapshotPart,
)
from .links import Links
from .member_index import MemberIndex, describe_view
from .news_checks import check_news, is_future
from .peers import LinkTiming, Peer

__all__ = ["PeerNetwork"]

CONTACTS = 3
# News of a comparison of tables are passed on up to this number. A starting node that
# gets thousands of members must not send all of them on.
MAX_PASSED_ON = 32
PRUNE_BEATS = 600


class PeerNetwork:
    """This node among its peers.

    Args:
        settings: Settings of the node.
        config: Configuration that is kept level with the peers.
        clock: Source of time.
        rng: Source of choices.
        timing: Times of the links.
        contacts: Addresses to try at the start beside those of known members.
    """

    def __init__(
        self,
        settings: NodeSettings,
        config: ConfigState,
        *,
        clock: Clock,
        rng: random.Random,
        timing: LinkTiming,
        contacts: Iterable[Address] = (),
    ):
        self.name = settings.node.name
        self.index = MemberIndex(self.name, settings.node.failure_domain)
        self.links = Links(self.name, self._receive)
        self.exchange = ConfigExchange(
            config, self.links.send, self.links.reject, clock=clock, timing=timing
        )
        self.own: SelfAnnouncer | None = None
        self.on_members: Callable[[], None] = lambda: None
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._contacts = {f"@{c.host}:{c.port}": c for c in contacts}
        self._peers: dict[str, Peer] = {}
        self._monitor = HeartbeatMonitor(timing.timeout_s, clock.monotonic_s())
        self._heard_s: dict[str, float] = {}
        self._beats = 0
        self._is_beat_due = False
        config.listen(self._beat_soon)

    def join(self, member: Member) -> None:
        """Become a member; `links` has to be listening."""
        self.links.incarnation = member.incarnation
        self.own = SelfAnnouncer(member)
        self.index.apply(self.own.current(), self._clock.monotonic_s())

    async def run(self) -> None:
        """Send beats until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(self._timing.beat_s)

    def beat(self) -> None:
        """Suspect silent neighbours, choose the peers and send each a beat."""
        now_s = self._clock.monotonic_s()
        self._beats += 1
        neighbors = self.index.neighbors()
        self._monitor.watch(neighbors, now_s)
        self._suspect(self._monitor.find_silent(now_s))
        wanted = {*self.index.neighbors(), *self._choose_contacts(now_s)}
        if self._beats % self._timing.probe_beats == 0 and self.index.dead:
            wanted.add(self._rng.choice(sorted(self.index.dead)))
        self._peers = {n: self._peers.get(n, Peer()) for n in sorted(wanted)}
        self.links.keep(self._peers)
        for name, peer in self._peers.items():
            self._send_beat(name, peer)
        if self._beats % PRUNE_BEATS == 0:
            self.index.prune(now_s)

    def publish(self, news: MemberNews, *, skip: str = "") -> None:
        """Take in news of this node and pass them on."""
        if self.index.apply(news, self._clock.monotonic_s()):
            self.on_members()
        self._pass_on([news], skip)

    def learn(self, news: MemberNews) -> bool:
        """Take in news that did not come over a link; peers compare tables anyway."""
        is_own = not isinstance(news, Suspect) and news.member.name == self.name
        if is_own or check_news(news, self.index.table, self._clock):
            return False
        return self.index.apply(news, self._clock.monotonic_s())

    def heard_from(self) -> list[str]:
        """Return the peers that were heard within the timeout."""
        limit_s = self._clock.monotonic_s() - self._timing.timeout_s
        return sorted(n for n, heard_s in self._heard_s.items() if heard_s >= limit_s)

    def status(self) -> dict:
        """Return what operators see of the links."""
        return {
            "neighbors": list(self.index.neighbors()),
            "heard_from": self.heard_from(),
            "live": len(self.index.live),
            "dead": sorted(self.index.dead),
            "is_replaced": self.own is not None and self.own.is_replaced,
            "rejected": dict(self.links.rejected),
            **vars(self.links.traffic),
        }

    # Sending

    def _choose_contacts(self, now_s: float) -> list[str]:
        """Return further peers to try as long as no peer is heard."""
        for name in list(self._heard_s):
            if now_s - self._heard_s[name] > 2 * self._timing.timeout_s:
                del self._heard_s[name]
        if self.heard_from():
            return []
        names = sorted({*self.index.live, *self.index.dead} - {self.name})
        chosen = self._rng.sample(names, min(CONTACTS, len(names)))
        return [*chosen, *self._contacts]

    def _address_of(self, name: str) -> Address | None:
        if name in self._contacts:
            return self._contacts[name]
        view = self.index.table.find(name)
        if view is None or view.member is None or not view.member.control_port:
            return None
        return Address(view.member.host, view.member.control_port)

    def _send_beat(self, name: str, peer: Peer) -> None:
        address = self._address_of(name)
        if address is None:
            return
        is_silent = peer.is_silent(self._timing.silent_beats)
        if is_silent or not self.links.is_open(name, address):
            self.links.open(name, address)
            peer.opened_at = peer.sent
            # A peer that has never heard of this node learns where to answer.
            self.links.send(name, News([self.own.current()]))
        position = self.exchange.state.position
        peer.sent += 1
        beat = Beat(peer.sent, peer.received, self.index.digest, *position)
        self.links.send(name, beat)

    def _beat_soon(self) -> None:
        """Tell the neighbours of a new position, once for many records."""
        if self._is_beat_due or self.own is None:
            return
        self._is_beat_due = True
        asyncio.get_running_loop().call_soon(self._beat_now)

    def _beat_now(self) -> None:
        self._is_beat_due = False
        for name, peer in self._peers.items():
            self._send_beat(name, peer)

    def _pass_on(self, news: list[MemberNews], skip: str) -> None:
        for at in range(0, len(news), MAX_NEWS_PER_MESSAGE):
            message = News(news[at : at + MAX_NEWS_PER_MESSAGE])
            for name in self._peers:
                if name != skip:
                    self.links.send(name, message)

    def _suspect(self, names: Iterable[str]) -> None:
        for name in names:
            suspicion = self.index.table.suspect(name, self.name)
            if suspicion is not None:
                log_message(message_type="member_suspected", member=name)
                self.publish(suspicion)

    # Receiving

    def _receive(self, envelope: Envelope, address: str) -> None:
        reason = self._check_sender(envelope)
        if reason is not None:
            self.links.reject(reason, f"{envelope.sender} at {address}")
            return
        name, body = envelope.sender, envelope.body
        if isinstance(body, News):
            self._take_news(envelope, body, address)
        elif self.index.table.find(name) is None:
            self.links.reject(Rejected.UNKNOWN_SENDER, f"{name} at {address}")
            return
        now_s = self._clock.monotonic_s()
        self._monitor.hear(name, now_s)
        self._heard_s[name] = now_s
        peer = self._meet(name)
        match body:
            case Beat():
                self._take_beat(name, peer, body)
            case Buckets():
                self._take_buckets(name, peer, body)
            case AskConfig():
                self.exchange.answer(name, peer, body)
            case ConfigRecords():
                self.exchange.take_records(name, body)
            case SnapshotPart():
                self.exchange.take_part(name, body)

    def _check_sender(self, envelope: Envelope) -> Rejected | None:
        if envelope.sender == self.name:
            return Rejected.OWN_NAME
        if is_future(envelope.incarnation, self._clock):
            return Rejected.FUTURE_INCARNATION
        view = self.index.table.find(envelope.sender)
        if view is not None and envelope.incarnation < view.incarnation:
            return Rejected.OLD_INCARNATION
        is_newer = view is None or envelope.incarnation > view.incarnation
        if is_newer and not isinstance(envelope.body, News):
            return Rejected.UNKNOWN_SENDER
        return None

    def _meet(self, name: str) -> Peer:
        """Return the peer, with a link to it from the next message on."""
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = Peer()
            self._send_beat(name, peer)
        return peer

    def _take_beat(self, name: str, peer: Peer, beat: Beat) -> None:
        peer.received = beat.sequence
        peer.acked = min(beat.ack, peer.sent)
        view = self.index.table.find(name)
        if view is not None and view.status is Status.DEAD:
            # It lives, and can contradict what it hears.
            self.links.send(name, News(describe_view(name, view)))
        self.exchange.compare(name, beat)
        own = self.index.digest
        beats = peer.note_difference(own, beat.members)
        now_s = self._clock.monotonic_s()
        is_ready = now_s - peer.compared_s >= self._timing.ask_timeout_s
        is_due = beats >= self._timing.stable_beats or len(self.index.live) <= 1
        if own != beat.members and is_due and is_ready:
            peer.compared_s = now_s
            self.links.send(name, Buckets(self.index.digests, False))

    def _take_buckets(self, name: str, peer: Peer, message: Buckets) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - peer.answered_s < self._timing.beat_s:
            return
        peer.answered_s = now_s
        pairs = zip(self.index.digests, message.digests, strict=True)
        different = [n for n, (own, other) in enumerate(pairs) if own != other]
        news = self.index.news_of(different)
        for at in range(0, len(news), MAX_NEWS_PER_MESSAGE):
            self.links.send(name, News(news[at : at + MAX_NEWS_PER_MESSAGE]))
        if not message.is_answer:
            self.links.send(name, Buckets(self.index.digests, True))

    def _take_news(self, envelope: Envelope, message: News, address: str) -> None:
        fresh: list[MemberNews] = []
        now_s = self._clock.monotonic_s()
        for news in message.news:
            reason = self._check_origin(envelope, news)
            reason = reason or check_news(news, self.index.table, self._clock)
            if reason is not None:
                self.links.reject(reason, f"{envelope.sender} at {address}")
            elif self._is_about_self(news):
                self._defend(news)
            elif self.index.apply(news, now_s):
                fresh.append(news)
        if not fresh:
            return
        self._log_changes(fresh)
        self.on_members()
        if len(fresh) <= MAX_PASSED_ON:
            self._pass_on(fresh, envelope.sender)

    def _check_origin(self, envelope: Envelope, news: MemberNews) -> Rejected | None:
        if isinstance(news, Suspect) or news.member.name != envelope.sender:
            return None
        if news.member.incarnation > envelope.incarnation:
            return Rejected.FORGED_INCARNATION
        return None

    def _is_about_self(self, news: MemberNews) -> bool:
        name = news.name if isinstance(news, Suspect) else news.member.name
        return name == self.name

    def _defend(self, news: MemberNews) -> None:
        """Contradict a suspicion of this node."""
        answer = self.own.answer(news)
        if self.own.is_replaced:
            self.links.reject(Rejected.OWN_NAME, "news")
        if answer is not None:
            log_message(message_type="suspicion_contradicted", sequence=answer.sequence)
            self.publish(answer)

    def _log_changes(self, fresh: list[MemberNews]) -> None:
        for news in fresh[:MAX_PASSED_ON]:
            name = news.name if isinstance(news, Suspect) else news.member.name
            view = self.index.table.find(name)
            status = view.status.value if view else ""
            kind = "drain" if isinstance(news, Drain) else type(news).__name__.lower()
            log_message(
                message_type="member_news", member=name, news=kind, status=status
            )
