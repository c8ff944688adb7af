"""Claims on keys that callers bring, through the log service.

A claim is appended to the stream `claims-SERVICE` and read back; the first one in the
log wins. One append carries all claims that came up since the last one.
"""

import asyncio
from datetime import timedelta

import msgspec
from eliot import log_message

from mimosaloom_mesh.owners import Mine, OwnedBy
from mimosaloom_model import Clock, Failed, Kind, Refused
from mimosaloom_policy import (
    AppendFate,
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

# A claim that is not decided by then is given up, so that an outage of the log holds
# no request back.
CLAIM_TIMEOUT_S = 2.0
BATCH_INTERVAL_S = 0.02
APPEND_GIVE_UP = timedelta(seconds=1)
RETRY_AFTER_S = 2.0
DEFAULT_LIMITS = ClaimLimits()


class _ClaimMessage(msgspec.Struct, frozen=True):
    key: str
    claimant: str


class _RecordMessage(msgspec.Struct, frozen=True):
    id: str
    claims: list[_ClaimMessage]


class LogClaims:
    """The claims of one node incarnation.

    Args:
        service: Service of the node's target.
        claimant: Upstream and incarnation of the node, see `format_owner`.
        client: Client of the log service; closed with the claims.
        clock: Source of time.
        wait: Length of one long poll.
        limits: Bounds; the same on all nodes.
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
        self._book = ClaimBook(claimant, self._replay.find, limits)
        self._has_wishes = asyncio.Event()
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Begin to read and to append; returns at once."""
        follow = follow_stream(self._client, self._stream, self._apply, wait=self._wait)
        self._tasks = [
            asyncio.ensure_future(follow),
            asyncio.ensure_future(self._append_wishes()),
        ]

    async def close(self) -> None:
        """End the work in the background and close the client."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def claim(
        self, key: str, deadline_s: float
    ) -> Mine | OwnedBy | Refused | Failed:
        """Find out who may run a key; it is claimed if nobody has yet.

        Args:
            key: The key.
            deadline_s: End of the wait, on the monotonic clock.
        """
        verdict = self._book.request(key, self._wall_s())
        self._has_wishes.set()
        left_s = deadline_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(min(left_s, CLAIM_TIMEOUT_S)):
                while not isinstance(verdict, Claimed | Undecided):
                    verdict = await self._next_verdict(key)
        except TimeoutError:
            return self._withdraw(key)
        if isinstance(verdict, Undecided):
            detail = "who claimed the key can't be told any more"
            return Failed(Kind.OUTCOME_UNKNOWN, detail)
        if verdict.claimant != self._claimant:
            return OwnedBy(verdict.claimant)
        # The run table lets a key run once however often it starts here.
        self._book.start(key, self._wall_s())
        return Mine()

    async def _next_verdict(self, key: str) -> Verdict:
        await self._changed.wait()
        return self._replay.find(key, self._wall_s())

    def _withdraw(self, key: str) -> Refused | Failed:
        if self._book.withdraw(key, self._wall_s()) is Withdrawal.NOT_RUN:
            detail = "the log service takes no claim on the key now"
            return Refused(Kind.NO_UPSTREAM, detail, RETRY_AFTER_S)
        return Failed(Kind.OUTCOME_UNKNOWN, "the claim on the key is not decided")

    async def _append_wishes(self) -> None:
        while True:
            await self._has_wishes.wait()
            await asyncio.sleep(BATCH_INTERVAL_S)
            self._has_wishes.clear()
            record_id = self._client.new_record_id()
            record = self._book.take_record(record_id, self._wall_s())
            if record is None:
                continue
            # More claims may wait than one record holds, or this append may fail.
            self._has_wishes.set()
            await self._append(record)

    async def _append(self, record: ClaimRecord) -> None:
        claims = [claim._asdict() for claim in record.claims]
        outcome = await self._client.append(
            self._stream,
            {"id": record.record_id, "claims": claims},
            give_up_after=APPEND_GIVE_UP,
        )
        match outcome:
            case Appended():
                fate = AppendFate.TAKEN
            case NotAppended(reason):
                fate = AppendFate.NOT_TAKEN
                log_message(message_type="claims_not_appended", reason=reason)
            case _:
                fate = AppendFate.UNKNOWN
        self._book.settle_append(record.record_id, fate)

    def _apply(self, page: Page) -> None:
        wall_s = self._wall_s()
        for record in page.records:
            claims = self._read_record(record.value)
            self._replay.apply(record.offset, claims, wall_s)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _read_record(self, value: object) -> ClaimRecord:
        """Return the claims of a record; none if it is not valid."""
        try:
            message = msgspec.convert(value, _RecordMessage)
        except msgspec.ValidationError:
            self.bad_records += 1
            return ClaimRecord("", ())
        claims = tuple(Claim(c.key, c.claimant) for c in message.claims)
        return ClaimRecord(message.id, claims)

    def _wall_s(self) -> float:
        return self._clock.now().timestamp()
