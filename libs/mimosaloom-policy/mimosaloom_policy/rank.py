"""Rank of a request: its position in load shedding, the same at every hop."""

from mimosaloom_model import hash_to_unit_interval

__all__ = ["PRIORITY_COUNT", "rank_request"]

PRIORITY_COUNT = 8


def rank_request(request_id: str, priority: int) -> float:
    """Return the rank of a request; load shedding refuses high ranks first.

    The hash of the request id orders requests of one priority in the same way at
    every hop, so that all hops admit the same requests.

    Args:
        request_id: Id of the root request.
        priority: Priority of the request class, 0 (most important) to 7.

    Returns:
        A number in [0, 1).

    Raises:
        ValueError: If the priority is out of range.
    """
    if not 0 <= priority < PRIORITY_COUNT:
        raise ValueError(
            f"priority {priority} is out of range: use 0 to {PRIORITY_COUNT - 1}"
        )
    return (priority + hash_to_unit_interval(request_id)) / PRIORITY_COUNT
