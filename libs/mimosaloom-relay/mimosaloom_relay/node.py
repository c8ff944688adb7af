"""A node on the platform: its listeners, its components and its life cycle."""

import asyncio
import random
from collections.abc import Callable
from functools import partial

import msgspec

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address, Clock, ErrorKind
from mimosaloom_policy import Quarantine

from .client_bounds import (
    choose_backlog,
    choose_max_connections,
    choose_max_overlapping,
    choose_received_bytes,
)
from .decision_log import DecisionLog
from .hop_messages import HeaderNames
from .hops import HopSender
from .http_client import Answer, HttpClient
from .http_server import Handler, Incoming, RelayServer
from .incoming_hops import IncomingHops
from .leave_exchange import LeaveExchange
from .limits import Limits
from .metrics import RelayMetrics
from .origin import Origin
from .own_record import OwnRecord
from .own_target import Announcement, HeartbeatResult, OwnTarget
from .pause_detector import PauseDetector
from .peer_messenger import PeerMessenger
from .peer_prober import PeerProber
from .peers import decode_record
from .quarantine_exchange import QuarantineExchange
from .quota_exchange import QuotaExchange
from .read_progress import ReadProgress
from .reader_role import ReaderRole
from .receive_budget import ReceiveBudget
from .record_fanout import RecordFanout, StoreProgress
from .refusals import build_refusal
from .request_account import AccountLog, RequestAccount
from .retry_policy import RetryPolicy
from .routes import Configuration
from .settings import Listeners, RelaySettings
from .status import describe_admission, describe_configuration, describe_peers
from .store_era import StoreEra
from .target_check import TargetCheck
from .target_side import TargetSide
from .task_set import TaskSet
from .upstreams import Upstreams

__all__ = ["QUARANTINE_RECORD", "RelayNode"]

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
_JSON = (("Content-Type", "application/json"),)
# Clients stop using a node after two failed readiness checks, one second apart. Until
# then they may still send requests, and each of these is answered.
MIN_STOP_S = 2.4
# Only this node reaches its target, which may keep running after the node. The node
# accepts hops for it until shortly before the end, so that a rolling restart makes only
# few targets unavailable at the same time.
HANDOVER_DELAY_S = 2.2
# Requests of clients that arrive later than this, or after this share of `grace_s`, are
# refused, so that the running ones end before the process does. Clients send requests
# to a node that is not ready if most nodes of its failure domain are out of service.
REFUSE_REQUESTS_AFTER_S = 3.0
REFUSE_REQUESTS_AFTER_RATIO = 0.5
# Time between the end of a stop and the moment when the platform kills the process.
KILL_MARGIN_S = 0.6
# Time between the latest deadline of requests that arrive during a stop and its end.
# The answers of targets that end their work at the deadline arrive within it.
LAST_ANSWER_S = 0.2
STOP_POLL_S = 0.05
# After a pause of the process, the first poll may come before what has arrived is read.
IDLE_POLLS = 2
# A node is removed if its record is still missing this long after the store was read.
MISSING_GRACE_S = 2.0
# Share of the memory of the process that answers may take which wait for those before
# them on their connections.
HELD_MEMORY_RATIO = 0.2
# Connections to each of the listeners that the platform and the target use.
MAX_SIDE_CONNECTIONS = 64
# What a node adds to the head of a request that it passes on.
MAX_HOP_HEADER_BYTES = 16 * 1024
# Name of the record, beside those of the nodes, of the requests that are held back.
QUARANTINE_RECORD = "quarantine"


