"""Error kinds, and the table that gives the HTTP answer of each kind.

The list of kinds is closed: every answer that mimosaloom itself gives, instead of the
target, has one of them.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ANSWERS", "Answer", "Kind", "Ran"]


class Ran(StrEnum):
    """Whether any part of a call ran.

    Attributes:
        NO: Nothing ran, so a retry can't run the call twice.
        MAYBE: Unknown; the call may have run.
        YES: At least a part of the call ran.
    """

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class Kind(StrEnum):
    """Reason why mimosaloom itself answers a call, instead of the target.

    The table `ANSWERS` describes each kind.
    """

    BAD_REQUEST = "bad_request"
    BAD_CONTEXT = "bad_context"
    CONTEXT_MISSING = "context_missing"
    DEPTH_EXCEEDED = "depth_exceeded"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_CONFIGURED = "not_configured"
    MISDIRECTED = "misdirected"
    TARGET_UNAVAILABLE = "target_unavailable"
    TARGET_REJECTED = "target_rejected"
    BODY_TOO_LARGE = "body_too_large"
    KEY_CONFLICT = "key_conflict"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LIMIT = "connection_limit"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CONNECTION_LOST = "connection_lost"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_MISMATCH = "answer_mismatch"
    ANSWER_TOO_LARGE = "answer_too_large"
    TARGET_FAILED = "target_failed"
    FAILED_DOWNSTREAM = "failed_downstream"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """Answer to a call that ends with a given error kind.

    Attributes:
        http_status: HTTP status code that the caller gets.
        is_retryable: Whether a retry may succeed. If `ran` is not `Ran.NO`, only calls
            of idempotent request classes may be retried.
        ran: Whether any part of the call ran.
        summary: One sentence for operators and for the bodies of refusals.
    """

    http_status: int
    is_retryable: bool
    ran: Ran
    summary: str


ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: Answer(
        400, False, Ran.NO, "The request is malformed; correct it before sending."
    ),
    Kind.BAD_CONTEXT: Answer(
        400, False, Ran.NO, "The Mimosaloom-Context header is invalid."
    ),
    Kind.CONTEXT_MISSING: Answer(
        400,
        False,
        Ran.NO,
        "A sub-call must carry the Mimosaloom-Context header of its parent call.",
    ),
    Kind.DEPTH_EXCEEDED: Answer(
        400, False, Ran.NO, "The call chain is deeper than the limit."
    ),
    Kind.UNKNOWN_CLASS: Answer(
        400, False, Ran.NO, "The request class is not declared."
    ),
    Kind.UNKNOWN_SERVICE: Answer(404, False, Ran.NO, "The service is not declared."),
    Kind.UNKNOWN_ROUTE: Answer(
        404, False, Ran.NO, "No route matches the host and path."
    ),
    Kind.NOT_CONFIGURED: Answer(
        503, True, Ran.NO, "The node has not received a configuration yet."
    ),
    Kind.MISDIRECTED: Answer(
        503, True, Ran.NO, "Another service or upstream answers at this address."
    ),
    Kind.TARGET_UNAVAILABLE: Answer(
        503, True, Ran.NO, "The target has not announced itself or can't be reached."
    ),
    Kind.TARGET_REJECTED: Answer(
        503, True, Ran.NO, "The target rejected the call before it began to run."
    ),
    Kind.BODY_TOO_LARGE: Answer(
        413, False, Ran.NO, "The request body is over the limit of the service."
    ),
    Kind.KEY_CONFLICT: Answer(
        422, False, Ran.NO, "The idempotency key was used with another body."
    ),
    Kind.OVERLOADED: Answer(
        503, True, Ran.NO, "The service has no capacity for this request class now."
    ),
    Kind.QUEUE_TIMEOUT: Answer(
        503, True, Ran.NO, "The call waited too long for a free slot."
    ),
    Kind.DRAINING: Answer(503, True, Ran.NO, "The target is leaving."),
    Kind.NO_UPSTREAM: Answer(
        503, True, Ran.NO, "No upstream of the service is available."
    ),
    Kind.CONNECT_FAILED: Answer(
        503, True, Ran.NO, "No connection to the upstream could be opened."
    ),
    Kind.CONNECTION_LIMIT: Answer(
        503, True, Ran.NO, "All connections to the upstream are in use."
    ),
    Kind.DEADLINE_TOO_SHORT: Answer(
        504, False, Ran.NO, "The time left is too short for the call to finish."
    ),
    Kind.DEADLINE_EXCEEDED: Answer(
        504, True, Ran.MAYBE, "The call did not finish within its deadline."
    ),
    Kind.CONNECTION_LOST: Answer(
        502, True, Ran.MAYBE, "The connection was lost before the answer was complete."
    ),
    Kind.ANSWER_TRUNCATED: Answer(502, True, Ran.MAYBE, "The answer was cut short."),
    Kind.ANSWER_MISMATCH: Answer(
        502, True, Ran.MAYBE, "The answer belongs to another call."
    ),
    Kind.ANSWER_TOO_LARGE: Answer(
        502, False, Ran.MAYBE, "The answer is over the limit of the service."
    ),
    Kind.TARGET_FAILED: Answer(502, True, Ran.YES, "The target failed to answer."),
    Kind.FAILED_DOWNSTREAM: Answer(
        502, True, Ran.YES, "A deeper call failed after this one had started."
    ),
    Kind.OUTCOME_UNKNOWN: Answer(
        502, False, Ran.MAYBE, "Whether the request ran can't be determined."
    ),
    Kind.CANCELLED: Answer(
        499, False, Ran.MAYBE, "The caller closed its connection before the answer."
    ),
    Kind.INTERNAL: Answer(500, False, Ran.MAYBE, "The node met an internal error."),
}
