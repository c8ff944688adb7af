"""Membership over the links: heartbeats, updates and comparison of member tables.

A membership update is the announcement, drain or leave of a member, or a suspicion that
it is dead.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from eliot import log_message

from mimosaloom_control import (
    Drain,
    HeartbeatMonitor,
    Member,
    MemberUpdate,
    SelfAnnouncer,
    Status,
    Suspect,
)
from mimosaloom_model import Address, Clock, NodeSettings

from .config_exchange import ConfigExchange
from .config_state import ConfigState
from .link_messages import (
    MAX_UPDATES_PER_MESSAGE,
    BucketDigests,
    ConfigRecords,
    ConfigRequest,
    Envelope,
    Heartbeat,
    MemberUpdates,
    RejectReason,
    SnapshotPart,
)
from .links import Links
from .member_index import MemberIndex, build_member_updates
from .peers import LinkTiming, Peer
from .update_checks import check_update, is_future_incarnation

__all__ = ["PeerNetwork"]

CONTACT_SAMPLE_SIZE = 3
# If more updates of one message than this change the table, as after a comparison of
# tables, none of them is forwarded. A starting node that receives thousands of members
# must not forward all of them. At most this many updates of a message are logged.
MAX_FORWARDED_UPDATES = 32
PRUNE_INTERVAL_ROUNDS = 600
# A node that sends a message becomes a peer until the next heartbeat round, unless
# there are already this many peers. It then gets no answer until the next round.
MAX_PEERS = 12


class PeerNetwork:
    """Exchanges membership and configuration with the peers of this node.

    Peers are the nodes that this node has links with: its neighbours in the overlay,
    contacts (members or addresses to try while no peer can be reached), dead members
    that it probes, and nodes that have sent it messages.

    Args:
        settings: Settings of the node.
        config: Configuration that is kept up to date with the peers.
        clock: Source of time.
        rng: Source of random choices.
        timing: Timing of the links.
        contacts: Addresses to try while no peer is reachable, in addition to those of
            known members.

    Attributes:
        name: Name of this node.
        index: Members known to this node.
        links: Links with the peers.
        exchange: Exchange of the configuration with the peers.
        announcer: Builds the updates of this node about itself; None before `join`.
        on_members_changed: Called when an update from this node or from a peer changes
            the members.
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
        self.links = Links(self.name, self._handle_message)
        self.exchange = ConfigExchange(
            config, self.links.send, self.links.reject, clock=clock, timing=timing
        )
        self.announcer: SelfAnnouncer | None = None
        self.on_members_changed: Callable[[], None] = lambda: None
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._contacts = {f"@{c.host}:{c.port}": c for c in contacts}
        self._peers: dict[str, Peer] = {}
        self._monitor = HeartbeatMonitor(timing.timeout_s, clock.monotonic_s())
        self._last_received_s: dict[str, float] = {}
        self._rounds = 0
        self._is_heartbeat_scheduled = False
        config.add_listener(self._schedule_heartbeats)

    def join(self, member: Member) -> None:
        """Add this node to the members; `links` must be listening already."""
        self.links.incarnation = member.incarnation
        self.announcer = SelfAnnouncer(member)
        self.index.apply(self.announcer.current_update(), self._clock.monotonic_s())

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.run_heartbeat_round()
            await asyncio.sleep(self._timing.heartbeat_interval_s)

    def run_heartbeat_round(self) -> None:
        """Suspect silent neighbours, choose the peers and send them heartbeats."""
        now_s = self._clock.monotonic_s()
        self._rounds += 1
        neighbors = self.index.neighbors()
        self._monitor.watch(neighbors, now_s)
        self._suspect_silent(self._monitor.find_silent(now_s))
        wanted = {*self.index.neighbors(), *self._choose_contacts(now_s)}
        if (
            self._rounds % self._timing.probe_interval_heartbeats == 0
            and self.index.dead
        ):
            wanted.add(self._rng.choice(sorted(self.index.dead)))
        self._peers = {n: self._peers.get(n, Peer()) for n in sorted(wanted)}
        self.links.close_all_except(self._peers)
        for name, peer in self._peers.items():
            self._send_heartbeat(name, peer)
        if self._rounds % PRUNE_INTERVAL_ROUNDS == 0:
            self.index.prune(now_s)

    def publish(self, update: MemberUpdate, *, exclude: str = "") -> None:
        """Apply an update that originates from this node; send it to the neighbours."""
        if self.index.apply(update, self._clock.monotonic_s()):
            self.on_members_changed()
        self._forward([update], exclude)

    def apply_logged_update(self, update: MemberUpdate) -> bool:
        """Apply an update from the log, without forwarding it.

        Forwarding is not needed, since the peers compare their tables anyway.
        """
        is_own = not isinstance(update, Suspect) and update.member.name == self.name
        if is_own or check_update(update, self.index.table, self._clock):
            return False
        return self.index.apply(update, self._clock.monotonic_s())

    def list_reachable_peers(self) -> list[str]:
        """Return the peers that have sent a message within the timeout."""
        limit_s = self._clock.monotonic_s() - self._timing.timeout_s
        return sorted(
            n
            for n, received_s in self._last_received_s.items()
            if received_s >= limit_s
        )

    def status(self) -> dict:
        """Return the status fields of the links for operators."""
        return {
            "neighbors": list(self.index.neighbors()),
            "heard_from": self.list_reachable_peers(),
            "live": len(self.index.live),
            "dead": sorted(self.index.dead),
            "is_replaced": self.announcer is not None and self.announcer.is_replaced,
            "rejected": dict(self.links.rejected),
            **vars(self.links.traffic),
        }

    # Sending

    def _choose_contacts(self, now_s: float) -> list[str]:
        """Return additional peers to contact while no peer is reachable."""
        for name in list(self._last_received_s):
            if now_s - self._last_received_s[name] > 2 * self._timing.timeout_s:
                del self._last_received_s[name]
        if self.list_reachable_peers():
            return []
        names = sorted({*self.index.live, *self.index.dead} - {self.name})
        chosen = self._rng.sample(names, min(CONTACT_SAMPLE_SIZE, len(names)))
        return [*chosen, *self._contacts]

    def _address_of(self, name: str) -> Address | None:
        if name in self._contacts:
            return self._contacts[name]
        view = self.index.table.find(name)
        if view is None or view.member is None or not view.member.control_port:
            return None
        return Address(view.member.host, view.member.control_port)

    def _send_heartbeat(self, name: str, peer: Peer) -> None:
        address = self._address_of(name)
        if address is None:
            return
        is_silent = peer.is_silent(self._timing.ack_timeout_heartbeats)
        if is_silent or not self.links.is_open(name, address):
            self.links.open(name, address)
            peer.opened_sequence = peer.sent_sequence
            # Gives a peer that does not know this node the address for its answers.
            self.links.send(name, MemberUpdates([self.announcer.current_update()]))
        position = self.exchange.state.position
        peer.sent_sequence += 1
        heartbeat = Heartbeat(
            peer.sent_sequence, peer.received_sequence, self.index.digest, *position
        )
        self.links.send(name, heartbeat)

    def _schedule_heartbeats(self) -> None:
        """Schedule heartbeats with the new position: one per peer for many records."""
        if self._is_heartbeat_scheduled or self.announcer is None:
            return
        self._is_heartbeat_scheduled = True
        asyncio.get_running_loop().call_soon(self._send_scheduled_heartbeats)

    def _send_scheduled_heartbeats(self) -> None:
        self._is_heartbeat_scheduled = False
        for name, peer in self._peers.items():
            self._send_heartbeat(name, peer)

    def _forward(self, updates: list[MemberUpdate], exclude: str) -> None:
        for at in range(0, len(updates), MAX_UPDATES_PER_MESSAGE):
            message = MemberUpdates(updates[at : at + MAX_UPDATES_PER_MESSAGE])
            # Peers that are not neighbours get the updates from their own neighbours.
            for name in self.index.neighbors():
                if name != exclude:
                    self.links.send(name, message)

    def _suspect_silent(self, names: Iterable[str]) -> None:
        for name in names:
            suspicion = self.index.table.build_suspicion(name, self.name)
            if suspicion is not None:
                log_message(message_type="member_suspected", member=name)
                self.publish(suspicion)

    # Receiving

    def _handle_message(self, envelope: Envelope, address: str) -> None:
        reason = self._check_sender(envelope)
        if reason is not None:
            self.links.reject(reason, f"{envelope.sender} at {address}")
            return
        name, body = envelope.sender, envelope.body
        if isinstance(body, MemberUpdates):
            self._handle_updates(envelope, body, address)
        elif self.index.table.find(name) is None:
            self.links.reject(RejectReason.UNKNOWN_SENDER, f"{name} at {address}")
            return
        now_s = self._clock.monotonic_s()
        self._monitor.record_heartbeat(name, now_s)
        self._last_received_s[name] = now_s
        peer = self._get_or_add_peer(name)
        match body:
            case Heartbeat():
                self._handle_heartbeat(name, peer, body)
            case BucketDigests():
                self._handle_bucket_digests(name, peer, body)
            case ConfigRequest():
                self.exchange.send_config(name, peer, body)
            case ConfigRecords():
                self.exchange.handle_records(name, body)
            case SnapshotPart():
                self.exchange.handle_snapshot_part(name, body)

    def _check_sender(self, envelope: Envelope) -> RejectReason | None:
        if envelope.sender == self.name:
            return RejectReason.OWN_NAME
        if is_future_incarnation(envelope.incarnation, self._clock):
            return RejectReason.FUTURE_INCARNATION
        view = self.index.table.find(envelope.sender)
        if view is not None and envelope.incarnation < view.incarnation:
            return RejectReason.OLD_INCARNATION
        is_newer = view is None or envelope.incarnation > view.incarnation
        if is_newer and not isinstance(envelope.body, MemberUpdates):
            return RejectReason.UNKNOWN_SENDER
        return None

    def _get_or_add_peer(self, name: str) -> Peer:
        """Return the peer; open a link to a new one unless there are too many."""
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer()
            if len(self._peers) < MAX_PEERS:
                self._peers[name] = peer
                self._send_heartbeat(name, peer)
        return peer

    def _handle_heartbeat(self, name: str, peer: Peer, heartbeat: Heartbeat) -> None:
        peer.received_sequence = heartbeat.sequence
        peer.acked_sequence = min(heartbeat.ack, peer.sent_sequence)
        view = self.index.table.find(name)
        if view is not None and view.status is Status.DEAD:
            # The peer is alive; it can contradict the suspicions that it receives.
            self.links.send(name, MemberUpdates(build_member_updates(name, view)))
        self.exchange.handle_heartbeat(name, heartbeat)
        own = self.index.digest
        unchanged = peer.count_unchanged_difference(own, heartbeat.members)
        now_s = self._clock.monotonic_s()
        is_interval_over = now_s - peer.digests_sent_s >= self._timing.request_timeout_s
        # A node that knows no other member does not wait for stable digests.
        is_stable = (
            unchanged >= self._timing.stable_heartbeats or len(self.index.live) <= 1
        )
        if own != heartbeat.members and is_stable and is_interval_over:
            peer.digests_sent_s = now_s
            self.links.send(name, BucketDigests(self.index.digests, False))

    def _handle_bucket_digests(
        self, name: str, peer: Peer, message: BucketDigests
    ) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - peer.digests_answered_s < self._timing.heartbeat_interval_s:
            return
        peer.digests_answered_s = now_s
        pairs = zip(self.index.digests, message.digests, strict=True)
        different = [n for n, (own, other) in enumerate(pairs) if own != other]
        updates = self.index.list_bucket_updates(different)
        for at in range(0, len(updates), MAX_UPDATES_PER_MESSAGE):
            self.links.send(
                name, MemberUpdates(updates[at : at + MAX_UPDATES_PER_MESSAGE])
            )
        if not message.is_answer:
            self.links.send(name, BucketDigests(self.index.digests, True))

    def _handle_updates(
        self, envelope: Envelope, message: MemberUpdates, address: str
    ) -> None:
        applied: list[MemberUpdate] = []
        now_s = self._clock.monotonic_s()
        for update in message.news:
            reason = self._check_origin(envelope, update)
            reason = reason or check_update(update, self.index.table, self._clock)
            if reason is not None:
                self.links.reject(reason, f"{envelope.sender} at {address}")
            elif self._is_about_self(update):
                self._contradict_suspicion(update)
            elif self.index.apply(update, now_s):
                applied.append(update)
        if not applied:
            return
        self._log_changes(applied)
        self.on_members_changed()
        if len(applied) <= MAX_FORWARDED_UPDATES:
            self._forward(applied, envelope.sender)

    def _check_origin(
        self, envelope: Envelope, update: MemberUpdate
    ) -> RejectReason | None:
        """Reject an update of the sender with a higher incarnation than its message."""
        if isinstance(update, Suspect) or update.member.name != envelope.sender:
            return None
        if update.member.incarnation > envelope.incarnation:
            return RejectReason.FORGED_INCARNATION
        return None

    def _is_about_self(self, update: MemberUpdate) -> bool:
        name = update.name if isinstance(update, Suspect) else update.member.name
        return name == self.name

    def _contradict_suspicion(self, update: MemberUpdate) -> None:
        """Answer a suspicion of this node; detect a newer incarnation of its name."""
        answer = self.announcer.refute_suspicion(update)
        if self.announcer.is_replaced:
            self.links.reject(RejectReason.OWN_NAME, "news")
        if answer is not None:
            log_message(message_type="suspicion_contradicted", sequence=answer.sequence)
            self.publish(answer)

    def _log_changes(self, applied: list[MemberUpdate]) -> None:
        for update in applied[:MAX_FORWARDED_UPDATES]:
            name = update.name if isinstance(update, Suspect) else update.member.name
            view = self.index.table.find(name)
            status = view.status.value if view else ""
            kind = (
                "drain" if isinstance(update, Drain) else type(update).__name__.lower()
            )
            log_message(
                message_type="member_news", member=name, news=kind, status=status
            )
