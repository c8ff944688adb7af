"""Sans-I/O decisions on calls; state objects that are given the time."""

from .admission import Admission, Arrival, Decision, Refuse, Start
from .allowance import Ledger
from .budget import RetryBudget
from .levels import LevelTable
from .rank import PRIORITY_COUNT, rank_request
from .routing import Candidate, Router
from .runs import (
    Blocked,
    Conflict,
    Done,
    Join,
    NotRun,
    Replay,
    Resolution,
    Run,
    RunDecision,
    Running,
    RunTable,
)

__all__ = [
    "PRIORITY_COUNT",
    "Admission",
    "Arrival",
    "Blocked",
    "Candidate",
    "Conflict",
    "Decision",
    "Done",
    "Join",
    "Ledger",
    "LevelTable",
    "NotRun",
    "Refuse",
    "Replay",
    "Resolution",
    "RetryBudget",
    "Router",
    "Run",
    "RunDecision",
    "RunTable",
    "Running",
    "Start",
    "rank_request",
]
