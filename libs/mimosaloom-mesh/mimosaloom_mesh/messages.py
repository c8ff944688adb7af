"""HTTP messages and the answers of hops as plain values."""

from typing import NamedTuple

from mimosaloom_model import Answered, ErrorKind, Failed, Outcome, Refused

__all__ = [
    "HopAnswer",
    "Request",
    "Response",
    "error_kind",
    "find_header",
    "parse_decimal",
]

# Digits of a number in a header, without leading zeros.
MAX_DECIMAL_DIGITS = 15

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header; the case of the name is ignored."""
    wanted, size = name.lower(), len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == wanted:
            return value
    return None


def parse_decimal(value: str | None) -> int | None:
    """Return a header's number; None if it is missing, no decimal number or too long.

    A caller may send any number of digits, and `int` raises an error for thousands.
    """
    digits = (value or "").lstrip("0")
    is_number = bool(value) and value.isascii() and value.isdecimal()
    if not is_number or len(digits) > MAX_DECIMAL_DIGITS:
        return None
    return int(digits or "0")


class Request(NamedTuple):
    """A complete HTTP request.

    Attributes:
        method: HTTP method.
        path: Path with the query string; starts with a slash.
        headers: Header names and values in the order received.
        body: Complete body.
    """

    method: str = "GET"
    path: str = "/"
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header; the case of the name is ignored."""
        return find_header(self.headers, name)


class Response(NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: Complete body.
        is_last: Whether the connection is closed after the response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    is_last: bool = False

    def header(self, name: str) -> str | None:
        """Return the first value of a header; the case of the name is ignored."""
        return find_header(self.headers, name)


class HopAnswer(NamedTuple):
    """The result of one attempt at one hop.

    Attributes:
        outcome: Outcome of the attempt; `Refused` means that no part of it ran.
        retries_unused: Retries that were passed with the attempt and not used.
        level: Admission level of the answering node or, if lower, of the services that
            it calls; None if not given.
        incarnation: Incarnation of the answering node; empty if no node answered.
        is_draining: Whether the answering target is draining.
        stamp: Text form of the stamp of the answering node; empty if not given.
    """

    outcome: Outcome
    retries_unused: int = 0
    level: float | None = None
    incarnation: str = ""
    is_draining: bool = False
    stamp: str = ""


def error_kind(outcome: Outcome) -> ErrorKind | None:
    """Return the kind of a refusal or failure; None for an answer of the target."""
    match outcome:
        case Refused(kind=kind) | Failed(kind=kind):
            return kind
        case Answered():
            return None
