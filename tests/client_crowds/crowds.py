"""Clients that send legal, odd or endless requests and stay connected.

Run as a module, it opens one crowd of them, in a process of its own:

    python -m client_crowds.crowds NAME HOST PORT
"""

import asyncio
import itertools
import socket
import sys
from collections.abc import Callable, Iterator
from typing import NamedTuple

__all__ = ["CROWDS", "MAX_HEADER_BYTES", "PATH", "TIMEOUT_MS", "Crowd", "build_head"]

# Limits in the configuration of the tests.
MAX_HEADER_BYTES = 16_384
PATH = "/often-beta/x"
# Longer than a crowd stays, so that no request ends by its deadline before.
TIMEOUT_MS = 30_000
# Larger than all that a node may hold for one connection.
ENDLESS_BYTES = 12 * 1024 * 1024
PIECE_BYTES = 64 * 1024


class Crowd(NamedTuple):
    """Clients that all send the same.

    Attributes:
        connections: Number of clients, one connection each.
        build_pieces: Returns what a client sends, from its number.
        max_fds: Descriptors that the settings of the nodes allow.
    """

    connections: int
    build_pieces: Callable[[int], Iterator[bytes]]
    max_fds: int = 4100


def build_head(*lines: str, method: str = "POST", request_id: str = "id") -> bytes:
    """Return the head of a request to the service behind the first node."""
    start = (f"{method} {PATH} HTTP/1.1", "Host: h.example")
    fields = (
        f"Mimosaloom-Attempt-Id: {request_id}",
        f"Mimosaloom-Timeout-Ms: {TIMEOUT_MS}",
    )
    return "\r\n".join([*start, *fields, *lines, "\r\n"]).encode()


def build_short_lines(
    request_id: str, last: str = "Content-Length: 0", method: str = "POST"
) -> bytes:
    """Return a head just below the limit, nearly all of it lines of two letters."""
    bare = build_head(last, method=method, request_id=request_id)
    count = (MAX_HEADER_BYTES - len(bare)) // len("x:y\r\n")
    return build_head(*["x:y"] * count, last, method=method, request_id=request_id)


def _send_short_lines(number: int) -> Iterator[bytes]:
    """Yield a head of many lines, and a body without its last byte."""
    yield build_short_lines(f"lines-{number}", "Content-Length: 2")
    yield b"a"


def _send_complete_short_lines(number: int) -> Iterator[bytes]:
    yield build_short_lines(f"complete-{number}", method="GET")


def _send_chunk(size: int, count: int, number: int) -> Iterator[bytes]:
    """Yield a body in chunks that does not end."""
    yield build_head("Transfer-Encoding: chunked", request_id=f"chunk-{number}")
    chunk = b"%x\r\n%b\r\n" % (size, b"c" * size)
    yield from itertools.repeat(chunk, count)


def _send_single_bytes(number: int) -> Iterator[bytes]:
    """Yield a body in chunks of one byte, without the last chunk."""
    yield build_head("Transfer-Encoding: chunked", request_id=f"single-{number}")
    yield from itertools.repeat(b"1\r\nc\r\n" * 10_000, 100)


def _send_pipelined(number: int) -> Iterator[bytes]:
    """Yield many complete requests at once."""
    yield b"".join(
        build_head(method="GET", request_id=f"pipelined-{number}-{n}")
        for n in range(3000)
    )


def _send_nothing(number: int) -> Iterator[bytes]:
    return iter(())


def _send_part_of_head(number: int) -> Iterator[bytes]:
    yield build_head(request_id=f"part-{number}")[:-2]


def _send_long_head(number: int) -> Iterator[bytes]:
    """Yield a head over the limit that does not end."""
    yield build_head(request_id=f"long-{number}")[:-2]
    yield from itertools.repeat(b"x: " + 997 * b"y" + b"\r\n", 60)


def _send_endlessly(start: bytes, piece: bytes, number: int) -> Iterator[bytes]:
    yield start
    count = PIECE_BYTES // len(piece)
    yield from itertools.repeat(piece * count, ENDLESS_BYTES // PIECE_BYTES)


def _build_endless(start: bytes, piece: bytes) -> Crowd:
    return Crowd(64, lambda number: _send_endlessly(start, piece, number))


_CHUNKED_HEAD = build_head("Transfer-Encoding: chunked")

CROWDS = {
    "heads-of-short-lines": Crowd(600, _send_short_lines),
    "complete-heads-of-short-lines": Crowd(300, _send_complete_short_lines),
    "single-byte-chunks": Crowd(300, _send_single_bytes),
    "chunks-below-the-buffer": Crowd(
        600, lambda number: _send_chunk(250_000, 1, number)
    ),
    "large-chunks": Crowd(600, lambda number: _send_chunk(1024 * 1024, 15, number)),
    "pipelined-requests": Crowd(100, _send_pipelined),
    "idle-connections": Crowd(600, _send_nothing, max_fds=600),
    "parts-of-heads": Crowd(600, _send_part_of_head, max_fds=600),
    "long-heads": Crowd(600, _send_long_head),
    "endless-target": _build_endless(b"GET /", b"x"),
    "endless-header-line": _build_endless(build_head()[:-2] + b"x: ", b"y"),
    "endless-header-lines": _build_endless(build_head()[:-2], b"x:y\r\n"),
    "endless-empty-lines": _build_endless(b"", b"\r\n"),
    "endless-chunk-extension": _build_endless(_CHUNKED_HEAD + b"1;", b"x"),
    "endless-trailers": _build_endless(_CHUNKED_HEAD + b"1\r\nc\r\n0\r\n", b"x:y\r\n"),
}


async def _run_client(host: str, port: int, pieces: Iterator[bytes]) -> None:
    """Send all pieces, as far as the node reads them, and stay connected."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, (host, port))
        for piece in pieces:
            await loop.sock_sendall(sock, piece)
        await loop.create_future()
    except ConnectionError:
        # The node has refused the client.
        return
    finally:
        sock.close()


async def _run_crowd(crowd: Crowd, host: str, port: int) -> None:
    """Run all clients until standard input ends."""
    loop = asyncio.get_running_loop()
    clients = [
        asyncio.ensure_future(_run_client(host, port, crowd.build_pieces(number)))
        for number in range(crowd.connections)
    ]
    await loop.run_in_executor(None, sys.stdin.read)
    for client in clients:
        client.cancel()
    await asyncio.wait(clients)


if __name__ == "__main__":
    asyncio.run(_run_crowd(CROWDS[sys.argv[1]], sys.argv[2], int(sys.argv[3])))
