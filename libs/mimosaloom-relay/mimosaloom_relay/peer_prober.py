"""Probes other nodes and fetches their records and configuration."""

import asyncio
import random
from collections.abc import Callable

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import Address
from mimosaloom_policy import Candidate

from .decision_log import DecisionLog
from .hop_messages import REQUESTER_HEADER, Requester, encode_header
from .incoming_hops import CONFIGURATION_PATH, NODES_PATH, SELF_PATH
from .isolation import Isolation
from .peer_messenger import PeerMessenger
from .peers import PeerRecord, decode_record, decode_records, encode_record
from .upstreams import Upstreams

__all__ = ["PeerProber"]

PROBE_MIN_DELAY_S = 0.2
PROBE_MAX_DELAY_S = 2.0
# All refreshes of one record together take about 15 s. A target that is unavailable for
# longer is found again through the store.
MAX_REFRESHES = 10
# Shorter than the connect timeout of the client, so that a node that gives no answer is
# distinguished from one that refuses the connection.
PROBE_TIMEOUT_S = 0.4
FETCH_TIMEOUT_S = 1.0
# When a node stops answering, up to this number of nodes are probed at once, to find
# out whether that node or this one is cut off.
MAX_CONCURRENT_PROBES = 8


class PeerProber:
    """Excludes nodes that can't be reached, and includes them when they answer again.

    Args:
        own_name: Name of this node.
        upstreams: Upstreams of all services.
        messenger: Sends the probes and queries.
        put_record: Called with the name and the encoded record of a node.
        put_configuration: Called with an encoded configuration and its source.
        own_version: Returns the version of the configuration in force; 0 for none.
        rng: Source of the random choice of nodes to probe.
        log: Receives the log lines of lost and regained nodes.

    Attributes:
        own_address: Returns the address where this node accepts hops, as HOST:PORT.
    """

    def __init__(
        self,
        own_name: str,
        upstreams: Upstreams,
        messenger: PeerMessenger,
        put_record: Callable[[str, bytes], None],
        put_configuration: Callable[[bytes, str], None],
        own_version: Callable[[], int],
        *,
        rng: random.Random,
        log: DecisionLog,
    ):
        self.own_address: Callable[[], str] = lambda: ""
        self._own_name = own_name
        self._upstreams = upstreams
        self._messenger = messenger
        self._put_record = put_record
        self._put_configuration = put_configuration
        self._own_version = own_version
        self._rng = rng
        self._log = log
        self._isolation = Isolation()
        self._fetching_version = 0
        self._probing: set[str] = set()
        self._refreshing: set[str] = set()
        self._asking = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

    @property
    def is_isolated(self) -> bool:
        """Whether this node appears to be cut off from the others."""
        return self._isolation.is_isolated(len(self._upstreams.peers) - 1)

    def mark_unreachable(self, candidate: Candidate) -> None:
        """Exclude a node that can't be reached, until it answers a probe."""
        if self._upstreams.mark_unreachable(candidate.name):
            self._log.change("peer_unreachable", peer=candidate.name)
            self._start_probing(candidate.name)

    def refresh_record(self, name: str) -> None:
        """Fetch the record of a node that takes no calls, until it takes them again.

        The store also publishes the record, but not while one of the two nodes can't
        reach the store.
        """
        if name != self._own_name and name not in self._refreshing:
            self._refreshing.add(name)
            self._messenger.tasks.spawn(self._refresh_until_available(name))

    def ask(self, record: PeerRecord, on_no_answer: Callable[[], None]) -> None:
        """Ask a node for its record, which may differ from the one in the store.

        Args:
            record: The record of the node that is known.
            on_no_answer: Called if the node does not answer with its record.
        """
        self._messenger.tasks.spawn(self._ask(record, on_no_answer))

    async def _ask(self, record: PeerRecord, on_no_answer: Callable[[], None]) -> None:
        async with self._asking:
            outcome = await self.fetch(record.address, SELF_PATH, PROBE_TIMEOUT_S)
        found = None
        if isinstance(outcome, Response) and outcome.status == 200:
            found = decode_record(outcome.body)
        if found is not None and found.name == record.name:
            self._put_record(record.name, outcome.body)
        else:
            on_no_answer()

    async def _refresh_until_available(self, name: str) -> None:
        delay_s = PROBE_MIN_DELAY_S
        try:
            for _ in range(MAX_REFRESHES):
                record = self._upstreams.peers.get(name)
                if record is None:
                    return
                outcome = await self.fetch(record.address, SELF_PATH, PROBE_TIMEOUT_S)
                if isinstance(outcome, Response) and outcome.status == 200:
                    self._put_record(name, outcome.body)
                record = self._upstreams.peers.get(name)
                if record is None or record.is_available:
                    return
                await asyncio.sleep(delay_s)
                delay_s = min(PROBE_MAX_DELAY_S, 2 * delay_s)
        finally:
            self._refreshing.discard(name)

    def _start_probing(self, name: str) -> None:
        if name not in self._probing:
            self._probing.add(name)
            self._messenger.tasks.spawn(self._probe_until_reached(name))

    async def _probe_until_reached(self, name: str) -> None:
        delay_s = PROBE_MIN_DELAY_S
        try:
            while (record := self._upstreams.peers.get(name)) is not None:
                if await self._probe(record):
                    return
                await asyncio.sleep(delay_s)
                delay_s = min(PROBE_MAX_DELAY_S, 2 * delay_s)
        finally:
            self._isolation.record_reachable(name)
            self._probing.discard(name)

    async def _probe(self, record: PeerRecord) -> bool:
        """Fetch the record of a node; return whether it answered with one."""
        name = record.name
        was_isolated = self.is_isolated
        outcome = await self.fetch(record.address, SELF_PATH, PROBE_TIMEOUT_S)
        if outcome is None:
            if self._upstreams.mark_unreachable(name):
                self._log.change("peer_unreachable", peer=name)
            self._isolation.record_silent(name)
            self._probe_others()
        else:
            self._isolation.record_reachable(name)
        if was_isolated != self.is_isolated:
            self._log.change("isolation_changed", is_isolated=self.is_isolated)
        if isinstance(outcome, Response) and outcome.status == 200:
            self._put_record(name, outcome.body)
            if self._upstreams.peers.is_unreachable(name):
                self._upstreams.mark_reachable(name)
                self._log.change("peer_reachable", peer=name)
            found = self._upstreams.peers.get(name)
            if found is not None and not found.is_available:
                self.refresh_record(name)
            return True
        return False

    def _probe_others(self) -> None:
        """Probe further nodes after one gave no answer."""
        names = {record.name for record in self._upstreams.peers.records()}
        names -= {self._own_name, *self._probing}
        count = MAX_CONCURRENT_PROBES - len(self._probing)
        if count > 0 and names:
            for name in self._rng.sample(sorted(names), min(count, len(names))):
                self._start_probing(name)

    def fetch_if_newer(self, version: int, address: Address) -> None:
        """Fetch a configuration, once per version, if it is newer than that in force.

        Args:
            version: Version that the other node has.
            address: Address of that node.
        """
        if version > max(self._own_version(), self._fetching_version):
            self._fetching_version = version
            self._messenger.tasks.spawn(self._fetch_configuration(address))

    async def _fetch_configuration(self, address: Address) -> None:
        try:
            answer = await self.fetch(address, CONFIGURATION_PATH, FETCH_TIMEOUT_S)
            if isinstance(answer, Response) and answer.status == 200:
                source = f"node {address.host}:{address.port}"
                self._put_configuration(answer.body, source)
        finally:
            self._fetching_version = 0
        if len(self._upstreams.peers) < 2:
            # A node knows no other node only while it can't read the store.
            await self._fetch_nodes(address)

    async def _fetch_nodes(self, address: Address) -> None:
        answer = await self.fetch(address, NODES_PATH, FETCH_TIMEOUT_S)
        if not isinstance(answer, Response) or answer.status != 200:
            return
        for record in decode_records(answer.body):
            if self._upstreams.peers.get(record.name) is None:
                self._put_record(record.name, encode_record(record))

    async def fetch(
        self, address: Address, path: str, timeout_s: float
    ) -> Response | FailedSend | None:
        """Send a GET request to another node.

        It names the own version: a node that has started while the store is away has no
        configuration, and no other node sends it hops before it can check its target.

        Returns:
            The response; `FailedSend` if the connection failed; None after the timeout.
        """
        requester = Requester(self.own_address(), self._own_version())
        headers = ((REQUESTER_HEADER, encode_header(requester)),)
        return await self._messenger.send(
            address, Request("GET", path, headers), timeout_s
        )
