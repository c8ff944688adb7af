"""A node on the platform: its listeners, its parts and its life cycle."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from mimosaloom_mesh.messages import Response
from mimosaloom_model import Address, Clock, Kind

from .decision_log import DecisionLog
from .hop_messages import HeaderNames
from .hops import HopSender
from .http_client import Answer, HttpClient
from .http_server import Handler, Incoming, RelayServer
from .incoming_hops import IncomingHops
from .metrics import RelayMetrics
from .neighbours import Neighbours
from .origin import Origin
from .own_record import OwnRecord
from .own_target import Announcement, OwnTarget, Report
from .peers import decode_record
from .refusals import build_refusal
from .repeats import Repeats
from .routes import Configuration, Limits
from .settings import Listeners, RelaySettings
from .status import describe_admission, describe_configuration, describe_peers
from .target_side import TargetSide
from .upstreams import Upstreams

__all__ = ["RelayNode"]

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
_JSON = (("Content-Type", "application/json"),)
# Clients leave after two missed questions a second apart; until then they may still
# send, and each request that is on its way gets its answer.
MIN_STOP_S = 2.4
# Only this node reaches its target, which may well go on: it serves others until
# shortly before the end, so that restarts in turn take few targets out at once.
HANDOVER_S = 2.2
# Requests of clients that come later are refused, so that those which run end before
# the process does; clients still send where most nodes of a failure domain are out.
LAST_REQUEST_S = 3.0
LAST_REQUEST_RATIO = 0.5
# Before the platform kills the process.
STOP_MARGIN_S = 0.6
POLL_S = 0.05
# A node whose record is still missing this long after the store can be read is gone.
MISSING_GRACE_S = 2.0


class RelayNode:
    """One node.

    Args:
        settings: Settings of the node.
        names: Header names that callers and targets use.
        incarnation: Unique for this process.
        read_configuration: Reads a published configuration; None if it is not valid.
        answer_announcement: Answers the own target.
        clock: Source of time.
        rng: Source of ids and of choices.
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
        self._names = names
        self._read_configuration = read_configuration
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()
        self._missing: set[str] = set()
        self.own_target = OwnTarget(settings.service, settings.target)
        target_client = HttpClient(clock, lambda: metrics.count_connection("target"))
        hop_client = HttpClient(
            clock, lambda: metrics.count_connection("node"), detects_silence=True
        )
        self.target_side = TargetSide(
            self.own_target,
            incarnation,
            names,
            target_client,
            clock=clock,
            log=self.log,
            metrics=metrics,
        )
        self.target_side.on_unreachable = self._publish_self
        self.own_record = OwnRecord(
            settings,
            incarnation,
            self.own_target,
            inbound=lambda: self.addresses.inbound,
            has_handed_over=lambda: self.target_side.is_stopping,
        )
        self.upstreams = Upstreams(
            settings.name,
            settings.failure_domain,
            settings.service,
            clock=clock,
            rng=rng,
        )
        self.target_side.level_below = lambda class_name: (
            self.upstreams.calls.level_below(class_name, clock.monotonic_s())
        )
        self.target_side.missing_below = lambda class_name: (
            self.upstreams.calls.missing_below(class_name, clock.monotonic_s())
        )
        self.neighbours = Neighbours(
            settings.name,
            self.upstreams,
            hop_client,
            self.put_record,
            self.put_configuration,
            lambda: self.version,
            rng=rng,
            log=self.log,
        )
        repeats = Repeats(
            settings.repeat_bound,
            lambda: len(self.upstreams.peers),
            self.target_side.calls_done,
            clock=clock,
            metrics=metrics,
        )
        self.origin = Origin(
            settings.name,
            settings.service,
            lambda: f"{self.addresses.inbound.host}:{self.addresses.inbound.port}",
            names,
            self.upstreams,
            self.target_side,
            HopSender(names, hop_client, self.log, self.neighbours.lose),
            repeats,
            clock=clock,
            log=self.log,
            metrics=metrics,
        )
        self.origin.on_version_heard = lambda version, candidate: (
            self.neighbours.hear_version(
                version, Address(candidate.host, candidate.port)
            )
        )
        self.origin.on_record_outdated = self.neighbours.refresh
        self._hops = IncomingHops(
            names,
            self.target_side,
            own_record=self.own_record.build,
            records=self.upstreams.peers.records,
            own_version=lambda: self.version,
            own_document=self._own_document,
            on_version_heard=self._hear_version,
        )
        self._servers: dict[str, RelayServer] = {}

    @property
    def version(self) -> int:
        """Number of the configuration in force; 0 for none."""
        configuration = self.origin.configuration
        return 0 if configuration is None else configuration.version

    @property
    def is_ready(self) -> bool:
        """Whether clients may be sent here."""
        return (
            self.origin.configuration is not None
            and not self.is_stopping
            and not self.neighbours.is_isolated
        )

    async def start(self, answer_announcement: Handler) -> None:
        """Open the listeners."""
        handlers = {
            "outbound": self.origin.handle,
            "inbound": self._hops.handle,
            "ready": self._answer_ready,
            "announcements": answer_announcement,
            "metrics": self._answer_metrics,
        }
        opened = {}
        for name, handle in handlers.items():
            server = RelayServer(handle, self._answer_crash, self._max_body_bytes)
            self._servers[name] = server
            opened[name] = await server.listen(getattr(self.settings.listen, name))
        self.addresses = Listeners(**opened)
        self.metrics.ready.set_function(lambda: self.is_ready)
        self.metrics.version.set_function(lambda: self.version)
        self.metrics.peers.set_function(lambda: len(self.upstreams.peers))
        self.log.change(
            "started",
            incarnation=self.incarnation,
            **{name: f"{a.host}:{a.port}" for name, a in opened.items()},
        )

    def put_configuration(self, document: bytes, source: str) -> None:
        """Take in a published configuration; it is in force if it is newer."""
        configuration = self._read_configuration(document)
        if configuration is None:
            self.metrics.count_ignored("configuration")
            self.log.change("configuration_ignored", source=source, bytes=len(document))
            return
        if configuration.version <= self.version:
            return
        old_version = self.version
        self.origin.put_in_force(configuration)
        self.upstreams.calls.forget()
        self.log.change(
            "configuration_in_force",
            version=configuration.version,
            old_version=old_version,
            source=source,
            routes=sum(len(routes) for routes in configuration.routes.values()),
        )
        self._resume_target()

    def put_record(self, name: str, value: bytes | None) -> None:
        """Take in what a node has published; None if it has left."""
        self._missing.discard(name)
        if name == self.settings.name:
            self.own_record.hear(value)
            self._resume_target()
            return
        if value is None:
            if self.upstreams.remove(name):
                self.log.change("peer_left", peer=name)
            return
        record = decode_record(value)
        if record is None or record.name != name:
            self.metrics.count_ignored("record")
            self.log.change("record_ignored", peer=name, bytes=len(value))
            return
        if self.upstreams.put(record):
            self.log.change(
                "peer_heard",
                peer=name,
                incarnation=record.incarnation,
                target_id=record.target_id,
                is_available=record.is_available,
            )

    def put_record_names(self, names: set[str]) -> None:
        """Take in the names of all published records; others are gone soon."""
        known = {record.name for record in self.upstreams.peers.records()}
        missing = known - names - {self.settings.name}
        self._missing |= missing
        if missing:
            self._spawn(self._drop_missing(missing))

    def report(self, heard: Announcement) -> Report:
        """Take in a heartbeat of the own target."""
        report = self.own_target.report(heard)
        if report is Report.NEW:
            self.target_side.open_gate(heard.slots)
        if report in (Report.NEW, Report.CHANGED):
            self._publish_self()
        if report is not Report.UNCHANGED:
            self.log.change(
                "target_reported",
                report=report.value,
                target_id=heard.target_id,
                born_ms=heard.born_ms,
                sequence=heard.sequence,
                state=heard.state.value,
                cold_left_s=heard.cold_left_s,
            )
        return report

    def report_left(self, target_id: str, born_ms: int | None = None) -> bool:
        """Take in that the own target is gone; False if it is another one."""
        is_own = self.own_target.leave(target_id, born_ms)
        if is_own:
            self._publish_self()
        self.log.change("target_left", target_id=target_id, is_own=is_own)
        return is_own

    def describe(self) -> dict:
        """Return what is in force at this node, and what it knows."""
        return {
            "node": self.settings.name,
            "incarnation": self.incarnation,
            "is_ready": self.is_ready,
            "in_force": describe_configuration(self.origin.configuration),
            "target": describe_admission(self.own_target, self.target_side.admission),
            "upstreams": describe_peers(self.upstreams.peers),
        }

    async def stop(self) -> None:
        """Stop without cutting a request: take less and less, then end."""
        start_s = self._clock.monotonic_s()
        self.is_stopping = True
        self.log.change("stopping", in_flight=self._count_open())
        for server in self._servers.values():
            server.announce_close()
        while True:
            await asyncio.sleep(POLL_S)
            elapsed_s = self._clock.monotonic_s() - start_s
            if elapsed_s > HANDOVER_S and not self.target_side.is_stopping:
                self.target_side.is_stopping = True
                self._publish_self()
            last_s = min(LAST_REQUEST_S, LAST_REQUEST_RATIO * self.settings.grace_s)
            self.origin.is_closing = elapsed_s > last_s
            is_quiet = elapsed_s > MIN_STOP_S and not self._count_open()
            if is_quiet or elapsed_s > self.settings.grace_s - STOP_MARGIN_S:
                break
        for server in self._servers.values():
            server.stop_accepting()
        self.log.change("stopped", in_flight=self._count_open())

    async def close(self) -> None:
        """End at once and close all connections."""
        for task in self._tasks:
            task.cancel()
        self.neighbours.close()
        self.target_side.close()
        for server in self._servers.values():
            server.close()

    def _count_open(self) -> int:
        """Return the requests that still run on either side."""
        servers = [self._servers[name] for name in ("outbound", "inbound")]
        open_answers = sum(len(s.tasks) + s.has_unsent for s in servers)
        return open_answers + len(self.target_side.sendings)

    def _publish_self(self) -> None:
        self.upstreams.put(self.own_record.publish())

    def _resume_target(self) -> None:
        """Serve the target of the earlier incarnation again, if it still answers."""
        profile = None
        if self.origin.configuration is not None:
            services = self.origin.configuration.services
            profile = services.get(self.settings.service)
        if profile is None or self.own_target.announcement is not None:
            return
        known = self.own_record.take_resumable()
        if known is not None:
            self._spawn(self._resume_if_serving(known, profile.health_path))

    async def _resume_if_serving(self, known: Announcement, health_path: str) -> None:
        is_serving = await self.target_side.is_serving(health_path, known.target_id)
        if self.own_target.announcement is not None:
            return
        self.log.change(
            "target_resumed" if is_serving else "target_not_resumed",
            target_id=known.target_id,
            born_ms=known.born_ms,
            slots=known.slots,
        )
        if is_serving:
            self.own_target.resume(known)
            self.target_side.open_gate(known.slots)
            self._publish_self()
        else:
            self.own_record.withdraw()

    def _own_document(self) -> bytes:
        configuration = self.origin.configuration
        return b"" if configuration is None else configuration.document

    def _hear_version(self, version: int, origin: str) -> None:
        host, _, port = origin.rpartition(":")
        if host and port.isdecimal():
            self.neighbours.hear_version(version, Address(host, int(port)))

    async def _drop_missing(self, names: set[str]) -> None:
        await asyncio.sleep(MISSING_GRACE_S)
        for name in names & self._missing:
            self._missing.discard(name)
            self.put_record(name, None)

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_ready(self, incoming: Incoming) -> Answer:
        status = 200 if self.is_ready else 503
        body = msgspec.json.encode({"version": self.version})
        return Answer(Response(status, (), body))

    async def _answer_metrics(self, incoming: Incoming) -> Answer:
        if incoming.request.path == STATUS_PATH:
            return Answer(Response(200, _JSON, msgspec.json.encode(self.describe())))
        if incoming.request.path != METRICS_PATH:
            detail = f"use {METRICS_PATH} or {STATUS_PATH}"
            return Answer(build_refusal(self._names, Kind.BAD_REQUEST, "", detail))
        body = self.metrics.render()
        return Answer(Response(200, (("Content-Type", METRICS_TYPE),), body))

    def _max_body_bytes(self) -> int:
        configuration = self.origin.configuration
        limits = Limits() if configuration is None else configuration.limits
        return limits.max_body_bytes

    def _answer_crash(self) -> Response:
        self.metrics.count_refusal(Kind.INTERNAL)
        return build_refusal(self._names, Kind.INTERNAL, "")
