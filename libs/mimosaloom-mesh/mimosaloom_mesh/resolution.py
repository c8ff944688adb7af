"""Messages by which the caller's side learns what became of a call."""

from typing import NamedTuple

import msgspec

from mimosaloom_model import Answered, Failed, Kind
from mimosaloom_policy import ResolveState

__all__ = [
    "PING_PATH",
    "RESOLVE_PATH",
    "UNKNOWN_STATE",
    "ResolveAnswer",
    "ResolveRequest",
    "Resolved",
    "StoredResult",
    "read_resolved",
    "read_stored_result",
    "store_result",
]

PING_PATH = "/.mimosaloom/ping"
RESOLVE_PATH = "/.mimosaloom/resolve"
# The node can't tell what became of the call.
UNKNOWN_STATE = "unknown"


class ResolveRequest(msgspec.Struct, frozen=True):
    """Asks for the state of a call.

    Attributes:
        call_id: The call.
        incarnation: Incarnation of the node that the call was sent to.
        stamp: Stamp that the attempt carried; empty if it carried none.
    """

    call_id: str
    incarnation: str
    stamp: str = ""


class StoredResult(msgspec.Struct, frozen=True):
    """The result of a call that has ended.

    Attributes:
        status: HTTP status of the target; 0 if there is no answer of it.
        headers: Header names and values of the target's answer.
        body: Body of the target's answer.
        kind: Kind of the failure; empty for an answer of the target.
        detail: Detail of the failure.
    """

    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    kind: str = ""
    detail: str = ""


class ResolveAnswer(msgspec.Struct, frozen=True):
    """Tells the state of a call.

    Attributes:
        call_id: The call, so that an answer to another question is not taken.
        state: "done", "running", "not_run", "other_incarnation", or "unknown" if
            the node can't tell.
        incarnation: Incarnation of the answering node.
        result: The stored result of a call that is done.
    """

    call_id: str
    state: str
    incarnation: str
    result: StoredResult | None = None


def store_result(result: Answered | Failed) -> StoredResult:
    """Return the message form of a result."""
    if isinstance(result, Answered):
        return StoredResult(result.status, list(result.headers), result.body)
    return StoredResult(kind=result.kind.value, detail=result.detail)


def read_stored_result(stored: StoredResult) -> Answered | Failed:
    """Return the result that a message holds."""
    if not stored.kind:
        headers = tuple(tuple(item) for item in stored.headers)
        return Answered(stored.status, headers, stored.body)
    return Failed(Kind(stored.kind), stored.detail)


class Resolved(NamedTuple):
    """What is known about an attempt that may have run.

    Attributes:
        state: What the node said; `NO_ANSWER` if it can't tell.
        result: The result of a call that is done.
    """

    state: ResolveState
    result: Answered | Failed | None = None


def read_resolved(answer: ResolveAnswer, incarnation: str) -> Resolved:
    """Return what an answer says about a call to an incarnation."""
    if answer.incarnation != incarnation:
        return Resolved(ResolveState.OTHER_INCARNATION)
    if answer.state == ResolveState.DONE:
        if answer.result is None:
            return Resolved(ResolveState.NO_ANSWER)
        return Resolved(ResolveState.DONE, read_stored_result(answer.result))
    if answer.state in (ResolveState.RUNNING, ResolveState.NOT_RUN):
        return Resolved(ResolveState(answer.state))
    return Resolved(ResolveState.NO_ANSWER)
