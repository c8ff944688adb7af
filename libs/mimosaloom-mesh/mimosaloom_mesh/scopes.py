"""Calls in progress on this side: their deadlines and their retries."""

from contextvars import ContextVar
from dataclasses import dataclass

from mimosaloom_model import CallContext, Kind
from mimosaloom_policy import Ledger

__all__ = ["CallScope", "ScopeTable", "current_scope", "scope_key"]


@dataclass(slots=True)
class CallScope:
    """A call in progress, of which sub-calls may be made.

    Attributes:
        key: Unique for the attempt; the account of its retries in the ledger.
        request_id: The root request.
        class_name: Request class.
        depth: Depth that a call made in this scope has.
        deadline_s: End of the time for it, on the monotonic clock.
        sub_calls: Sub-calls made so far.
        failed_kind: Kind of the last sub-call that gave no answer of a target.
        retry_after_s: The wait which that sub-call advised.
    """

    key: str
    request_id: str
    class_name: str
    depth: int
    deadline_s: float
    sub_calls: int = 0
    failed_kind: Kind | None = None
    retry_after_s: float = 0.0


# The call that the current task runs, for targets that embed the data path.
current_scope: ContextVar[CallScope | None] = ContextVar("current_scope", default=None)


def scope_key(context: CallContext) -> str:
    """Return the key of the scope that a context header names."""
    return f"{context.call_id}/{context.attempt}"


class ScopeTable:
    """The calls in progress and the ledger of their retries."""

    def __init__(self):
        self.ledger = Ledger()
        self._scopes: dict[str, CallScope] = {}

    def __len__(self) -> int:
        return len(self._scopes)

    def open(self, scope: CallScope, retries: int) -> bool:
        """Begin a scope with its retries; False if it is open already."""
        if scope.key in self._scopes:
            return False
        self._scopes[scope.key] = scope
        self.ledger.open(scope.key, retries)
        return True

    def find(self, context: CallContext) -> CallScope | None:
        """Return the scope that a context header names; None if it has ended."""
        return self._scopes.get(scope_key(context))

    def close(self, scope: CallScope) -> int:
        """End a scope; return the retries that are left."""
        self._scopes.pop(scope.key, None)
        return self.ledger.close(scope.key)
