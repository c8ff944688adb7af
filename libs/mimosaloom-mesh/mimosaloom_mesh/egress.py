"""Handles the requests at the egress listener: the sub-calls of the target."""

from eliot import log_message

from mimosaloom_model import (
    CONTEXT_HEADER,
    CallContext,
    ContextError,
    ErrorKind,
    Refused,
)

from .caller import Caller
from .headers import build_response, decode_context_header
from .messages import HopAnswer, Request, Response

__all__ = ["Egress"]


class Egress:
    """Answers calls to `/SERVICE/PATH` by calling the service.

    Args:
        caller: Makes the calls; holds the scopes of the calls in progress.
        incarnation: Incarnation of this process.
        max_context_bytes: Largest context header.
    """

    def __init__(self, caller: Caller, incarnation: str, max_context_bytes: int):
        self._max_context_bytes = max_context_bytes
        self._caller = caller
        self._incarnation = incarnation

    async def handle(self, request: Request) -> Response:
        """Make the sub-call that a request describes."""
        value = request.header(CONTEXT_HEADER)
        if value is None:
            return self._refuse_sub_call(ErrorKind.CONTEXT_MISSING)
        try:
            context = decode_context_header(value, self._max_context_bytes)
        except ContextError as error:
            return self._refuse_sub_call(ErrorKind.BAD_CONTEXT, str(error))
        return await self._make_sub_call(context, request)

    async def _make_sub_call(self, context: CallContext, request: Request) -> Response:
        scope = self._caller.scopes.find(context)
        if scope is None:
            # The parent call has ended, was cancelled or passed its deadline; a
            # sub-call for it would be wasted work.
            detail = "the parent call in the context is not in progress here"
            return self._refuse_sub_call(ErrorKind.DEADLINE_TOO_SHORT, detail, context)
        service, _, path = request.path.removeprefix("/").partition("/")
        outcome = await self._caller.call(
            service, request._replace(path=f"/{path}"), scope=scope
        )
        answer = HopAnswer(outcome, incarnation=self._incarnation)
        return build_response(
            answer, context.call_id, context.attempt, context.request_id
        )

    def _refuse_sub_call(
        self, kind: ErrorKind, detail: str = "", context: CallContext | None = None
    ) -> Response:
        self._caller.metrics.count_refusal(kind)
        request_id = context.request_id if context else ""
        log_message(
            message_type="sub_call_refused",
            request_id=request_id,
            kind=kind.value,
            detail=detail,
        )
        answer = HopAnswer(Refused(kind, detail), incarnation=self._incarnation)
        call_id = context.call_id if context else "none"
        return build_response(answer, call_id, 1, request_id)
