"""Root requests: requests from clients outside the mesh that enter at this node.

A root request of a class that must run at most once has an idempotency key, issued by
a node (`MintedKey`) or supplied by the client (`CallerKey`). One incarnation owns each
key, and only the owner may run requests with it.
"""

import itertools
from datetime import timedelta
from typing import NamedTuple

import msgspec

from mimosaloom_model import (
    ErrorKind,
    Failed,
    Outcome,
    Refused,
    RequestClass,
    digest_bytes,
)
from mimosaloom_policy import (
    CallerKey,
    MintedKey,
    Stamp,
    mint_key,
    parse_key,
    rank_request,
)

from .caller import Caller
from .headers import (
    CLASS_HEADER,
    KEY_HEADER,
    OWNER_HEADER,
    TIMEOUT_HEADER,
    build_response,
)
from .hop import TargetHop
from .messages import HopAnswer, Request, Response, error_kind, parse_decimal
from .owners import Claims, OwnedElsewhere, OwnedHere, OwnerForwarder, format_owner
from .scopes import CallScope

__all__ = ["RootRequestHandler"]

MAX_TIMEOUT_MS = 3_600_000
RETRY_AFTER_S = 1.0
# Distinguishes idempotency keys from call ids, as both share one run table.
IDEMPOTENCY_KEY_PREFIX = "key:"


class _RootRequest(NamedTuple):
    """The parsed headers of a root request.

    Attributes:
        request_class: Request class.
        timeout: Timeout of the whole request.
        key: Idempotency key; empty if the request may run without one.
        is_forwarded: Whether another node forwarded the request to this node as the
            owner of the key.
    """

    request_class: RequestClass
    timeout: timedelta
    key: str
    is_forwarded: bool


