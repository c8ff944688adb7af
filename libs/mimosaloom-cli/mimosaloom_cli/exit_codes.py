"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """What the exit code of a command means."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    UNAVAILABLE = 6
    NOT_MET = 7
