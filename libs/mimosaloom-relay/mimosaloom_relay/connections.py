"""What the client and the server share: socket options, framing and flow control.

The data path uses httptools' parser on the loop's own transports. Tornado's connection
class takes about three times the processor time for a message, so that a node at full
load answers late, and libcurl repeats requests on its own.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable

from mimosaloom_mesh.messages import Headers

from .bodies import Body

__all__ = [
    "FlowControl",
    "detect_silence",
    "encode_chunk",
    "encode_head",
    "find_connection_options",
    "keep_alive_socket",
]

# A silent connection is given up after idle + interval * count seconds.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
# Bytes to another node that are not taken for so long. A second loss in a row is rare,
# and a node that was cut off has to be left while there is time for another.
SILENCE_MS = 600
LAST_CHUNK = b"0\r\n\r\n"


def keep_alive_socket(sock: socket.socket) -> None:
    """Let the system find idle connections that have gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT)


def detect_silence(sock: socket.socket, *, is_on: bool) -> None:
    """Give up a connection whose peer does not take what is written.

    The system also counts the time for which a peer is alive but does not read, so this
    is for short messages to peers that read at once.
    """
    silence_ms = SILENCE_MS if is_on else 0
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)


def encode_head(start_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of a message.

    Args:
        start_line: First line without its end.
        headers: Names and values that a parser has accepted or this project has set;
            neither holds a line break.
    """
    lines = [start_line, *(f"{name}: {value}" for name, value in headers), "\r\n"]
    return "\r\n".join(lines).encode("latin-1")


def encode_chunk(piece: bytes) -> bytes:
    """Return a piece of a body in chunked framing."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


class FlowControl(asyncio.Protocol):
    """Lets writers wait while the peer reads slower than they write."""

    transport: asyncio.Transport

    def __init__(self):
        self._can_write: asyncio.Future | None = None

    def pause_writing(self):
        """Make writers wait; asyncio calls it when the write buffer is full."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let writers go on."""
        waiting, self._can_write = self._can_write, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def drain(self) -> None:
        """Wait until more may be written."""
        if self._can_write is not None:
            await self._can_write

    async def write_pieces(self, body: Body, *, is_chunked: bool) -> bool:
        """Write a body while it arrives; False if it was cut short."""
        async for piece in body.pieces():
            if self.transport.is_closing():
                return False
            self.transport.write(encode_chunk(piece) if is_chunked else piece)
            await self.drain()
        if body.is_complete and is_chunked:
            self.transport.write(LAST_CHUNK)
        return body.is_complete

    def feed_with_backpressure(self, feed: Callable, piece: bytes) -> None:
        """Hand on a piece; stop reading until there is room for the next."""
        room = feed(piece)
        if room is not None:
            self.transport.pause_reading()
            room.add_done_callback(lambda _: self._resume_reading())

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()


def find_connection_options(headers: Headers) -> set[str]:
    """Return the options of the Connection header in lower case."""
    return {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
