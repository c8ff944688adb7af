"""Attempts of calls on other nodes, and queries for the state of a call."""

import asyncio

import msgspec

from mimosaloom_model import (
    CONTEXT_HEADER,
    ERROR_ANSWERS,
    CallContext,
    Clock,
    Failed,
    Outcome,
    Ran,
    Refused,
)
from mimosaloom_policy import (
    Candidate,
    ResolveState,
    Stamp,
    StampBook,
    format_stamp,
    parse_stamp,
)

from .headers import (
    STAMP_HEADER,
    decode_hop_answer,
    encode_forwarded_context,
    forwarded_headers,
)
from .messages import HopAnswer, Request, Response
from .resolution import (
    PING_PATH,
    RESOLVE_PATH,
    ResolveAnswer,
    Resolved,
    ResolveRequest,
    interpret_resolve_answer,
)
from .transport import Endpoint, FailedSend, SendControl, Transport
from .watchdog import SilenceWatchdog

__all__ = ["RemoteHop"]

RESOLVE_TIMEOUT_S = 0.5
PING_TIMEOUT_S = 0.5
RESOLVE_MAX_REQUESTS = 3
RESOLVE_MAX_CONNECTIONS = 16
RESOLVE_RETRY_DELAY_S = 0.05
RETRY_AFTER_S = 1.0


class RemoteHop:
    """Sends attempts of calls to other nodes.

    Args:
        clock: Source of time.
        transport: Sends requests.
    """

    def __init__(self, clock: Clock, transport: Transport):
        self._clock = clock
        self._transport = transport
        self._stamps = StampBook()

    async def run(
        self,
        candidate: Candidate,
        context: CallContext,
        request: Request,
        *,
        deadline_s: float,
        stamp: Stamp | None,
    ) -> HopAnswer:
        """Send one attempt and wait for its answer.

        Args:
            candidate: Upstream to send the attempt to.
            context: Context of the attempt.
            request: Request to send.
            deadline_s: Deadline on the monotonic clock.
            stamp: Stamp of the attempt; None for idempotent classes.
        """
        headers = (
            *forwarded_headers(request.headers),
            (CONTEXT_HEADER, encode_forwarded_context(context, request)),
        )
        if stamp is not None:
            headers = (*headers, (STAMP_HEADER, format_stamp(stamp)))
        control = SendControl()
        watchdog = SilenceWatchdog(
            lambda: self.query_state(candidate, context.call_id, stamp, max_requests=1),
            control,
        )
        try:
            response = await self._transport.send(
                _build_endpoint(candidate),
                request._replace(headers=headers),
                timeout_s=deadline_s - self._clock.monotonic_s(),
                control=control,
            )
        finally:
            watchdog.stop()
        if isinstance(response, FailedSend):
            return HopAnswer(
                watchdog.early_outcome or _outcome_of_failed_send(response)
            )
        has_body = request.method != "HEAD"
        answer = decode_hop_answer(
            response, context.call_id, context.attempt, has_body=has_body
        )
        self._record_stamp(candidate, answer)
        return answer

    async def fetch_stamp(self, candidate: Candidate) -> Stamp | None:
        """Return the stamp for a new call; ping the node for it if none is cached.

        Returns:
            The stamp, or None if the node does not return one.
        """
        stamp = self._stamps.current_stamp(candidate.name, self._clock.monotonic_s())
        if stamp is not None and stamp.incarnation == candidate.incarnation:
            return stamp
        response = await self._transport.send(
            _build_endpoint(candidate),
            Request("GET", PING_PATH),
            timeout_s=PING_TIMEOUT_S,
        )
        if isinstance(response, FailedSend):
            return None
        self._record_stamp(candidate, decode_hop_answer(response, "ping", 1))
        stamp = self._stamps.current_stamp(candidate.name, self._clock.monotonic_s())
        is_same_incarnation = (
            stamp is not None and stamp.incarnation == candidate.incarnation
        )
        return stamp if is_same_incarnation else None

    def _record_stamp(self, candidate: Candidate, answer: HopAnswer) -> None:
        stamp = parse_stamp(answer.stamp)
        if stamp is not None:
            self._stamps.record_stamp(candidate.name, stamp, self._clock.monotonic_s())

    async def query_state(
        self,
        candidate: Candidate,
        call_id: str,
        stamp: Stamp | None,
        *,
        max_requests: int = RESOLVE_MAX_REQUESTS,
    ) -> Resolved:
        """Query the state of a call at the node it was sent to.

        The query uses a new connection.

        Args:
            candidate: Upstream that the call was sent to.
            call_id: Id of the call.
            stamp: Stamp that the attempt carried.
            max_requests: Largest number of requests to send until one is answered.
        """
        stamp_text = "" if stamp is None else format_stamp(stamp)
        query = ResolveRequest(call_id, candidate.incarnation, stamp_text)
        body = msgspec.json.encode(query)
        request = Request("POST", RESOLVE_PATH, body=body)
        endpoint = _build_endpoint(candidate)._replace(
            name=f"{candidate.name}#resolve", max_connections=RESOLVE_MAX_CONNECTIONS
        )
        for number in range(max_requests):
            if number:
                await asyncio.sleep(RESOLVE_RETRY_DELAY_S)
            response = await self._transport.send(
                endpoint, request, timeout_s=RESOLVE_TIMEOUT_S, use_new_connection=True
            )
            answer = _decode_resolve_answer(response, call_id)
            if answer is not None:
                return interpret_resolve_answer(answer, candidate.incarnation)
        return Resolved(ResolveState.NO_ANSWER)


def _build_endpoint(candidate: Candidate) -> Endpoint:
    url = f"http://{candidate.host}:{candidate.port}"
    return Endpoint(candidate.name, url, candidate.max_connections)


def _outcome_of_failed_send(broken: FailedSend) -> Outcome:
    if ERROR_ANSWERS[broken.kind].ran is Ran.NO:
        is_retryable = ERROR_ANSWERS[broken.kind].is_retryable
        retry_after_s = RETRY_AFTER_S if is_retryable else 0.0
        return Refused(broken.kind, broken.detail, retry_after_s)
    return Failed(broken.kind, broken.detail)


def _decode_resolve_answer(
    response: Response | FailedSend, call_id: str
) -> ResolveAnswer | None:
    if isinstance(response, FailedSend) or response.status != 200:
        return None
    try:
        answer = msgspec.json.decode(response.body, type=ResolveAnswer)
    except (msgspec.MsgspecError, UnicodeError):
        return None
    return answer if answer.call_id == call_id else None
