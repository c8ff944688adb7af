"""Outcomes of a call as tagged dataclasses."""

from dataclasses import dataclass, field

from .kinds import ANSWERS, Kind, Ran

__all__ = ["Answered", "Failed", "Outcome", "Refused"]


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the target to this call.

    Attributes:
        status: HTTP status of the target.
        headers: Header names and values in the order received.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not run, nor was any part of it.

    Attributes:
        kind: A kind whose `ran` is `Ran.NO`.
        detail: One sentence for the caller and the log.
        retry_after_s: When the caller may come back; 0 if a retry is useless.
    """

    kind: Kind
    detail: str = ""
    retry_after_s: float = 0.0

    def __post_init__(self):
        if ANSWERS[self.kind].ran is not Ran.NO:
            raise ValueError(f"{self.kind} does not mean that nothing ran")


@dataclass(frozen=True, slots=True)
class Failed:
    """The call has no complete answer and may have run in part.

    Attributes:
        kind: A kind whose `ran` is not `Ran.NO`.
        detail: One sentence for the caller and the log.
        retry_after_s: When the caller may come back; 0 if a retry is useless.
    """

    kind: Kind
    detail: str = ""
    retry_after_s: float = field(default=0.0)

    def __post_init__(self):
        if ANSWERS[self.kind].ran is Ran.NO:
            raise ValueError(f"{self.kind} means that nothing ran")


Outcome = Answered | Refused | Failed
