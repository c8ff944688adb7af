"""Client of the platform's log service.

The service keeps streams of records, numbered by offset. An append whose answer was
lost may have taken effect. The client therefore gives each record a unique id and
retries the append; readers skip records with an id that they have seen. If the client
gives up, the outcome says whether the record may be in the log.
"""

import asyncio
import random
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from mimosaloom_mesh.curl_client import (
    NO_ANSWER_STATUS,
    ClosableCurlClient,
    fetch_response,
)
from mimosaloom_model import Clock, LogServiceSettings
from mimosaloom_policy import Backoff

__all__ = [
    "AppendOutcome",
    "AppendUnknown",
    "Appended",
    "Backoff",
    "LogClient",
    "NotAppended",
    "OffsetExpired",
    "Page",
    "ReadFailed",
    "ReadOutcome",
    "Record",
    "follow_stream",
]

PAGE_RECORDS = 500
MAX_CLIENTS = 8
RECORD_ID_BITS = 96
CURL_COULDNT_CONNECT = 7
# The value may be any bytes: the greedy match extends it up to the last fields of the
# page.
_SINGLE_RECORD_PAGE = re.compile(
    rb"""\s*\{\s*"records"\s*:\s*\[\s*
    \{\s*"offset"\s*:\s*(?P<offset>\d+)\s*,\s*"value"\s*:(?P<value>.*)\}\s*\]\s*,
    \s*"first_offset"\s*:\s*(?P<first_offset>\d+)\s*,
    \s*"next_offset"\s*:\s*(?P<next_offset>\d+)\s*\}\s*""",
    re.DOTALL | re.VERBOSE,
)


@dataclass(frozen=True, slots=True)
class Appended:
    """The record is in the log at this offset, and possibly also at a lower one."""

    offset: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The record is not in the log: it was refused, or the service was unreachable."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """An answer was lost or unreadable; the record may be in the log."""

    reason: str


AppendOutcome = Appended | NotAppended | AppendUnknown


class Record(msgspec.Struct, frozen=True):
    """A record with its offset.

    Attributes:
        offset: Offset in the stream.
        raw: Encoded record as stored by the log service; identical for all readers.
    """

    offset: int
    raw: msgspec.Raw = msgspec.field(name="value")

    @property
    def value(self) -> object:
        """Decoded JSON value; None if the record cannot be decoded."""
        try:
            return msgspec.json.decode(self.raw)
        except (msgspec.DecodeError, UnicodeError, RecursionError):
            return None


class Page(msgspec.Struct, frozen=True):
    """Records of one read.

    Attributes:
        records: Records by ascending offset; empty if none arrived in time.
        first_offset: Oldest offset that the log service retains.
        next_offset: Offset at which the next read starts.
    """

    records: tuple[Record, ...]
    first_offset: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class OffsetExpired:
    """The requested offset has expired; `first_offset` is the oldest one retained."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The read failed: the log service gave no valid answer."""

    reason: str


ReadOutcome = Page | OffsetExpired | ReadFailed


class _Offset(msgspec.Struct):
    offset: int


class _FirstOffset(msgspec.Struct):
    first_offset: int


Sleep = Callable[[float], Awaitable[None]]


