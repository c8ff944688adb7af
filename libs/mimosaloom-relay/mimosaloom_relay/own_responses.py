"""Encoded responses that the server writes without a handler."""

__all__ = [
    "BAD_REQUEST_RESPONSE",
    "CONTENT_TOO_LARGE_RESPONSE",
    "CONTINUE_RESPONSE",
    "HEAD_TOO_LARGE_RESPONSE",
    "OVERLOADED_RESPONSE",
    "TIMEOUT_RESPONSE",
]

CONTENT_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
BAD_REQUEST_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
