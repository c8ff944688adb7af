"""The store as each node of a soak reaches it, with faults for single nodes."""

import asyncio
from enum import StrEnum

from platform_adapter.store_standin import FakeStore, StoreCopy, build_store_application
from soak.machines import OWN_NETWORK, PROXY_NETWORK, STORE_PORT, Machine
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

__all__ = ["StoreFault", "StoreView"]

OWN_PREFIX = f'"127.{OWN_NETWORK}.'.encode()
PROXY_PREFIX = f'"127.{PROXY_NETWORK}.'.encode()
SLOW_S = 0.4


class StoreFault(StrEnum):
    """How the store treats the calls of a node.

    Attributes:
        NONE: It answers.
        BUSY: It answers 503.
        AWAY: It refuses connections and has reset the open ones.
        SLOW: It answers late.
        SILENT: It never answers the calls that it has or receives, on connections that
            stay open.
        LOSSY: It makes appends take effect and does not answer them.
    """

    NONE = "none"
    BUSY = "busy"
    AWAY = "away"
    SLOW = "slow"
    SILENT = "silent"
    LOSSY = "lossy"


class StoreView:
    """The store at the address where one node reaches it.

    Args:
        store: The store.
        machine: Machine of the node.
        has_links: Whether other nodes are named with the addresses of their proxies.

    Attributes:
        fault: How calls of the node are treated.
    """

    def __init__(self, store: FakeStore, machine: Machine, *, has_links: bool):
        self.fault = StoreFault.NONE
        self.calls: list[str] = []
        self._store = store
        self._machine = machine
        self._has_links = has_links
        self._server: HTTPServer | None = None
        self.lost_reads: set = set()
        self._waiting: set = set()
        self.garbled_page = store.garbled_page

    @property
    def era(self) -> int:
        """Era of the store."""
        return self._store.era

    @property
    def is_down(self) -> bool:
        """Whether calls get 503."""
        return self.fault is StoreFault.BUSY

    @property
    def is_silent(self) -> bool:
        """Whether calls get no answer."""
        return self.fault is StoreFault.SILENT

    @property
    def loses_answers(self) -> bool:
        """Whether appends get no answer."""
        return self.fault is StoreFault.LOSSY

    @property
    def answer_delay_s(self) -> float:
        """How long each answer takes; here, `wait_for_record` waits instead."""
        return 0.0

    @property
    def first_offsets(self) -> dict[str, int]:
        """First offset that is retained, by topic."""
        return self._store.first_offsets

    @property
    def topics(self) -> dict[str, list[tuple[str, bytes]]]:
        """Records by topic, as this node sees them."""
        return {
            topic: [(key, self._translate(key, value)) for key, value in records]
            for topic, records in self._store.topics.items()
        }

    def open(self) -> None:
        """Start to serve."""
        self.fault = StoreFault.NONE
        self.lost_reads.clear()
        self._server = HTTPServer(build_store_application(self))
        self._server.add_sockets(bind_sockets(STORE_PORT, self._machine.proxy_host))

    async def close(self) -> None:
        """Refuse connections and reset the open ones."""
        self.fault = StoreFault.AWAY
        if self._server is not None:
            server, self._server = self._server, None
            server.stop()
            await server.close_all_connections()

    def note_connection(self, connection: object) -> bool:
        """Return whether a connection is silent; here, none is."""
        return False

    def start_fault(self, fault: StoreFault) -> None:
        """Treat the calls of the node in another way, also those that wait now."""
        self.fault = fault
        if fault is StoreFault.SILENT:
            self.lost_reads |= self._waiting

    def lose_open_reads(self, topic: str) -> None:
        """Never answer the reads of a topic that wait now; other calls are answered."""
        self.lost_reads |= {
            handler
            for handler in self._waiting
            if handler.get_query_argument("topic") == topic
        }

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record."""
        return self._store.put(topic, key, value)

    def newest_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key, as this node sees it."""
        found = self._store.newest_values(topic)
        return {key: self._translate(key, value) for key, value in found.items()}

    def newest_offset(self, topic: str, key: str) -> int:
        """Return the offset of the newest record of a key."""
        return self._store.newest_offset(topic, key)

    def has_offset(self, topic: str, offset: int) -> bool:
        """Return whether a read may start at an offset."""
        return self._store.has_offset(topic, offset)

    async def wait_for_record(self, topic: str, offset: int, handler) -> None:
        """Wait until there is a record at an offset."""
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_S)
        self._waiting.add(handler)
        try:
            await self._store.wait_for_record(topic, offset, handler)
        finally:
            self._waiting.discard(handler)

    def _translate(self, key: str, value: bytes) -> bytes:
        if key == self._machine.name or not self._has_links:
            return value
        return value.replace(OWN_PREFIX, PROXY_PREFIX)


class CopyKeeper:
    """Keeps copies of the store, from which it is restored.

    Args:
        store: The store.
    """

    INTERVAL_S = 0.4
    COUNT = 12

    def __init__(self, store: FakeStore):
        self._store = store
        self.copies: list[StoreCopy] = []

    async def run(self) -> None:
        """Take copies until cancelled."""
        while True:
            self.copies = [*self.copies[1 - self.COUNT :], self._store.take_copy()]
            await asyncio.sleep(self.INTERVAL_S)
