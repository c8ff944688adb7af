"""The connection from a node to its own target."""

import asyncio

import msgspec

from mimosaloom_model import (
    ANSWER_HEADER,
    ANSWERS,
    CONTEXT_HEADER,
    Answered,
    CallContext,
    ContextError,
    Failed,
    Kind,
    Outcome,
    Ran,
    Refused,
    decode_answer_note,
)

from .headers import RAN_HEADER, TIMEOUT_HEADER, forwarded_headers, write_context
from .hop import Execution
from .messages import Request, Response
from .transport import Broken, Endpoint, Transport

__all__ = ["CANCEL_PATH", "TargetLink"]

CANCEL_PATH = "/.target/cancel/"
CANCEL_TIMEOUT_S = 0.25
RETRY_AFTER_S = 1.0
FIRST_SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


class TargetLink:
    """Runs admitted calls on the target over HTTP.

    Args:
        url: Base URL of the target.
        transport: Sends requests.
        max_connections: Connections that the target accepts.
    """

    def __init__(self, url: str, transport: Transport, max_connections: int):
        url = url.rstrip("/")
        self._transport = transport
        self._endpoint = Endpoint("own target", url, max_connections)
        self._cancels = Endpoint("own target#cancel", url, max_connections)
        self._tasks: set[asyncio.Task] = set()

    async def execute(self, execution: Execution) -> Outcome:
        """Run a call on the target; it is cancelled there when its time is over."""
        context = execution.context
        timeout_s = execution.left.total_seconds()
        left_ms = int(1000 * timeout_s)
        handed_down = msgspec.structs.replace(context, remaining_ms=left_ms)
        headers = (
            *forwarded_headers(execution.request.headers),
            (CONTEXT_HEADER, write_context(handed_down, execution.request)),
            (TIMEOUT_HEADER, str(left_ms)),
        )
        try:
            response = await self._transport.send(
                self._endpoint,
                execution.request._replace(headers=headers),
                timeout_s=timeout_s,
                # On a reused connection libcurl may send the request twice.
                is_fresh=not execution.is_idempotent,
            )
        except asyncio.CancelledError:
            self._cancel(context.call_id)
            raise
        if isinstance(response, Broken):
            if response.kind is Kind.DEADLINE_EXCEEDED:
                self._cancel(context.call_id)
            return _read_broken(response)
        return _read_answer(response, context)

    async def stop(self) -> None:
        """Wait for the cancellations that are on their way."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _cancel(self, call_id: str) -> None:
        """Tell the target, at best effort, that a call is no longer wanted."""
        request = Request("POST", CANCEL_PATH + call_id)
        task = asyncio.ensure_future(
            self._transport.send(self._cancels, request, timeout_s=CANCEL_TIMEOUT_S)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _read_broken(broken: Broken) -> Outcome:
    if ANSWERS[broken.kind].ran is Ran.NO:
        return Refused(broken.kind, broken.detail, RETRY_AFTER_S)
    return Failed(broken.kind, broken.detail)


def _read_answer(response: Response, context: CallContext) -> Outcome:
    values = {name.lower(): value for name, value in response.headers}
    echoed = values.get(ANSWER_HEADER.lower())
    if echoed is not None and not _is_note_of(echoed, response, context):
        return Failed(Kind.ANSWER_MISMATCH, "the target answered another call")
    if response.status < FIRST_SERVER_ERROR:
        headers = forwarded_headers(response.headers)
        return Answered(response.status, headers, response.body)
    if values.get(RAN_HEADER.lower()) == Ran.NO:
        detail = f"the target refused the call with status {response.status}"
        return Refused(Kind.OVERLOADED, detail, RETRY_AFTER_S)
    detail = f"the target answered with status {response.status}"
    if response.status == GATEWAY_TIMEOUT:
        return Failed(Kind.DEADLINE_EXCEEDED, detail)
    return Failed(Kind.TARGET_FAILED, detail)


def _is_note_of(value: str, response: Response, context: CallContext) -> bool:
    try:
        note = decode_answer_note(value)
    except ContextError:
        return False
    is_same_call = note.call_id == context.call_id
    return is_same_call and note.length == len(response.body)
