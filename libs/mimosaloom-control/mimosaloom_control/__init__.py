"""Sans-I/O control: replay of configuration, snapshots, membership, fan-out."""

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
    adopt_snapshot,
    choose_snapshot,
    decode_snapshot,
    encode_snapshot,
    is_snapshot_due,
)

__all__ = [
    "ID_WINDOW",
    "MAX_RECORD_BYTES",
    "BadReason",
    "BadRecord",
    "ConfigRecord",
    "Effect",
    "Outcome",
    "Replay",
    "ReplayState",
    "Resource",
    "SeenRecord",
    "adopt_snapshot",
    "choose_snapshot",
    "decode_record",
    "decode_snapshot",
    "encode_record",
    "encode_snapshot",
    "is_snapshot_due",
    "replay_records",
]
