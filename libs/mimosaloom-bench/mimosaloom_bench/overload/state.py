"""State of the mesh with mimosaloom: nodes, calls and attempts."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosaloom_model import Kind
from mimosaloom_policy import (
    Admission,
    Ledger,
    LevelTable,
    RetryBudget,
    Router,
    RunTable,
)

from .fakes import Target
from .scenarios import Request

__all__ = ["Attempt", "Call", "Node"]


@dataclass
class Call:
    """One call over one hop, as its caller keeps it."""

    node: "Node"
    parent_key: str
    key: str
    request: Request
    root: int
    hop: int
    service: str
    deadline_s: float
    done: Callable[[Kind | None], None]
    tried: frozenset[str] = frozenset()
    attempt: int = 0
    ran_kind: Kind | None = None


@dataclass
class Attempt:
    """One attempt of a call on the way to a target and back."""

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
    """The state of one node."""

    target: Target
    admission: Admission
    levels: LevelTable
    rng: random.Random
    routers: dict[str, Router] = field(default_factory=dict)
    ledger: Ledger = field(default_factory=Ledger)
    runs: RunTable = field(default_factory=RunTable)
    budgets: dict[tuple[str, str], RetryBudget] = field(default_factory=dict)
    waiting: dict[str, Attempt] = field(default_factory=dict)
    is_draining: bool = False
