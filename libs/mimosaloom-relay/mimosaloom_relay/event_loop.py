"""Event loop that polls the sockets less often while callbacks are ready."""

import asyncio
import selectors

__all__ = ["new_event_loop"]

# Rounds of ready callbacks that run in a row before the sockets are polled again.
MAX_SKIPPED_POLLS = 4


class _LazySelector(selectors.EpollSelector):
    """Selector that skips most polls that would not wait.

    The loop polls before each round of callbacks, even if callbacks are already ready.
    A request takes several such rounds, and each poll would cost a system call.
    """

    def __init__(self):
        super().__init__()
        self._skipped = 0

    def select(self, timeout=None):
        is_ready = timeout is not None and timeout <= 0
        if is_ready and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop for a node."""
    return asyncio.SelectorEventLoop(_LazySelector())
