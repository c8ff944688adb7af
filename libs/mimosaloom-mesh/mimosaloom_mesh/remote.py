"""One attempt of a call on another node, and the resolution of its outcome."""

import asyncio

import msgspec

from mimosaloom_model import (
    ANSWERS,
    CONTEXT_HEADER,
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

from .headers import STAMP_HEADER, forwarded_headers, read_hop_answer, write_context
from .messages import HopAnswer, Request, Response
from .resolution import (
    PING_PATH,
    RESOLVE_PATH,
    ResolveAnswer,
    Resolved,
    ResolveRequest,
    read_resolved,
)
from .silence import Silence
from .transport import Broken, Endpoint, SendControl, Transport

__all__ = ["RemoteHop"]

RESOLVE_TIMEOUT_S = 0.5
PING_TIMEOUT_S = 0.5
RESOLVE_TRIES = 3
RESOLVE_MAX_CONNECTIONS = 16
POLL_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0


class RemoteHop:
    """Sends attempts to other nodes.

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
            candidate: The upstream.
            context: Context of the attempt.
            request: What is sent.
            deadline_s: End of the wait, on the monotonic clock.
            stamp: Stamp of the attempt; None for classes that may run again.
        """
        headers = (
            *forwarded_headers(request.headers),
            (CONTEXT_HEADER, write_context(context, request)),
        )
        if stamp is not None:
            headers = (*headers, (STAMP_HEADER, format_stamp(stamp)))
        control = SendControl()
        silence = Silence(
            lambda: self.ask(candidate, context.call_id, stamp, tries=1), control
        )
        try:
            response = await self._transport.send(
                _endpoint(candidate),
                request._replace(headers=headers),
                timeout_s=deadline_s - self._clock.monotonic_s(),
                control=control,
            )
        finally:
            silence.stop()
        if isinstance(response, Broken):
            return HopAnswer(silence.early or _broken_outcome(response))
        has_body = request.method != "HEAD"
        answer = read_hop_answer(
            response, context.call_id, context.attempt, has_body=has_body
        )
        self._learn_stamp(candidate, answer)
        return answer

    async def find_stamp(self, candidate: Candidate) -> Stamp | None:
        """Return the stamp for a new call; None if the node does not tell it."""
        stamp = self._stamps.current(candidate.name, self._clock.monotonic_s())
        if stamp is not None and stamp.incarnation == candidate.incarnation:
            return stamp
        response = await self._transport.send(
            _endpoint(candidate), Request("GET", PING_PATH), timeout_s=PING_TIMEOUT_S
        )
        if isinstance(response, Broken):
            return None
        self._learn_stamp(candidate, read_hop_answer(response, "ping", 1))
        stamp = self._stamps.current(candidate.name, self._clock.monotonic_s())
        is_same = stamp is not None and stamp.incarnation == candidate.incarnation
        return stamp if is_same else None

    def _learn_stamp(self, candidate: Candidate, answer: HopAnswer) -> None:
        stamp = parse_stamp(answer.stamp)
        if stamp is not None:
            self._stamps.learn(candidate.name, stamp, self._clock.monotonic_s())

    async def ask(
        self,
        candidate: Candidate,
        call_id: str,
        stamp: Stamp | None,
        *,
        tries: int = RESOLVE_TRIES,
    ) -> Resolved:
        """Ask the node that got a call, over a new connection, what became of it.

        Args:
            candidate: The upstream that the call was sent to.
            call_id: The call.
            stamp: Stamp that the attempt carried.
            tries: Requests until one is answered.
        """
        stamp_text = "" if stamp is None else format_stamp(stamp)
        question = ResolveRequest(call_id, candidate.incarnation, stamp_text)
        body = msgspec.json.encode(question)
        request = Request("POST", RESOLVE_PATH, body=body)
        endpoint = _endpoint(candidate)._replace(
            name=f"{candidate.name}#resolve", max_connections=RESOLVE_MAX_CONNECTIONS
        )
        for number in range(tries):
            if number:
                await asyncio.sleep(POLL_INTERVAL_S)
            response = await self._transport.send(
                endpoint, request, timeout_s=RESOLVE_TIMEOUT_S, is_fresh=True
            )
            answer = _read_resolve_answer(response, call_id)
            if answer is not None:
                return read_resolved(answer, candidate.incarnation)
        return Resolved(ResolveState.NO_ANSWER)


def _endpoint(candidate: Candidate) -> Endpoint:
    url = f"http://{candidate.host}:{candidate.port}"
    return Endpoint(candidate.name, url, candidate.max_connections)


def _broken_outcome(broken: Broken) -> Outcome:
    if ANSWERS[broken.kind].ran is Ran.NO:
        is_retryable = ANSWERS[broken.kind].is_retryable
        retry_after_s = RETRY_AFTER_S if is_retryable else 0.0
        return Refused(broken.kind, broken.detail, retry_after_s)
    return Failed(broken.kind, broken.detail)


def _read_resolve_answer(
    response: Response | Broken, call_id: str
) -> ResolveAnswer | None:
    if isinstance(response, Broken) or response.status != 200:
        return None
    try:
        answer = msgspec.json.decode(response.body, type=ResolveAnswer)
    except (msgspec.MsgspecError, UnicodeError):
        return None
    return answer if answer.call_id == call_id else None
