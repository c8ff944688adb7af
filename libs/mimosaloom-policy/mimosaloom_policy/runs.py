"""Run table of a node: which keyed calls run, ran, or may never run."""

from typing import NamedTuple

from mimosaloom_model import Answered, Failed

__all__ = [
    "Blocked",
    "Conflict",
    "Done",
    "Join",
    "NotRun",
    "Replay",
    "Resolution",
    "Run",
    "RunDecision",
    "RunTable",
    "Running",
]


class Run(NamedTuple):
    """The call is the first with its key; run it."""


class Join(NamedTuple):
    """The call with this key runs now; wait for its end."""


class Replay(NamedTuple):
    """The call with this key has ended with this result."""

    result: Answered | Failed


class Blocked(NamedTuple):
    """A tombstone forbids the key; the call must not run here."""


class Conflict(NamedTuple):
    """The key was used with another body."""


RunDecision = Run | Join | Replay | Blocked | Conflict


class Done(NamedTuple):
    """The call ended with this result."""

    result: Answered | Failed


class Running(NamedTuple):
    """The call still runs."""


class NotRun(NamedTuple):
    """The call never ran here and never will: a tombstone is recorded."""


Resolution = Done | Running | NotRun


class _Entry(NamedTuple):
    digest: str
    state: str
    result: Answered | Failed | None
    at_s: float


class RunTable:
    """Keeps each key from running more than once in this incarnation."""

    def __init__(self):
        self._entries: dict[str, _Entry] = {}

    def begin(self, key: str, digest: str, now_s: float) -> RunDecision:
        """Decide what to do with a call.

        Args:
            key: Key of the call, the same on each attempt.
            digest: Digest of the body.
            now_s: Current time on the monotonic clock.
        """
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = _Entry(digest, "running", None, now_s)
            return Run()
        if entry.state == "tombstone":
            return Blocked()
        if entry.digest != digest:
            return Conflict()
        return Join() if entry.result is None else Replay(entry.result)

    def finish(self, key: str, result: Answered | Failed, now_s: float) -> None:
        """Store the result of the run."""
        entry = self._entries[key]
        self._entries[key] = entry._replace(state="done", result=result, at_s=now_s)

    def abandon(self, key: str) -> None:
        """Forget a key whose call was refused before any part of it ran."""
        self._entries.pop(key, None)

    def resolve(self, key: str, now_s: float) -> Resolution:
        """Tell a caller what became of a call; an unseen key is forbidden for good."""
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = _Entry("", "tombstone", None, now_s)
            return NotRun()
        if entry.state == "tombstone":
            return NotRun()
        return Running() if entry.result is None else Done(entry.result)
