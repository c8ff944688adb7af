"""State of the simulated mesh with mimosaloom: nodes, calls and attempts."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosaloom_model import ErrorKind
from mimosaloom_policy import (
    Admission,
    LevelTable,
    RetryBudget,
    RetryLedger,
    Router,
    RunTable,
)

from .scenarios import Request
from .simulated_targets import Target

__all__ = ["Attempt", "Call", "Node"]


@dataclass
class Call:
    """One call over one hop, in the state of its caller.

    Attributes:
        node: Node of the caller.
        parent_key: Key of the request or attempt that this call is part of.
        key: Prefix of the keys of its attempts.
        request: The client's request.
        client_attempt: Number of the client's attempt, from 0.
        hop: Number of the hop, which is the index of the called service in the path.
        service: The called service.
        deadline_s: Deadline of the call, in seconds of virtual time.
        on_end: Called with None for a whole answer, else with the kind of failure.
        tried_upstreams: Names of the upstreams of failed attempts.
        attempt: Number of attempts that were sent.
        may_have_run_kind: Last failure after which the call may have run.
    """

    node: "Node"
    parent_key: str
    key: str
    request: Request
    client_attempt: int
    hop: int
    service: str
    deadline_s: float
    on_end: Callable[[ErrorKind | None], None]
    tried_upstreams: frozenset[str] = frozenset()
    attempt: int = 0
    may_have_run_kind: ErrorKind | None = None


@dataclass
class Attempt:
    """One attempt of a call, from the caller to a target and back.

    Attributes:
        call: The call.
        key: Key of the attempt in the tables of the node beside the target.
        upstream: Name of the target.
        lent: Retries that the caller lends to the callee.
        sent_s: When the caller sent it.
        delay_s: One-way latency between caller and target.
        start_s: When the target started to run it.
        is_repeated: Whether the service had already run the request.
        is_over: Whether the caller has a result.
    """

    call: Call
    key: str
    upstream: str
    lent: int
    sent_s: float
    delay_s: float
    start_s: float = 0.0
    is_repeated: bool = False
    is_over: bool = False


@dataclass
class Node:
    """One node with its target and its decision code.

    Attributes:
        target: The target beside the node.
        admission: Admission of calls to the target.
        levels: Admission levels of the upstreams.
        rng: Random generator of the node.
        routers: Router by service.
        ledger: Retries that are lent along the call chain.
        runs: Run table, which holds the attempts at the target and their results.
        budgets: Retry budget by service and request class.
        waiting: Attempts by key that wait for a decision of admission.
        is_draining: Whether the node accepts no new calls.
    """

    target: Target
    admission: Admission
    levels: LevelTable
    rng: random.Random
    routers: dict[str, Router] = field(default_factory=dict)
    ledger: RetryLedger = field(default_factory=RetryLedger)
    runs: RunTable = field(default_factory=RunTable)
    budgets: dict[tuple[str, str], RetryBudget] = field(default_factory=dict)
    waiting: dict[str, Attempt] = field(default_factory=dict)
    is_draining: bool = False
