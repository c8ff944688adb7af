"""Sans-I/O control: replay of configuration, snapshots, membership, fan-out."""

from .fanout import (
    CatchUp,
    Position,
    RecentRecords,
    choose_readers,
    compare_positions,
)
from .heartbeats import HeartbeatMonitor
from .members import MemberTable, MemberView, SelfAnnouncer, Status
from .news import (
    Announce,
    Drain,
    Leave,
    Member,
    MemberNews,
    Suspect,
    decode_news,
    encode_news,
)
from .overlay import Overlay
from .records import (
    MAX_RECORD_BYTES,
    BadReason,
    BadRecord,
    ConfigRecord,
    decode_record,
    encode_record,
)
from .replay import (
    ID_WINDOW,
    Effect,
    Outcome,
    Replay,
    ReplayState,
    Resource,
    SeenRecord,
    replay_records,
)
from .snapshot import (
    SnapshotParts,
    adopt_snapshot,
    choose_snapshot,
    decode_snapshot,
    encode_snapshot,
    is_snapshot_due,
    split_snapshot,
)

__all__ = [
    "ID_WINDOW",
    "MAX_RECORD_BYTES",
    "Announce",
    "BadReason",
    "BadRecord",
    "CatchUp",
    "ConfigRecord",
    "Drain",
    "Effect",
    "HeartbeatMonitor",
    "Leave",
    "Member",
    "MemberNews",
    "MemberTable",
    "MemberView",
    "Outcome",
    "Overlay",
    "Position",
    "RecentRecords",
    "Replay",
    "ReplayState",
    "Resource",
    "SeenRecord",
    "SelfAnnouncer",
    "SnapshotParts",
    "Status",
    "Suspect",
    "adopt_snapshot",
    "choose_readers",
    "choose_snapshot",
    "compare_positions",
    "decode_news",
    "decode_record",
    "decode_snapshot",
    "encode_news",
    "encode_record",
    "encode_snapshot",
    "is_snapshot_due",
    "replay_records",
    "split_snapshot",
]
