"""What nodes tell each other on each hop, as one header in each direction."""

from typing import NamedTuple, TypeVar

import msgspec

from mimosaloom_mesh.headers import CONNECTION_HEADERS
from mimosaloom_mesh.messages import Headers
from mimosaloom_model import Kind

__all__ = [
    "HOP_HEADER",
    "HOP_RESULT_HEADER",
    "HeaderNames",
    "HopContext",
    "HopResult",
    "decode_header",
    "encode_header",
    "forwarded_headers",
    "read_kind",
]

HOP_HEADER = "Mimosaloom-Hop"
HOP_RESULT_HEADER = "Mimosaloom-Hop-Result"
_T = TypeVar("_T", bound=msgspec.Struct)


class HeaderNames(NamedTuple):
    """Names of the headers that callers and targets use.

    Attributes:
        request_id: Id of a request; the target repeats it in its answer.
        timeout_ms: Milliseconds that are left for a request.
        expected_target: Id of the target that is to run a request.
        caller_service: Service on whose instance a request began.
        not_executed: Set by a target that rejected a request before running it.
        signature: Set by a target on each answer of its own.
        target_id: Id of the target that answers a health check.
    """

    request_id: str
    timeout_ms: str
    expected_target: str
    caller_service: str
    not_executed: str
    signature: str
    target_id: str


class HopContext(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the origin tells the node beside a target about a request.

    Attributes:
        request_id: The request.
        service: Service that is to run it.
        route: Request class.
        priority: Priority of the class, 0 first.
        is_idempotent: Whether it may run more than once.
        remaining_ms: Time until its deadline.
        caller_service: Service on whose instance it began.
        root_id: The client's request that it belongs to.
        depth: 0 for a request of a client, one more for each call below it.
        attempt: Number of the attempt, from 1.
        is_repeat: Whether it, or the request that it belongs to, has reached a target
            before.
        origin: Address of the origin's node, as HOST:PORT.
        version: Configuration in force at the origin.
    """

    request_id: str
    service: str
    route: str
    priority: int
    is_idempotent: bool
    remaining_ms: int
    caller_service: str
    root_id: str
    depth: int = 0
    attempt: int = 1
    is_repeat: bool = False
    origin: str = ""
    version: int = 0


class HopResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the node beside a target adds to its answer.

    Attributes:
        kind: Why the node answered itself; empty for the target's own answer.
        detail: One sentence on that.
        retry_after_s: When to come back; 0 if not known.
        was_sent: Whether the request reached the target.
        incarnation: Incarnation of the node.
        version: Configuration in force at the node.
        level: Admission level of the target.
        level_below: Lowest level of the services that the class calls.
        load: Calls that run or wait, as a share of the slots.
        is_own_failure: Whether the target failed though all of its calls were answered.
    """

    kind: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    was_sent: bool = False
    incarnation: str = ""
    version: int = 0
    level: float = 1.0
    level_below: float = 1.0
    load: float = 0.0
    is_own_failure: bool = False


def encode_header(value: msgspec.Struct) -> str:
    """Return a message as the value of a header."""
    return msgspec.json.encode(value).decode("latin-1")


def decode_header(value: str | None, struct: type[_T]) -> _T | None:
    """Return the message in a header value; None if there is no valid one."""
    if value is None:
        return None
    try:
        return msgspec.json.decode(value.encode("latin-1"), type=struct)
    except (msgspec.MsgspecError, UnicodeError):
        return None


def read_kind(result: HopResult) -> Kind | None:
    """Return why a node answered itself; None for the target's own answer.

    A kind of a newer version counts as one after which the request may have run.
    """
    if not result.kind:
        return None
    try:
        return Kind(result.kind)
    except ValueError:
        return Kind.INTERNAL


def forwarded_headers(
    headers: Headers, *, without: frozenset[str] = frozenset()
) -> Headers:
    """Return the headers that don't concern only the connection they came on.

    Args:
        headers: Headers as received.
        without: Further names, in lower case, that the next hop must not see.
    """
    dropped = CONNECTION_HEADERS | without
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {part.strip().lower() for part in value.split(",")}
    return tuple(item for item in headers if item[0].lower() not in dropped)
