"""What one more request would take at a target, learned by the node beside it.

Answers the load of requests that look alike and cost very different amounts of work, on
targets of different speed. See docs/design/placement.md.
"""

from typing import NamedTuple

__all__ = ["FinishEstimate", "WorkMeter"]


class FinishEstimate(NamedTuple):
    """When one more request of a class would be done at a target.

    Attributes:
        wait_s: Wait in seconds until a slot is free.
        service_s: Own work of the request in seconds at the present pace, without the
            time of the calls that it makes; 0 if not known.
    """

    wait_s: float = 0.0
    service_s: float = 0.0


class WorkMeter:
    """Measures the own work of requests on one start of a target.

    Args:
        slots: Number of requests that the target runs at once.
    """

    def __init__(self, slots: int):
        raise NotImplementedError

    def record_start(self, key: str, class_name: str, now_s: float) -> None:
        """Record that a request was sent to the target."""
        raise NotImplementedError

    def record_call_start(self, key: str, now_s: float) -> None:
        """Record that a running request has begun a call of its own."""
        raise NotImplementedError

    def record_call_end(self, key: str, now_s: float) -> None:
        """Record that a call of a running request has ended."""
        raise NotImplementedError

    def record_end(self, key: str, now_s: float, *, is_success: bool) -> None:
        """Record the end of a request; only successful ones are learned from."""
        raise NotImplementedError

    def observe_pace(self, pace: float | None, now_s: float) -> None:
        """Record the pace that the target tells: 1 as usual, 2 for twice as long."""
        raise NotImplementedError

    def estimate(self, class_name: str, queued: int, now_s: float) -> FinishEstimate:
        """Return the estimate for one more request of a class.

        Args:
            class_name: Class of the request.
            queued: Requests that wait for the target already.
            now_s: Current time on the monotonic clock.
        """
        raise NotImplementedError
