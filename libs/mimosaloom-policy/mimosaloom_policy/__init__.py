"""Sans-I/O decisions on calls: admission, routing, retries and at-most-once runs.

The state objects read no clock: callers pass the current time to each method.
"""

from .admission import Admission, Arrival, Decision, Refuse, Start
from .allowance import Ledger
from .backoff import Backoff
from .budget import RetryBudget
from .claim_batches import ClaimBatcher, ClaimNews, LearnedVerdicts
from .claims import (
    AppendFate,
    Claim,
    ClaimBook,
    Claimed,
    ClaimLimits,
    ClaimRecord,
    ClaimReplay,
    Unclaimed,
    Undecided,
    Verdict,
    Withdrawal,
)
from .keys import BroughtKey, MintedKey, format_brought_key, mint_key, parse_key
from .levels import LevelTable
from .rank import PRIORITY_COUNT, rank_request
from .retries import (
    Attempt,
    GiveUp,
    ResolveFirst,
    ResolveState,
    Retry,
    RetryDecision,
    RetryReason,
    StopReason,
    UseStored,
    decide_retry,
)
from .routing import Candidate, Router
from .runs import (
    Blocked,
    Conflict,
    Done,
    EpochRule,
    Join,
    NotAccepted,
    NotRun,
    Replay,
    Resolution,
    Run,
    RunDecision,
    Running,
    RunTable,
    Unknown,
)
from .stamps import Stamp, StampBook, format_stamp, parse_stamp

__all__ = [
    "PRIORITY_COUNT",
    "Admission",
    "AppendFate",
    "Arrival",
    "Attempt",
    "Backoff",
    "Blocked",
    "BroughtKey",
    "Candidate",
    "Claim",
    "ClaimBatcher",
    "ClaimBook",
    "ClaimLimits",
    "ClaimNews",
    "ClaimRecord",
    "ClaimReplay",
    "Claimed",
    "Conflict",
    "Decision",
    "Done",
    "EpochRule",
    "GiveUp",
    "Join",
    "LearnedVerdicts",
    "Ledger",
    "LevelTable",
    "MintedKey",
    "NotAccepted",
    "NotRun",
    "Refuse",
    "Replay",
    "Resolution",
    "ResolveFirst",
    "ResolveState",
    "Retry",
    "RetryBudget",
    "RetryDecision",
    "RetryReason",
    "Router",
    "Run",
    "RunDecision",
    "RunTable",
    "Running",
    "Stamp",
    "StampBook",
    "Start",
    "StopReason",
    "Unclaimed",
    "Undecided",
    "Unknown",
    "UseStored",
    "Verdict",
    "Withdrawal",
    "decide_retry",
    "format_brought_key",
    "format_stamp",
    "mint_key",
    "parse_key",
    "parse_stamp",
    "rank_request",
]
