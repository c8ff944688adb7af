"""Stand-in for the platform's store that speaks the published protocol."""

import asyncio
import base64
import contextlib
import struct
from typing import NamedTuple

from tornado.web import Application, RequestHandler

__all__ = ["FakeStore", "StoreCopy", "build_store_application"]

Topics = dict[str, list[tuple[str, bytes]]]


class StoreCopy(NamedTuple):
    """Records of a store at one moment.

    Attributes:
        topics: Records of each topic.
        first_offsets: First offset that is retained, by topic.
    """

    topics: Topics
    first_offsets: dict[str, int]


class FakeStore:
    """In-memory store with keyed topics, whose faults a test sets.

    Attributes:
        topics: Records of each topic, as pairs of key and value in the order of their
            offsets.
        first_offsets: First offset that is retained, by topic.
        is_down: Whether the store answers 503 to all calls.
        is_silent: Whether the store never answers the calls that it receives, on
            connections that stay open.
        lost_reads: Reads that are never answered.
        silent_connections: Connections on which no further call is answered.
        answer_delay_s: How long each answer takes, in seconds.
        loses_answers: Whether the store closes the connection after an append without
            an answer.
        era: Number in all answers; each restore from a copy raises it by one.
        calls: Paths of the calls that the store has received.
        garbled_page: Bytes in place of each page of newest records; empty for none.
    """

    def __init__(self):
        self.topics: Topics = {}
        self.first_offsets: dict[str, int] = {}
        self.is_down = False
        self.is_silent = False
        self.lost_reads: set[RequestHandler] = set()
        self.silent_connections: set[object] = set()
        self._connections: set[object] = set()
        self.answer_delay_s = 0.0
        self.loses_answers = False
        self.era = 1
        self.calls: list[str] = []
        self.garbled_page = b""
        self._changed = asyncio.Event()
        self._waiting_reads: set[RequestHandler] = set()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record; return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def drop_history(self, topic: str) -> None:
        """Delete the history of a topic, but not the newest record of each key."""
        self.first_offsets[topic] = len(self.topics.get(topic, []))

    def take_copy(self) -> StoreCopy:
        """Return a copy of all records, for `restore`."""
        topics = {topic: list(records) for topic, records in self.topics.items()}
        return StoreCopy(topics, dict(self.first_offsets))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later records are gone, and their offsets are reused.

        Reads that wait for a record stay open until `cut_reads`. Until then, the nodes
        notice nothing and records can be appended.
        """
        self.topics = {topic: list(records) for topic, records in copy.topics.items()}
        self.first_offsets = dict(copy.first_offsets)
        self.era += 1

    def cut_reads(self) -> None:
        """Close the connections of all reads that wait for a record."""
        for handler in list(self._waiting_reads):
            handler.request.connection.stream.close()

    def lose_open_reads(self) -> None:
        """Never answer the reads that wait now; their connections stay open."""
        self.lost_reads |= self._waiting_reads

    def lose_one_open_read(self, topic: str) -> None:
        """Never answer one of the reads of a topic that wait now."""
        waiting = (
            handler
            for handler in self._waiting_reads
            if handler.get_query_argument("topic") == topic
        )
        self.lost_reads.add(next(waiting))

    def has_waiting_reads(self, count: int) -> bool:
        """Whether at least this number of reads wait for a record."""
        return len(self._waiting_reads) >= count

    def count_waiting_reads(self, topic: str) -> int:
        """Return how many reads of a topic wait for a record."""
        topics = [h.get_query_argument("topic") for h in self._waiting_reads]
        return topics.count(topic)

    def note_connection(self, connection: object) -> bool:
        """Note a connection that a call came on; return whether it is silent."""
        self._connections.add(connection)
        return connection in self.silent_connections

    def silence_open_connections(self) -> None:
        """Answer nothing more on the connections of now; new ones work."""
        self.silent_connections |= self._connections
        self.lose_open_reads()

    def newest_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key, without the keys that were removed."""
        found = dict(self.topics.get(topic, []))
        return {key: value for key, value in found.items() if value}

    def newest_offset(self, topic: str, key: str) -> int:
        """Return the offset of the newest record of a key."""
        keys = [record[0] for record in self.topics[topic]]
        return len(keys) - 1 - keys[::-1].index(key)

    def has_offset(self, topic: str, offset: int) -> bool:
        """Return whether a read may start at an offset."""
        first = self.first_offsets.get(topic, 0)
        return first <= offset <= len(self.topics.get(topic, []))

    async def wait_for_record(self, topic: str, offset: int, handler) -> None:
        """Wait until there is a record at an offset; used by the handler of reads."""
        self._waiting_reads.add(handler)
        try:
            while len(self.topics.get(topic, [])) <= offset:
                await self._changed.wait()
        finally:
            self._waiting_reads.discard(handler)

    def build_application(self) -> Application:
        """Return the HTTP interface of the store."""
        return build_store_application(self)


