"""Owners of idempotency keys: the one incarnation that may run a key."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from mimosaloom_model import (
    ANSWER_HEADER,
    Clock,
    ContextError,
    Failed,
    Kind,
    Outcome,
    Refused,
    decode_answer_note,
)
from mimosaloom_policy import Candidate

from .directory import Directory
from .headers import (
    KEY_HEADER,
    OWNER_HEADER,
    TIMEOUT_HEADER,
    forwarded_headers,
    read_hop_answer,
)
from .messages import HopAnswer, Request, Response
from .transport import Broken, Endpoint, Transport

__all__ = ["Claims", "Mine", "OwnedBy", "OwnerLink", "format_owner"]

FORWARD_TRIES = 3
FORWARD_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Mine:
    """This incarnation has won the key and may run it."""


@dataclass(frozen=True, slots=True)
class OwnedBy:
    """Another incarnation has won the key.

    Attributes:
        owner: Its upstream and incarnation, see `format_owner`.
    """

    owner: str


class Claims(Protocol):
    """Claims on keys that callers bring."""

    async def claim(
        self, key: str, deadline_s: float
    ) -> Mine | OwnedBy | Refused | Failed:
        """Find out who may run a key; it is claimed if nobody has yet.

        Args:
            key: The key.
            deadline_s: End of the wait, on the monotonic clock.
        """


def format_owner(upstream: str, incarnation: str) -> str:
    """Return the text that names an incarnation as an owner."""
    return f"{upstream}/{incarnation}"


class OwnerLink:
    """Forwards requests to the owner of their key.

    Args:
        service: Service of the owners.
        directory: Upstreams with their incarnations.
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
        """Have the owner of a key run a request, or repeat its answer.

        The owner runs the key once, so the request is sent again if no whole answer
        arrives.

        Args:
            owner: The owner, see `format_owner`.
            key: The key.
            request: What the client sent.
            deadline_s: End of the wait, on the monotonic clock.
        """
        candidate = self._find(owner)
        if candidate is None:
            return Failed(Kind.OUTCOME_UNKNOWN, f"the owner {owner} is gone")
        outcome: Outcome = Failed(Kind.OUTCOME_UNKNOWN)
        for number in range(FORWARD_TRIES):
            if number:
                await asyncio.sleep(FORWARD_PAUSE_S)
            outcome = await self._send(candidate, owner, key, request, deadline_s)
            if not isinstance(outcome, Failed) or outcome.kind not in _NOT_ANSWERED:
                return outcome
        return Failed(Kind.OUTCOME_UNKNOWN, f"the owner {owner} gives no answer")

    async def _send(
        self,
        candidate: Candidate,
        owner: str,
        key: str,
        request: Request,
        deadline_s: float,
    ) -> Outcome:
        left_s = deadline_s - self._clock.monotonic_s()
        headers = (
            *forwarded_headers(request.headers),
            (OWNER_HEADER, owner),
            (TIMEOUT_HEADER, str(max(1, int(1000 * left_s)))),
        )
        response = await self._transport.send(
            Endpoint(
                candidate.name,
                f"http://{candidate.host}:{candidate.port}",
                candidate.max_connections,
            ),
            request._replace(headers=headers),
            timeout_s=left_s,
        )
        if isinstance(response, Broken):
            # An earlier request with this key may have run, so "not run" is not said.
            return Failed(Kind.CONNECTION_LOST, response.detail)
        return _read_keyed_answer(response, key, request.method != "HEAD").outcome

    def _find(self, owner: str) -> Candidate | None:
        for candidate in self._directory.candidates(self._service):
            if format_owner(candidate.name, candidate.incarnation) == owner:
                return candidate
        return None


_NOT_ANSWERED = frozenset(
    {Kind.CONNECTION_LOST, Kind.ANSWER_MISMATCH, Kind.ANSWER_TRUNCATED}
)


def _read_keyed_answer(response: Response, key: str, has_body: bool) -> HopAnswer:
    values = dict(response.headers)
    try:
        note = decode_answer_note(values.get(ANSWER_HEADER, ""))
    except ContextError as error:
        return HopAnswer(Failed(Kind.ANSWER_MISMATCH, str(error)))
    if values.get(KEY_HEADER) != key:
        return HopAnswer(Failed(Kind.ANSWER_MISMATCH, "the answer is for another key"))
    return read_hop_answer(response, note.call_id, note.attempt, has_body=has_body)
