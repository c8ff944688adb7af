"""Organisations that callers belong to, found by the key that a request carries.

Answers no load by itself: it decides which requests compete for capacity, and with
which priority and quota.
"""

import hashlib
from typing import NamedTuple

from mimosaloom_mesh.messages import Headers, Request
from mimosaloom_model import ErrorKind
from mimosaloom_policy import Quota

__all__ = [
    "CALL_SEPARATOR",
    "CREDENTIALS_HEADER",
    "Credential",
    "Organisation",
    "OrganisationDirectory",
    "digest_key",
    "explain_missing_organisation",
    "remove_headers",
]

# Header with the key of a caller.
CREDENTIALS_HEADER = "Authorization"
# Between the id of a request and the suffix that its target adds for each call.
CALL_SEPARATOR = "."
_SCHEME = "bearer"
_DIGEST_BYTES = 16


class Organisation(NamedTuple):
    """An organisation whose requests share a priority and a quota.

    Attributes:
        name: Name that targets are told.
        priority: Priority of its requests; None for that of the route.
        quota: Requests that all nodes together may run for it; None for no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


class Credential(NamedTuple):
    """What the headers of a request say about its caller.

    Attributes:
        is_present: Whether the request has a header with credentials, valid or not.
        organisation: Organisation that holds the key; None if no organisation does.
    """

    is_present: bool
    organisation: Organisation | None


class OrganisationDirectory:
    """Finds the organisation of a key. It knows only digests of the keys.

    Args:
        organisations: Organisations by the digest of each of their keys.
    """

    def __init__(self, organisations: dict[bytes, Organisation]):
        self._by_digest = organisations

    @property
    def organisations(self) -> dict[str, Organisation]:
        """All organisations that have a key, by name."""
        return {found.name: found for found in self._by_digest.values()}

    @property
    def quotas(self) -> dict[str, Quota]:
        """Quotas of the organisations that have one, by name."""
        return {
            name: found.quota
            for name, found in self.organisations.items()
            if found.quota is not None
        }

    def find(self, headers: Headers) -> Credential:
        """Return the credential of a request.

        A request with several such headers is ambiguous and names no organisation.

        Args:
            headers: Headers of the request.
        """
        name = CREDENTIALS_HEADER.lower()
        values = [value for key, value in headers if key.lower() == name]
        if len(values) != 1:
            return Credential(bool(values), None)
        scheme, _, key = values[0].strip().partition(" ")
        key = key.strip()
        if scheme.lower() != _SCHEME or not key:
            return Credential(True, None)
        return Credential(True, self._by_digest.get(digest_key(key)))


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is stored and compared.

    Args:
        key: The key; header values are decoded as Latin-1, so that any bytes are text.
    """
    data = key.encode("latin-1", "replace")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def explain_missing_organisation(credential: Credential, request_id: str) -> ErrorKind:
    """Return why a request that needs a key is refused.

    A call of a target carries no key. Its parent is not known here after a restart of
    the node, and the call may succeed once the target has noticed that.

    Args:
        credential: Credential of the request.
        request_id: Id of the request.
    """
    if not credential.is_present and CALL_SEPARATOR in request_id:
        return ErrorKind.UNKNOWN_PARENT
    return ErrorKind.UNKNOWN_CREDENTIAL


def remove_headers(request: Request, names: frozenset[str]) -> Request:
    """Return a request without some headers.

    Args:
        request: The request.
        names: Names of the headers, in lower case.
    """
    kept = tuple(item for item in request.headers if item[0].lower() not in names)
    return request._replace(headers=kept)
