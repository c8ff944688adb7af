"""Passes on to other nodes what this node has read from the store.

With many nodes, most of them read through a few readers, so that neither the calls to
the store without changes nor those for each change grow with the number of nodes.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Clock

from .http_client import Answer
from .read_progress import ReadProgress
from .reader_messages import FollowReply, FollowRequest, decode_message
from .reader_role import ReaderRole
from .record_tail import RecordTail
from .store_era import StoreEra
from .store_records import Batch

__all__ = ["FOLLOW_WAIT_S", "RecordFanout", "StoreProgress"]

# How long a reader holds a request without news. It bounds the time until a node
# notices that its reader has stopped answering.
FOLLOW_WAIT_S = 0.8


class StoreProgress(NamedTuple):
    """How far this node has read the store.

    Attributes:
        era: Era of the store.
        records: Progress in the records of nodes.
        configuration: Progress in the configuration.
    """

    era: StoreEra
    records: ReadProgress
    configuration: ReadProgress


class RecordFanout:
    """Answers the nodes that read the store through this one.

    Args:
        role: Noted when another node asks, which makes this one a reader.
        progress: How far this node has read.
        own_version: Returns the version of the configuration in force; 0 for none.
        clock: Source of time.

    Attributes:
        waiting_count: Number of nodes that wait for news.
    """

    def __init__(
        self,
        role: ReaderRole,
        progress: StoreProgress,
        own_version: Callable[[], int],
        *,
        clock: Clock,
    ):
        self._role = role
        self._progress = progress
        self._own_version = own_version
        self._clock = clock
        self._tail = RecordTail()
        self.waiting_count = 0
        self._is_stopping = False
        self._has_news = asyncio.Event()
        start_s = clock.monotonic_s()
        self._records_answered_s = start_s
        self._configuration_answered_s = start_s

    def restart(self, batch: Batch) -> None:
        """Note a read of the newest record of each key."""
        self._tail.restart(batch.era or self._progress.era.number, batch.next_offset)
        self._notify()

    def extend(self, batch: Batch) -> None:
        """Note a read of the records that follow those of the last read."""
        self._tail.extend(batch)
        self._notify()

    def note_records_answer(self) -> None:
        """Note that the store has answered a read of records."""
        self._records_answered_s = self._clock.monotonic_s()

    def note_configuration_answer(self) -> None:
        """Note that the store has answered a read of the configuration."""
        self._configuration_answered_s = self._clock.monotonic_s()

    def note_version(self) -> None:
        """Note that a newer configuration is in force."""
        self._notify()

    def stop(self) -> None:
        """Answer the waiting nodes, and refuse others, as this node is stopping."""
        self._is_stopping = True
        self._notify()

    async def handle(self, request: Request) -> Answer:
        """Answer a node as soon as there is something that it does not know."""
        asked = decode_message(request.body, FollowRequest)
        if asked is None:
            return Answer(Response(400, ()))
        self._role.note_asked()
        self._progress.era.hint(asked.era)
        self._progress.records.hint(asked.era, asked.offset)
        self.waiting_count += 1
        try:
            async with asyncio.timeout(FOLLOW_WAIT_S):
                while not self._is_stopping and not self._has_news_for(asked):
                    await self._has_news.wait()
        except TimeoutError:
            pass
        finally:
            self.waiting_count -= 1
        if self._is_stopping:
            return Answer(Response(503, ()))
        return Answer(Response(200, (), self._encode_reply(asked)))

    def _has_news_for(self, asked: FollowRequest) -> bool:
        return (
            asked.era != self._tail.era
            or asked.offset < self._tail.end_offset
            or asked.version < self._own_version()
        )

    def _encode_reply(self, asked: FollowRequest) -> bytes:
        now_s = self._clock.monotonic_s()
        tail, records = self._tail, None
        if asked.era == tail.era:
            records = tail.read(asked.offset)
        reply = FollowReply(
            tail.era,
            None if records is None else [(r.key, r.value) for r in records],
            tail.end_offset,
            now_s - self._records_answered_s,
            self._own_version(),
            self._progress.configuration.offset_in(tail.era),
            now_s - self._configuration_answered_s,
        )
        return msgspec.msgpack.encode(reply)

    def _notify(self) -> None:
        news, self._has_news = self._has_news, asyncio.Event()
        news.set()