class RelayNode:
    """A node with its listeners, the state of its target and its view of other nodes.

    Args:
        settings: Settings of the node.
        names: Header names that callers and targets use.
        incarnation: Id that is unique for this process.
        read_configuration: Decodes a published configuration; None if it is not valid.
        clock: Source of time.
        rng: Source of ids and random choices.
        metrics: Counts outcomes.
    """

    def __init__(
        self,
        settings: RelaySettings,
        names: HeaderNames,
        incarnation: str,
        read_configuration: Callable[[bytes], Configuration | None],
        *,
        clock: Clock,
        rng: random.Random,
        metrics: RelayMetrics,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.is_stopping = False
        self.addresses: Listeners = settings.listen
        self.metrics = metrics
        self.log = DecisionLog(clock, metrics.count_dropped_line)
        self.store_era = StoreEra()
        self.records_progress = ReadProgress()
        self.configuration_progress = ReadProgress()
        self._names = names
        self._read_configuration = read_configuration
        self._clock = clock
        self._tasks = TaskSet(self.log)
        # Records in the store, None for a missing one, that differ from what is known
        # of their nodes and that the nodes have not confirmed.
        self._unconfirmed: dict[str, bytes | None] = {}
        self.own_target = OwnTarget(settings.service, settings.target, clock=clock)
        target_client = HttpClient(clock, lambda: metrics.count_connection("target"))
        hop_client = HttpClient(
            clock, lambda: metrics.count_connection("node"), detects_silence=True
        )
        self._clients = {"target": target_client, "node": hop_client}
        self.upstreams = Upstreams(
            settings.name,
            settings.failure_domain,
            settings.service,
            clock=clock,
            rng=rng,
        )
        self.messenger = PeerMessenger(
            settings.name, hop_client, self.upstreams.peers.records, self.log, rng=rng
        )
        self.reader_role = ReaderRole(
            settings.name,
            settings.failure_domain,
            self.upstreams.peers.reachable_records,
            clock=clock,
        )
        self.reader_role.on_start = self._start_reading
        self.store_progress = StoreProgress(
            self.store_era, self.records_progress, self.configuration_progress
        )
        self.record_fanout = RecordFanout(
            self.reader_role, self.store_progress, lambda: self.version, clock=clock
        )
        self._leaves = LeaveExchange(
            settings.name, self.messenger, self._handle_left_start, self.log
        )
        self.quarantine = QuarantineExchange(
            Quarantine(rng),
            self.messenger,
            clock=clock,
            log=self.log,
            metrics=metrics,
        )
        self.quotas = QuotaExchange(
            settings.name,
            settings.failure_domain,
            settings.quota_bounds,
            self.upstreams.peers.records,
            self.upstreams.peers.reachable_records,
            self.messenger,
            clock=clock,
            log=self.log,
            metrics=metrics,
            has_read_records=lambda: self.records_progress.offset > 0,
        )
        self.target_side = TargetSide(
            self.own_target,
            incarnation,
            names,
            target_client,
            self.quarantine,
            clock=clock,
            log=self.log,
            metrics=metrics,
        )
        self.target_side.on_unreachable = self._publish_own_record
        self.target_side.on_leaving = self._publish_own_record
        self._target_check = TargetCheck(
            self.own_target,
            self._find_health_path,
            self.target_side.is_serving,
            self._publish_own_record,
            self._tasks,
            clock=clock,
            log=self.log,
        )
        self.own_record = OwnRecord(
            settings,
            incarnation,
            self.own_target,
            inbound=lambda: self.addresses.inbound,
            has_handed_over=lambda: self.target_side.is_stopping,
        )
        self.target_side.level_below = lambda class_name: (
            self.upstreams.calls.level_below(class_name, clock.monotonic_s())
        )
        self.target_side.find_missing_service = lambda class_name: (
            self.upstreams.calls.find_missing_service(class_name, clock.monotonic_s())
        )
        self.peer_prober = PeerProber(
            settings.name,
            self.upstreams,
            self.messenger,
            self.put_record,
            self.put_configuration,
            lambda: self.version,
            rng=rng,
            log=self.log,
        )
        self.peer_prober.own_address = self._format_inbound
        retry_policy = RetryPolicy(
            settings.retry_budget,
            lambda: len(self.upstreams.peers),
            self.target_side.estimate_remaining_calls,
            self.quarantine.table.count_ends,
            clock=clock,
            metrics=metrics,
        )
        self.origin = Origin(
            settings.name,
            settings.service,
            self._format_inbound,
            names,
            self.upstreams,
            self.target_side,
            HopSender(names, hop_client, self.log, self.peer_prober.mark_unreachable),
            self.store_era,
            self.records_progress,
            self.quarantine,
            retry_policy,
            self.quotas,
            clock=clock,
            log=self.log,
            metrics=metrics,
        )
        self.origin.on_newer_version = lambda version, candidate: (
            self.peer_prober.fetch_if_newer(
                version, Address(candidate.host, candidate.port)
            )
        )
        self.origin.on_record_outdated = lambda candidate: (
            self.peer_prober.refresh_record(candidate.name)
        )
        self._hops = IncomingHops(
            names,
            self.target_side,
            own_record=self.own_record.build,
            records=self.upstreams.peers.records,
            find_left_start=self.upstreams.peers.find_left_start,
            put_leaving_record=self._put_leaving_record,
            own_version=lambda: self.version,
            own_document=self._own_document,
            store_era=self.store_era,
            records_progress=self.records_progress,
            quarantine=self.quarantine,
            record_fanout=self.record_fanout,
            quotas=self.quotas,
            on_newer_version=self.peer_prober.fetch_if_newer,
        )
        account = RequestAccount(clock)
        self.origin.account = self.target_side.account = account
        self._account_log = AccountLog(
            account,
            self.log,
            settings.name,
            incarnation,
            settings.service,
            lambda: self.target_side.used_slots,
        )
        self._pauses = PauseDetector(clock)
        self.origin.recent_pause_s = self._pauses.recent_pause_s
        self.target_side.recent_pause_s = self._pauses.recent_pause_s
        self._servers: dict[str, RelayServer] = {}

    @property
    def version(self) -> int:
        """Number of the configuration in force; 0 for none."""
        configuration = self.origin.configuration
        return 0 if configuration is None else configuration.version

    @property
    def is_ready(self) -> bool:
        """Whether clients may send requests to this node."""
        return (
            self.origin.configuration is not None
            and not self.is_stopping
            and not self.peer_prober.is_isolated
        )

    async def start(self, answer_announcement: Handler) -> None:
        """Open the listeners.

        Args:
            answer_announcement: Answers the heartbeats of this node's target.
        """
        handlers = {
            "outbound": self.origin.handle,
            "inbound": self._hops.handle,
            "ready": self._answer_ready,
            "announcements": answer_announcement,
            "metrics": self._answer_metrics,
        }
        opened = {}
        received = ReceiveBudget(choose_received_bytes(self.settings.memory_bytes))
        for name, handle in handlers.items():
            limits = self._find_limits if name == "outbound" else self._find_peer_limits
            server = RelayServer(handle, self._answer_crash, limits, clock=self._clock)
            server.received = received
            server.count_closed = self.metrics.count_closed_connection
            if name == "outbound":
                server.max_connections = choose_max_connections(
                    self.settings.memory_bytes, self.settings.max_sockets
                )
            elif name != "inbound":
                server.max_connections = MAX_SIDE_CONNECTIONS
            self._servers[name] = server
            opened[name] = await server.listen(
                getattr(self.settings.listen, name),
                choose_backlog(self.settings.max_sockets),
            )
        self.addresses = Listeners(**opened)
        self._tasks.spawn(self._pauses.run())
        self._tasks.spawn(self._account_log.run())
        for kind in self.count_open_connections():
            self.metrics.show_open_connections(
                kind, lambda kind=kind: self.count_open_connections()[kind]
            )
        self.metrics.ready.set_function(lambda: self.is_ready)
        self.metrics.version.set_function(lambda: self.version)
        self._servers["inbound"].refuse = self._hops.refuse
        outbound = self._servers["outbound"]
        outbound.refuse = self.origin.refuse_for_memory
        outbound.may_overlap = self.origin.may_overlap
        outbound.expect_answer_bytes = self.origin.expect_answer_bytes
        outbound.held.limit_bytes = HELD_MEMORY_RATIO * self.settings.memory_bytes
        outbound.held.limit_requests = choose_max_overlapping(
            self.settings.memory_bytes, self.settings.max_sockets
        )
        self.metrics.held_bytes.set_function(lambda: outbound.held.used_bytes)
        self.metrics.received_bytes.set_function(lambda: received.used_bytes)
        self.metrics.overlapping.set_function(lambda: outbound.overlapping_count)
        self.metrics.peers.set_function(lambda: len(self.upstreams.peers))
        self.log.change(
            "started",
            incarnation=self.incarnation,
            **{name: f"{a.host}:{a.port}" for name, a in opened.items()},
        )

    def put_configuration(self, document: bytes, source: str) -> None:
        """Put a published configuration in force if it is newer than the current one.

        Args:
            document: The configuration as published.
            source: Where it comes from, for the log.
        """
        configuration = self._read_configuration(document)
        if configuration is None:
            self.metrics.count_ignored("configuration")
            self.log.change("configuration_ignored", source=source, bytes=len(document))
            return
        if configuration.version <= self.version:
            return
        old_version = self.version
        self.origin.apply_configuration(configuration)
        self.upstreams.calls.clear()
        directory = configuration.organisations
        self.quotas.apply_quotas({} if directory is None else directory.quotas)
        self.log.change(
            "configuration_in_force",
            version=configuration.version,
            old_version=old_version,
            source=source,
            routes=sum(len(routes) for routes in configuration.routes.values()),
        )
        self.record_fanout.note_version()
        self._resume_target()
        self._target_check.start_if_needed()

    def put_record(self, name: str, value: bytes | None) -> None:
        """Process the published record of a node.

        Args:
            name: Name of the node.
            value: The record in its published form; None if the node has left.
        """
        if name == QUARANTINE_RECORD:
            if value is not None:
                self.quarantine.apply_news(value)
            return
        self._unconfirmed.pop(name, None)
        if name == self.settings.name:
            self.own_record.handle_stored_record(value)
            if self._restore_leaving():
                self._publish_own_record()
            self._resume_target()
            return
        if value is None:
            self._remove_peer(name)
            return
        record = decode_record(value)
        if record is None or record.name != name:
            self.metrics.count_ignored("record")
            self.log.change("record_ignored", peer=name, bytes=len(value))
            return
        is_changed = self.upstreams.put(record)
        if record.is_leave_only:
            self._remove_peer(name)
        elif is_changed:
            self.log.change(
                "peer_heard",
                peer=name,
                incarnation=record.incarnation,
                target_id=record.target_id,
                is_available=record.is_available,
            )

    def _remove_peer(self, name: str) -> None:
        if self.upstreams.remove(name):
            self.log.change("peer_left", peer=name)

    def put_restored_record(self, name: str, value: bytes | None) -> None:
        """Process a record of a store that came back from an older copy.

        What is known of a node may be newer, so the node itself is asked first.
        """
        known = self.upstreams.peers.get(name)
        if name == self.settings.name or known is None or value is None:
            self.put_record(name, value)
        elif decode_record(value) != known:
            self._unconfirmed[name] = value
            self.peer_prober.ask(known, partial(self._believe_store, name))

    def put_record_names(self, names: set[str]) -> None:
        """Compare the known nodes with the names of all published records.

        After a grace period, nodes without a record are removed if they don't answer:
        a store that came back from an older copy has lost the records written since.
        """
        if self.settings.name not in names:
            self.own_record.publish_again()
        self._leaves.ask()
        known = {record.name for record in self.upstreams.peers.records()}
        missing = known - names - {self.settings.name}
        self._unconfirmed |= dict.fromkeys(missing)
        if missing:
            self._tasks.spawn(self._remove_missing_peers(missing))

    def apply_heartbeat(self, heartbeat: Announcement) -> HeartbeatResult:
        """Apply a heartbeat of this node's target."""
        own = self.own_target
        was_leaving = own.is_leaving
        is_first_word = own.announcement is None or own.is_unchecked
        result = own.apply_heartbeat(heartbeat)
        if result is HeartbeatResult.NEW:
            if not was_leaving:
                self.target_side.note_new_start()
            self.target_side.reset_admission(heartbeat.slots)
            self._restore_leaving()
            if is_first_word and not own.is_leaving:
                own.require_check()
            else:
                own.end_check()
        is_changed = result in (HeartbeatResult.NEW, HeartbeatResult.CHANGED)
        if is_changed and not own.is_unchecked:
            self._publish_own_record()
        self._target_check.start_if_needed()
        if result is not HeartbeatResult.UNCHANGED:
            self.log.change(
                "target_reported",
                report=result.value,
                target_id=heartbeat.target_id,
                born_ms=heartbeat.born_ms,
                sequence=heartbeat.sequence,
                state=heartbeat.state.value,
                cold_left_s=heartbeat.cold_left_s,
            )
        return result

    def resume_target(self, announcement: Announcement) -> None:
        """Use a target that is known to serve, before its next heartbeat."""
        self.own_target.resume(announcement)
        self.target_side.reset_admission(announcement.slots)
        self._publish_own_record()

    def _restore_leaving(self) -> bool:
        """Exclude a target that left before this node started; return if it is new."""
        own = self.own_target
        if own.announcement is None or own.is_leaving:
            return False
        if not self.own_record.has_left(own.start_key):
            return False
        return own.mark_leaving(own.target_id)

    def mark_target_left(self, target_id: str, born_ms: int | None = None) -> bool:
        """Mark a target as leaving; return False if it is not the current target."""
        is_own = self.own_target.mark_leaving(target_id, born_ms)
        if is_own:
            self._publish_own_record()
        self.log.change(
            "target_left", target_id=target_id, born_ms=born_ms, is_own=is_own
        )
        return is_own

    async def spread_leave(self) -> None:
        """Wait until a leave of the target is known outside of this process."""
        if self.own_target.is_leaving:
            await self._leaves.spread(
                self.own_record.build(), self.own_record.wait_until_stored
            )

    def describe(self) -> dict:
        """Return the configuration in force, the target and the known upstreams."""
        return {
            "node": self.settings.name,
            "incarnation": self.incarnation,
            "is_ready": self.is_ready,
            "in_force": describe_configuration(self.origin.configuration),
            "target": describe_admission(self.own_target, self.target_side.admission),
            "upstreams": describe_peers(self.upstreams.peers),
        }

    async def stop(self) -> None:
        """Stop gracefully, without cutting off a running request.

        In steps, the node reports that it is not ready, accepts no more hops and
        refuses new requests of clients. It ends when no request is open, at the latest
        shortly before the platform kills the process. Requests that arrive meanwhile
        have time until then only, so that their target ends the work and answers, or
        that they are refused if it is known to take longer.
        """
        start_s = self._clock.monotonic_s()
        end_s = start_s + self.settings.grace_s - KILL_MARGIN_S
        self.origin.latest_deadline_s = end_s - LAST_ANSWER_S
        self.target_side.latest_deadline_s = end_s - LAST_ANSWER_S
        self.is_stopping = True
        self.log.change("stopping", in_flight=self.count_open_requests())
        self.record_fanout.stop()
        self.quotas.stop()
        for server in self._servers.values():
            server.announce_close()
        idle_polls = 0
        while idle_polls < IDLE_POLLS:
            await asyncio.sleep(STOP_POLL_S)
            elapsed_s = self._clock.monotonic_s() - start_s
            if elapsed_s > HANDOVER_DELAY_S and not self.target_side.is_stopping:
                await self._hand_over()
            refuse_after_s = min(
                REFUSE_REQUESTS_AFTER_S,
                REFUSE_REQUESTS_AFTER_RATIO * self.settings.grace_s,
            )
            self.origin.is_closing = elapsed_s > refuse_after_s
            if start_s + elapsed_s > end_s:
                break
            is_idle = elapsed_s > MIN_STOP_S and not self.count_open_requests()
            idle_polls = idle_polls + 1 if is_idle else 0
        for server in self._servers.values():
            server.stop_accepting()
        self._account_log.write()
        self.log.change("stopped", in_flight=self.count_open_requests())

    async def _hand_over(self) -> None:
        """Accept no more hops, and leave the target to the next incarnation."""
        self.target_side.is_stopping = True
        if self.own_target.is_leaving:
            is_running = await self.target_side.accepts_connections()
            self.own_record.is_target_running = is_running
        self._publish_own_record()

    async def close(self) -> None:
        """Cancel all tasks and close all listeners and connections."""
        self._tasks.cancel()
        self._account_log.write()
        self.messenger.tasks.cancel()
        self.target_side.close()
        for server in self._servers.values():
            server.close()

    def count_open_requests(self) -> int:
        """Return the number of open requests, hops and unsent answers.

        All requests that one listener is still receiving count as one, and nodes that
        wait for news of the store don't count.
        """
        servers = [self._servers[name] for name in ("outbound", "inbound")]
        open_answers = sum(
            len(s.tasks) + s.has_unsent + s.is_receiving for s in servers
        )
        open_answers -= self.record_fanout.waiting_count
        return open_answers + len(self.target_side.detached_runs)

    def count_open_connections(self) -> dict[str, int]:
        """Return the number of open connections, by listener or kind of peer."""
        accepted = {name: len(s.connections) for name, s in self._servers.items()}
        opened = {name: client.open_count for name, client in self._clients.items()}
        return accepted | opened

    def _publish_own_record(self) -> None:
        record = self.own_record.publish()
        self.upstreams.put(record)
        self._leaves.tell(record)

    def _start_reading(self) -> None:
        """Read the store at once, as other nodes now rely on it."""
        self.log.change("reader_started")
        self.records_progress.request_read()
        self.configuration_progress.request_read()

    def _put_leaving_record(self, name: str, value: bytes) -> None:
        """Process the record of a node that says itself that its target leaves.

        The node is asked for its next target, which it may be unable to publish.
        """
        self.put_record(name, value)
        self.peer_prober.refresh_record(name)

    def _handle_left_start(self, start_key: str) -> None:
        """Exclude a start of the own target that has left, as other nodes know."""
        self.own_record.note_left(start_key)
        if self._restore_leaving():
            self._publish_own_record()

    def _resume_target(self) -> None:
        """Resume the target of the previous incarnation if it still answers."""
        health_path = self._find_health_path()
        if health_path is None or self.own_target.announcement is not None:
            return
        previous = self.own_record.pop_resumable_target()
        if previous is not None:
            self._tasks.spawn(self._resume_if_serving(previous, health_path))

    async def _resume_if_serving(
        self, previous: Announcement, health_path: str
    ) -> None:
        is_serving = await self.target_side.is_serving(health_path, previous.target_id)
        if self.own_target.announcement is not None:
            return
        self.log.change(
            "target_resumed" if is_serving else "target_not_resumed",
            target_id=previous.target_id,
            born_ms=previous.born_ms,
            slots=previous.slots,
        )
        if is_serving:
            self.resume_target(previous)
        else:
            self.own_record.withdraw()

    def _find_health_path(self) -> str | None:
        """Return the path of the target's health check; None while it is not known."""
        if self.origin.configuration is None:
            return None
        profile = self.origin.configuration.services.get(self.settings.service)
        return None if profile is None else profile.health_path

    def _format_inbound(self) -> str:
        """Return the address where this node accepts hops, as HOST:PORT."""
        return f"{self.addresses.inbound.host}:{self.addresses.inbound.port}"

    def _own_document(self) -> bytes:
        configuration = self.origin.configuration
        return b"" if configuration is None else configuration.document

    async def _remove_missing_peers(self, names: set[str]) -> None:
        await asyncio.sleep(MISSING_GRACE_S)
        for name in names & self._unconfirmed.keys():
            record = self.upstreams.peers.get(name)
            if record is not None:
                self.peer_prober.ask(record, partial(self._believe_store, name))

    def _believe_store(self, name: str) -> None:
        """Apply the store's record of a node that gave no answer.

        A record of the node that has arrived meanwhile is newer and stays.
        """
        if name in self._unconfirmed:
            self.put_record(name, self._unconfirmed[name])

    async def _answer_ready(self, incoming: Incoming) -> Answer:
        status = 200 if self.is_ready else 503
        body = msgspec.json.encode({"version": self.version})
        return Answer(Response(status, (), body))

    async def _answer_metrics(self, incoming: Incoming) -> Answer:
        if incoming.request.path == STATUS_PATH:
            return Answer(Response(200, _JSON, msgspec.json.encode(self.describe())))
        if incoming.request.path != METRICS_PATH:
            detail = f"use {METRICS_PATH} or {STATUS_PATH}"
            return Answer(build_refusal(self._names, ErrorKind.BAD_REQUEST, "", detail))
        body = self.metrics.render()
        return Answer(Response(200, (("Content-Type", METRICS_TYPE),), body))

    def _find_limits(self) -> Limits:
        """Return the limits on requests of clients."""
        configuration = self.origin.configuration
        return Limits() if configuration is None else configuration.limits

    def _find_peer_limits(self) -> Limits:
        """Return the limits on requests of nodes and of the platform.

        A head that another node passes on also has the context of the hop. A connection
        between nodes stays open as long as the other node needs it.
        """
        limits = self._find_limits()
        return Limits(
            limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes + MAX_HOP_HEADER_BYTES,
        )

    def _answer_crash(self) -> Response:
        self.metrics.count_refusal(ErrorKind.INTERNAL)
        return build_refusal(self._names, ErrorKind.INTERNAL, "")
