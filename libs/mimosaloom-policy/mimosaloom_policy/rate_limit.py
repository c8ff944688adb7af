"""Rate of requests to one target, as the target asks for it.

A target in need names the rate that it takes from all nodes together, in each of its
answers. Only the node beside it sends requests to it, so that node keeps the rate.
"""

import math

__all__ = ["RateLimit", "TokenBucket"]

# Time without requests after which a target may get several at once.
BURST_S = 0.25
# A single answer without the limit may be a faulty one.
HOLD_S = 1.0
# A target that takes nothing still gets a request now and then, whose answer shows
# whether it has recovered.
MIN_RATE_PER_S = 0.25
# Bounds how long a caller stays away after the target has recovered.
MAX_PAUSE_S = 2.0


class TokenBucket:
    """Tokens that accrue at a rate, up to a maximum.

    Args:
        rate_per_s: Tokens a second.
        capacity: Maximum number of tokens.
        tokens: Number of tokens at the start.
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, rate_per_s: float, capacity: float, tokens: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = tokens
        self._at_s = now_s

    def has_token(self, now_s: float) -> bool:
        """Return whether a token can be taken."""
        tokens = self._tokens + (now_s - self._at_s) * self._rate_per_s
        self._tokens, self._at_s = min(tokens, self._capacity), now_s
        return self._tokens >= 1

    def set_rate(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change the rate and the maximum; tokens up to the new maximum are kept."""
        self.has_token(now_s)
        self._rate_per_s, self._capacity = rate_per_s, capacity
        self._tokens = min(self._tokens, capacity)

    def try_take(self, now_s: float) -> bool:
        """Take a token; return False if there is none."""
        if not self.has_token(now_s):
            return False
        self._tokens -= 1
        return True


class RateLimit:
    """Keeps the rate that a target has named, and spreads callers over time.

    This protects a target in need from requests that it would fail, whatever number of
    slots it has free.

    Attributes:
        rate_per_s: Requests a second that the target takes; infinite without a limit.
    """

    def __init__(self):
        self.rate_per_s = math.inf
        self._bucket: TokenBucket | None = None
        self._named_at_s = 0.0
        self._was_answered = False
        self._next_return_s = 0.0

    @property
    def named_per_s(self) -> float | None:
        """Limit in force in requests/s; None without a limit."""
        return None if self._bucket is None else self.rate_per_s

    def observe(self, named_per_s: float | None, now_s: float) -> None:
        """Record the limit in an answer of the target; None if it names none."""
        self._was_answered = True
        if named_per_s is not None:
            self._named_at_s = now_s
            self._set_rate(named_per_s, now_s)
        elif now_s - self._named_at_s >= HOLD_S:
            self.rate_per_s, self._bucket = math.inf, None

    def assume(self, named_per_s: float, now_s: float) -> None:
        """Keep a limit that another node knows until the target has answered here."""
        if not self._was_answered:
            self._set_rate(named_per_s, now_s)

    def may_start(self, now_s: float) -> bool:
        """Return whether the target may get a request now."""
        return self._bucket is None or self._bucket.has_token(now_s)

    def record_start(self, now_s: float) -> None:
        """Record that the target gets a request."""
        if self._bucket is not None:
            self._bucket.try_take(now_s)

    def reserve_pause_s(self, now_s: float) -> float:
        """Return how long a caller is to send its calls elsewhere; 0 for no time.

        Callers get different times, so that they return at the rate of the limit.
        """
        if self.may_start(now_s):
            return 0.0
        next_s = max(self._next_return_s, now_s) + 1 / self.rate_per_s
        self._next_return_s = min(next_s, now_s + MAX_PAUSE_S)
        return self._next_return_s - now_s

    def _set_rate(self, named_per_s: float, now_s: float) -> None:
        rate_per_s = max(MIN_RATE_PER_S, named_per_s)
        if rate_per_s == self.rate_per_s:
            return
        self.rate_per_s = rate_per_s
        capacity = max(1.0, BURST_S * rate_per_s)
        if self._bucket is None:
            self._bucket = TokenBucket(rate_per_s, capacity, 0.0, now_s)
        else:
            self._bucket.set_rate(rate_per_s, capacity, now_s)
