"""Error kinds, and the table that gives the HTTP answer of each kind.

The list of kinds is closed: every answer that mimosaloom itself gives, instead of the
target, has one of them.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ERROR_ANSWERS", "ErrorAnswer", "ErrorKind", "Ran"]


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


class ErrorKind(StrEnum):
    """Reason why mimosaloom itself answers a call, instead of the target.

    The table `ERROR_ANSWERS` describes each kind.
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
    UNKNOWN_CREDENTIAL = "unknown_credential"
    UNKNOWN_PARENT = "unknown_parent"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    QUARANTINED = "quarantined"
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


class ErrorAnswer(NamedTuple):
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


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, False, Ran.NO, "The request is malformed; correct it before sending."
    ),
    ErrorKind.BAD_CONTEXT: ErrorAnswer(
        400, False, Ran.NO, "The Mimosaloom-Context header is invalid."
    ),
    ErrorKind.CONTEXT_MISSING: ErrorAnswer(
        400,
        False,
        Ran.NO,
        "A sub-call must carry the Mimosaloom-Context header of its parent call.",
    ),
    ErrorKind.DEPTH_EXCEEDED: ErrorAnswer(
        400, False, Ran.NO, "The call chain is deeper than the limit."
    ),
    ErrorKind.UNKNOWN_CLASS: ErrorAnswer(
        400, False, Ran.NO, "The request class is not declared."
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(
        404, False, Ran.NO, "The service is not declared."
    ),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(
        404, False, Ran.NO, "No route matches the host and path."
    ),
    ErrorKind.NOT_CONFIGURED: ErrorAnswer(
        503, True, Ran.NO, "The node has not received a configuration yet."
    ),
    ErrorKind.MISDIRECTED: ErrorAnswer(
        503, True, Ran.NO, "Another service or upstream answers at this address."
    ),
    ErrorKind.TARGET_UNAVAILABLE: ErrorAnswer(
        503, True, Ran.NO, "The target has not announced itself or can't be reached."
    ),
    ErrorKind.TARGET_REJECTED: ErrorAnswer(
        503, True, Ran.NO, "The target rejected the call before it began to run."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
        413, False, Ran.NO, "The request body is over the limit of the service."
    ),
    ErrorKind.KEY_CONFLICT: ErrorAnswer(
        422, False, Ran.NO, "The idempotency key was used with another body."
    ),
    ErrorKind.UNKNOWN_CREDENTIAL: ErrorAnswer(
        401, False, Ran.NO, "The request has no key that an organisation holds."
    ),
    ErrorKind.UNKNOWN_PARENT: ErrorAnswer(
        503, True, Ran.NO, "The request that makes this call does not run here."
    ),
    ErrorKind.OVER_QUOTA: ErrorAnswer(
        429, True, Ran.NO, "The organisation has used up its quota for now."
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        503, True, Ran.NO, "The service has no capacity for this request class now."
    ),
    ErrorKind.QUEUE_TIMEOUT: ErrorAnswer(
        503, True, Ran.NO, "The call waited too long for a free slot."
    ),
    ErrorKind.DRAINING: ErrorAnswer(503, True, Ran.NO, "The target is leaving."),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(
        503, True, Ran.NO, "No upstream of the service is available."
    ),
    ErrorKind.QUARANTINED: ErrorAnswer(
        503, True, Ran.NO, "Targets have ended while they ran this request."
    ),
    ErrorKind.CONNECT_FAILED: ErrorAnswer(
        503, True, Ran.NO, "No connection to the upstream could be opened."
    ),
    ErrorKind.CONNECTION_LIMIT: ErrorAnswer(
        503, True, Ran.NO, "All connections to the upstream are in use."
    ),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorAnswer(
        503, False, Ran.NO, "The time left is too short for the call to finish."
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        504, True, Ran.MAYBE, "The call did not finish within its deadline."
    ),
    ErrorKind.CONNECTION_LOST: ErrorAnswer(
        502, True, Ran.MAYBE, "The connection was lost before the answer was complete."
    ),
    ErrorKind.ANSWER_TRUNCATED: ErrorAnswer(
        502, True, Ran.MAYBE, "The answer was cut short."
    ),
    ErrorKind.ANSWER_MISMATCH: ErrorAnswer(
        502, True, Ran.MAYBE, "The answer belongs to another call."
    ),
    ErrorKind.ANSWER_TOO_LARGE: ErrorAnswer(
        502, False, Ran.MAYBE, "The answer is over the limit of the service."
    ),
    ErrorKind.TARGET_FAILED: ErrorAnswer(
        502, True, Ran.YES, "The target failed to answer."
    ),
    ErrorKind.FAILED_DOWNSTREAM: ErrorAnswer(
        502, True, Ran.YES, "A deeper call failed after this one had started."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502, False, Ran.MAYBE, "Whether the request ran can't be determined."
    ),
    ErrorKind.CANCELLED: ErrorAnswer(
        499, False, Ran.MAYBE, "The caller closed its connection before the answer."
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, False, Ran.MAYBE, "The node met an internal error."
    ),
}
