"""HTTP messages and answers of a hop as plain values."""

from typing import NamedTuple

from mimosaloom_model import Answered, Failed, Kind, Outcome, Refused

__all__ = ["HopAnswer", "Request", "Response", "find_header", "kind_of"]

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, whatever the case of its name."""
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None


class Request(NamedTuple):
    """A whole HTTP request.

    Attributes:
        method: HTTP method.
        path: Path with the query, starting with a slash.
        headers: Header names and values in the order received.
        body: The whole body.
    """

    method: str = "GET"
    path: str = "/"
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, whatever the case of its name."""
        return find_header(self.headers, name)


class Response(NamedTuple):
    """A whole HTTP response.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: The whole body.
        is_last: Whether the connection is closed after it.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    is_last: bool = False

    def header(self, name: str) -> str | None:
        """Return the first value of a header, whatever the case of its name."""
        return find_header(self.headers, name)


class HopAnswer(NamedTuple):
    """What one attempt at one hop gave.

    Attributes:
        outcome: `Refused` means that no part ran.
        retries_unused: Retries of the share handed down that were not spent.
        level: Admission level of the answering node; None if it gave none.
        incarnation: Incarnation of the answering node; empty if none answered.
        is_draining: Whether the answering target is leaving.
        stamp: Text form of the stamp of the answering node; empty if it gave none.
    """

    outcome: Outcome
    retries_unused: int = 0
    level: float | None = None
    incarnation: str = ""
    is_draining: bool = False
    stamp: str = ""


def kind_of(outcome: Outcome) -> Kind | None:
    """Return the kind of an outcome; None for the target's own answer."""
    match outcome:
        case Refused(kind=kind) | Failed(kind=kind):
            return kind
        case Answered():
            return None
