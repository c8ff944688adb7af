"""Logging of the daemon: eliot messages as JSON lines on stderr."""

import sys

from eliot import add_global_fields, log_message, to_file

from mimosaloom_model import Address

__all__ = ["log_listening", "start_logging"]


def start_logging(node_name: str) -> None:
    """Write all log messages to stderr, each with the name of the node."""
    to_file(sys.stderr)
    add_global_fields(node=node_name)


def log_listening(addresses: dict[str, Address], incarnation: str) -> None:
    """Log the addresses of the listeners; this is the daemon's first log line."""
    fields = {name: address._asdict() for name, address in addresses.items()}
    log_message(message_type="listening", incarnation=incarnation, **fields)
