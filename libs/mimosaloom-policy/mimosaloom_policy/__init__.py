"""Sans-I/O decisions on calls: admission, routing, retries and at-most-once runs.

The state objects read no clock: callers pass the current time to each method.
"""

from .admission import Admission, Arrival, Decision, Refuse, Start
from .allowance import RetryLedger
from .backoff import Backoff
from .budget import RetryBudget
from .claim_batches import ClaimBatcher, ClaimVerdict, ReceivedVerdicts
from .claims import (
    AppendResult,
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
from .fair_rank import FairRank
from .keys import CallerKey, MintedKey, format_caller_key, mint_key, parse_key
from .levels import LevelTable
from .placement import FinishTable
from .quarantine import ENDS_BEFORE_HOLD, EndEffect, Quarantine, SendPermission
from .quota import (
    Balance,
    DemandMeter,
    Quota,
    QuotaBounds,
    QuotaLimits,
    choose_limits,
)
from .quota_bucket import HolderBucket, TokenMove
from .quota_holders import (
    CLAIM_MEMORY_S,
    SLOTS,
    ClaimAnswer,
    HeardClaims,
    RecentMaximum,
    Rival,
    SlotRole,
    choose_majority,
    choose_members,
    find_slot,
)
from .rank import PRIORITY_COUNT, rank_request
from .rate_limit import RateLimit, TokenBucket
from .readers import choose_readers
from .retries import (
    FailedAttempt,
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
from .retry_pacing import CallCountEstimate, RetryPacer, retry_reserve
from .routing import Candidate, Router
from .runs import (
    Blocked,
    Conflict,
    Done,
    Join,
    NotAccepted,
    NotRun,
    Replay,
    Resolution,
    RetentionRule,
    Run,
    RunDecision,
    Running,
    RunTable,
    Unknown,
)
from .stamps import Stamp, StampBook, format_stamp, parse_stamp
from .work_cost import MAX_PACE, MIN_PACE, FinishEstimate, WorkMeter

__all__ = [
    "CLAIM_MEMORY_S",
    "ENDS_BEFORE_HOLD",
    "MAX_PACE",
    "MIN_PACE",
    "PRIORITY_COUNT",
    "SLOTS",
    "Admission",
    "AppendResult",
    "Arrival",
    "Backoff",
    "Balance",
    "Blocked",
    "CallCountEstimate",
    "CallerKey",
    "Candidate",
    "Claim",
    "ClaimAnswer",
    "ClaimBatcher",
    "ClaimBook",
    "ClaimLimits",
    "ClaimRecord",
    "ClaimReplay",
    "ClaimVerdict",
    "Claimed",
    "Conflict",
    "Decision",
    "DemandMeter",
    "Done",
    "EndEffect",
    "FailedAttempt",
    "FairRank",
    "FinishEstimate",
    "FinishTable",
    "GiveUp",
    "HeardClaims",
    "HolderBucket",
    "Join",
    "LevelTable",
    "MintedKey",
    "NotAccepted",
    "NotRun",
    "Quarantine",
    "Quota",
    "QuotaBounds",
    "QuotaLimits",
    "RateLimit",
    "ReceivedVerdicts",
    "RecentMaximum",
    "Refuse",
    "Replay",
    "Resolution",
    "ResolveFirst",
    "ResolveState",
    "RetentionRule",
    "Retry",
    "RetryBudget",
    "RetryDecision",
    "RetryLedger",
    "RetryPacer",
    "RetryReason",
    "Rival",
    "Router",
    "Run",
    "RunDecision",
    "RunTable",
    "Running",
    "SendPermission",
    "SlotRole",
    "Stamp",
    "StampBook",
    "Start",
    "StopReason",
    "TokenBucket",
    "TokenMove",
    "Unclaimed",
    "Undecided",
    "Unknown",
    "UseStored",
    "Verdict",
    "Withdrawal",
    "WorkMeter",
    "choose_limits",
    "choose_majority",
    "choose_members",
    "choose_readers",
    "decide_retry",
    "find_slot",
    "format_caller_key",
    "format_stamp",
    "mint_key",
    "parse_key",
    "parse_stamp",
    "rank_request",
    "retry_reserve",
]
