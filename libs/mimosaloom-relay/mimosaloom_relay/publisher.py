"""Publishes the record of a node, with retries until the store accepts it."""

import asyncio
from collections.abc import Awaitable, Callable

from .decision_log import DecisionLog

__all__ = ["Publisher"]

Publish = Callable[[bytes | None], Awaitable[bool]]


class Publisher:
    """Writes the newest record of a node to the store; pending older ones are dropped.

    Args:
        publish: Writes a record, or removes it if None; returns False if the write has
            to be retried.
        next_delay_s: Returns the delay before a retry in seconds.
        reset_delay: Resets the delay after a success.
        log: Receives the log lines of lost and regained access to the store.
    """

    def __init__(
        self,
        publish: Publish,
        next_delay_s: Callable[[], float],
        reset_delay: Callable[[], None],
        log: DecisionLog,
    ):
        self._publish = publish
        self._next_delay_s = next_delay_s
        self._reset_delay = reset_delay
        self._log = log
        self._pending_record: bytes | None = None
        self._has_pending_record = asyncio.Event()
        self._is_stored = asyncio.Event()
        self._is_stored.set()

    def put(self, record: bytes | None) -> None:
        """Write a record, or remove it if None, as soon as the store accepts it."""
        self._pending_record = record
        self._has_pending_record.set()
        self._is_stored.clear()

    async def wait_until_stored(self) -> None:
        """Wait until the store has confirmed the newest record."""
        await self._is_stored.wait()

    async def run(self) -> None:
        """Write records until cancelled."""
        is_failing = False
        while True:
            await self._has_pending_record.wait()
            self._has_pending_record.clear()
            if await self._publish(self._pending_record):
                self._reset_delay()
                if not self._has_pending_record.is_set():
                    self._is_stored.set()
                if is_failing:
                    self._log.change("record_published_again")
                is_failing = False
                continue
            if not is_failing:
                self._log.change("record_not_published")
            is_failing = True
            self._has_pending_record.set()
            await asyncio.sleep(self._next_delay_s())