class RootRequestHandler:
    """Runs root requests, at most once for each idempotency key.

    Args:
        upstream: Name of the target of this process; the owner in the keys that this
            node issues.
        caller: Makes the calls.
        hop: Runs calls on the target of this process.
        owners: Forwards requests to the owners of their keys.
        claims: Claims on caller keys; such keys are refused if None.
    """

    def __init__(
        self,
        upstream: str,
        caller: Caller,
        hop: TargetHop,
        owners: OwnerForwarder,
        claims: Claims | None,
    ):
        self._caller = caller
        self._hop = hop
        self._owners = owners
        self._claims = claims
        self._upstream = upstream
        self._owner = format_owner(upstream, hop.incarnation)
        self._attempt_numbers = itertools.count(1)

    async def handle(self, request: Request) -> Response:
        """Answer a root request."""
        root = self._parse_root_request(request)
        if isinstance(root, Refused):
            return self._build_root_response(root, "", "")
        if not root.key:
            outcome, request_id = await self._run_root(root, request)
            return self._build_root_response(outcome, request_id, "")
        outcome, request_id = await self._run_keyed(root, request)
        return self._build_root_response(outcome, request_id, root.key)

    def issue_key(self) -> Response:
        """Return a new idempotency key, with which a client can repeat a request."""
        body = msgspec.json.encode({"key": self._mint_key(), "owner": self._owner})
        return Response(200, (("Content-Type", "application/json"),), body)

    def _mint_key(self) -> str:
        age_s = self._caller.clock.monotonic_s() - self._hop.retention_rule.start_s
        rng = self._caller.rng
        return mint_key(self._upstream, self._hop.incarnation, age_s, rng)

    def _parse_root_request(self, request: Request) -> _RootRequest | Refused:
        name = request.header(CLASS_HEADER) or ""
        request_class = self._caller.directory.catalog().classes.get(name)
        if request_class is None:
            return Refused(
                ErrorKind.UNKNOWN_CLASS,
                f"{CLASS_HEADER} names the undeclared class {name!r}",
            )
        if request_class.entry_service != self._hop.service:
            detail = (
                f"requests of class {name} must be sent to service "
                f"{request_class.entry_service}"
            )
            return Refused(ErrorKind.UNKNOWN_CLASS, detail)
        timeout = _parse_timeout(request.header(TIMEOUT_HEADER), request_class)
        if isinstance(timeout, Refused):
            return timeout
        key = request.header(KEY_HEADER) or ""
        if request_class.is_idempotent and parse_key(key) is None:
            # The class may run more than once, so a key of another format is ignored.
            key = ""
        if key and parse_key(key) is None:
            detail = (
                f"{KEY_HEADER} must be a Unix time of 10 digits, a hyphen and 8 to 53 "
                "characters of A-Z a-z 0-9 _ -, or a key that a node issued"
            )
            return Refused(ErrorKind.BAD_REQUEST, detail)
        if not key and not request_class.is_idempotent:
            key = self._mint_key()
        is_forwarded = request.header(OWNER_HEADER) == self._owner
        return _RootRequest(request_class, timeout, key, is_forwarded)

    async def _run_keyed(
        self, root: _RootRequest, request: Request
    ) -> tuple[Outcome, str]:
        deadline_s = self._caller.clock.monotonic_s() + root.timeout.total_seconds()
        owner = await self._find_owner(root, deadline_s)
        if isinstance(owner, Refused | Failed):
            return owner, ""
        if owner == self._owner:
            return await self._run_owned_key(root, request)
        if root.is_forwarded:
            return Failed(ErrorKind.OUTCOME_UNKNOWN, f"the key is owned by {owner}"), ""
        outcome = await self._owners.forward(owner, root.key, request, deadline_s)
        return outcome, ""

    async def _find_owner(
        self, root: _RootRequest, deadline_s: float
    ) -> str | Refused | Failed:
        match parse_key(root.key):
            case MintedKey(owner, incarnation):
                return format_owner(owner, incarnation)
            case CallerKey() if self._claims is not None:
                claimed = await self._claims.claim(root.key, deadline_s)
                match claimed:
                    case OwnedHere():
                        return self._owner
                    case OwnedElsewhere(owner):
                        return owner
                return claimed
        return Refused(
            ErrorKind.BAD_REQUEST, "this node accepts only keys that a node issued"
        )

    async def _run_owned_key(
        self, root: _RootRequest, request: Request
    ) -> tuple[Outcome, str]:
        request_id = ""

        async def start() -> Outcome:
            nonlocal request_id
            outcome, request_id = await self._run_root(root, request)
            return outcome

        text = f"{request.method} {request.path}\n".encode()
        outcome = await self._hop.once_runner.run(
            IDEMPOTENCY_KEY_PREFIX + root.key,
            digest_bytes(text + request.body),
            start,
            lambda: None,
            stamp=self._key_stamp(root.key),
            # Clients don't number their attempts: each arrival counts as a new one.
            attempt=next(self._attempt_numbers),
        )
        return outcome, request_id

    def _key_stamp(self, key: str) -> Stamp | None:
        """Return the stamp of the epoch in which a key was issued.

        For a caller key this is the current stamp. Its claim is checked for
        each request and expires before the run table drops the entry of the key.
        """
        match parse_key(key):
            case MintedKey(_, incarnation, age_s):
                return Stamp(
                    incarnation, int(age_s // self._hop.retention_rule.period_s)
                )
        return self._hop.once_runner.stamp()

    async def _run_root(
        self, root: _RootRequest, request: Request
    ) -> tuple[Outcome, str]:
        scope = self._caller.open_root(root.request_class.name, root.timeout)
        if isinstance(scope, Refused):
            return scope, ""
        try:
            if not self._is_admitted_downstream(scope, root.request_class):
                detail = "a downstream service admits no requests of this rank now"
                refusal = Refused(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S)
                self._caller.metrics.count_refusal(refusal.kind)
                return refusal, scope.request_id
            outcome = await self._caller.call(self._hop.service, request, scope=scope)
            return outcome, scope.request_id
        finally:
            self._caller.scopes.close(scope)

    def _is_admitted_downstream(
        self, scope: CallScope, request_class: RequestClass
    ) -> bool:
        rank = rank_request(scope.request_id, request_class.priority)
        now_s = self._caller.clock.monotonic_s()
        return all(
            self._caller.levels.admits(service, request_class.name, rank, now_s)
            for service in request_class.path
            if service != self._hop.service
        )

    def _build_root_response(
        self, outcome: Outcome, request_id: str, key: str
    ) -> Response:
        kind = error_kind(outcome)
        if not request_id and kind is not None:
            self._caller.metrics.count_refusal(kind)
        answer = HopAnswer(
            outcome,
            incarnation=self._hop.incarnation,
            is_draining=self._hop.gate.is_draining,
        )
        response = build_response(answer, request_id or "none", 1, request_id)
        if not key:
            return response
        kept = [item for item in response.headers if item[0] not in _KEY_HEADERS]
        headers = (
            *kept,
            (KEY_HEADER, key),
            (OWNER_HEADER, self._format_key_owner(key)),
        )
        return response._replace(headers=headers)

    def _format_key_owner(self, key: str) -> str:
        match parse_key(key):
            case MintedKey(owner, incarnation):
                return format_owner(owner, incarnation)
        return self._owner


_KEY_HEADERS = frozenset({KEY_HEADER, OWNER_HEADER})


def _parse_timeout(
    value: str | None, request_class: RequestClass
) -> timedelta | Refused:
    if value is None:
        return timedelta(seconds=request_class.timeout_s)
    timeout_ms = parse_decimal(value)
    if timeout_ms is None or not 1 <= timeout_ms <= MAX_TIMEOUT_MS:
        detail = f"{TIMEOUT_HEADER} must be an integer from 1 to {MAX_TIMEOUT_MS}"
        return Refused(ErrorKind.BAD_REQUEST, detail)
    return timedelta(milliseconds=timeout_ms)
