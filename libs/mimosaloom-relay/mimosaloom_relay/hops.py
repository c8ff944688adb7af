"""Sends attempts to other nodes, each of which runs them on its own target."""

from collections.abc import Callable

from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import ERROR_ANSWERS, Address, ErrorKind, Ran
from mimosaloom_policy import Candidate

from .decision_log import DecisionLog
from .hop_messages import (
    HOP_HEADER,
    HOP_RESULT_HEADER,
    HeaderNames,
    HopContext,
    HopResult,
    decode_header,
    encode_header,
    forwarded_headers,
)
from .http_client import HttpClient
from .http_server import Incoming
from .target_side import HopReply

__all__ = ["HopSender"]

# Callers must not set the header that nodes exchange with each other.
_REPLACED = frozenset({HOP_HEADER.lower()})


class HopSender:
    """Sends one attempt to another node and reads the outcome.

    Args:
        names: Header names that callers use.
        client: Sends the hops.
        log: Receives the log lines of failed hops.
        on_peer_unreachable: Called with a node that can't be reached or that closed a
            connection before its answer.
    """

    def __init__(
        self,
        names: HeaderNames,
        client: HttpClient,
        log: DecisionLog,
        on_peer_unreachable: Callable[[Candidate], None],
    ):
        self._names = names
        self._client = client
        self._log = log
        self._on_peer_unreachable = on_peer_unreachable

    async def send(
        self,
        candidate: Candidate,
        context: HopContext,
        incoming: Incoming,
        on_write: Callable[[], None],
    ) -> HopReply:
        """Send an attempt.

        Cancelling the awaiting task also cancels the attempt at the other node.

        Args:
            candidate: The other node.
            context: Context of the attempt.
            incoming: The request as received.
            on_write: Called right before the attempt is written to the other node.
        """
        received = incoming.request
        headers = (
            *forwarded_headers(received.headers, without=_REPLACED),
            (HOP_HEADER, encode_header(context)),
        )
        outcome = await self._client.send(
            Address(candidate.host, candidate.port),
            received._replace(headers=headers),
            incoming.streamed_body,
            needs_fresh_connection=not context.is_idempotent,
            expected_id=(self._names.request_id, context.request_id),
            on_write=on_write,
        )
        if isinstance(outcome, FailedSend):
            return self._read_broken_hop(candidate, context, outcome)
        result = decode_header(outcome.response.header(HOP_RESULT_HEADER), HopResult)
        if result is None:
            detail = f"node {candidate.name} sent no hop result"
            result = HopResult(ErrorKind.ANSWER_MISMATCH.value, detail, was_sent=True)
            return HopReply(None, result)
        if result.kind:
            return HopReply(None, result)
        headers = tuple(
            item for item in outcome.response.headers if item[0] != HOP_RESULT_HEADER
        )
        response = outcome.response._replace(headers=headers)
        return HopReply(outcome._replace(response=response), result)

    def _read_broken_hop(
        self, candidate: Candidate, context: HopContext, broken: FailedSend
    ) -> HopReply:
        was_sent = ERROR_ANSWERS[broken.kind].ran is not Ran.NO
        if broken.kind in (ErrorKind.CONNECT_FAILED, ErrorKind.CONNECTION_LOST):
            self.mark_unreachable(candidate)
        self._log.failure(
            "hop_broken",
            request_id=context.request_id,
            attempt=context.attempt,
            upstream=candidate.name,
            kind=broken.kind.value,
            detail=broken.detail,
        )
        return HopReply(
            None, HopResult(broken.kind.value, broken.detail, 0.0, was_sent)
        )

    def mark_unreachable(self, candidate: Candidate) -> None:
        """Exclude a node until it answers a probe on a new connection."""
        # The idle connections to the node may be dead as well.
        self._client.drop_idle(Address(candidate.host, candidate.port))
        self._on_peer_unreachable(candidate)
