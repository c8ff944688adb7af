"""Reads records through a node that reads the store for others."""

from collections.abc import Callable

import msgspec

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import Address

from .decision_log import DecisionLog
from .peer_messenger import PeerMessenger
from .peers import PeerRecord
from .poll_timing import READER_RECORDS_POLL, PollTiming
from .reader_messages import (
    FOLLOW_PATH,
    FollowReply,
    FollowRequest,
    decode_message,
)
from .reader_role import ReaderRole
from .record_fanout import FOLLOW_WAIT_S, StoreProgress
from .store_records import Batch, KeyedRecord, OffsetExpired, ReadFailed, StoreReader

__all__ = ["SharedReads"]

REPLY_MARGIN_S = 0.4
# A node asks this many readers before it reads the store itself.
MAX_ASKED_READERS = 2
# A reader without an answer of the store for longer than its polls take, with some time
# for its next one, may be unable to read it.
MAX_RECORDS_AGE_S = READER_RECORDS_POLL.timeout_s + 1.0


class SharedReads:
    """Store whose records of nodes are read through a reader, where there is one.

    The newest records of each key, and all records if no reader gives a usable answer,
    come from the store itself. The replies also show whether there is a newer
    configuration, in case the own poll for it is lost.

    Args:
        store: The store.
        role: Tells the readers, and whether this node is one.
        progress: How far this node has read.
        recovery_s: Time in seconds within which a reader follows the configuration
            again after its poll was lost.
        messenger: Sends the requests.
        own_version: Returns the version of the configuration in force; 0 for none.
        on_version: Called with the version of a reader and its address.
        log: Receives the log lines of changes of the reader.
    """

    def __init__(
        self,
        store: StoreReader,
        role: ReaderRole,
        progress: StoreProgress,
        recovery_s: float,
        messenger: PeerMessenger,
        *,
        own_version: Callable[[], int],
        on_version: Callable[[int, Address], None],
        log: DecisionLog,
    ):
        self._store = store
        self._role = role
        self._progress = progress
        self._recovery_s = recovery_s
        self._messenger = messenger
        self._own_version = own_version
        self._on_version = on_version
        self._log = log
        self._reader_name = ""
        self._told_version = 0

    async def read_newest(self, topic: str) -> Batch | ReadFailed:
        """Return the newest record of each key, from the store."""
        return await self._store.read_newest(topic)

    async def read(
        self, topic: str, start: int, timing: PollTiming
    ) -> Batch | OffsetExpired | ReadFailed:
        """Return the records from an offset on; wait for one if there is none."""
        # A read that does not wait is one for records that other nodes have, and the
        # reader may be what is behind.
        if timing.wait_s and not self._role.is_reader:
            batch = await self._read_from_reader(start)
            if batch is not None:
                return batch
        return await self._store.read(topic, start, timing)

    async def _read_from_reader(self, start: int) -> Batch | None:
        """Return records that a reader has; None if the store has to be read."""
        failed = 0
        while failed < MAX_ASKED_READERS:
            readers = self._role.find_readers()
            if not readers:
                break
            reply = await self._ask(readers[0], start)
            if reply is None:
                failed += 1
                continue
            if reply.era != self._progress.records.era:
                return Batch((), start, reply.era)
            if reply.records is None:
                return None
            if reply.records:
                return _build_batch(start, reply)
        self._note_reader("")
        self._role.note_no_reader()
        return None

    async def _ask(self, reader: PeerRecord, start: int) -> FollowReply | None:
        """Return the reply of a reader; None if it has none or may be outdated."""
        era = self._progress.records.era
        # A version that this node has been told of is no more news, whether or not it
        # has fetched it yet.
        known_version = max(self._own_version(), self._told_version)
        asked = FollowRequest(era, start, known_version)
        request = Request("POST", FOLLOW_PATH, (), msgspec.msgpack.encode(asked))
        response = await self._messenger.send(
            reader.address, request, FOLLOW_WAIT_S + REPLY_MARGIN_S
        )
        reply = None
        if isinstance(response, Response) and response.status == 200:
            reply = decode_message(response.body, FollowReply)
        if reply is None or self._is_outdated(reply, era):
            self._role.note_failed(reader.name)
            self._log.change(
                "reader_failed",
                reader=reader.name,
                records_age_s=reply and round(reply.records_age_s, 3),
                configuration_age_s=reply and round(reply.configuration_age_s, 3),
            )
            return None
        self._note_reader(reader.name)
        self._progress.era.hint(reply.era)
        self._progress.configuration.hint(reply.era, reply.configuration_offset)
        if reply.version > self._own_version():
            self._told_version = reply.version
            self._on_version(reply.version, reader.address)
        return reply

    def _is_outdated(self, reply: FollowReply, era: int) -> bool:
        return (
            reply.era < era
            or reply.records_age_s > MAX_RECORDS_AGE_S
            or reply.configuration_age_s > self._recovery_s
        )

    def _note_reader(self, name: str) -> None:
        if name != self._reader_name:
            self._log.change(
                "reader_changed", reader=name, old_reader=self._reader_name
            )
            self._reader_name = name


def _build_batch(start: int, reply: FollowReply) -> Batch:
    records = tuple(
        KeyedRecord(key, value, reply.era, start + number)
        for number, (key, value) in enumerate(reply.records)
    )
    return Batch(records, start + len(records), reply.era)
