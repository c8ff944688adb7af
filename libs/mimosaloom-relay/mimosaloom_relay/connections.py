"""Socket options, framing and flow control, shared by the HTTP client and server.

The data path uses the httptools parser on asyncio transports. Tornado's connection
class needs about three times the CPU time for a message, which makes a node at full
load answer late, and libcurl resends requests on its own.
"""

import asyncio
import enum
import socket
from collections.abc import Callable, Iterable

from mimosaloom_mesh.messages import Headers

from .bodies import Body

__all__ = [
    "LINE_BREAK_BYTES",
    "MAX_HEAD_BYTES",
    "FlowControl",
    "HeadMeter",
    "PauseReason",
    "configure_socket",
    "encode_chunk",
    "encode_head",
    "find_connection_options",
    "set_silence_detection",
]

# An idle connection whose peer does not respond fails after idle + interval * count
# seconds.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
# A connection to another node fails if sent data is not acknowledged for this time. The
# time covers one packet loss, since two in a row are rare, and it leaves time to send
# the request to a second node if the first is cut off.
SILENCE_MS = 600
# Largest head of an answer.
MAX_HEAD_BYTES = 65536
# A line counts with its colon and line break, so that the lines that are kept of a head
# are bounded as well as its letters.
LINE_BREAK_BYTES = 3
# Bytes that a connection may have received and not read; the system takes twice as much
# for its own records. By default it grows up to megabytes for each connection.
RECEIVE_BUFFER_BYTES = 32 * 1024
LAST_CHUNK = b"0\r\n\r\n"


def configure_socket(sock: socket.socket) -> None:
    """Set the options that all connections share.

    Small writes are sent at once, and the operating system detects idle connections
    whose peer is silent. What it keeps of unread bytes counts as memory of the process,
    so it is bounded.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT)


def set_silence_detection(sock: socket.socket, *, is_on: bool) -> None:
    """Set whether a connection fails if its peer acknowledges no data.

    The operating system also counts the time in which a live peer does not read, so
    this is only for short messages to peers that read immediately.
    """
    silence_ms = SILENCE_MS if is_on else 0
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)


def encode_head(start_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the encoded head of a message.

    Args:
        start_line: First line, without the line break.
        headers: Names and values that a parser has accepted or this project has set;
            neither contains a line break.
    """
    lines = [start_line, *(f"{name}: {value}" for name, value in headers), "\r\n"]
    return "\r\n".join(lines).encode("latin-1")


def encode_chunk(piece: bytes) -> bytes:
    """Return a piece of a body as one chunk of the chunked encoding."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


class HeadMeter:
    """Counts the bytes of a head that a parser may hold.

    The parser passes on whole fields only and buffers an unfinished one, so a field
    that never ends would take all memory.

    Attributes:
        limit_bytes: Bytes that may arrive without a result.
    """

    def __init__(self):
        self.limit_bytes = MAX_HEAD_BYTES
        self._bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes than allowed have arrived without a result."""
        return self._bytes > self.limit_bytes

    def add(self, size: int) -> None:
        """Count bytes, before they are passed to the parser."""
        self._bytes += size

    def reset(self) -> None:
        """Start anew after the end of a head, a piece of a body or a whole message."""
        self._bytes = 0


class PauseReason(enum.Enum):
    """Why a connection is not read at present."""

    # There is no room for the rest of a body.
    BODY = enum.auto()
    # Too many requests wait for those before them.
    REQUESTS = enum.auto()
    # Requests of many short parts take too much processor time.
    PARSING = enum.auto()


class FlowControl(asyncio.Protocol):
    """Protocol whose writers wait while the peer reads more slowly than they write."""

    transport: asyncio.Transport

    def __init__(self):
        self._can_write: asyncio.Future | None = None
        self._pause_reasons: set[PauseReason] = set()

    def pause_writing(self):
        """Make writers wait; called by asyncio when the write buffer is full."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let writers continue; called by asyncio when the write buffer has drained."""
        waiting, self._can_write = self._can_write, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def drain(self) -> None:
        """Wait until more data may be written."""
        if self._can_write is not None:
            await self._can_write

    async def write_pieces(self, body: Body, *, is_chunked: bool) -> bool:
        """Write a body while it arrives; return False if it is incomplete."""
        async for piece in body.pieces():
            if self.transport.is_closing():
                return False
            self.transport.write(encode_chunk(piece) if is_chunked else piece)
            await self.drain()
        if body.is_complete and is_chunked:
            self.transport.write(LAST_CHUNK)
        return body.is_complete

    def feed_with_backpressure(self, feed: Callable, piece: bytes) -> None:
        """Pass on a piece; stop reading until there is room for the next.

        Args:
            feed: Accepts the piece. Returns a future that is done when there is room
                for the next piece, or None if there is room already.
            piece: Piece of a body that was received.
        """
        space_available = feed(piece)
        if space_available is not None:
            self.pause_reading(PauseReason.BODY)
            space_available.add_done_callback(
                lambda _: self.resume_reading(PauseReason.BODY)
            )

    def pause_reading(self, reason: PauseReason) -> None:
        """Stop reading until this reason and all others are gone."""
        if not self._pause_reasons and not self.transport.is_closing():
            self.transport.pause_reading()
        self._pause_reasons.add(reason)

    def resume_reading(self, reason: PauseReason) -> None:
        """Read again, unless there is another reason not to."""
        if reason not in self._pause_reasons:
            return
        self._pause_reasons.remove(reason)
        if not self._pause_reasons and not self.transport.is_closing():
            self.transport.resume_reading()


def find_connection_options(headers: Headers) -> set[str]:
    """Return the options of the Connection header in lower case."""
    return {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
