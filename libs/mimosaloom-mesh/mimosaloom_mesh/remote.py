"""One attempt of a call on another node, and the resolution of its outcome."""

import asyncio

import msgspec

from mimosaloom_model import (
    ANSWERS,
    CONTEXT_HEADER,
    CallContext,
    Clock,
    Failed,
    Kind,
    Outcome,
    Ran,
    Refused,
    encode_context,
)
from mimosaloom_policy import Candidate, ResolveState

from .headers import INCARNATION_HEADER, forwarded_headers, read_hop_answer
from .messages import HopAnswer, Request, Response
from .resolution import (
    RESOLVE_PATH,
    ResolveAnswer,
    Resolved,
    ResolveRequest,
    read_resolved,
)
from .transport import Broken, Endpoint, Transport

__all__ = ["RemoteHop"]

# Time without an answer after which the state of the call is asked for over a new
# connection: a connection that went silent must not hold a call until its deadline.
SILENCE_BOUND_S = 1.0
# An answer that is on its way may still arrive after its node says "done".
ANSWER_GRACE_S = 0.2
RESOLVE_TIMEOUT_S = 0.5
RESOLVE_TRIES = 3
RESOLVE_MAX_CONNECTIONS = 16
POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 0.5
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

    async def run(
        self,
        candidate: Candidate,
        context: CallContext,
        request: Request,
        *,
        deadline_s: float,
        is_idempotent: bool,
    ) -> HopAnswer:
        """Send one attempt and wait for its answer.

        Args:
            candidate: The upstream.
            context: Context of the attempt.
            request: What is sent.
            deadline_s: End of the wait, on the monotonic clock.
            is_idempotent: Whether the class may run more than once.
        """
        headers = (
            *forwarded_headers(request.headers),
            (CONTEXT_HEADER, encode_context(context)),
            (INCARNATION_HEADER, candidate.incarnation),
        )
        sent = self._transport.send(
            _endpoint(candidate),
            request._replace(headers=headers),
            timeout_s=deadline_s - self._clock.monotonic_s(),
        )
        task = asyncio.ensure_future(sent)
        try:
            early = await self._watch(task, candidate, context.call_id)
        finally:
            if not task.done():
                task.cancel()
        if early is not None:
            return HopAnswer(early)
        response = task.result()
        if isinstance(response, Broken):
            return HopAnswer(_broken_outcome(response))
        has_body = request.method != "HEAD"
        return read_hop_answer(
            response, context.call_id, context.attempt, has_body=has_body
        )

    async def resolve(
        self, candidate: Candidate, call_id: str, *, deadline_s: float
    ) -> Resolved:
        """Ask until a call has ended or the deadline has passed."""
        interval_s = POLL_INTERVAL_S
        while True:
            resolved = await self.ask(candidate, call_id)
            left_s = deadline_s - self._clock.monotonic_s()
            if resolved.state is not ResolveState.RUNNING or left_s <= 0:
                return resolved
            await asyncio.sleep(min(interval_s, left_s))
            interval_s = min(2 * interval_s, MAX_POLL_INTERVAL_S)

    async def ask(
        self, candidate: Candidate, call_id: str, *, tries: int = RESOLVE_TRIES
    ) -> Resolved:
        """Ask the node that got a call, over a new connection, what became of it.

        Args:
            candidate: The upstream that the call was sent to.
            call_id: The call.
            tries: Requests until one is answered.
        """
        body = msgspec.json.encode(ResolveRequest(call_id, candidate.incarnation))
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

    async def _watch(
        self, task: asyncio.Future, candidate: Candidate, call_id: str
    ) -> Outcome | None:
        """Wait for the answer; return an outcome if it must be learned otherwise."""
        while True:
            done, _ = await asyncio.wait({task}, timeout=SILENCE_BOUND_S)
            if done:
                return None
            resolved = await self.ask(candidate, call_id, tries=1)
            if task.done():
                return None
            if resolved.state is ResolveState.RUNNING:
                continue
            if resolved.state is ResolveState.DONE:
                done, _ = await asyncio.wait({task}, timeout=ANSWER_GRACE_S)
                return None if done else resolved.result
            # A node that can't be asked, or knows nothing of the call, will not
            # answer it on this connection either.
            detail = f"no answer, and the node says {resolved.state}"
            return Failed(Kind.CONNECTION_LOST, detail)


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
