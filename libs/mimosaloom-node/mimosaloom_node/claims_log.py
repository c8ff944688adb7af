"""Claims on idempotency keys supplied by callers, decided by the log service.

A node claims a key before it runs the request, so that only one node runs it. The
claim is appended to the stream `claims-SERVICE` and read back; the first claim on a
key in the log wins. Claims made since the last append are batched into one record.
"""

import asyncio
from datetime import timedelta

import msgspec
from eliot import log_message

from mimosaloom_mesh.owners import OwnedElsewhere, OwnedHere
from mimosaloom_model import Clock, ErrorKind, Failed, Refused
from mimosaloom_policy import (
    AppendResult,
    Claim,
    ClaimBook,
    Claimed,
    ClaimLimits,
    ClaimRecord,
    ClaimReplay,
    Undecided,
    Verdict,
    Withdrawal,
)

from .log_client import Appended, LogClient, NotAppended, Page, follow_stream

__all__ = ["LogClaims"]

# An undecided claim is withdrawn after this time, so that an outage of the log service
# does not hold up requests.
CLAIM_TIMEOUT_S = 2.0
BATCH_INTERVAL_S = 0.02
APPEND_TIMEOUT = timedelta(seconds=1)
RETRY_AFTER_S = 2.0
DEFAULT_LIMITS = ClaimLimits()


class _ClaimMessage(msgspec.Struct, frozen=True):
    key: str
    claimant: str


class _RecordMessage(msgspec.Struct, frozen=True):
    id: str
    claims: list[_ClaimMessage]


class LogClaims:
    """Claims idempotency keys for one incarnation of a node.

    Args:
        service: Service of the node's target.
        claimant: Upstream and incarnation of the node, as `format_owner` returns.
        client: Client of the log service; `close` closes it.
        clock: Source of time.
        wait: Duration of one long poll.
        limits: Limits on claims; must be the same on all nodes.

    Attributes:
        bad_records: Number of invalid records read from the stream.
    """

    def __init__(
        self,
        service: str,
        claimant: str,
        client: LogClient,
        clock: Clock,
        *,
        wait: timedelta = timedelta(seconds=5),
        limits: ClaimLimits = DEFAULT_LIMITS,
    ):
        self.bad_records = 0
        self._stream = f"claims-{service}"
        self._claimant = claimant
        self._client = client
        self._clock = clock
        self._wait = wait
        self._replay = ClaimReplay(limits)
        self._book = ClaimBook(claimant, self._replay.find_verdict, limits)
        self._has_pending_claims = asyncio.Event()
        self._page_applied = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start to read and append claims in the background; returns immediately."""
        follow = follow_stream(
            self._client, self._stream, self._apply_page, wait=self._wait
        )
        self._tasks = [
            asyncio.ensure_future(follow),
            asyncio.ensure_future(self._append_pending_claims()),
        ]

    async def close(self) -> None:
        """Cancel the background tasks and close the client."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def claim(
        self, key: str, deadline_s: float
    ) -> OwnedHere | OwnedElsewhere | Refused | Failed:
        """Determine which node may run a request, claiming its key if it is free.

        Args:
            key: Idempotency key of the request.
            deadline_s: Deadline on the monotonic clock, in seconds.

        Returns:
            `OwnedHere` if this incarnation may run the request, `OwnedElsewhere` if
            another one has claimed the key. `Refused` if the request has not run,
            `Failed` if it is unknown whether it has run.
        """
        verdict = self._book.request(key, self._wall_s())
        self._has_pending_claims.set()
        remaining_s = deadline_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(min(remaining_s, CLAIM_TIMEOUT_S)):
                while not isinstance(verdict, Claimed | Undecided):
                    verdict = await self._next_verdict(key)
        except TimeoutError:
            return self._withdraw(key)
        if isinstance(verdict, Undecided):
            detail = (
                "cannot determine which node claimed the key; the request may have run"
            )
            return Failed(ErrorKind.OUTCOME_UNKNOWN, detail)
        if verdict.claimant != self._claimant:
            return OwnedElsewhere(verdict.claimant)
        # The run table ensures that a key runs once on this node, even if it is
        # started repeatedly.
        self._book.start(key, self._wall_s())
        return OwnedHere()

    async def _next_verdict(self, key: str) -> Verdict:
        await self._page_applied.wait()
        return self._replay.find_verdict(key, self._wall_s())

    def _withdraw(self, key: str) -> Refused | Failed:
        if self._book.withdraw(key, self._wall_s()) is Withdrawal.NOT_RUN:
            detail = "no claim on the key was confirmed by the log service in time"
            return Refused(ErrorKind.NO_UPSTREAM, detail, RETRY_AFTER_S)
        return Failed(
            ErrorKind.OUTCOME_UNKNOWN,
            "the claim on the key was not decided in time; the request may have run",
        )

    async def _append_pending_claims(self) -> None:
        while True:
            await self._has_pending_claims.wait()
            await asyncio.sleep(BATCH_INTERVAL_S)
            self._has_pending_claims.clear()
            record_id = self._client.new_record_id()
            record = self._book.take_record(record_id, self._wall_s())
            if record is None:
                continue
            # Another round is needed if more claims are pending than one record holds,
            # or if this append fails.
            self._has_pending_claims.set()
            await self._append(record)

    async def _append(self, record: ClaimRecord) -> None:
        claims = [claim._asdict() for claim in record.claims]
        outcome = await self._client.append(
            self._stream,
            {"id": record.record_id, "claims": claims},
            timeout=APPEND_TIMEOUT,
        )
        match outcome:
            case Appended():
                result = AppendResult.STORED
            case NotAppended(reason):
                result = AppendResult.NOT_STORED
                log_message(message_type="claims_not_appended", reason=reason)
            case _:
                result = AppendResult.UNKNOWN
        self._book.settle_append(record.record_id, result)

    def _apply_page(self, page: Page) -> None:
        wall_s = self._wall_s()
        for record in page.records:
            claims = self._decode_record(record.value)
            self._replay.apply(record.offset, claims, wall_s)
        # Wakes the claims that wait now; later ones wait for the next page.
        page_applied, self._page_applied = self._page_applied, asyncio.Event()
        page_applied.set()

    def _decode_record(self, value: object) -> ClaimRecord:
        """Return the claims of a record, or an empty record if it is invalid."""
        try:
            message = msgspec.convert(value, _RecordMessage)
        except msgspec.ValidationError:
            self.bad_records += 1
            return ClaimRecord("", ())
        claims = tuple(Claim(c.key, c.claimant) for c in message.claims)
        return ClaimRecord(message.id, claims)

    def _wall_s(self) -> float:
        return self._clock.now().timestamp()
