"""Holds back requests under which targets have ended, until one proves harmless.

A request that ends each target which runs it takes all targets of a service away from
all callers. From one end it can't be told from the requests that ran beside it. It can
from several, as those complete elsewhere and it never does.
"""

import random
import zlib
from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

__all__ = ["ENDS_BEFORE_HOLD", "EndEffect", "Quarantine", "SendPermission"]

# Number of ended targets from which on a request is held back.
ENDS_BEFORE_HOLD = 3
# The first hold; each further end multiplies it, up to the longest.
BASE_HOLD_S = 60.0
HOLD_GROWTH = 12
MAX_HOLD_S = 86400.0
# Holds differ by up to this share between nodes, so that they don't try a request at
# the same time. The first one that does tells the others how it ended.
HOLD_SPREAD_RATIO = 0.25
# After a hold, a node sends one request and waits this long for its outcome.
TRIAL_S = 10.0
# An answer clears a request for this long, also of an end that is heard of later.
CLEARED_S = 10.0
# Ends that lie further apart than this are not put down to the same request. A request
# that was held back is remembered for `MAX_HOLD_S` after its hold.
FORGET_S = 600.0
# Bounds on memory, in requests.
MAX_SUSPECTS = 4096
MAX_HELD = 1024
MAX_CLEARED = 8192
# Starts of targets that are remembered for one request. A start that is forgotten may
# be heard of again and then counts as another one.
MAX_STARTS = 8


class EndEffect(StrEnum):
    """What the end of a target says of a request that the target had.

    Attributes:
        SUSPECT: It makes the request more suspicious.
        KNOWN: The end was known.
        CLEARED: Nothing, as a target has answered the request a moment ago.
    """

    SUSPECT = "suspect"
    KNOWN = "known"
    CLEARED = "cleared"


class SendPermission(NamedTuple):
    """Whether a request may be sent to a target.

    Attributes:
        hold_s: For how long it is still held back; 0 if it may be sent.
        is_trial: Whether it is sent after a hold, to see whether it still ends targets.
    """

    hold_s: float
    is_trial: bool = False


class _Suspect:
    """What is known of one request.

    Attributes:
        starts: Last starts of targets that have ended while they had the request.
        ends: Number of ended targets.
        known_since_s: When the last of these ends became known, or the end of the hold
            that followed.
        hold_end_s: When the request may be tried again.
    """

    def __init__(self):
        self.starts: dict[str, None] = {}
        self.ends = 0
        self.known_since_s = 0.0
        self.hold_end_s = 0.0


class Quarantine:
    """Requests under which targets have ended, by the key of the request.

    Args:
        rng: Source of the spread between nodes.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._held: OrderedDict[str, _Suspect] = OrderedDict()
        self._cleared_s: OrderedDict[str, float] = OrderedDict()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Number that is equal on nodes which hold back the same; 0 for nothing."""
        return self._digest

    @property
    def held_count(self) -> int:
        """Number of requests that are held back, or tried again."""
        return len(self._held)

    def held_starts(self) -> dict[str, list[str]]:
        """Return the requests that are held back, by the starts that ended."""
        found: dict[str, list[str]] = {}
        for key, suspect in self._held.items():
            for start in suspect.starts:
                found.setdefault(start, []).append(key)
        return found

    def is_held(self, key: str) -> bool:
        """Return whether a request is held back, or tried again after a hold."""
        return key in self._held

    def count_ends(self, key: str) -> int:
        """Return under how many ended targets a request has been."""
        suspect = self._find(key)
        return 0 if suspect is None else suspect.ends

    def record_end(self, key: str, start_key: str, now_s: float) -> EndEffect:
        """Note that a target ended while it had a request.

        Args:
            key: Key of the request.
            start_key: Key of the start of the target.
            now_s: Time now on the monotonic clock.
        """
        if now_s - self._cleared_s.get(key, -CLEARED_S) < CLEARED_S:
            return EndEffect.CLEARED
        suspect = self._find(key)
        forget_s = MAX_HOLD_S if key in self._held else FORGET_S
        if suspect is None or now_s - suspect.known_since_s > forget_s:
            self._drop(key)
            suspect = self._suspects[key] = _Suspect()
        if start_key in suspect.starts:
            return EndEffect.KNOWN
        suspect.starts[start_key] = None
        if len(suspect.starts) > MAX_STARTS:
            del suspect.starts[next(iter(suspect.starts))]
        suspect.ends += 1
        suspect.known_since_s = now_s
        self._update_hold(key, suspect, now_s)
        return EndEffect.SUSPECT

    def record_answer(self, key: str, now_s: float) -> bool:
        """Note that a target has answered a request; return if it was a suspect."""
        cleared = self._cleared_s
        cleared.pop(key, None)
        cleared[key] = now_s
        while next(iter(cleared.values())) <= now_s - CLEARED_S:
            cleared.popitem(last=False)
        if len(cleared) > MAX_CLEARED:
            cleared.popitem(last=False)
        return self._drop(key)

    def find_hold_s(self, key: str, now_s: float) -> float:
        """Return for how long a request is still held back; 0 if it may be sent."""
        suspect = self._held.get(key)
        return 0.0 if suspect is None else max(0.0, suspect.hold_end_s - now_s)

    def try_send(self, key: str, now_s: float) -> SendPermission:
        """Return whether a request may be sent.

        The first one after a hold is a trial: until its outcome is known, no other is
        sent.
        """
        suspect = self._held.get(key)
        if suspect is None:
            return SendPermission(0.0)
        hold_s = suspect.hold_end_s - now_s
        if hold_s > 0:
            return SendPermission(hold_s)
        suspect.hold_end_s = now_s + TRIAL_S
        return SendPermission(0.0, is_trial=True)

    def _find(self, key: str) -> _Suspect | None:
        return self._held.get(key) or self._suspects.get(key)

    def _update_hold(self, key: str, suspect: _Suspect, now_s: float) -> None:
        extra_ends = suspect.ends - ENDS_BEFORE_HOLD
        if extra_ends < 0:
            self._suspects.move_to_end(key)
            if len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)
            return
        spread = self._rng.uniform(1, 1 + HOLD_SPREAD_RATIO)
        hold_s = min(MAX_HOLD_S, BASE_HOLD_S * HOLD_GROWTH**extra_ends)
        suspect.hold_end_s = suspect.known_since_s = now_s + hold_s * spread
        if self._suspects.pop(key, None) is not None:
            self._held[key] = suspect
            self._digest ^= _digest_key(key)
        self._held.move_to_end(key)
        if len(self._held) > MAX_HELD:
            self._drop(next(iter(self._held)))

    def _drop(self, key: str) -> bool:
        if self._held.pop(key, None) is not None:
            self._digest ^= _digest_key(key)
            return True
        return self._suspects.pop(key, None) is not None


def _digest_key(key: str) -> int:
    return zlib.crc32(key.encode())
