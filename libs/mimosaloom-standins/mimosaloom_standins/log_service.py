"""Stand-in for the platform's append-only log service."""

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
# Appends that may come at once, as seconds of the append rate.
BURST_S = 0.25


@dataclass(frozen=True)
class LogOptions:
    """Behaviour of the service; `POST /control` changes each field.

    Attributes:
        appends_per_s: Appends taken per second over all streams.
        retention_s: Age in seconds after which a record is dropped; 0 keeps all.
        retention_records: Records kept per stream; 0 keeps all.
        is_down: Answer 503 to everything but `/control`.
        is_silent: Take requests and never answer them.
        delay_s: Time added to each answer.
        lose_answers: Number of coming appends that take effect although their
            connection is closed without an answer.
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
    at_s: float


class _Stream:
    def __init__(self):
        self.first_offset = 0
        self.records: deque[_Record] = deque()
        self.grown = asyncio.Event()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)


class Page(NamedTuple):
    """Result of a read.

    Attributes:
        records: Objects with `offset` and `value`.
        first_offset: Oldest offset that is still kept.
        next_offset: Offset after the last record of the page.
        is_gone: Whether the offset asked for is no longer kept.
    """

    records: list[dict]
    first_offset: int
    next_offset: int
    is_gone: bool


class LogStore:
    """Streams with offsets, limited retention and a limited append rate.

    Args:
        options: Initial behaviour.
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, options: LogOptions, now_s: float):
        self.options = options
        self.appends = 0
        self.rate_refusals = 0
        self._streams: dict[str, _Stream] = {}
        self._tokens = self._burst()
        self._filled_s = now_s

    def append(self, name: str, value: object, now_s: float) -> int | None:
        """Append a record.

        Returns:
            Its offset, or None if the append rate is exceeded.
        """
        if not self._take_token(now_s):
            self.rate_refusals += 1
            return None
        stream = self._stream(name)
        stream.records.append(_Record(value, now_s))
        self.appends += 1
        stream.grown.set()
        stream.grown = asyncio.Event()
        self._expire(stream, now_s)
        return stream.next_offset - 1

    def read(self, name: str, start: int, limit: int, now_s: float) -> Page:
        """Return up to `limit` records from the offset `start` on."""
        stream = self._stream(name)
        self._expire(stream, now_s)
        if start < stream.first_offset:
            return Page([], stream.first_offset, stream.next_offset, True)
        skip = start - stream.first_offset
        values = [record.value for record in stream.records]
        records = [
            {"offset": start + index, "value": value}
            for index, value in enumerate(values[skip : skip + limit])
        ]
        return Page(records, stream.first_offset, start + len(records), False)

    def grown(self, name: str) -> asyncio.Event:
        """Return the event that the next append to a stream sets."""
        return self._stream(name).grown

    def change(self, changes: dict) -> None:
        """Change the behaviour.

        Raises:
            TypeError: If a name is not a field of `LogOptions`.
        """
        self.options = replace(self.options, **changes)

    def take_lost_answer(self) -> bool:
        """Tell whether the answer of this append is to be lost."""
        if self.options.lose_answers < 1:
            return False
        self.change({"lose_answers": self.options.lose_answers - 1})
        return True

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _burst(self) -> float:
        return max(1.0, self.options.appends_per_s * BURST_S)

    def _take_token(self, now_s: float) -> bool:
        gained = (now_s - self._filled_s) * self.options.appends_per_s
        self._tokens = min(self._burst(), self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _expire(self, stream: _Stream, now_s: float) -> None:
        keep = self.options.retention_records
        age_s = self.options.retention_s
        while stream.records and (
            (keep and len(stream.records) > keep)
            or (age_s and now_s - stream.records[0].at_s > age_s)
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
            return self.answer(400, {"error": "a record is a JSON value"})
        if len(self.request.body) > MAX_RECORD_BYTES:
            return self.answer(413, {"error": f"over {MAX_RECORD_BYTES} bytes"})
        offset = self.store.append(name, value, time.monotonic())
        if offset is None:
            self.set_header("Retry-After", "1")
            return self.answer(429, {"error": "over the append rate"})
        if self.store.take_lost_answer():
            self.detach().close()
            return None
        return self.answer(200, {"offset": offset})

    async def get(self, name: str):
        start = int(self.get_argument("from", "0"))
        limit = min(int(self.get_argument("limit", "100")), MAX_PAGE_RECORDS)
        wait_s = min(float(self.get_argument("wait_s", "0")), MAX_WAIT_S)
        page = self.store.read(name, start, limit, time.monotonic())
        if wait_s and not page.records and not page.is_gone:
            await self._wait(name, wait_s)
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

    async def _wait(self, name: str, wait_s: float) -> None:
        grown = self.store.grown(name)
        try:
            await asyncio.wait_for(grown.wait(), wait_s)
        except TimeoutError:
            return


class _ControlHandler(_Handler):
    async def prepare(self):
        """Stay reachable in an outage, or the outage could not be ended."""

    def post(self):
        changes = json.loads(self.request.body)
        unknown = set(changes) - {field.name for field in fields(LogOptions)}
        if unknown:
            return self.answer(400, {"error": f"unknown options: {sorted(unknown)}"})
        self.store.change(changes)
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
    """Return the HTTP interface of a log service."""
    arguments = {"store": store}
    return Application(
        [
            (r"/streams/([A-Za-z0-9._-]+)/records", _RecordsHandler, arguments),
            (r"/control", _ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
