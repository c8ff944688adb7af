"""Asks other nodes: whether they can be reached, and what they know."""

import asyncio
import random
from collections.abc import Callable

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_mesh.transport import Broken
from mimosaloom_model import Address
from mimosaloom_policy import Candidate

from .decision_log import DecisionLog
from .http_client import HttpClient
from .incoming_hops import CONFIGURATION_PATH, NODES_PATH, SELF_PATH
from .isolation import Isolation
from .peers import PeerRecord, decode_records, encode_record
from .upstreams import Upstreams

__all__ = ["Neighbours"]

PROBE_FIRST_S = 0.2
PROBE_LONGEST_S = 2.0
# About 15 s; a target that is away for longer is announced by the store.
MAX_REFRESHES = 10
# Below the time for a connection, so that silence is told from a refusal.
PROBE_TIMEOUT_S = 0.4
FETCH_TIMEOUT_S = 1.0
# Nodes that are asked when one falls silent, to learn which side is cut off.
PROBED_AT_ONCE = 8


class Neighbours:
    """Leaves out nodes that are lost, and takes them in again when they answer.

    Args:
        own_name: Name of this node.
        upstreams: Upstreams of all services.
        client: Sends the questions.
        put_record: Takes in what a node says of itself.
        put_configuration: Takes in a configuration and where it comes from.
        own_version: Returns the number of the configuration in force; 0 for none.
        rng: Chooses whom to ask.
        log: Takes lost and regained nodes.
    """

    def __init__(
        self,
        own_name: str,
        upstreams: Upstreams,
        client: HttpClient,
        put_record: Callable[[str, bytes], None],
        put_configuration: Callable[[bytes, str], None],
        own_version: Callable[[], int],
        *,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._own_name = own_name
        self._upstreams = upstreams
        self._client = client
        self._put_record = put_record
        self._put_configuration = put_configuration
        self._own_version = own_version
        self._rng = rng
        self._log = log
        self._isolation = Isolation()
        self._fetching = 0
        self._probed: set[str] = set()
        self._refreshed: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_isolated(self) -> bool:
        """Whether this node seems to be the one that is cut off."""
        return self._isolation.is_isolated(len(self._upstreams.peers) - 1)

    def close(self) -> None:
        """Ask nobody any more."""
        for task in self._tasks:
            task.cancel()

    def lose(self, candidate: Candidate) -> None:
        """Leave a node out that can't be reached, until it answers a question."""
        if self._upstreams.mark_unreachable(candidate.name):
            self._log.change("peer_unreachable", peer=candidate.name)
            self._probe_soon(candidate.name)

    def refresh(self, candidate: Candidate) -> None:
        """Ask a node that takes no calls for its record, until it takes some again.

        The store tells the same, but not while it is away from either of the nodes.
        """
        name = candidate.name
        if name != self._own_name and name not in self._refreshed:
            self._refreshed.add(name)
            self._spawn(self._refresh_until_available(name))

    async def _refresh_until_available(self, name: str) -> None:
        delay_s = PROBE_FIRST_S
        try:
            for _ in range(MAX_REFRESHES):
                record = self._upstreams.peers.get(name)
                if record is None:
                    return
                outcome = await self.ask(record.address, SELF_PATH, PROBE_TIMEOUT_S)
                if isinstance(outcome, Response) and outcome.status == 200:
                    self._put_record(name, outcome.body)
                record = self._upstreams.peers.get(name)
                if record is None or record.is_available:
                    return
                await asyncio.sleep(delay_s)
                delay_s = min(PROBE_LONGEST_S, 2 * delay_s)
        finally:
            self._refreshed.discard(name)

    def _probe_soon(self, name: str) -> None:
        if name not in self._probed:
            self._probed.add(name)
            self._spawn(self._probe_until_reached(name))

    async def _probe_until_reached(self, name: str) -> None:
        delay_s = PROBE_FIRST_S
        try:
            while (record := self._upstreams.peers.get(name)) is not None:
                if await self._probe(record):
                    return
                await asyncio.sleep(delay_s)
                delay_s = min(PROBE_LONGEST_S, 2 * delay_s)
        finally:
            self._isolation.hear_sign(name)
            self._probed.discard(name)

    async def _probe(self, record: PeerRecord) -> bool:
        """Ask a node for its record; return whether it answered."""
        name = record.name
        was_isolated = self.is_isolated
        outcome = await self.ask(record.address, SELF_PATH, PROBE_TIMEOUT_S)
        if outcome is None:
            if self._upstreams.mark_unreachable(name):
                self._log.change("peer_unreachable", peer=name)
            self._isolation.hear_silence(name)
            self._probe_others()
        else:
            self._isolation.hear_sign(name)
        if was_isolated != self.is_isolated:
            self._log.change("isolation_changed", is_isolated=self.is_isolated)
        if isinstance(outcome, Response) and outcome.status == 200:
            self._put_record(name, outcome.body)
            if self._upstreams.peers.is_unreachable(name):
                self._upstreams.mark_reachable(name)
                self._log.change("peer_reachable", peer=name)
            return True
        return False

    def _probe_others(self) -> None:
        """Ask some more nodes, as soon as one has fallen silent."""
        names = {record.name for record in self._upstreams.peers.records()}
        names -= {self._own_name, *self._probed}
        count = PROBED_AT_ONCE - len(self._probed)
        if count > 0 and names:
            for name in self._rng.sample(sorted(names), min(count, len(names))):
                self._probe_soon(name)

    def hear_version(self, version: int, address: Address) -> None:
        """Ask a node for a newer configuration, once for each version."""
        if version > max(self._own_version(), self._fetching):
            self._fetching = version
            self._spawn(self._fetch_configuration(address))

    async def _fetch_configuration(self, address: Address) -> None:
        answer = await self.ask(address, CONFIGURATION_PATH, FETCH_TIMEOUT_S)
        if isinstance(answer, Response) and answer.status == 200:
            self._put_configuration(answer.body, f"node {address.host}:{address.port}")
        self._fetching = 0
        if len(self._upstreams.peers) < 2:
            # Only a node that can't read the store knows no other node.
            await self._fetch_nodes(address)

    async def _fetch_nodes(self, address: Address) -> None:
        answer = await self.ask(address, NODES_PATH, FETCH_TIMEOUT_S)
        if not isinstance(answer, Response) or answer.status != 200:
            return
        for record in decode_records(answer.body):
            if self._upstreams.peers.get(record.name) is None:
                self._put_record(record.name, encode_record(record))

    async def ask(
        self, address: Address, path: str, timeout_s: float
    ) -> Response | Broken | None:
        """Ask another node; return None if it gave no sign in time."""
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._client.send(
                    address, Request("GET", path), must_not_repeat=True
                )
        except TimeoutError:
            return None
        return outcome if isinstance(outcome, Broken) else outcome.response

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
