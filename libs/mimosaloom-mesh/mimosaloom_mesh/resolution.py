"""Messages with which a caller queries the state of a call."""

from typing import NamedTuple

import msgspec

from mimosaloom_model import Answered, ErrorKind, Failed
from mimosaloom_policy import ResolveState

__all__ = [
    "PING_PATH",
    "RESOLVE_PATH",
    "UNKNOWN_STATE",
    "ResolveAnswer",
    "ResolveRequest",
    "Resolved",
    "StoredResult",
    "decode_result",
    "encode_result",
    "interpret_resolve_answer",
]

PING_PATH = "/.mimosaloom/ping"
RESOLVE_PATH = "/.mimosaloom/resolve"
# The node does not know the state of the call.
UNKNOWN_STATE = "unknown"


class ResolveRequest(msgspec.Struct, frozen=True):
    """Queries the state of a call.

    Attributes:
        call_id: Id of the call.
        incarnation: Incarnation of the node that the call was sent to.
        stamp: Stamp that the attempt carried; empty if it carried none.
    """

    call_id: str
    incarnation: str
    stamp: str = ""


class StoredResult(msgspec.Struct, frozen=True):
    """The result of a call that has ended.

    Attributes:
        status: HTTP status of the target; 0 if the target gave no answer.
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
    """The state of a call.

    Attributes:
        call_id: Id of the call. The caller ignores an answer with another id.
        state: "done", "running", "not_run", "other_incarnation", or "unknown" if
            the node does not know the state.
        incarnation: Incarnation of the answering node.
        result: Result of a call that is done.
    """

    call_id: str
    state: str
    incarnation: str
    result: StoredResult | None = None


def encode_result(result: Answered | Failed) -> StoredResult:
    """Encode the result of a call for a message."""
    if isinstance(result, Answered):
        return StoredResult(result.status, list(result.headers), result.body)
    return StoredResult(kind=result.kind.value, detail=result.detail)


def decode_result(stored: StoredResult) -> Answered | Failed:
    """Decode the result of a call from a message."""
    if not stored.kind:
        headers = tuple(tuple(item) for item in stored.headers)
        return Answered(stored.status, headers, stored.body)
    return Failed(ErrorKind(stored.kind), stored.detail)


class Resolved(NamedTuple):
    """The resolved state of an attempt that may have run.

    Attributes:
        state: State that the node reported; `NO_ANSWER` if the node did not answer
            or does not know the state.
        result: Result of a call that is done.
    """

    state: ResolveState
    result: Answered | Failed | None = None


def interpret_resolve_answer(answer: ResolveAnswer, incarnation: str) -> Resolved:
    """Return the resolved state of a call that was sent to an incarnation."""
    if answer.incarnation != incarnation:
        return Resolved(ResolveState.OTHER_INCARNATION)
    if answer.state == ResolveState.DONE:
        if answer.result is None:
            return Resolved(ResolveState.NO_ANSWER)
        return Resolved(ResolveState.DONE, decode_result(answer.result))
    if answer.state in (ResolveState.RUNNING, ResolveState.NOT_RUN):
        return Resolved(ResolveState(answer.state))
    return Resolved(ResolveState.NO_ANSWER)
