"""What a target says about itself in the headers of its answers."""

import math
from typing import NamedTuple

from mimosaloom_mesh.messages import Headers, find_header

from .hop_messages import HeaderNames

__all__ = ["TargetSignals", "read_target_signals"]


class TargetSignals(NamedTuple):
    """Signals in one answer of a target.

    Attributes:
        rate_limit_per_s: Requests a second that the target takes from all nodes
            together; None if it names no limit.
        is_leaving: Whether the target leaves and takes no new requests.
    """

    rate_limit_per_s: float | None
    is_leaving: bool


def read_target_signals(headers: Headers, names: HeaderNames) -> TargetSignals:
    """Return the signals in the headers of an answer; ignore values that make no sense.

    Args:
        headers: Headers of the answer.
        names: Header names that targets use.
    """
    return TargetSignals(
        _parse_rate(find_header(headers, names.rate_limit)),
        find_header(headers, names.leaving) == "1",
    )


def _parse_rate(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
