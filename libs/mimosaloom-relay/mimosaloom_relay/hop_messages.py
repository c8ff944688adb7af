"""Messages that nodes exchange on a hop, one header in each direction."""

from typing import NamedTuple, TypeVar

import msgspec

from mimosaloom_mesh.headers import CONNECTION_HEADERS
from mimosaloom_mesh.messages import Headers
from mimosaloom_model import ErrorKind

from .decoding import decode_json

__all__ = [
    "HOP_HEADER",
    "HOP_RESULT_HEADER",
    "NO_RANK",
    "REQUESTER_HEADER",
    "HeaderNames",
    "HopContext",
    "HopResult",
    "Requester",
    "decode_header",
    "encode_header",
    "forwarded_headers",
    "read_kind",
]

HOP_HEADER = "Mimosaloom-Hop"
REQUESTER_HEADER = "Mimosaloom-Requester"
HOP_RESULT_HEADER = "Mimosaloom-Hop-Result"
# Rank of a request that follows from its id and priority alone. The encoder compares
# defaults by identity, so only this object is left out of messages.
NO_RANK = -1.0
_T = TypeVar("_T", bound=msgspec.Struct)


class HeaderNames(NamedTuple):
    """Names of the headers that callers and targets use.

    Attributes:
        request_id: Id of a request; the target repeats it in its answer.
        timeout_ms: Remaining time of a request in milliseconds.
        expected_target: Id of the target that is to run a request.
        caller_service: Service of the instance where a request entered.
        not_executed: Set by a target that rejected a request before running it.
        signature: Set by a target on each answer that it gives itself.
        target_id: Id of the target that answers a health check.
        rate_limit: Requests a second that a target takes from all nodes together.
        leaving: Set to 1 by a target that leaves.
        load: Running and waiting requests and slots of a target, and the pace of its
            machine in percent where it tells that.
        organisation: Name of the organisation that a target is told.
    """

    request_id: str
    timeout_ms: str
    expected_target: str
    caller_service: str
    not_executed: str
    signature: str
    target_id: str
    rate_limit: str
    leaving: str
    load: str
    organisation: str


class HopContext(msgspec.Struct, frozen=True, omit_defaults=True):
    """Context of a request that the origin sends to the node beside a target.

    Attributes:
        request_id: Id of the request.
        service: Service that is to run the request.
        route: Name of the request class.
        priority: Priority of the class; 0 is the highest.
        is_idempotent: Whether the request may run more than once.
        remaining_ms: Time until the deadline in milliseconds.
        caller_service: Service of the instance where the request entered.
        root_id: Id of the client's request that this request belongs to.
        depth: Depth in the call graph; 0 for a request of a client.
        attempt: Number of the attempt, starting at 1.
        is_repeat: Whether the request, or the one that makes this call, has reached a
            target before.
        origin: Address of the origin, as HOST:PORT.
        version: Version of the configuration in force at the origin.
        store_era: Era of the store at the origin's last call to it; 0 if not known.
        records_offset: Offset up to which the origin has read the records of nodes in
            that era; 0 if not known.
        rate_limit_per_s: Rate limit that the target has named in an answer to the
            origin; 0 for none. A node that has restarted since does not know it.
        request_key: Key that is the same each time that a caller sends the request.
        is_trial: Whether the request is sent although targets have ended under it, as
            the time for which it was held back is over.
        quarantine_digest: Digest of the requests that the origin holds back.
        organisation: Name of the organisation of a request of a client; empty for none.
        rank: Rank of the root request by fair share; below 0 if it follows from its id
            and priority alone.
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
    store_era: int = 0
    records_offset: int = 0
    rate_limit_per_s: float = 0.0
    request_key: str = ""
    is_trial: bool = False
    quarantine_digest: int = 0
    organisation: str = ""
    rank: float = NO_RANK


class Requester(msgspec.Struct, frozen=True):
    """Node that sends a query to another one.

    Attributes:
        address: Address where that node accepts hops, as HOST:PORT.
        version: Version of the configuration in force there; 0 for none.
    """

    address: str
    version: int


class HopResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a hop that the node beside a target adds to the answer.

    Attributes:
        kind: Why the node answered in place of the target; empty for the target's own
            answer.
        detail: Human-readable explanation of the kind.
        retry_after_s: Delay in seconds before a retry; 0 if not known.
        was_sent: Whether the request reached the target.
        incarnation: Incarnation of the node.
        version: Version of the configuration in force at the node.
        store_era: Era of the store at the node's last call to it; 0 if not known.
        records_offset: Offset up to which the node has read the records of nodes in
            that era; 0 if not known.
        level: Admission level of the target.
        level_below: Lowest admission level of the services that the class calls.
        load: Running and queued calls, relative to the slots that admission uses.
        is_own_failure: Whether the target failed although all of its calls were
            answered.
        rate_limit_per_s: Rate limit that the target has named; 0 for none.
        pause_s: How long the origin is to prefer other upstreams.
        left_start: Key of the start of the target that leaves, as it has said in this
            answer; empty if it has not.
        ended_start: Key of the start of the target that has ended while it had the
            request; empty if it has not.
        quarantine_digest: Digest of the requests that the node holds back.
        wait_s: Expected wait in seconds of one more request of the class.
        service_s: Own work of such a request in seconds at the present pace of the
            target; 0 if not known.
    """

    kind: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    was_sent: bool = False
    incarnation: str = ""
    version: int = 0
    store_era: int = 0
    records_offset: int = 0
    level: float = 1.0
    level_below: float = 1.0
    load: float = 0.0
    is_own_failure: bool = False
    rate_limit_per_s: float = 0.0
    pause_s: float = 0.0
    left_start: str = ""
    ended_start: str = ""
    quarantine_digest: int = 0
    wait_s: float = 0.0
    service_s: float = 0.0


def encode_header(value: msgspec.Struct) -> str:
    """Return a message encoded as a header value."""
    return msgspec.json.encode(value).decode("latin-1")


def decode_header(value: str | None, struct: type[_T]) -> _T | None:
    """Return the message from a header value; None if it is missing or not valid."""
    if value is None:
        return None
    return decode_json(value.encode("latin-1", "replace"), struct)


def read_kind(result: HopResult) -> ErrorKind | None:
    """Return why a node answered in place of the target; None if the target answered.

    A kind that is not known here, from a newer version, is read as an internal error,
    after which the request may have run.
    """
    if not result.kind:
        return None
    try:
        return ErrorKind(result.kind)
    except ValueError:
        return ErrorKind.INTERNAL


def forwarded_headers(
    headers: Headers, *, without: frozenset[str] = frozenset()
) -> Headers:
    """Return the end-to-end headers, without those of the connection.

    Args:
        headers: Headers as received.
        without: Further names, in lower case, to leave out.
    """
    kept = []
    options: set[str] = set()
    for item in headers:
        name = item[0].lower()
        if name == "connection":
            options.update(part.strip().lower() for part in item[1].split(","))
        elif name not in CONNECTION_HEADERS and name not in without:
            kept.append(item)
    if options:
        kept = [item for item in kept if item[0].lower() not in options]
    return tuple(kept)
