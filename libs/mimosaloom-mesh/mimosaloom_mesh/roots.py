"""Requests that begin at this node."""

import re
from datetime import timedelta
from typing import NamedTuple

from mimosaloom_model import (
    Failed,
    Kind,
    Outcome,
    Refused,
    RequestClass,
    digest_bytes,
    new_request_id,
)
from mimosaloom_policy import Candidate, ResolveState, rank_request

from .caller import Caller
from .headers import (
    CLASS_HEADER,
    KEY_HEADER,
    OWNER_HEADER,
    TIMEOUT_HEADER,
    build_response,
)
from .hop import TargetHop
from .messages import HopAnswer, Request, Response, kind_of
from .remote import RemoteHop
from .scopes import CallScope

__all__ = ["RootCalls"]

MAX_TIMEOUT_MS = 3_600_000
RETRY_AFTER_S = 1.0
# Keys of callers and call ids of nodes share one run table.
KEY_PREFIX = "key:"
_KEY = re.compile(r"[\x21-\x7e]{1,200}")


class _Root(NamedTuple):
    request_class: RequestClass
    timeout: timedelta | None
    key: str
    owner: str


class RootCalls:
    """Begins requests and keeps one run for each idempotency key.

    Args:
        name: Name of the node; part of the owner of a key.
        caller: Makes the calls.
        hop: Runs calls on the own target.
        remote: Asks other owners of keys.
    """

    def __init__(self, name: str, caller: Caller, hop: TargetHop, remote: RemoteHop):
        self._caller = caller
        self._hop = hop
        self._remote = remote
        self._owner = f"{name}/{hop.incarnation}"

    async def handle(self, request: Request) -> Response:
        """Answer a request that begins here."""
        root = self._read(request)
        if isinstance(root, Refused):
            return self._respond(root, "", None)
        if not root.key:
            outcome, request_id = await self._begin(root, request)
            return self._respond(outcome, request_id, None)
        outcome, request_id = await self._run_keyed(root, request)
        return self._respond(outcome, request_id, root)

    def _read(self, request: Request) -> _Root | Refused:
        name = request.header(CLASS_HEADER) or ""
        request_class = self._caller.directory.catalog().classes.get(name)
        if request_class is None:
            return Refused(Kind.UNKNOWN_CLASS, f"{CLASS_HEADER} is {name!r}")
        if request_class.entry_service != self._hop.service:
            detail = f"class {name} enters at {request_class.entry_service}"
            return Refused(Kind.UNKNOWN_CLASS, detail)
        timeout = _read_timeout(request.header(TIMEOUT_HEADER))
        if isinstance(timeout, Refused):
            return timeout
        key = request.header(KEY_HEADER) or ""
        if key and not _KEY.fullmatch(key):
            return Refused(Kind.BAD_REQUEST, f"{KEY_HEADER} is not valid")
        if not key and not request_class.is_idempotent:
            key = new_request_id(self._caller.rng)
        owner = request.header(OWNER_HEADER) or ""
        return _Root(request_class, timeout, key, owner)

    async def _run_keyed(self, root: _Root, request: Request) -> tuple[Outcome, str]:
        if root.owner not in ("", self._owner):
            earlier = await self._ask_owner(root)
            if earlier is not None:
                return earlier, ""
        request_id = ""

        async def start() -> Outcome:
            nonlocal request_id
            outcome, request_id = await self._begin(root, request)
            return outcome

        text = f"{request.method} {request.path}\n".encode()
        outcome = await self._hop.once.run(
            KEY_PREFIX + root.key,
            digest_bytes(text + request.body),
            start,
            lambda: None,
        )
        return outcome, request_id

    async def _ask_owner(self, root: _Root) -> Outcome | None:
        """Return what the owner of a key knows; None if it forbids the key there."""
        owner = self._find_owner(root.owner.rpartition("/")[2])
        if owner is None:
            return Failed(Kind.OUTCOME_UNKNOWN, f"the owner {root.owner} is gone")
        timeout_s = root.request_class.timeout_s
        if root.timeout is not None:
            timeout_s = root.timeout.total_seconds()
        deadline_s = self._caller.clock.monotonic_s() + timeout_s
        resolved = await self._remote.resolve(
            owner, KEY_PREFIX + root.key, deadline_s=deadline_s
        )
        match resolved.state:
            case ResolveState.NOT_RUN:
                return None
            case ResolveState.DONE:
                return resolved.result
            case ResolveState.RUNNING:
                return Failed(Kind.DEADLINE_EXCEEDED, "the request still runs")
        return Failed(Kind.OUTCOME_UNKNOWN, f"the owner says {resolved.state}")

    def _find_owner(self, incarnation: str) -> Candidate | None:
        for candidate in self._caller.directory.candidates(self._hop.service):
            if candidate.incarnation == incarnation:
                return candidate
        return None

    async def _begin(self, root: _Root, request: Request) -> tuple[Outcome, str]:
        scope = self._caller.open_root(root.request_class.name, root.timeout)
        if isinstance(scope, Refused):
            return scope, ""
        try:
            if not self._is_admitted_deeper(scope, root.request_class):
                detail = "a deeper service refuses requests of this rank now"
                refusal = Refused(Kind.OVERLOADED, detail, RETRY_AFTER_S)
                self._caller.metrics.count_refusal(refusal.kind)
                return refusal, scope.request_id
            outcome = await self._caller.call(self._hop.service, request, scope=scope)
            return outcome, scope.request_id
        finally:
            self._caller.scopes.close(scope)

    def _is_admitted_deeper(
        self, scope: CallScope, request_class: RequestClass
    ) -> bool:
        rank = rank_request(scope.request_id, request_class.priority)
        now_s = self._caller.clock.monotonic_s()
        return all(
            self._caller.levels.admits(service, request_class.name, rank, now_s)
            for service in request_class.path
            if service != self._hop.service
        )

    def _respond(
        self, outcome: Outcome, request_id: str, root: _Root | None
    ) -> Response:
        if not request_id and kind_of(outcome) is not None:
            self._caller.metrics.count_refusal(kind_of(outcome))
        answer = HopAnswer(
            outcome,
            incarnation=self._hop.incarnation,
            is_draining=self._hop.gate.is_draining,
        )
        response = build_response(answer, request_id or "none", 1, request_id)
        if root is None:
            return response
        headers = (
            *response.headers,
            (KEY_HEADER, root.key),
            (OWNER_HEADER, self._owner),
        )
        return response._replace(headers=headers)


def _read_timeout(value: str | None) -> timedelta | Refused | None:
    if value is None:
        return None
    if not (value.isdecimal() and 1 <= int(value[:8]) <= MAX_TIMEOUT_MS):
        detail = f"{TIMEOUT_HEADER} must be an integer of 1 to {MAX_TIMEOUT_MS}"
        return Refused(Kind.BAD_REQUEST, detail)
    return timedelta(milliseconds=int(value))