def build_store_application(store) -> Application:
    """Return the HTTP interface of a store, or of a view of one."""
    routes = [
        ("/-/log-append", _AppendHandler),
        ("/-/log-read", _ReadHandler),
        ("/-/log-newest", _NewestHandler),
    ]
    return Application([(path, h, {"store": store}) for path, h in routes])


class _StoreHandler(RequestHandler):
    def initialize(self, store: FakeStore):
        self.store = store

    async def prepare(self):
        self.store.calls.append(self.request.path)
        await self.wait_if_lost()
        await asyncio.sleep(self.store.answer_delay_s)
        self._set_era()
        if self.store.is_down:
            self.set_status(503)
            self.finish()

    async def wait_if_lost(self) -> None:
        """Wait for ever if this call is never answered."""
        is_silent = self.store.note_connection(self.request.connection.stream)
        if is_silent or self.store.is_silent or self in self.store.lost_reads:
            await asyncio.Event().wait()

    def answer(self, body: bytes | dict) -> None:
        # The store may have been restored since the request arrived.
        self._set_era()
        self.write(body)

    def _set_era(self) -> None:
        self.set_header("Store-Era", str(self.store.era))


class _AppendHandler(_StoreHandler):
    def post(self):
        body, records = self.request.body, []
        while body:
            (length,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + content[0]
            records.append((content[1:key_end].decode(), content[key_end:]))
        topic = self.get_query_argument("topic")
        offsets = [self.store.put(topic, key, value) for key, value in records]
        if self.store.loses_answers:
            self.request.connection.close()
            return
        self.answer({"offset": offsets[0], "endOffset": offsets[-1] + 1})


class _ReadHandler(_StoreHandler):
    async def get(self):
        topic = self.get_query_argument("topic")
        start = int(self.get_query_argument("from"))
        wait_s = int(self.get_query_argument("waitMs", "0")) / 1000
        if self.store.has_offset(topic, start):
            waiting = self.store.wait_for_record(topic, start, self)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(waiting, wait_s)
            await self.wait_if_lost()
        first = self.store.first_offsets.get(topic, 0)
        if not self.store.has_offset(topic, start):
            self.set_status(410)
            self.answer({"first": first})
            return
        records = self.store.topics.get(topic, [])
        self.answer(struct.pack(">QQ", len(records), first))
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            self.write(struct.pack(">I", len(content)) + content)


class _NewestHandler(_StoreHandler):
    PAGE_SIZE = 2

    def get(self):
        if self.store.garbled_page:
            self.answer(self.store.garbled_page)
            return
        topic = self.get_query_argument("topic")
        after = self.get_query_argument("after", "")
        newest = sorted(self.store.newest_values(topic).items())
        remaining = [item for item in newest if item[0] > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": self.store.newest_offset(topic, key),
            }
            for key, value in remaining[: self.PAGE_SIZE]
        ]
        self.answer(
            {
                "items": items,
                "hasMore": len(remaining) > self.PAGE_SIZE,
                "endOffset": len(self.store.topics.get(topic, [])),
            }
        )
