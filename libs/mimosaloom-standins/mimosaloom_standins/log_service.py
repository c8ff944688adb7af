"""Stand-in for the append-only log service of the platform."""

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass, fields, replace
from typing import NamedTuple

from tornado.web import Application, RequestHandler

__all__ = ["LogOptions", "LogStore", "Page", "build_log_application"]

MAX_RECORD_BYTES = 65_536
MAX_PAGE_RECORDS = 1_000
MAX_WAIT_S = 30.0
# Size of the token bucket, in seconds of the append rate.
BURST_S = 0.25


@dataclass(frozen=True)
class LogOptions:
    """Behaviour of the log service; `POST /control` can change each field.

    Attributes:
        appends_per_s: Limit of the append rate over all streams, in appends per second.
        retention_s: Age in seconds after which a record expires; 0 for no limit.
        retention_records: Maximum number of records per stream; 0 for no limit.
        is_down: Answer 503 to all requests except those to `/control`.
        is_silent: Accept requests and never answer them, except those to `/control`.
        delay_s: Delay added to each answer except those of `/control`, in seconds.
        lose_answers: Number of the next appends that take effect but whose connection
            is closed without an answer.
    """

    appends_per_s: float = 300.0
    retention_s: float = 0.0
    retention_records: int = 0
    is_down: bool = False
    is_silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class _Record(NamedTuple):
    value: object
    appended_s: float


class _Stream:
    def __init__(self):
        self.first_offset = 0
        self.records: deque[_Record] = deque()
        self.next_append_event = asyncio.Event()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)


class Page(NamedTuple):
    """Result of a read.

    Attributes:
        records: JSON objects with `offset` and `value`.
        first_offset: Offset of the oldest record that has not expired.
        next_offset: Offset after the last record of the page; if `is_gone`, that after
            the last record of the stream.
        is_gone: Whether the record at the requested offset has expired.
    """

    records: list[dict]
    first_offset: int
    next_offset: int
    is_gone: bool


