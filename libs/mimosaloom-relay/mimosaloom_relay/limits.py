"""Limits on what clients may send, and on how long they may take."""

from typing import NamedTuple

__all__ = ["Limits"]


class Limits(NamedTuple):
    """Limits on requests and connections of clients.

    Attributes:
        max_body_bytes: Largest request body.
        idle_timeout_s: Time that a connection may stay idle, also within a body.
        max_header_bytes: Largest request head.
        header_timeout_s: Time that a client may take for a head.
    """

    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_s: float = 60.0
    max_header_bytes: int = 64 * 1024
    header_timeout_s: float = 60.0
