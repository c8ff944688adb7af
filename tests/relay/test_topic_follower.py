"""Tests of the follower of a topic, with a store that is a list of outcomes."""

import asyncio
import random

from mimosaloom_policy import Backoff
from mimosaloom_relay import (
    Batch,
    KeyedRecord,
    OffsetExpired,
    ReadFailed,
    StoreEra,
    TopicFollower,
    TopicHandlers,
)


class ScriptedStore:
    """Returns the outcomes of a test in turn; then it holds all reads.

    An outcome is given as a batch, which also tells the era, or as another result.
    """

    def __init__(self, era, newest, later):
        self.starts = []
        self._era = era
        self._newest = list(newest)
        self._later = list(later)

    async def read_newest(self, topic):
        """Return the next outcome of a read of the newest records."""
        self.starts.append("newest")
        return await self._answer(self._newest)

    async def read(self, topic, start, timing):
        """Return the next outcome of a read from an offset."""
        self.starts.append(start)
        return await self._answer(self._later)

    async def _answer(self, outcomes):
        if not outcomes:
            await asyncio.Event().wait()
        outcome = outcomes.pop(0)
        if isinstance(outcome, Batch):
            self._era.observe(outcome.era)
        return outcome


def batch(era, next_offset, *keys):
    """Return a batch with a record for each key."""
    return Batch(tuple(KeyedRecord(key, b"1") for key in keys), next_offset, era)


def follow(newest, later=(), disturb=lambda era: None):
    """Follow a topic until the store holds a read; disturb it then, and again follow.

    Returns:
        What was read, and the keys that were applied as (kind, key).
    """

    async def run():
        era = StoreEra()
        store = ScriptedStore(era, newest, later)
        applied = []
        handlers = TopicHandlers(
            apply=lambda record: applied.append(("new", record.key)),
            apply_restored=lambda record: applied.append(("restored", record.key)),
        )
        backoff = Backoff(random.Random(1), base_s=0.001, cap_s=0.001)
        follower = TopicFollower(store, era, "t", handlers, backoff=backoff)
        task = asyncio.ensure_future(follower.run())
        for step in (lambda era: None, disturb):
            step(era)
            for _ in range(20):
                await asyncio.sleep(0.001)
        task.cancel()
        return store.starts, applied

    return asyncio.run(run())


def test_records_of_another_era_are_not_applied_by_offset():
    """Guards against a position of the lost history in the history that follows it."""
    starts, applied = follow(
        [batch(1, 5, "a"), batch(2, 3, "b")], [batch(2, 6, "wrong")]
    )
    assert starts == ["newest", 5, "newest", 3]
    assert applied == [("new", "a"), ("restored", "b")]


def test_era_in_another_answer_ends_a_waiting_read():
    """Guards against waiting above records that an append has shown to be new."""
    starts, applied = follow(
        [batch(1, 5, "a"), batch(2, 9, "b")], [], lambda era: era.observe(2)
    )
    assert starts == ["newest", 5, "newest", 9]
    assert applied == [("new", "a"), ("restored", "b")]


def test_wrong_era_of_another_node_costs_one_read():
    """Guards against reading without end because one node names a wrong era."""

    def hint_often(era):
        for _ in range(3):
            era.hint(70)

    starts, applied = follow([batch(1, 5, "a"), batch(1, 5, "a")], [], hint_often)
    assert starts == ["newest", 5, "newest", 5]
    assert applied == [("new", "a"), ("new", "a")]


def test_late_answer_of_the_lost_era_is_not_used():
    """Guards against a position from an answer that was sent before the restore."""
    starts, applied = follow(
        [batch(2, 5, "a"), batch(1, 9, "old"), batch(2, 4, "b")],
        [ReadFailed("cut")],
    )
    assert starts == ["newest", 5, "newest", "newest", 4]
    assert applied == [("new", "a"), ("new", "b")]


def test_offset_that_is_gone_is_followed_by_the_newest_records():
    """Guards against asking for ever for an offset that the store does not have."""
    starts, applied = follow(
        [batch(1, 5, "a"), batch(1, 2, "b")], [OffsetExpired(5), batch(1, 3, "c")]
    )
    assert starts == ["newest", 5, "newest", 2, 3]
    assert applied == [("new", "a"), ("new", "b"), ("new", "c")]


def test_store_without_an_era_is_followed():
    """Guards against a follower that needs the era to read at all."""
    starts, applied = follow([batch(0, 1, "a")], [batch(0, 2, "b")])
    assert starts == ["newest", 1, 2]
    assert applied == [("new", "a"), ("new", "b")]


def test_read_that_was_open_during_a_failure_is_repeated():
    """Guards against waiting for a read that the store lost while it was away."""
    starts, applied = follow([batch(1, 5, "a")], [], lambda era: era.report_recovery())
    assert starts == ["newest", 5, 5]
    assert applied == [("new", "a")]


def test_recovery_is_reported_after_a_failed_read():
    """Guards against other readers that keep waiting for reads of before a failure."""
    recoveries = []

    def note_recoveries(era):
        recoveries.append(era.recoveries)

    follow([ReadFailed("silent"), batch(1, 5, "a")], [], note_recoveries)
    assert recoveries == [1]


def test_record_whose_handler_raises_does_not_end_the_following():
    """Guards against one record that keeps a node from each later change."""

    async def run():
        era = StoreEra()
        store = ScriptedStore(
            era, [batch(1, 5, "bad", "a")], [batch(1, 7, "bad", "b"), batch(1, 8, "c")]
        )
        applied, failed = [], []

        def apply(record):
            if record.key == "bad":
                raise OverflowError("a field is out of range")
            applied.append(record.key)

        handlers = TopicHandlers(
            apply, apply, report_failure=lambda key, error: failed.append(key)
        )
        backoff = Backoff(random.Random(1), base_s=0.001, cap_s=0.001)
        follower = TopicFollower(store, era, "t", handlers, backoff=backoff)
        task = asyncio.ensure_future(follower.run())
        for _ in range(20):
            await asyncio.sleep(0.001)
        assert not task.done()
        task.cancel()
        return applied, failed

    assert asyncio.run(run()) == (["a", "b", "c"], ["bad", "bad"])
