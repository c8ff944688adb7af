"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["EXIT_CODE_MEANINGS", "ExitCode"]


class ExitCode(IntEnum):
    """Exit codes; `EXIT_CODE_MEANINGS` has the text for operators."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    UNAVAILABLE = 6
    NOT_MET = 7


EXIT_CODE_MEANINGS: dict[ExitCode, str] = {
    ExitCode.OK: "The command succeeded.",
    ExitCode.ERROR: "The command failed for the reason on stderr.",
    ExitCode.USAGE: "An option or argument is missing or unknown.",
    ExitCode.INVALID: "A file has faults; each is one line on stderr.",
    ExitCode.CONFLICT: "Another change of a resource was accepted first.",
    ExitCode.OUTCOME_UNKNOWN: "Whether the change was accepted is unknown; repeat it.",
    ExitCode.UNAVAILABLE: "The log service did not answer, or refused a change.",
    ExitCode.NOT_MET: "A measurement missed its goal.",
}
