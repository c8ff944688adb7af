"""Tests of what a reader tells the nodes that rely on it."""

import asyncio
from datetime import timedelta

import msgspec
import pytest

from mimosaloom_mesh.messages import Request
from mimosaloom_model import ManualClock
from mimosaloom_relay import Batch, KeyedRecord, ReadProgress, StoreEra
from mimosaloom_relay.reader_messages import FollowReply, FollowRequest
from mimosaloom_relay.reader_role import ReaderRole
from mimosaloom_relay.record_fanout import RecordFanout, StoreProgress

ASKED = FollowRequest(1, 5, 3)


def build_fanout(clock, version=3):
    """Return a fan-out that has read era 1 up to offset 5."""
    role = ReaderRole("n1", "d", list, clock=clock)
    progress = StoreProgress(StoreEra(), ReadProgress(), ReadProgress())
    fanout = RecordFanout(role, progress, lambda: version, clock=clock)
    fanout.restart(Batch((), 5, 1))
    return fanout


def ask(fanout, asked, during=lambda: None):
    """Return the status and the reply to a request; `during` runs while it waits."""

    async def run():
        request = Request("POST", "/", (), msgspec.msgpack.encode(asked))
        asking = asyncio.ensure_future(fanout.handle(request))
        await asyncio.sleep(0.01)
        during()
        response = (await asking).response
        if response.status != 200:
            return response.status, None
        return 200, msgspec.msgpack.decode(response.body, type=FollowReply)

    return asyncio.run(run())


def test_paused_reader_says_how_old_its_knowledge_is():
    """Guards against a reader that is believed after a pause of some seconds."""
    clock = ManualClock()
    fanout = build_fanout(clock)
    fanout.note_records_answer()
    fanout.note_configuration_answer()
    clock.advance(timedelta(seconds=12))
    _, reply = ask(fanout, FollowRequest(1, 5, 2))
    assert reply.records_age_s == pytest.approx(12)
    assert reply.configuration_age_s == pytest.approx(12)


def test_reader_that_never_read_the_store_does_not_stay_believed():
    """Guards against a reader that is believed long after its start without a read.

    Its age counts from its start, so that it is believed for a moment all the same.
    """
    clock = ManualClock()
    fanout = build_fanout(clock)
    clock.advance(timedelta(seconds=60))
    _, reply = ask(fanout, FollowRequest(1, 5, 2))
    assert reply.configuration_age_s >= 60


def test_waiting_node_gets_a_record_as_soon_as_it_is_read():
    """Guards against news that wait for the end of the hold."""
    fanout = build_fanout(ManualClock())
    record = KeyedRecord("n7", b"1", 1, 5)
    _, reply = ask(fanout, ASKED, lambda: fanout.extend(Batch((record,), 6, 1)))
    assert (reply.records, reply.next_offset) == ([("n7", b"1")], 6)


def test_node_of_another_era_gets_no_records():
    """Guards against records of one history under the offsets of another."""
    fanout = build_fanout(ManualClock())
    fanout.restart(Batch((), 3, 2))
    _, reply = ask(fanout, ASKED)
    assert (reply.era, reply.records) == (2, None)


def test_stopping_reader_answers_waiting_nodes_and_refuses_others():
    """Guards against requests of nodes that keep a stopping process alive."""
    fanout = build_fanout(ManualClock())
    assert ask(fanout, ASKED, fanout.stop) == (503, None)
    assert ask(fanout, ASKED) == (503, None)


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01", b"\xff" * 2000])
def test_malformed_request_of_a_node_is_rejected(body):
    """Guards against one malformed message that ends a task of the node."""
    fanout = build_fanout(ManualClock())

    async def run():
        return await fanout.handle(Request("POST", "/", (), body))

    assert asyncio.run(run()).response.status == 400
