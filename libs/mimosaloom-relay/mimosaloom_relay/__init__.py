"""Relays HTTP requests between nodes, each of which has one target beside it."""

from .code_version import CodeVersion, read_code_version
from .decision_log import DecisionLog, log_to_descriptor
from .event_loop import new_event_loop
from .garbage import configure_garbage_collection
from .hop_messages import HeaderNames, HopContext, HopResult
from .http_client import Answer, HttpClient
from .http_server import Incoming, RelayServer
from .incoming_hops import CONFIGURATION_PATH
from .limits import Limits
from .metrics import RelayMetrics
from .node import QUARANTINE_RECORD, RelayNode
from .organisations import Organisation, OrganisationDirectory, digest_key
from .own_target import Announcement, HeartbeatResult, OwnTarget, TargetState
from .peers import PeerRecord, PeerTable, decode_record
from .poll_timing import (
    LONG_POLL,
    READER_RECORDS_POLL,
    PollTiming,
    choose_poll_timing,
)
from .publisher import Publisher
from .quarantine_exchange import read_held_keys
from .read_progress import ReadProgress
from .retry_share import RetryBudgetShare, SharedRetryBudget
from .routes import (
    Configuration,
    Route,
    ServiceProfile,
    ShareRotation,
    match_route,
)
from .settings import Listeners, RelaySettings
from .shared_reads import SharedReads
from .status import describe_configuration
from .store_era import StoreEra
from .store_records import (
    Batch,
    KeyedRecord,
    OffsetExpired,
    ReadFailed,
)
from .target_signals import TargetSignals, read_target_signals
from .topic_follower import TopicFollower, TopicHandlers

__all__ = [
    "CONFIGURATION_PATH",
    "LONG_POLL",
    "QUARANTINE_RECORD",
    "READER_RECORDS_POLL",
    "Announcement",
    "Answer",
    "Batch",
    "CodeVersion",
    "Configuration",
    "DecisionLog",
    "HeaderNames",
    "HeartbeatResult",
    "HopContext",
    "HopResult",
    "HttpClient",
    "Incoming",
    "KeyedRecord",
    "Limits",
    "Listeners",
    "OffsetExpired",
    "Organisation",
    "OrganisationDirectory",
    "OwnTarget",
    "PeerRecord",
    "PeerTable",
    "PollTiming",
    "Publisher",
    "ReadFailed",
    "ReadProgress",
    "RelayMetrics",
    "RelayNode",
    "RelayServer",
    "RelaySettings",
    "RetryBudgetShare",
    "Route",
    "ServiceProfile",
    "ShareRotation",
    "SharedReads",
    "SharedRetryBudget",
    "StoreEra",
    "TargetSignals",
    "TargetState",
    "TopicFollower",
    "TopicHandlers",
    "choose_poll_timing",
    "configure_garbage_collection",
    "decode_record",
    "describe_configuration",
    "digest_key",
    "log_to_descriptor",
    "match_route",
    "new_event_loop",
    "read_code_version",
    "read_held_keys",
    "read_target_signals",
]
