"""Sizes of answers, learned by request class, and a budget of bytes that are held."""

import math

from .bodies import MAX_BUFFERED_BYTES

__all__ = ["AnswerSizes", "ByteBudget"]

# Number of answers after which an unusually large one starts to be forgotten.
WINDOW_ANSWERS = 512


class AnswerSizes:
    """Largest recent answers of each request class.

    Answers the load of clients that send many requests on a connection before they read
    the first answer: how much memory a further request may take is decided before it
    starts, when its answer is not known.
    """

    def __init__(self):
        # By class: answers in this window, the largest of them, that of the one before.
        self._windows: dict[str, tuple[int, int, int]] = {}

    def record(self, class_name: str, size_bytes: int) -> None:
        """Record the size of an answer; a streamed one counts as more than buffered."""
        count, largest, before = self._windows.get(class_name, (0, 0, 0))
        if count == WINDOW_ANSWERS:
            count, largest, before = 0, 0, largest
        self._windows[class_name] = (count + 1, max(largest, size_bytes), before)

    def expect(self, class_name: str) -> int:
        """Return the bytes that an answer may have; if not known, all that fit."""
        window = self._windows.get(class_name)
        return MAX_BUFFERED_BYTES if window is None else max(window[1:])

    def drop_unused(self, class_names: set[str]) -> None:
        """Forget the classes that do not exist any more."""
        for name in self._windows.keys() - class_names:
            del self._windows[name]


class ByteBudget:
    """Bytes and started requests that all connections of a process have together.

    The limits hold for requests that start beside others of their connection.

    Args:
        limit_bytes: Bytes that may be held.

    Attributes:
        used_bytes: Bytes that are held or reserved.
        limit_requests: Requests that may be started.
        used_requests: Requests that are started and not answered.
    """

    def __init__(self, limit_bytes: float):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.limit_requests = math.inf
        self.used_requests = 0

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a further request may start and hold some bytes."""
        return (
            self.used_requests < self.limit_requests
            and self.used_bytes + size_bytes <= self.limit_bytes
        )
