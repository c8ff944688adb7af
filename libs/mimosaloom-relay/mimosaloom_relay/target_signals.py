"""What a target says about itself in the headers of its answers."""

import math
from collections.abc import Callable
from typing import NamedTuple

from mimosaloom_mesh.messages import Headers, find_header
from mimosaloom_model import Clock
from mimosaloom_policy import MAX_PACE, MIN_PACE, RateLimit

from .decision_log import DecisionLog
from .hop_messages import HeaderNames
from .metrics import RelayMetrics
from .own_target import OwnTarget

__all__ = ["SignalMonitor", "TargetSignals", "read_target_signals"]

# Place of the pace in percent among the figures of the load header.
_PACE_INDEX = 3
_LOAD_FIGURES = 4


class TargetSignals(NamedTuple):
    """Signals in one answer of a target.

    Attributes:
        rate_limit_per_s: Requests a second that the target takes from all nodes
            together; None if it names no limit.
        is_leaving: Whether the target leaves and takes no new requests.
        pace: How long work takes on the target's machine now, 1 for as usual; None if
            the target does not tell it.
    """

    rate_limit_per_s: float | None
    is_leaving: bool
    pace: float | None = None


class SignalMonitor:
    """Applies the signals of the target beside a node, and logs their changes.

    Args:
        own_target: State of the target.
        names: Header names that the target uses.
        on_leaving: Called when the target has said for the first time that it leaves.
        clock: Source of time.
        log: Receives a line for each change.
        metrics: Shows the rate limit.
    """

    def __init__(
        self,
        own_target: OwnTarget,
        names: HeaderNames,
        on_leaving: Callable[[], None],
        *,
        clock: Clock,
        log: DecisionLog,
        metrics: RelayMetrics,
    ):
        self._own_target = own_target
        self._names = names
        self._on_leaving = on_leaving
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._last = TargetSignals(None, is_leaving=False)

    def apply(
        self, headers: Headers, start_key: str, rate_limit: RateLimit
    ) -> TargetSignals:
        """Apply and return the signals in an answer.

        Args:
            headers: Headers of the answer.
            start_key: Start of the target that the request was sent to.
            rate_limit: Rate limit of that start.
        """
        signals = read_target_signals(headers, self._names)
        own = self._own_target
        if signals.is_leaving and own.start_key == start_key and not own.is_leaving:
            own.mark_leaving(own.target_id)
            self._on_leaving()
        rate_limit.observe(signals.rate_limit_per_s, self._clock.monotonic_s())
        # The pace changes many times a second.
        logged = signals._replace(pace=None)
        if logged != self._last:
            self._last = logged
            self._metrics.target_rate_limit.set(signals.rate_limit_per_s or 0.0)
            self._log.change(
                "target_signals_changed",
                target_id=own.target_id,
                rate_limit_per_s=signals.rate_limit_per_s,
                is_leaving=signals.is_leaving,
            )
        return signals


def read_target_signals(headers: Headers, names: HeaderNames) -> TargetSignals:
    """Return the signals in the headers of an answer; ignore values that make no sense.

    Args:
        headers: Headers of the answer.
        names: Header names that targets use.
    """
    return TargetSignals(
        _parse_rate(find_header(headers, names.rate_limit)),
        find_header(headers, names.leaving) == "1",
        _parse_pace(find_header(headers, names.load)),
    )


def _parse_rate(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _parse_pace(value: str | None) -> float | None:
    """Return the pace in a load header; None without one that can be believed."""
    if value is None:
        return None
    figures = value.split(",")
    if len(figures) != _LOAD_FIGURES:
        return None
    try:
        pace = float(figures[_PACE_INDEX]) / 100
    except ValueError:
        return None
    return pace if MIN_PACE <= pace <= MAX_PACE else None
