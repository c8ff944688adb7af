"""Messages by which the caller's side learns what became of a call."""

import msgspec

from mimosaloom_model import Answered, Failed, Kind

__all__ = [
    "RESOLVE_PATH",
    "ResolveAnswer",
    "ResolveRequest",
    "ResolveState",
    "StoredResult",
    "read_stored_result",
    "store_result",
]

RESOLVE_PATH = "/.mimosaloom/resolve"


class ResolveState:
    """The states of a call as seen by the node that it was sent to."""

    DONE = "done"
    RUNNING = "running"
    NOT_RUN = "not_run"
    OTHER_INCARNATION = "other_incarnation"


class ResolveRequest(msgspec.Struct, frozen=True):
    """Asks for the state of a call.

    Attributes:
        call_id: The call.
        incarnation: Incarnation of the node that the call was sent to.
    """

    call_id: str
    incarnation: str


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
        state: One of `ResolveState`.
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
