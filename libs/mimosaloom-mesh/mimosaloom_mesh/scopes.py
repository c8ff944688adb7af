"""Calls in progress in this process: their deadlines and remaining retries."""

from contextvars import ContextVar
from dataclasses import dataclass

from mimosaloom_model import CallContext, ErrorKind
from mimosaloom_policy import RetryLedger

__all__ = ["CallScope", "ScopeTable", "current_scope", "scope_key"]


@dataclass(slots=True)
class CallScope:
    """A call in progress, in which sub-calls may be made.

    Attributes:
        key: Unique key of the attempt, or of the root request in its own scope; also
            the key of the account in the retry ledger.
        request_id: Id of the root request.
        class_name: Request class.
        depth: Depth of the sub-calls made in this scope.
        deadline_s: Deadline on the monotonic clock.
        sub_calls: Number of sub-calls made so far.
        failed_kind: Kind of the last sub-call that was refused or failed; None if
            there was none.
        retry_after_s: Delay before a retry, as advised by the answer to that sub-call.
    """

    key: str
    request_id: str
    class_name: str
    depth: int
    deadline_s: float
    sub_calls: int = 0
    failed_kind: ErrorKind | None = None
    retry_after_s: float = 0.0


# Scope of the call that the current task runs, for targets that embed the data path.
current_scope: ContextVar[CallScope | None] = ContextVar("current_scope", default=None)


def scope_key(context: CallContext) -> str:
    """Return the key of the scope that a context belongs to."""
    return f"{context.call_id}/{context.attempt}"


class ScopeTable:
    """The scopes of the calls in progress, and their retry ledger."""

    def __init__(self):
        self.ledger = RetryLedger()
        self._scopes: dict[str, CallScope] = {}

    def __len__(self) -> int:
        return len(self._scopes)

    def open(self, scope: CallScope, retries: int) -> bool:
        """Open a scope with its retries; return False if it is already open."""
        if scope.key in self._scopes:
            return False
        self._scopes[scope.key] = scope
        self.ledger.open(scope.key, retries)
        return True

    def find(self, context: CallContext) -> CallScope | None:
        """Return the scope that a context belongs to; None if it is closed."""
        return self._scopes.get(scope_key(context))

    def close(self, scope: CallScope) -> int:
        """Close a scope and return its unused retries."""
        self._scopes.pop(scope.key, None)
        return self.ledger.close(scope.key)
