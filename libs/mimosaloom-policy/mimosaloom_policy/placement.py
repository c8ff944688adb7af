"""Choice among upstreams by the expected finish of a request.

Answers uneven targets and requests: see docs/design/placement.md.
"""

from .work_cost import FinishEstimate

__all__ = ["FinishTable"]


class FinishTable:
    """Expected finish of requests at the upstreams of one service, for one caller."""

    def __init__(self):
        raise NotImplementedError

    def record(
        self,
        name: str,
        incarnation: str,
        class_name: str,
        estimate: FinishEstimate,
        now_s: float,
    ) -> None:
        """Record the estimate that came with an answer of an upstream's node."""
        raise NotImplementedError

    def expected_s(
        self, name: str, class_name: str, in_flight: int, now_s: float
    ) -> float | None:
        """Return the time until one more request would be done; None if not known.

        Args:
            name: Name of the upstream.
            class_name: Class of the request.
            in_flight: Own requests in progress there.
            now_s: Current time on the monotonic clock.
        """
        raise NotImplementedError
