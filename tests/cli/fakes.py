"""Fake log client over streams in memory, with scripted outcomes of appends."""

import itertools

import msgspec

from mimosaloom_node.log_client import Appended, OffsetExpired, Page, ReadFailed, Record

PAGE_RECORDS = 7


class FakeLog:
    """Log in memory that replaces the log client of all commands of a test.

    Attributes:
        streams: Values of each stream, by name; the index of a value is its offset.
        first_offset: Offset of the oldest record of the stream `config` that has not
            expired.
        is_down: Whether all reads fail.
        on_append: Called with each record before it is appended. If it returns an
            outcome, the record is not appended and this outcome is returned.
    """

    def __init__(self):
        self.streams = {}
        self.first_offset = 0
        self.is_down = False
        self.on_append = lambda record: None
        self._ids = itertools.count()

    def add(self, stream, value):
        """Append a value to a stream and return its offset."""
        values = self.streams.setdefault(stream, [])
        values.append(value)
        return len(values) - 1

    def client(self, _settings, _clock, _rng):
        """Return this log; replaces the constructor of `LogClient`."""
        return self

    async def append(self, stream, record, *, timeout):
        """Append a record or return the scripted outcome."""
        outcome = self.on_append(record)
        return outcome or Appended(self.add(stream, record))

    async def read(self, stream, start):
        """Return the next page of a stream."""
        if self.is_down:
            return ReadFailed("the log service answered 503")
        if stream == "config" and start < self.first_offset:
            return OffsetExpired(self.first_offset)
        values = self.streams.get(stream, [])[start : start + PAGE_RECORDS]
        records = tuple(
            Record(start + i, msgspec.Raw(msgspec.json.encode(value)))
            for i, value in enumerate(values)
        )
        return Page(records, self.first_offset, start + len(records))

    def new_record_id(self):
        """Return a new record id."""
        return f"id-{next(self._ids)}"

    def new_backoff(self):
        """Return a backoff without delays, which is this object."""
        return self

    def next_delay_s(self):
        """Return a delay of 0 s."""
        return 0.0

    async def wait(self, delay_s):
        """Return at once."""

    def close(self):
        """Do nothing."""
