"""Follows a topic of the store, also over a return of the store to an older copy."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from mimosaloom_policy import Backoff

from .poll_timing import LONG_POLL, SHORT_POLL, PollTiming
from .read_progress import ReadProgress
from .store_era import StoreEra
from .store_records import Batch, KeyedRecord, OffsetExpired, ReadFailed, StoreReader

__all__ = ["TopicFollower", "TopicHandlers"]


# A read of the newest records without an answer for this long may be lost, and is
# repeated. With the delay after a failure, this is below the time after which a node is
# expected to follow a store that has recovered.
NEWEST_REPEAT_S = 1.5
# Reads of the newest records that wait for an answer at the same time.
MAX_NEWEST_READS = 4
# Other nodes read a record within this time of this one, also where reads are batched.
MAX_BEHIND_S = 1.0


class TopicHandlers(NamedTuple):
    """What is done with the records of a topic.

    Attributes:
        apply: Called with each record.
        apply_restored: Called in place of `apply` with the newest records of a store
            that came back from a copy; they may be older than what was applied before.
        apply_keys: Called with all keys of the topic each time that the newest record
            of each key has been applied.
        report_store_state: Called when the store becomes unreadable or readable again,
            with whether it can be read and, if not, the reason.
        report_newest_read: Called after each read of the newest records, with its
            result and why these were read.
        report_batch: Called after each read from an offset that returned records, with
            its result.
        report_answer: Called after each read that the store has answered.
        report_failure: Called with the key of a record that could not be applied, and
            the error. The records after it are applied all the same.
    """

    apply: Callable[[KeyedRecord], None]
    apply_restored: Callable[[KeyedRecord], None]
    apply_keys: Callable[[set[str]], None] = lambda keys: None
    report_store_state: Callable[[bool, str], None] = lambda is_readable, reason: None
    report_newest_read: Callable[[Batch, str], None] = lambda batch, reason: None
    report_batch: Callable[[Batch], None] = lambda batch: None
    report_answer: Callable[[], None] = lambda: None
    report_failure: Callable[[str, Exception], None] = lambda key, error: None


class _Position(NamedTuple):
    """Where the next read starts, which has a meaning only within one era.

    Attributes:
        offset: Offset of the next record.
        era: Era of the store in which the offset has a meaning.
        hints: Value of `StoreEra.hints` before the read that returned the era.
    """

    offset: int
    era: int
    hints: int


class TopicFollower:
    """Applies the records of a keyed topic: the newest of each key, then later ones.

    Args:
        store: The store.
        era: Era of the store, shared by all that read it.
        topic: The topic.
        handlers: What is done with the records.
        backoff: Delays between reads while the store can't be read.
        choose_batch_delay_s: Returns the delay in seconds before the next read after
            one of the newest records, or one that returned records. Records that are
            appended meanwhile arrive in one call.
        choose_timing: Returns the times of the next long poll.
        progress: How far this node and others have read the topic.
    """

    def __init__(
        self,
        store: StoreReader,
        era: StoreEra,
        topic: str,
        handlers: TopicHandlers,
        *,
        backoff: Backoff,
        choose_batch_delay_s: Callable[[], float] = lambda: 0.0,
        choose_timing: Callable[[], PollTiming] = lambda: LONG_POLL,
        progress: ReadProgress | None = None,
    ):
        self._store = store
        self._era = era
        self._topic = topic
        self._handlers = handlers
        self._backoff = backoff
        self._choose_batch_delay_s = choose_batch_delay_s
        self._choose_timing = choose_timing
        self._progress = ReadProgress() if progress is None else progress
        self._position: _Position | None = None
        self._applied_era = 0
        self._reason = "start"
        self._was_readable = True

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if self._position is None:
                await self._read_newest()
            else:
                await self._read_on(self._position)

    async def _read_newest(self) -> None:
        hints = self._era.hints
        outcome = await self._read_newest_in_time()
        self._report_state(outcome)
        if isinstance(outcome, ReadFailed):
            await self._retry(outcome.reason)
            return
        # An answer without an era belongs to the last one that is known.
        era = outcome.era or self._era.number
        if era < self._era.number:
            await self._retry(f"an answer of the lost era {era}")
            return
        self._backoff.reset()
        is_restored = self._applied_era not in (0, era)
        handlers = self._handlers
        apply = handlers.apply_restored if is_restored else handlers.apply
        for record in outcome.records:
            self._apply(record, apply)
        handlers.report_newest_read(outcome, self._reason)
        handlers.apply_keys({record.key for record in outcome.records})
        self._applied_era = era
        self._position = _Position(outcome.next_offset, era, hints)
        self._progress.advance(era, outcome.next_offset)
        await asyncio.sleep(self._choose_batch_delay_s())

    async def _read_newest_in_time(self) -> Batch | ReadFailed:
        """Return the outcome of the first read that ends, of several if need be.

        A lost answer can't be told from a late one: the next read begins in time for
        the first case, and does not give up the earlier ones, for the second.
        """
        reads: list[asyncio.Task] = []
        try:
            while True:
                read = asyncio.ensure_future(self._store.read_newest(self._topic))
                reads.append(read)
                done, _ = await asyncio.wait(
                    reads,
                    timeout=NEWEST_REPEAT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    return done.pop().result()
                self._report_state(ReadFailed(f"no answer for {NEWEST_REPEAT_S} s"))
                if len(reads) == MAX_NEWEST_READS:
                    reads.pop(0).cancel()
        finally:
            for read in reads:
                read.cancel()

    async def _read_on(self, position: _Position) -> None:
        outcome = await self._read_while_valid(position)
        if outcome is None:
            if not self._era.is_current(position.era, position.hints):
                self._start_again(f"the store has left era {position.era}")
            # Otherwise this read may be lost, and is repeated from the same offset.
            return
        self._report_state(outcome)
        match outcome:
            case Batch() if outcome.era not in (0, position.era):
                self._start_again(f"the store has left era {position.era}")
            case Batch():
                self._backoff.reset()
                for record in outcome.records:
                    self._apply(record, self._handlers.apply)
                self._position = position._replace(offset=outcome.next_offset)
                self._progress.advance(position.era, outcome.next_offset)
                if outcome.records:
                    self._handlers.report_batch(outcome)
                    await asyncio.sleep(self._choose_batch_delay_s())
                else:
                    self._progress.drop_hint()
            case OffsetExpired():
                self._start_again(f"offset {position.offset} is gone")
            case ReadFailed():
                # The store may have dropped history meanwhile, or a lagging replica may
                # have reported the end offset.
                await self._retry(outcome.reason)

    async def _read_while_valid(
        self, position: _Position
    ) -> Batch | OffsetExpired | ReadFailed | None:
        """Return the records from a position on.

        None if the era has ended, or if this read may be lost: the store has recovered
        from a failure, or other nodes have read further.
        """
        timing = SHORT_POLL if self._progress.is_behind else self._choose_timing()
        reading = asyncio.ensure_future(
            self._store.read(self._topic, position.offset, timing)
        )
        changing = asyncio.ensure_future(
            self._era.wait_for_change(
                position.era, position.hints, self._era.recoveries
            )
        )
        waits = {reading, changing}
        if timing is not SHORT_POLL:
            behind = self._progress.wait_until_behind(MAX_BEHIND_S)
            waits.add(asyncio.ensure_future(behind))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            return reading.result() if reading.done() else None
        finally:
            for task in waits:
                task.cancel()

    def _apply(self, record: KeyedRecord, apply: Callable[[KeyedRecord], None]) -> None:
        try:
            apply(record)
        except Exception as error:
            # Reading on is worth more than this record: the next may be a new version.
            self._handlers.report_failure(record.key, error)

    def _report_state(self, outcome: Batch | OffsetExpired | ReadFailed) -> None:
        is_readable = not isinstance(outcome, ReadFailed)
        if is_readable != self._was_readable:
            reason = "" if is_readable else outcome.reason
            self._handlers.report_store_state(is_readable, reason)
            self._was_readable = is_readable
            if is_readable:
                self._era.report_recovery()
        if is_readable:
            self._handlers.report_answer()

    def _start_again(self, reason: str) -> None:
        """Read the newest record of each key next, which is all that is needed."""
        self._reason = reason
        self._position = None

    async def _retry(self, reason: str) -> None:
        self._start_again(f"a read failed: {reason}")
        await asyncio.sleep(self._backoff.next_delay_s())
