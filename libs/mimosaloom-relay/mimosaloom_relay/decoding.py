"""Decoding of messages that other programs may have written."""

from typing import Any

import msgspec

__all__ = ["DECODE_ERRORS", "decode_json"]

# What msgspec raises for bytes that it can't decode. It raises `RecursionError` for
# content that is nested too deeply, also in a field that the type does not have.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)


def decode_json(message: bytes, message_type: Any) -> Any:
    """Return a decoded message; None if it is not valid JSON of the type.

    Args:
        message: The message as received.
        message_type: Type of the message, as msgspec takes it.
    """
    try:
        return msgspec.json.decode(message, type=message_type)
    except DECODE_ERRORS:
        return None
