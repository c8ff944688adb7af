"""Runs each keyed call at most once in this process."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from mimosaloom_model import Clock, Failed, Kind, Outcome, Refused
from mimosaloom_policy import (
    Blocked,
    Conflict,
    Done,
    Join,
    NotRun,
    Replay,
    ResolveState,
    Run,
    Running,
    RunTable,
    Stamp,
    Unknown,
)

from .resolution import UNKNOWN_STATE, StoredResult, store_result

__all__ = ["OnceRunner"]


class OnceRunner:
    """Ties the run table to the tasks that run.

    Args:
        table: Decides what a key may do.
        clock: Source of time.
    """

    def __init__(self, table: RunTable, clock: Clock):
        self._table = table
        self._clock = clock
        self._tasks: dict[str, asyncio.Task] = {}
        self._waiters: Counter[str] = Counter()

    @property
    def tasks(self) -> list[asyncio.Task]:
        """Return the runs in progress."""
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
        """Run a call, or join or repeat the result of the run with its key.

        The run goes on when the awaiting task is cancelled, so that its result can
        be asked for over another connection.

        Args:
            key: Key of the call.
            digest: Digest of what it sends.
            start: Runs the call; returns None if the call was withdrawn.
            withdraw: Called when nobody waits any longer; takes the call back if no
                part of it has run.
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
            case Blocked():
                # It never runs here, and goes elsewhere only after this is known.
                detail = "the call was given up before, or carries no stamp"
                return Refused(Kind.CONNECT_FAILED, detail)
            case Unknown():
                return Failed(Kind.OUTCOME_UNKNOWN, "the stamp of the call is too old")
            case Conflict():
                return Refused(Kind.KEY_CONFLICT)
        self._waiters[key] += 1
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A copy of the call on another connection may still wait.
            if self._waiters[key] == 1:
                withdraw()
            raise
        finally:
            self._waiters[key] -= 1
            if not self._waiters[key]:
                del self._waiters[key]

    def stamp(self) -> Stamp | None:
        """Return the stamp that calls to this process carry now."""
        return self._table.stamp(self._clock.monotonic_s())

    def resolve(self, key: str, stamp: Stamp | None) -> tuple[str, StoredResult | None]:
        """Return the state of a key and the result of a run that has ended.

        Args:
            key: Key of the call.
            stamp: Stamp that the attempt in question carried.
        """
        match self._table.resolve(key, self._clock.monotonic_s(), stamp):
            case Done(result):
                return ResolveState.DONE, store_result(result)
            case NotRun():
                return ResolveState.NOT_RUN, None
            case Running():
                return ResolveState.RUNNING, None
            case Unknown():
                return UNKNOWN_STATE, None

    async def _run_to_end(
        self, key: str, start: Callable[[], Awaitable[Outcome | None]]
    ) -> Outcome:
        outcome: Outcome | None = Failed(Kind.INTERNAL)
        try:
            outcome = await start()
        finally:
            self._tasks.pop(key, None)
            self._record(key, outcome)
        return outcome or Failed(Kind.CANCELLED)

    def _record(self, key: str, outcome: Outcome | None) -> None:
        now_s = self._clock.monotonic_s()
        if outcome is None:
            # Nothing ran, and a late copy must not run either.
            self._table.abandon(key)
            self._table.resolve(key, now_s, self.stamp())
        elif isinstance(outcome, Refused):
            self._table.abandon(key)
        else:
            self._table.finish(key, outcome, now_s)
