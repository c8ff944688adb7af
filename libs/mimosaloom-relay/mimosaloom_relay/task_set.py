"""Tasks that run beside the one that starts them, until they end or are cancelled."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from .decision_log import DecisionLog

__all__ = ["TaskSet"]


class TaskSet:
    """Keeps a reference to each task, as the event loop does not.

    Args:
        log: Receives a line for each task that ends by an unexpected error.
    """

    def __init__(self, log: DecisionLog):
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine until it ends, or until `cancel`; return its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            name, error = task.get_coro().__qualname__, repr(task.exception())
            self._log.change("task_failed", task=name, error=error)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
