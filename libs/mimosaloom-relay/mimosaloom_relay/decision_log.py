"""Rate-limited log of decisions as JSON lines; writes never block the event loop."""

import os
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import msgspec
from eliot import (
    add_destinations,
    add_global_fields,
    log_message,
    remove_destination,
)

from mimosaloom_model import Clock
from mimosaloom_policy import TokenBucket

__all__ = ["DecisionLog", "Importance", "log_to_descriptor"]


class Importance(StrEnum):
    """Importance of a log line; each has its own rate limit."""

    CHANGE = "change"
    FAILURE = "failure"
    SUCCESS = "success"


# Rate limits in lines per second; a burst may have the lines of `_BURST_S` seconds.
# State changes and failures are needed to explain a user's complaint. Successes are
# only sampled.
_RATES_PER_S = {Importance.CHANGE: 40.0, Importance.FAILURE: 40.0}
_RATES_PER_S[Importance.SUCCESS] = 5.0
_BURST_S = 5.0
# A write of up to this size to a pipe is atomic.
MAX_LINE_BYTES = 4096


class DecisionLog:
    """Logs decisions with a rate limit for each importance.

    Args:
        clock: Source of time.
        count_dropped: Called with the importance of each line that is dropped.
    """

    def __init__(self, clock: Clock, count_dropped: Callable[[str], None]):
        self._clock = clock
        self._count_dropped = count_dropped
        now_s = clock.monotonic_s()
        self._buckets = {
            importance: TokenBucket(rate, rate * _BURST_S, rate * _BURST_S, now_s)
            for importance, rate in _RATES_PER_S.items()
        }
        self._dropped: Counter[Importance] = Counter()

    def has_room(self, importance: Importance) -> bool:
        """Return whether a line would be logged now; if not, count it as dropped.

        This saves the cost of building the fields of lines that are dropped.
        """
        if self.can_write(importance):
            return True
        self._count_drop(importance)
        return False

    def can_write(self, importance: Importance) -> bool:
        """Return whether a line would be logged now; count nothing.

        For lines that are written later if there is no room now.
        """
        return self._buckets[importance].has_token(self._clock.monotonic_s())

    def write(self, importance: Importance, message_type: str, **fields) -> None:
        """Log a line unless the rate limit of its importance is reached."""
        if not self._buckets[importance].try_take(self._clock.monotonic_s()):
            self._count_drop(importance)
            return
        dropped = self._dropped.pop(importance, 0)
        if dropped:
            # The next line that is logged reports how many were dropped before it.
            fields["dropped_before"] = dropped
        log_message(message_type=message_type, **fields)

    def _count_drop(self, importance: Importance) -> None:
        self._dropped[importance] += 1
        self._count_dropped(importance)

    def change(self, message_type: str, **fields) -> None:
        """Log a change of the state of this node, or of the known state of others."""
        self.write(Importance.CHANGE, message_type, **fields)

    def failure(self, message_type: str, **fields) -> None:
        """Log a decision on a request that was refused or failed."""
        self.write(Importance.FAILURE, message_type, **fields)

    def success(self, message_type: str, **fields) -> None:
        """Log a decision on a request that was answered successfully."""
        self.write(Importance.SUCCESS, message_type, **fields)


def log_to_descriptor(
    descriptor: int, count_dropped: Callable[[str], None], **fields: str
) -> Callable[[], None]:
    """Write all log messages to a descriptor; drop them while it can't be written.

    Args:
        descriptor: Descriptor of an open file or pipe; made non-blocking.
        count_dropped: Called with the reason for each line that could not be written.
        fields: Fields that are added to each message.

    Returns:
        A function that stops the writing.
    """
    os.set_blocking(descriptor, False)
    encode = msgspec.json.Encoder(enc_hook=str).encode

    def write_line(message: dict) -> None:
        line = encode(message) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            count_dropped("too_long")
            return
        try:
            os.write(descriptor, line)
        except OSError:
            # The descriptor is full or closed, so the error can't be logged either.
            count_dropped("unwritable")

    add_destinations(write_line)
    add_global_fields(**fields)
    return lambda: remove_destination(write_line)
