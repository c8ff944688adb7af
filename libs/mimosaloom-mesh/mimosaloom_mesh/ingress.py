"""Handles the requests at the ingress listener: root requests and calls of nodes."""

import msgspec
from eliot import log_message

from mimosaloom_model import (
    CONTEXT_HEADER,
    CallContext,
    ContextError,
    ErrorKind,
    Failed,
    Outcome,
    Refused,
)
from mimosaloom_policy import parse_stamp

from .caller import Caller
from .headers import STAMP_HEADER, build_response, decode_context_header
from .hop import TargetHop
from .messages import HopAnswer, Request, Response, error_kind
from .resolution import PING_PATH, RESOLVE_PATH, ResolveRequest
from .roots import RootRequestHandler

__all__ = ["Ingress"]

RESERVED_PREFIX = "/.mimosaloom/"
KEY_PATH = "/.mimosaloom/key"


class Ingress:
    """Answers requests for the target of this process.

    Args:
        caller: Provides the metrics.
        hop: Runs calls on the target.
        roots: Runs root requests.
        max_context_bytes: Largest context header.
    """

    def __init__(
        self,
        caller: Caller,
        hop: TargetHop,
        roots: RootRequestHandler,
        max_context_bytes: int,
    ):
        self._max_context_bytes = max_context_bytes
        self._caller = caller
        self._hop = hop
        self._roots = roots

    async def handle(self, request: Request) -> Response:
        """Answer a call, a root request, or a request to a reserved path."""
        if request.path.startswith(RESERVED_PREFIX):
            return self._handle_reserved_path(request)
        value = request.header(CONTEXT_HEADER)
        if value is None:
            return await self._roots.handle(request)
        try:
            context = decode_context_header(value, self._max_context_bytes)
        except ContextError as error:
            return self._build_refusal(ErrorKind.BAD_CONTEXT, str(error))
        return await self._run_call(context, request)

    async def _run_call(self, context: CallContext, request: Request) -> Response:
        stamp = parse_stamp(request.header(STAMP_HEADER) or "")
        answer = await self._hop.run(context, request, stamp)
        self._count_refusal(answer.outcome, context.request_id)
        return build_response(
            answer, context.call_id, context.attempt, context.request_id
        )

    def _handle_reserved_path(self, request: Request) -> Response:
        if request.path == PING_PATH:
            return build_response(self._hop.ping(), "ping", 1, "")
        if request.path == KEY_PATH and request.method == "POST":
            return self._roots.issue_key()
        if request.path != RESOLVE_PATH or request.method != "POST":
            return self._build_refusal(
                ErrorKind.BAD_REQUEST,
                f"unsupported path or method: {request.path}",
            )
        try:
            query = msgspec.json.decode(request.body, type=ResolveRequest)
        except (msgspec.MsgspecError, UnicodeError) as error:
            return self._build_refusal(ErrorKind.BAD_REQUEST, str(error))
        body = msgspec.json.encode(self._hop.resolve(query))
        return Response(200, (("Content-Type", "application/json"),), body)

    def _build_refusal(self, kind: ErrorKind, detail: str) -> Response:
        outcome = Refused(kind, detail)
        self._count_refusal(outcome, "")
        answer = HopAnswer(outcome, incarnation=self._hop.incarnation)
        return build_response(answer, "none", 1, "")

    def _count_refusal(self, outcome: Outcome, request_id: str) -> None:
        kind = error_kind(outcome)
        if kind is None:
            return
        self._caller.metrics.count_refusal(kind)
        if isinstance(outcome, Failed):
            log_message(
                message_type="run_failed",
                request_id=request_id,
                kind=kind.value,
                detail=outcome.detail,
            )
