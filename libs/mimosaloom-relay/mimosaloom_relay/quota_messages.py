"""Messages between nodes about the quotas of organisations."""

import msgspec

from mimosaloom_policy import Rival

from .decoding import DECODE_ERRORS

__all__ = [
    "ClaimQuestion",
    "ClaimReply",
    "LendQuestion",
    "LendReply",
    "TokenQuestion",
    "TokenReply",
    "decode_question",
    "decode_reply",
    "encode_message",
]


class TokenQuestion(msgspec.Struct, frozen=True, tag="t", array_like=True):
    """Asks a holder of the own failure domain for tokens.

    Attributes:
        organisation: Name of the organisation.
        tokens: Number of tokens.
    """

    organisation: str
    tokens: float


class TokenReply(msgspec.Struct, frozen=True, tag="t", array_like=True):
    """Answers `TokenQuestion`.

    Attributes:
        tokens: Tokens that the asker now has.
        pause_s: Time in seconds after which to ask again, if there is none.
        is_holder: Whether the answering node decides on the organisation.
        holder: Name of the node that does, as far as the answering one knows.
    """

    tokens: float = 0.0
    pause_s: float = 0.0
    is_holder: bool = False
    holder: str = ""


class ClaimQuestion(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """Tells a member of slots who claims them, and asks who else does.

    Attributes:
        claimant: Name of the asking node.
        slots: Numbers of the slots.
        held: Those of which it is the holder.
        sent_s: Monotonic clock of the asking node.
        is_withdrawal: Whether the asking node withdraws its claims instead.
    """

    claimant: str
    slots: list[int]
    held: list[int]
    sent_s: float
    is_withdrawal: bool = False


class ClaimReply(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """Answers `ClaimQuestion`.

    Attributes:
        rivals: Other claimants that the member has heard lately, by slot.
        is_informed: Whether the member runs long enough to have heard all of them.
        domain_nodes: Nodes that the member knows in its failure domain.
        domains: Failure domains that it knows.
    """

    rivals: dict[int, list[Rival]]
    is_informed: bool
    domain_nodes: int
    domains: int


class LendQuestion(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """Asks the holder of another failure domain for what it does not need.

    Attributes:
        borrower: Name of the asking node.
        organisation: Name of the organisation.
        share: Share of the quota.
        tokens: Number of tokens.
    """

    borrower: str
    organisation: str
    share: float
    tokens: float


class LendReply(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """Answers `LendQuestion`; for the fields see `mimosaloom_policy.TokenMove`.

    Attributes:
        share: Share that was lent.
        hold_s: For how many seconds from the question on.
        tokens: Tokens that were given.
        has_returned: Whether loans of the asking node were given back.
        holder: Name of the holder, as far as the answering node knows.
    """

    share: float = 0.0
    hold_s: float = 0.0
    tokens: float = 0.0
    has_returned: bool = False
    holder: str = ""


_QUESTIONS = msgspec.json.Decoder(TokenQuestion | ClaimQuestion | LendQuestion)
_REPLIES = msgspec.json.Decoder(TokenReply | ClaimReply | LendReply)
encode_message = msgspec.json.encode


def decode_question(body: bytes) -> TokenQuestion | ClaimQuestion | LendQuestion | None:
    """Return a question of another node; None if it is not valid."""
    return _decode(_QUESTIONS, body)


def decode_reply(body: bytes) -> TokenReply | ClaimReply | LendReply | None:
    """Return the answer of another node; None if it is not valid."""
    return _decode(_REPLIES, body)


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except DECODE_ERRORS:
        return None
