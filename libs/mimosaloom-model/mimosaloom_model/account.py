"""Rows of the log line `requests_counted`, which nodes write and commands read.

On a line, a row is an array of the values of its fields, in their order.
"""

from enum import StrEnum
from typing import Annotated, Self

import msgspec

__all__ = [
    "COUNTS_MESSAGE_TYPE",
    "OTHER",
    "BegunBy",
    "EndKind",
    "HopCounts",
    "Place",
    "RequestCounts",
    "UpstreamCounts",
]

COUNTS_MESSAGE_TYPE = "requests_counted"
# Stands for all names that have no row of their own.
OTHER = "other"


# Readers take a line with larger values for one that is not valid.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_TimeMs = Annotated[float, msgspec.Meta(ge=0, le=2**53)]


class BegunBy(StrEnum):
    """Who has sent a request.

    Attributes:
        CLIENT: A client.
        TARGET: The target on the instance, as a call for a request that it works on.
    """

    CLIENT = "client"
    TARGET = "target"


class EndKind(StrEnum):
    """How a request or a hop has ended.

    Attributes:
        IN_TIME: The request was answered below 500 within the objective of its route,
            or the route has none.
        LATE: The request was answered below 500 after that.
        ANSWERED: The target answered the hop below 500.
        OWN_FAILURE: The target answered with 500 or above.
        REJECTED: The target rejected the hop without running it.
        REFUSED: A node refused it, and it has not run.
        FAILED: No target answered, and it may have run.
        CANCELLED: The sender left before the answer.
    """

    IN_TIME = "in_time"
    LATE = "late"
    ANSWERED = "answered"
    OWN_FAILURE = "own_failure"
    REJECTED = "rejected"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Place(StrEnum):
    """Where the outcome of a request without an answer was decided.

    Attributes:
        ORIGIN: At its origin, which sent it to no target.
        HOP: At the upstream of its last attempt, or on the way there.
    """

    ORIGIN = "origin"
    HOP = "hop"


class _Row(msgspec.Struct, array_like=True):
    """Row of names and sums."""

    @property
    def key(self) -> tuple[str, ...]:
        """Values of the fields that name the row, which are those without a default."""
        names = self.__struct_fields__[: -len(self.__struct_defaults__)]
        return tuple(getattr(self, name) for name in names)

    def add(self, other: Self) -> None:
        """Add the sums of another row, and keep the larger of each maximum."""
        for name in self.__struct_fields__[-len(self.__struct_defaults__) :]:
            mine, more = getattr(self, name), getattr(other, name)
            total = max(mine, more) if name.startswith("max_") else mine + more
            setattr(self, name, total)


class RequestCounts(_Row):
    """Counts of requests at their origin.

    Attributes:
        class_name: Name of the request class; empty before a route was matched.
        organisation: Name of the organisation of the caller; empty for none.
        service: Service that is to run the requests.
        begun_by: Who has sent them.
        end: How they have ended.
        kind: Why they were not answered, or the status of a failure of the target.
        place: Where the outcome was decided, a `Place`; empty for answers.
        count: Number of requests.
        elapsed_ms: Sum of the times from their arrival to their end.
        max_elapsed_ms: Longest of these times.
        reached: Number of those that have reached a target.
        before_target_ms: Sum, over these, of the times from the arrival to the start of
            the first attempt that reached a target.
        hops: Number of attempts that may have run on a target.
    """

    class_name: str
    organisation: str
    service: str
    begun_by: BegunBy
    end: EndKind
    kind: str
    place: str
    count: _Count = 0
    elapsed_ms: _TimeMs = 0.0
    max_elapsed_ms: _TimeMs = 0.0
    reached: _Count = 0
    before_target_ms: _TimeMs = 0.0
    hops: _Count = 0


class UpstreamCounts(_Row):
    """Counts of requests at their origin, by the upstream of the last attempt.

    Attributes:
        upstream: Name of the node beside the target.
        end: How the requests have ended.
        kind: Why they were not answered, or the status of a failure of the target.
        count: Number of requests.
    """

    upstream: str
    end: EndKind
    kind: str
    count: _Count = 0


class HopCounts(_Row):
    """Counts of hops at the node beside their target.

    Attributes:
        class_name: Name of the request class.
        organisation: Name of the organisation of the caller; empty for none.
        end: How the hops have ended.
        kind: Why they were not answered, or the status of a failure of the target.
        count: Number of hops.
        wait_ms: Sum of the times for which they waited for a slot of the target.
        max_wait_ms: Longest of these times.
        busy_ms: Sum of the times for which they held a slot.
    """

    class_name: str
    organisation: str
    end: EndKind
    kind: str
    count: _Count = 0
    wait_ms: _TimeMs = 0.0
    max_wait_ms: _TimeMs = 0.0
    busy_ms: _TimeMs = 0.0