class LogClient:
    """Appends to and reads from the streams of the log service.

    It must be created while an event loop is running.

    Args:
        settings: URL of the log service and timeout of one attempt.
        clock: Clock for the time limit of an append with its retries.
        rng: Source of record ids and of the jitter of retries.
        sleep: Waits for a number of seconds between attempts.
    """

    def __init__(
        self,
        settings: LogServiceSettings,
        clock: Clock,
        rng: random.Random,
        *,
        sleep: Sleep = asyncio.sleep,
    ):
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._sleep = sleep
        self._client = ClosableCurlClient(force_instance=True, max_clients=MAX_CLIENTS)
        self._is_closed = False

    async def append(
        self, stream: str, record: dict, *, timeout: timedelta
    ) -> AppendOutcome:
        """Append a record, retrying until it is confirmed to be in the log.

        Args:
            stream: Name of the stream.
            record: JSON object; a unique `id` is added if it has none.
            timeout: Time after which no further attempt starts; at least one
                attempt is made.

        Returns:
            The outcome of all attempts. `NotAppended` only if no attempt can have
            appended the record.
        """
        record_with_id = {"id": self.new_record_id(), **record}
        give_up_at_s = self._clock.monotonic_s() + timeout.total_seconds()
        backoff = Backoff(self._rng)
        unknown: AppendUnknown | None = None
        while True:
            outcome = await self._append_once(stream, record_with_id)
            if isinstance(outcome, Appended):
                return outcome
            if isinstance(outcome, AppendUnknown):
                unknown = outcome
            delay_s = backoff.next_delay_s()
            if self._clock.monotonic_s() + delay_s >= give_up_at_s:
                return unknown or outcome
            await self._sleep(delay_s)

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = PAGE_RECORDS,
        wait: timedelta = timedelta(0),
    ) -> ReadOutcome:
        """Read records from an offset on, without retries.

        Args:
            stream: Name of the stream.
            start: Offset of the first record to return.
            limit: Maximum number of records to return.
            wait: Time for which the service may hold the request while there are no
                records (long poll).

        Returns:
            The records; `OffsetExpired` if the offset has expired; `ReadFailed` if the
            service gave no valid answer.
        """
        wait_s = wait.total_seconds()
        path = f"/streams/{stream}/records?from={start}&limit={limit}&wait_s={wait_s}"
        response = await self._fetch(path, timeout_s=wait_s + self._settings.timeout_s)
        if response.code not in (200, 410):
            return ReadFailed(_describe_response(response))
        try:
            if response.code == 410:
                gone = msgspec.json.decode(response.body, type=_FirstOffset)
                return OffsetExpired(gone.first_offset)
            return msgspec.json.decode(response.body, type=Page)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            if response.code == 200 and limit > 1:
                # Reads one record at a time: one bad record must not hide the others.
                return await self.read(stream, start, limit=1)
            single = _parse_single_record_page(response.body, start)
            return single or ReadFailed(f"unreadable page: {error}")

    def new_record_id(self) -> str:
        """Return a random id for a record."""
        return f"{self._rng.getrandbits(RECORD_ID_BITS):0{RECORD_ID_BITS // 4}x}"

    def new_backoff(self) -> Backoff:
        """Return a new backoff for the retries of a caller."""
        return Backoff(self._rng)

    async def wait(self, delay_s: float) -> None:
        """Wait between two attempts."""
        await self._sleep(delay_s)

    def close(self) -> None:
        """Close the connections; requests in progress are dropped."""
        if self._is_closed:
            return
        self._is_closed = True
        self._client.close()

    async def _append_once(self, stream: str, record: dict) -> AppendOutcome:
        response = await self._fetch(
            f"/streams/{stream}/records",
            timeout_s=self._settings.timeout_s,
            body=msgspec.json.encode(record),
        )
        if response.code == 200:
            try:
                return Appended(msgspec.json.decode(response.body, type=_Offset).offset)
            except msgspec.MsgspecError as error:
                return AppendUnknown(f"unreadable answer: {error}")
        if response.code == NO_ANSWER_STATUS and not _is_connect_error(response):
            return AppendUnknown(_describe_response(response))
        return NotAppended(_describe_response(response))

    async def _fetch(
        self, path: str, *, timeout_s: float, body: bytes | None = None
    ) -> HTTPResponse:
        request = HTTPRequest(
            self._settings.url.rstrip("/") + path,
            method="GET" if body is None else "POST",
            body=body,
            connect_timeout=self._settings.timeout_s,
            request_timeout=timeout_s,
        )
        return await fetch_response(self._client, request)


async def follow_stream(
    client: LogClient,
    stream: str,
    apply: Callable[[Page], None],
    *,
    start: int = 0,
    wait: timedelta = timedelta(seconds=5),
) -> None:
    """Read a stream until cancelled.

    Failed reads are retried with backoff. If the offset has expired, reading continues
    at the oldest offset retained. The offset never decreases.

    Args:
        client: Client of the log service.
        stream: Name of the stream.
        apply: Called with each page that holds records.
        start: Offset at which to start.
        wait: Duration of one long poll.
    """
    backoff = client.new_backoff()
    offset = start
    while True:
        outcome = await client.read(stream, offset, wait=wait)
        match outcome:
            case Page(records=records, next_offset=next_offset):
                backoff.reset()
                if records:
                    apply(outcome)
                offset = max(offset, next_offset)
            case OffsetExpired(first_offset=first_offset) if first_offset > offset:
                offset = first_offset
            case _:
                await client.wait(backoff.next_delay_s())


def _parse_single_record_page(body: bytes, start: int) -> Page | None:
    """Parse a page with one undecodable record; None if it is not such a page."""
    match = _SINGLE_RECORD_PAGE.fullmatch(body)
    if match is None or int(match["offset"]) != start:
        return None
    record = Record(start, msgspec.Raw(match["value"].strip()))
    return Page((record,), int(match["first_offset"]), int(match["next_offset"]))


def _is_connect_error(response: HTTPResponse) -> bool:
    # Without a connection, the request was not sent and nothing was appended.
    error = response.error
    return isinstance(error, CurlError) and error.errno == CURL_COULDNT_CONNECT


def _describe_response(response: HTTPResponse) -> str:
    if isinstance(response.error, HTTPError) and response.code == NO_ANSWER_STATUS:
        return f"no answer from the log service: {response.error.message}"
    return f"the log service answered {response.code}"
