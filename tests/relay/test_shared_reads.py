"""Tests of reads through another node, with readers that are scripted replies."""

import asyncio

import msgspec
import pytest

from mimosaloom_mesh.messages import Response
from mimosaloom_model import ManualClock
from mimosaloom_relay import (
    LONG_POLL,
    Batch,
    KeyedRecord,
    ReadProgress,
    SharedReads,
    StoreEra,
)
from mimosaloom_relay.peers import PeerRecord
from mimosaloom_relay.poll_timing import SHORT_POLL
from mimosaloom_relay.reader_messages import FollowReply, FollowRequest
from mimosaloom_relay.reader_role import ReaderRole
from mimosaloom_relay.record_fanout import StoreProgress

RECOVERY_S = 3.0
STORE_BATCH = Batch((KeyedRecord("store", b"1", 1, 7),), 8, 1)


class ScriptedReaders:
    """Messenger whose nodes give the replies of a test in turn.

    Attributes:
        asked: Requests that arrived, with the port of the node.
    """

    def __init__(self, replies):
        self.asked = []
        self._replies = list(replies)

    async def send(self, address, request, timeout_s):
        """Return the next reply."""
        self.asked.append(
            (address.port, msgspec.msgpack.decode(request.body, type=FollowRequest))
        )
        reply = self._replies.pop(0)
        if isinstance(reply, FollowReply):
            return Response(200, (), msgspec.msgpack.encode(reply))
        return reply


class DirectStore:
    """Store that counts the reads and returns one batch."""

    def __init__(self):
        self.reads = 0

    async def read_newest(self, topic):
        """Return the batch."""
        return STORE_BATCH

    async def read(self, topic, start, timing):
        """Return the batch."""
        self.reads += 1
        return STORE_BATCH


class SilentLog:
    """Log that keeps the types of its lines."""

    def __init__(self):
        self.lines = []

    def change(self, message_type, **fields):
        """Keep the type of a line."""
        self.lines.append(message_type)


def reply(records=(), *, era=1, next_offset=7, version=1, **ages):
    """Return a reply of a reader that the store has answered a moment ago."""
    return FollowReply(
        era,
        None if records is None else list(records),
        next_offset,
        ages.get("records_age_s", 0.1),
        version,
        3,
        ages.get("configuration_age_s", 0.1),
    )


NEWS = reply([("a", b"1"), ("b", None)], next_offset=9)


def read(replies, timing=LONG_POLL):
    """Read from offset 7 as a node that is not a reader.

    Returns:
        The outcome, the readers, the store, the role and the versions that the node was
        told of.
    """
    peers = [PeerRecord(f"n{n}", "h", n, "d", "s", "i", "t", 8, True) for n in range(8)]
    clock = ManualClock()
    roles = [ReaderRole(p.name, "d", lambda: peers, clock=clock) for p in peers]
    role = next(role for role in roles if not role.is_reader)
    readers, store, told = ScriptedReaders(replies), DirectStore(), []
    progress = StoreProgress(StoreEra(), ReadProgress(), ReadProgress())
    progress.records.advance(1, 7)
    progress.era.observe(1)
    shared = SharedReads(
        store,
        role,
        progress,
        RECOVERY_S,
        readers,
        own_version=lambda: 1,
        on_version=lambda version, address: told.append(version),
        log=SilentLog(),
    )
    outcome = asyncio.run(shared.read("t", 7, timing))
    return outcome, readers, store, role, told


def test_records_come_from_a_reader_without_a_call_to_the_store():
    """Guards against one call to the store for each node and change."""
    outcome, readers, store, _, _ = read([reply(), NEWS])
    assert outcome == Batch(
        (KeyedRecord("a", b"1", 1, 7), KeyedRecord("b", None, 1, 8)), 9, 1
    )
    assert [asked.offset for _, asked in readers.asked] == [7, 7]
    assert store.reads == 0


@pytest.mark.parametrize(
    "bad",
    [
        None,
        Response(503, ()),
        Response(200, (), b"\xc1 not a message"),
        reply(configuration_age_s=RECOVERY_S + 0.1),
        reply(records_age_s=60.0),
        reply(era=0),
    ],
)
def test_reader_without_a_usable_answer_is_replaced(bad):
    """Guards against a reader that is cut off, paused or can't reach the store."""
    outcome, readers, store, _, _ = read([bad, NEWS])
    assert outcome.next_offset == 9
    assert len({port for port, _ in readers.asked}) == 2
    assert store.reads == 0


def test_node_reads_the_store_when_readers_fail():
    """Guards against a node that knows nothing while all readers are killed."""
    outcome, _, store, role, _ = read([None, None])
    assert outcome == STORE_BATCH
    assert store.reads == 1
    assert role.is_reader


def test_records_that_a_reader_no_longer_holds_come_from_the_store():
    """Guards against a gap after a reader that has started later than this node."""
    outcome, _, _, role, _ = read([reply(None, next_offset=9)])
    assert outcome == STORE_BATCH
    assert not role.is_reader


def test_read_that_does_not_wait_goes_to_the_store():
    """Guards against asking the reader that is itself behind."""
    outcome, readers, _, _, _ = read([], SHORT_POLL)
    assert outcome == STORE_BATCH
    assert readers.asked == []


def test_later_era_of_a_reader_ends_the_read():
    """Guards against records of another history under the same offsets."""
    outcome, _, _, _, _ = read([reply([("x", b"1")], era=2, next_offset=8)])
    assert outcome == Batch((), 7, 2)


def test_newer_version_of_a_reader_is_fetched_and_then_known():
    """Guards against a lost poll for the configuration, and asking without a pause."""
    _, readers, _, _, told = read([reply(version=5), reply(version=5), NEWS])
    assert told[0] == 5
    assert [asked.version for _, asked in readers.asked] == [1, 5, 5]
