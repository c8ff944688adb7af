"""Event loop with fewer system calls between the steps of one request."""

import asyncio
import selectors

__all__ = ["new_event_loop"]

# Steps that are taken one after the other before the sockets are looked at again.
MAX_SKIPPED_POLLS = 4


class _LazySelector(selectors.EpollSelector):
    """Leaves out polls that would not wait.

    The loop polls before each round of callbacks that are ready already; a request
    takes several such rounds, each of which would cost a system call.
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
    """Return the loop of a node."""
    return asyncio.SelectorEventLoop(_LazySelector())
