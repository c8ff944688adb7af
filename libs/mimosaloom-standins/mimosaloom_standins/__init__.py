"""Stand-ins for the log service and for targets, used by tests and benchmarks."""

from .log_service import LogOptions, LogStore, build_log_application
from .record import Run, RunRecord, read_journal
from .target import Target, TargetOptions
from .target_server import build_target_application

__all__ = [
    "LogOptions",
    "LogStore",
    "Run",
    "RunRecord",
    "Target",
    "TargetOptions",
    "build_log_application",
    "build_target_application",
    "read_journal",
]
