"""Possible outcomes of a call: answered, refused or failed."""

from dataclasses import dataclass, field

from .kinds import ERROR_ANSWERS, ErrorKind, Ran

__all__ = ["Answered", "Failed", "Outcome", "Refused"]


@dataclass(frozen=True, slots=True)
class Answered:
    """The call has a complete answer of the target.

    Attributes:
        status: HTTP status code that the target returned.
        headers: Header names and values, in the order in which they were received.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was refused before any part of it ran.

    Attributes:
        kind: Error kind; its `ran` in `ERROR_ANSWERS` must be `Ran.NO`.
        detail: One sentence that explains the error to the caller and in the log.
        retry_after_s: Seconds until the caller may retry; 0 if a retry is useless.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float = 0.0

    def __post_init__(self):
        if ERROR_ANSWERS[self.kind].ran is not Ran.NO:
            raise ValueError(
                f"{self.kind} can't be the kind of Refused: the call may have run"
            )


@dataclass(frozen=True, slots=True)
class Failed:
    """The call has no complete answer, and may have run in part or in full.

    Attributes:
        kind: Error kind; its `ran` in `ERROR_ANSWERS` must not be `Ran.NO`.
        detail: One sentence that explains the error to the caller and in the log.
        retry_after_s: Seconds until the caller may retry; 0 if a retry is useless.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float = field(default=0.0)

    def __post_init__(self):
        if ERROR_ANSWERS[self.kind].ran is Ran.NO:
            raise ValueError(f"{self.kind} can't be the kind of Failed: nothing ran")


Outcome = Answered | Refused | Failed
