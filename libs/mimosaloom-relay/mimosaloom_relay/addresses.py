"""Addresses in messages, which other programs may have written."""

import ipaddress

from mimosaloom_mesh.messages import parse_decimal
from mimosaloom_model import Address

__all__ = ["is_ip_address", "parse_address"]

MAX_PORT = 65535


def is_ip_address(host: str) -> bool:
    """Return whether a host is a plain IP address, which needs no name lookup."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # The scope of an IPv6 address may contain any character.
    return "%" not in host


def parse_address(text: str) -> Address | None:
    """Return the address in a text, HOST:PORT; None if no connection can be opened.

    Args:
        text: The host as an IP address, a colon, and the port as a decimal number.
    """
    host, _, digits = text.rpartition(":")
    port = parse_decimal(digits)
    if port is None or not 1 <= port <= MAX_PORT or not is_ip_address(host):
        return None
    return Address(host, port)
