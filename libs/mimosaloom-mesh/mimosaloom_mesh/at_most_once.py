"""Runs the call of each key at most once in this process.

A key is a call id or an idempotency key.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from mimosaloom_model import Clock, ErrorKind, Failed, Outcome, Refused
from mimosaloom_policy import (
    Blocked,
    Conflict,
    Done,
    Join,
    NotAccepted,
    NotRun,
    Replay,
    ResolveState,
    Run,
    Running,
    RunTable,
    Stamp,
    Unknown,
)

from .resolution import UNKNOWN_STATE, StoredResult, encode_result

__all__ = ["AtMostOnceRunner"]


class AtMostOnceRunner:
    """Runs each call in a task, if the run table allows it to run.

    Args:
        table: Decides whether a key may run; see `RunTable`.
        clock: Source of time.
    """

    def __init__(self, table: RunTable, clock: Clock):
        self._table = table
        self._clock = clock
        self._tasks: dict[str, asyncio.Task] = {}
        self._waiters: Counter[str] = Counter()

    @property
    def tasks(self) -> list[asyncio.Task]:
        """Tasks of the runs in progress."""
        return list(self._tasks.values())

    async def run(
        self,
        key: str,
        digest: str,
        start: Callable[[], Awaitable[Outcome | None]],
        withdraw: Callable[[], None],
        *,
        stamp: Stamp | None,
        attempt: int,
    ) -> Outcome:
        """Run a call, or return the result of the run that already has its key.

        The run continues when the awaiting task is cancelled, so that its result can
        be queried over another connection.

        Args:
            key: Key of the call.
            digest: Digest of the request.
            start: Runs the call; returns None if the call was withdrawn.
            withdraw: Called when no task waits for the result any more; withdraws the
                call if no part of it has run.
            stamp: Stamp that the call carries.
            attempt: Number of the attempt.
        """
        now_s = self._clock.monotonic_s()
        match self._table.begin(key, digest, now_s, stamp, attempt):
            case Run():
                task = asyncio.ensure_future(self._run_to_end(key, start))
                self._tasks[key] = task
            case Join():
                task = self._tasks[key]
            case Replay(result):
                return result
            case decision:
                return _answer_without_run(decision)
        self._waiters[key] += 1
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A copy of the call on another connection may still be waiting.
            if self._waiters[key] == 1:
                withdraw()
            raise
        finally:
            self._waiters[key] -= 1
            if not self._waiters[key]:
                del self._waiters[key]

    def stamp(self) -> Stamp | None:
        """Return the current stamp, which new calls to this process carry."""
        return self._table.stamp(self._clock.monotonic_s())

    def resolve(self, key: str, stamp: Stamp | None) -> tuple[str, StoredResult | None]:
        """Return the state of a key, and the result if its run has ended.

        Args:
            key: Key of the call.
            stamp: Stamp that the queried attempt carried.
        """
        match self._table.resolve(key, self._clock.monotonic_s(), stamp):
            case Done(result):
                return ResolveState.DONE, encode_result(result)
            case NotRun():
                return ResolveState.NOT_RUN, None
            case Running():
                return ResolveState.RUNNING, None
            case Unknown():
                return UNKNOWN_STATE, None

    async def _run_to_end(
        self, key: str, start: Callable[[], Awaitable[Outcome | None]]
    ) -> Outcome:
        outcome: Outcome | None = Failed(ErrorKind.INTERNAL)
        try:
            outcome = await start()
        finally:
            self._tasks.pop(key, None)
            self._record_result(key, outcome)
        return outcome or Failed(ErrorKind.CANCELLED)

    def _record_result(self, key: str, outcome: Outcome | None) -> None:
        now_s = self._clock.monotonic_s()
        if outcome is None:
            # No part of the call ran, and a late copy must not run either.
            self._table.abandon(key)
            self._table.resolve(key, now_s, self.stamp())
        elif isinstance(outcome, Refused):
            self._table.abandon(key)
        else:
            self._table.finish(key, outcome, now_s)


def _answer_without_run(
    decision: Blocked | NotAccepted | Unknown | Conflict,
) -> Refused | Failed:
    """Return the outcome of an attempt that does not run here."""
    match decision:
        case Blocked():
            # The call never runs here. The caller sends it to another node only after
            # this is known.
            detail = "this attempt was already refused or resolved as not run"
            return Refused(ErrorKind.CONNECT_FAILED, detail)
        case NotAccepted():
            # The answer carries the current stamp, and another attempt may run.
            detail = "the attempt has no stamp, or the table of runs is full"
            return Refused(ErrorKind.TARGET_UNAVAILABLE, detail)
        case Unknown():
            detail = "the stamp of the call is too old or of another incarnation"
            return Failed(ErrorKind.OUTCOME_UNKNOWN, detail)
        case Conflict():
            return Refused(ErrorKind.KEY_CONFLICT)
