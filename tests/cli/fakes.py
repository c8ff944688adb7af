"""A log client over a log in memory, with scripted outcomes of appends."""

import itertools

import msgspec

from mimosaloom_node.log_client import Appended, Gone, Page, Record, Unreadable

PAGE_RECORDS = 7


class FakeLog:
    """Streams in memory, shared by the clients of several commands.

    Attributes:
        streams: Values by stream and offset.
        first_offset: Oldest offset of the stream `config` that can be read.
        is_down: Whether nothing can be read.
        on_append: Called with each record before it is appended; a returned outcome
            is given instead of appending.
    """

    def __init__(self):
        self.streams = {}
        self.first_offset = 0
        self.is_down = False
        self.on_append = lambda record: None
        self._ids = itertools.count()

    def add(self, stream, value):
        """Append a value and return its offset."""
        values = self.streams.setdefault(stream, [])
        values.append(value)
        return len(values) - 1

    def client(self, _settings, _clock, _rng):
        """Return a client, as the constructor of `LogClient` does."""
        return self

    async def append(self, stream, record, *, give_up_after):
        """Append a record or return the scripted outcome."""
        outcome = self.on_append(record)
        return outcome or Appended(self.add(stream, record))

    async def read(self, stream, start):
        """Return the next page."""
        if self.is_down:
            return Unreadable("the log service answered 503")
        if stream == "config" and start < self.first_offset:
            return Gone(self.first_offset)
        values = self.streams.get(stream, [])[start : start + PAGE_RECORDS]
        records = tuple(
            Record(start + i, msgspec.Raw(msgspec.json.encode(value)))
            for i, value in enumerate(values)
        )
        return Page(records, self.first_offset, start + len(records))

    def new_record_id(self):
        """Return the next id."""
        return f"id-{next(self._ids)}"

    def new_backoff(self):
        """Return delays of zero."""
        return self

    def next_delay_s(self):
        """Return a delay of zero."""
        return 0.0

    async def wait(self, delay_s):
        """Return at once."""

    def close(self):
        """Do nothing."""
