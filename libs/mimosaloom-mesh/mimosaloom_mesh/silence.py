"""Watch over a connection that may have gone silent."""

import asyncio
from collections.abc import Awaitable, Callable

from mimosaloom_model import Failed, Kind, Outcome
from mimosaloom_policy import ResolveState

from .resolution import Resolved
from .transport import SendControl

__all__ = ["Silence"]

# Time without an answer after which the state of the call is asked for over a new
# connection: a connection that went silent must not hold a call until its deadline.
SILENCE_BOUND_S = 1.0
# An answer that is on its way may still arrive after its node says "done".
ANSWER_GRACE_S = 0.2


class Silence:
    """Asks what became of a call while its answer does not arrive.

    Args:
        ask: Asks the node over a new connection.
        control: Ends the request when its answer is not waited for any longer.

    Attributes:
        early: Outcome learned by asking; None while the answer is waited for.
    """

    def __init__(self, ask: Callable[[], Awaitable[Resolved]], control: SendControl):
        self.early: Outcome | None = None
        self._ask = ask
        self._control = control
        self._task: asyncio.Task | None = None
        loop = asyncio.get_running_loop()
        # A timer, since nearly all calls end before it and a task costs more.
        self._timer = loop.call_later(SILENCE_BOUND_S, self._begin)

    def stop(self) -> None:
        """End the watch."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _begin(self) -> None:
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        resolved = await self._ask()
        while resolved.state is ResolveState.RUNNING:
            await asyncio.sleep(SILENCE_BOUND_S)
            resolved = await self._ask()
        if resolved.state is ResolveState.DONE:
            await asyncio.sleep(ANSWER_GRACE_S)
            self.early = resolved.result
        else:
            # A node that can't be asked, or knows nothing of the call, will not
            # answer it on this connection either.
            detail = f"no answer, and the node says {resolved.state}"
            self.early = Failed(Kind.CONNECTION_LOST, detail)
        self._control.abort()
