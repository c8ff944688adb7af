"""Decision between a retry, a resolution and giving up."""

from enum import StrEnum

from mimosaloom_model import ANSWERS, Answered, Failed, Kind, Outcome, Refused

__all__ = ["UNRESOLVED", "NextStep", "combine_attempts", "decide_next_step"]


class NextStep(StrEnum):
    """What the caller's side does after an attempt."""

    RETURN = "return"
    RETRY = "retry"
    RESOLVE = "resolve"


# Kinds after which the first copy may still run, or may have run, unseen.
UNRESOLVED = frozenset(
    {
        Kind.CONNECTION_LOST,
        Kind.ANSWER_TRUNCATED,
        Kind.ANSWER_MISMATCH,
    }
)


def decide_next_step(outcome: Outcome, *, is_idempotent: bool) -> NextStep:
    """Decide what follows an attempt, before allowance and budget are asked.

    Args:
        outcome: Outcome of the attempt.
        is_idempotent: Whether the request class may run more than once.
    """
    match outcome:
        case Answered():
            return NextStep.RETURN
        case Refused(kind=kind):
            is_retryable = ANSWERS[kind].is_retryable
            return NextStep.RETRY if is_retryable else NextStep.RETURN
        case Failed(kind=kind):
            if not is_idempotent:
                return NextStep.RESOLVE if kind in UNRESOLVED else NextStep.RETURN
            is_retryable = ANSWERS[kind].is_retryable
            return NextStep.RETRY if is_retryable else NextStep.RETURN


def combine_attempts(earlier: Outcome, later: Outcome) -> Outcome:
    """Return the outcome of a call from that of its attempts so far and of one more.

    A refusal says that no part of the call ran, which holds only if no earlier attempt
    may have run.
    """
    if isinstance(later, Refused) and isinstance(earlier, Failed):
        return earlier
    return later
