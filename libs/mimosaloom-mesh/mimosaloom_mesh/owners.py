"""Owners of idempotency keys.

The owner of a key is the one incarnation that may run requests with it.
"""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from mimosaloom_model import (
    ANSWER_HEADER,
    Clock,
    ContextError,
    ErrorKind,
    Failed,
    Outcome,
    Refused,
    decode_answer_metadata,
)
from mimosaloom_policy import Candidate

from .directory import Directory
from .headers import (
    KEY_HEADER,
    OWNER_HEADER,
    TIMEOUT_HEADER,
    decode_hop_answer,
    forwarded_headers,
)
from .messages import HopAnswer, Request, Response
from .transport import Endpoint, FailedSend, Transport

__all__ = ["Claims", "OwnedElsewhere", "OwnedHere", "OwnerForwarder", "format_owner"]

FORWARD_MAX_REQUESTS = 3
FORWARD_RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class OwnedHere:
    """This incarnation owns the key and may run it."""


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another incarnation owns the key.

    Attributes:
        owner: Upstream and incarnation of the owner; see `format_owner`.
    """

    owner: str


class Claims(Protocol):
    """Claims on caller keys."""

    async def claim(
        self, key: str, deadline_s: float
    ) -> OwnedHere | OwnedElsewhere | Refused | Failed:
        """Return the owner of a key, after claiming the key if it has no owner.

        Args:
            key: Idempotency key.
            deadline_s: Deadline on the monotonic clock.
        """


def format_owner(upstream: str, incarnation: str) -> str:
    """Return the text form of an owner, `UPSTREAM/INCARNATION`."""
    return f"{upstream}/{incarnation}"


class OwnerForwarder:
    """Forwards requests to the owner of their key.

    Args:
        service: Service of the owners.
        directory: Provides the upstreams with their incarnations.
        clock: Source of time.
        transport: Sends requests.
    """

    def __init__(
        self, service: str, directory: Directory, clock: Clock, transport: Transport
    ):
        self._service = service
        self._directory = directory
        self._clock = clock
        self._transport = transport

    async def forward(
        self, owner: str, key: str, request: Request, deadline_s: float
    ) -> Outcome:
        """Forward a request to the owner of its key and return the outcome.

        The owner runs the request at most once and answers later copies with the stored
        result. So the request is resent if no complete answer arrives.

        Args:
            owner: Owner of the key; see `format_owner`.
            key: Idempotency key.
            request: Request that the client sent.
            deadline_s: Deadline on the monotonic clock.
        """
        candidate = self._find_candidate(owner)
        if candidate is None:
            return Failed(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the key owner {owner} is no longer available",
            )
        outcome: Outcome = Failed(ErrorKind.OUTCOME_UNKNOWN)
        for number in range(FORWARD_MAX_REQUESTS):
            if number:
                await asyncio.sleep(FORWARD_RETRY_DELAY_S)
            outcome = await self._forward_once(
                candidate, owner, key, request, deadline_s
            )
            if (
                not isinstance(outcome, Failed)
                or outcome.kind not in _NO_VALID_ANSWER_KINDS
            ):
                return outcome
        return Failed(
            ErrorKind.OUTCOME_UNKNOWN, f"the key owner {owner} did not answer"
        )

    async def _forward_once(
        self,
        candidate: Candidate,
        owner: str,
        key: str,
        request: Request,
        deadline_s: float,
    ) -> Outcome:
        remaining_s = deadline_s - self._clock.monotonic_s()
        headers = (
            *forwarded_headers(request.headers),
            (OWNER_HEADER, owner),
            (TIMEOUT_HEADER, str(max(1, int(1000 * remaining_s)))),
        )
        response = await self._transport.send(
            Endpoint(
                candidate.name,
                f"http://{candidate.host}:{candidate.port}",
                candidate.max_connections,
            ),
            request._replace(headers=headers),
            timeout_s=remaining_s,
        )
        if isinstance(response, FailedSend):
            # An earlier request with this key may have run, so the outcome must not
            # be "not run", even if this one was never sent.
            return Failed(ErrorKind.CONNECTION_LOST, response.detail)
        return _decode_keyed_answer(response, key, request.method != "HEAD").outcome

    def _find_candidate(self, owner: str) -> Candidate | None:
        for candidate in self._directory.candidates(self._service):
            if format_owner(candidate.name, candidate.incarnation) == owner:
                return candidate
        return None


_NO_VALID_ANSWER_KINDS = frozenset(
    {ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_MISMATCH, ErrorKind.ANSWER_TRUNCATED}
)


def _decode_keyed_answer(response: Response, key: str, has_body: bool) -> HopAnswer:
    values = dict(response.headers)
    try:
        metadata = decode_answer_metadata(values.get(ANSWER_HEADER, ""))
    except ContextError as error:
        return HopAnswer(Failed(ErrorKind.ANSWER_MISMATCH, str(error)))
    if values.get(KEY_HEADER) != key:
        return HopAnswer(
            Failed(
                ErrorKind.ANSWER_MISMATCH, "the answer is for another idempotency key"
            )
        )
    return decode_hop_answer(
        response, metadata.call_id, metadata.attempt, has_body=has_body
    )
