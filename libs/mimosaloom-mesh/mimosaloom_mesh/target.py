"""The connection from a node to its target."""

import asyncio

import msgspec

from mimosaloom_model import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    ERROR_ANSWERS,
    Answered,
    CallContext,
    ContextError,
    ErrorKind,
    Failed,
    Outcome,
    Ran,
    Refused,
    decode_answer_metadata,
)

from .headers import (
    RAN_HEADER,
    TIMEOUT_HEADER,
    encode_forwarded_context,
    forwarded_headers,
)
from .hop import Execution
from .messages import Request, Response
from .transport import Endpoint, FailedSend, Transport

__all__ = ["CANCEL_PATH", "TargetLink"]

CANCEL_PATH = "/.target/cancel/"
CANCEL_TIMEOUT_S = 0.25
RETRY_AFTER_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
GATEWAY_TIMEOUT_STATUS = 504


class TargetLink:
    """Runs admitted calls on the target over HTTP.

    Args:
        url: Base URL of the target.
        transport: Sends requests.
        max_connections: Largest number of connections to the target.
    """

    def __init__(self, url: str, transport: Transport, max_connections: int):
        url = url.rstrip("/")
        self._transport = transport
        self._endpoint = Endpoint("own target", url, max_connections)
        self._cancel_endpoint = Endpoint("own target#cancel", url, max_connections)
        self._cancel_tasks: set[asyncio.Task] = set()

    async def execute(self, execution: Execution) -> Outcome:
        """Run a call on the target; cancel it there when its deadline has passed."""
        context = execution.context
        timeout_s = execution.remaining.total_seconds()
        remaining_ms = int(1000 * timeout_s)
        target_context = msgspec.structs.replace(context, remaining_ms=remaining_ms)
        headers = (
            *forwarded_headers(execution.request.headers),
            (
                CONTEXT_HEADER,
                encode_forwarded_context(target_context, execution.request),
            ),
            (TIMEOUT_HEADER, str(remaining_ms)),
        )
        try:
            response = await self._transport.send(
                self._endpoint,
                execution.request._replace(headers=headers),
                timeout_s=timeout_s,
                # On a reused connection libcurl may resend the request by itself.
                use_new_connection=not execution.is_idempotent,
            )
        except asyncio.CancelledError:
            self._send_cancellation(context.call_id)
            raise
        if isinstance(response, FailedSend):
            if response.kind is ErrorKind.DEADLINE_EXCEEDED:
                self._send_cancellation(context.call_id)
            return _outcome_of_failed_send(response)
        return _decode_answer(response, context)

    async def stop(self) -> None:
        """Wait for the cancellations in flight."""
        while self._cancel_tasks:
            await asyncio.wait(self._cancel_tasks)

    def _send_cancellation(self, call_id: str) -> None:
        """Ask the target to cancel a call; a failure to do so is ignored."""
        request = Request("POST", CANCEL_PATH + call_id)
        task = asyncio.ensure_future(
            self._transport.send(
                self._cancel_endpoint, request, timeout_s=CANCEL_TIMEOUT_S
            )
        )
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)


def _outcome_of_failed_send(broken: FailedSend) -> Outcome:
    if ERROR_ANSWERS[broken.kind].ran is Ran.NO:
        return Refused(broken.kind, broken.detail, RETRY_AFTER_S)
    return Failed(broken.kind, broken.detail)


def _decode_answer(response: Response, context: CallContext) -> Outcome:
    values = {name.lower(): value for name, value in response.headers}
    echoed_metadata = values.get(ANSWER_HEADER.lower())
    if echoed_metadata is not None and not _is_metadata_for_call(
        echoed_metadata, response, context
    ):
        return Failed(
            ErrorKind.ANSWER_MISMATCH,
            "the Mimosaloom-Answer header of the target does not match the call",
        )
    if response.status < MIN_SERVER_ERROR_STATUS:
        headers = forwarded_headers(response.headers)
        return Answered(response.status, headers, response.body)
    if values.get(RAN_HEADER.lower()) == Ran.NO:
        detail = f"the target refused the call with status {response.status}"
        return Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
    detail = f"the target answered with status {response.status}"
    if response.status == GATEWAY_TIMEOUT_STATUS:
        return Failed(ErrorKind.DEADLINE_EXCEEDED, detail)
    return Failed(ErrorKind.TARGET_FAILED, detail)


def _is_metadata_for_call(value: str, response: Response, context: CallContext) -> bool:
    try:
        metadata = decode_answer_metadata(value)
    except ContextError:
        return False
    is_same_call = metadata.call_id == context.call_id
    return is_same_call and metadata.length == len(response.body)