class LogStore:
    """Streams of records with limited retention and a limited append rate.

    Args:
        options: Initial behaviour.
        now_s: Current time on the monotonic clock, in seconds.

    Attributes:
        options: Current behaviour.
        appends: Number of records appended.
        rate_refusals: Number of appends refused by the rate limit.
    """

    def __init__(self, options: LogOptions, now_s: float):
        self.options = options
        self.appends = 0
        self.rate_refusals = 0
        self._streams: dict[str, _Stream] = {}
        self._tokens = self._bucket_size()
        self._refilled_s = now_s

    def append(self, name: str, value: object, now_s: float) -> int | None:
        """Append a record to a stream.

        Args:
            name: Name of the stream; a new name creates a stream.
            value: JSON value of the record.
            now_s: Current time on the monotonic clock, in seconds.

        Returns:
            Offset of the record, or None if the append rate is exceeded.
        """
        if not self._consume_token(now_s):
            self.rate_refusals += 1
            return None
        stream = self._get_stream(name)
        stream.records.append(_Record(value, now_s))
        self.appends += 1
        stream.next_append_event.set()
        stream.next_append_event = asyncio.Event()
        self._remove_expired(stream, now_s)
        return stream.next_offset - 1

    def read(self, name: str, start: int, limit: int, now_s: float) -> Page:
        """Read a page of a stream.

        Args:
            name: Name of the stream.
            start: Offset of the first record to read.
            limit: Maximum number of records.
            now_s: Current time on the monotonic clock, in seconds.
        """
        stream = self._get_stream(name)
        self._remove_expired(stream, now_s)
        if start < stream.first_offset:
            return Page([], stream.first_offset, stream.next_offset, True)
        skip = start - stream.first_offset
        values = [record.value for record in stream.records]
        records = [
            {"offset": start + index, "value": value}
            for index, value in enumerate(values[skip : skip + limit])
        ]
        return Page(records, stream.first_offset, start + len(records), False)

    def next_append_event(self, name: str) -> asyncio.Event:
        """Return the event that the next append to the stream sets."""
        return self._get_stream(name).next_append_event

    def update_options(self, changes: dict) -> None:
        """Change the behaviour.

        Args:
            changes: New values of options, by name.

        Raises:
            TypeError: If a name is not a field of `LogOptions`.
        """
        self.options = replace(self.options, **changes)

    def consume_lost_answer(self) -> bool:
        """Return whether to drop the answer of this append.

        If so, `lose_answers` is decremented.
        """
        if self.options.lose_answers < 1:
            return False
        self.update_options({"lose_answers": self.options.lose_answers - 1})
        return True

    def _get_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _bucket_size(self) -> float:
        return max(1.0, self.options.appends_per_s * BURST_S)

    def _consume_token(self, now_s: float) -> bool:
        refill = (now_s - self._refilled_s) * self.options.appends_per_s
        self._tokens = min(self._bucket_size(), self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _remove_expired(self, stream: _Stream, now_s: float) -> None:
        max_records = self.options.retention_records
        max_age_s = self.options.retention_s
        while stream.records and (
            (max_records and len(stream.records) > max_records)
            or (max_age_s and now_s - stream.records[0].appended_s > max_age_s)
        ):
            stream.records.popleft()
            stream.first_offset += 1


class _Handler(RequestHandler):
    def initialize(self, store: LogStore):
        self.store = store

    async def prepare(self):
        options = self.store.options
        if options.is_silent:
            await asyncio.Event().wait()
        if options.delay_s:
            await asyncio.sleep(options.delay_s)
        self.refuse_if_down()

    def refuse_if_down(self) -> bool:
        if self.store.options.is_down and not self._finished:
            self.answer(503, {"error": "the log service is down"})
        return self._finished

    def answer(self, status: int, body: dict) -> None:
        self.set_status(status)
        self.finish(json.dumps(body))


class _RecordsHandler(_Handler):
    async def post(self, name: str):
        try:
            value = json.loads(self.request.body)
        except ValueError:
            return self.answer(400, {"error": "expected a JSON value as the record"})
        if len(self.request.body) > MAX_RECORD_BYTES:
            return self.answer(
                413,
                {"error": f"expected at most {MAX_RECORD_BYTES} bytes in one record"},
            )
        offset = self.store.append(name, value, time.monotonic())
        if offset is None:
            self.set_header("Retry-After", "1")
            return self.answer(
                429, {"error": "the append rate is exceeded; retry later"}
            )
        if self.store.consume_lost_answer():
            self.detach().close()
            return None
        return self.answer(200, {"offset": offset})

    async def get(self, name: str):
        start = int(self.get_argument("from", "0"))
        limit = min(int(self.get_argument("limit", "100")), MAX_PAGE_RECORDS)
        wait_s = min(float(self.get_argument("wait_s", "0")), MAX_WAIT_S)
        page = self.store.read(name, start, limit, time.monotonic())
        if wait_s and not page.records and not page.is_gone:
            await self._wait_for_append(name, wait_s)
            if self.refuse_if_down():
                return
            page = self.store.read(name, start, limit, time.monotonic())
        if page.is_gone:
            self.answer(410, {"first_offset": page.first_offset})
            return
        self.answer(
            200,
            {
                "records": page.records,
                "first_offset": page.first_offset,
                "next_offset": page.next_offset,
            },
        )

    async def _wait_for_append(self, name: str, wait_s: float) -> None:
        next_append_event = self.store.next_append_event(name)
        try:
            await asyncio.wait_for(next_append_event.wait(), wait_s)
        except TimeoutError:
            return


class _ControlHandler(_Handler):
    async def prepare(self):
        """Do nothing: `/control` must answer during an outage in order to end it."""

    def post(self):
        changes = json.loads(self.request.body)
        unknown = set(changes) - {field.name for field in fields(LogOptions)}
        if unknown:
            return self.answer(400, {"error": f"unknown options: {sorted(unknown)}"})
        self.store.update_options(changes)
        return self.get()

    def get(self):
        state = {
            field.name: getattr(self.store.options, field.name)
            for field in fields(LogOptions)
        }
        state["appends"] = self.store.appends
        state["rate_refusals"] = self.store.rate_refusals
        self.answer(200, state)


def build_log_application(store: LogStore) -> Application:
    """Build the HTTP interface of the log service."""
    arguments = {"store": store}
    return Application(
        [
            (r"/streams/([A-Za-z0-9._-]+)/records", _RecordsHandler, arguments),
            (r"/control", _ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
