"""Watchdog for calls whose connection no longer delivers data."""

import asyncio
from collections.abc import Awaitable, Callable

from mimosaloom_model import ErrorKind, Failed, Outcome
from mimosaloom_policy import ResolveState

from .resolution import Resolved
from .transport import SendControl

__all__ = ["SilenceWatchdog"]

# Time without an answer after which the state of the call is queried over a new
# connection, so that a silent connection does not block a call until its deadline.
SILENCE_TIMEOUT_S = 1.0
# After the node reports "done", an answer in flight may still arrive for this long.
ANSWER_GRACE_S = 0.2


class SilenceWatchdog:
    """Queries the state of a call whose answer does not arrive in time.

    Once the call is no longer running, the request is aborted, as no answer is then
    expected on its connection.

    Args:
        query_state: Queries the state at the node over a new connection.
        control: Aborts the request.

    Attributes:
        early_outcome: Outcome from a query; None while the answer is still expected.
    """

    def __init__(
        self, query_state: Callable[[], Awaitable[Resolved]], control: SendControl
    ):
        self.early_outcome: Outcome | None = None
        self._query_state = query_state
        self._control = control
        self._poll_task: asyncio.Task | None = None
        loop = asyncio.get_running_loop()
        # A timer costs less than a task, and nearly all calls end before it expires.
        self._timer = loop.call_later(SILENCE_TIMEOUT_S, self._start_polling)

    def stop(self) -> None:
        """Stop the timer and the queries."""
        self._timer.cancel()
        if self._poll_task is not None:
            self._poll_task.cancel()

    def _start_polling(self) -> None:
        self._poll_task = asyncio.ensure_future(self._poll_state())

    async def _poll_state(self) -> None:
        resolved = await self._query_state()
        while resolved.state is ResolveState.RUNNING:
            await asyncio.sleep(SILENCE_TIMEOUT_S)
            resolved = await self._query_state()
        if resolved.state is ResolveState.DONE:
            await asyncio.sleep(ANSWER_GRACE_S)
            self.early_outcome = resolved.result
        else:
            # A node that does not respond or does not know the call will not send an
            # answer on this connection either.
            detail = f"no answer arrived; the state of the call is {resolved.state}"
            self.early_outcome = Failed(ErrorKind.CONNECTION_LOST, detail)
        self._control.abort()
