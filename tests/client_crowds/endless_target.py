"""A target whose answers never end, in a process of its own.

    python -m client_crowds.endless_target NAME HOST PORT

It writes as fast as its connections take it, in large blocks.
"""

import socket
import sys
import threading
from typing import NamedTuple

__all__ = ["ENDLESS_ANSWERS", "EndlessAnswer"]

BLOCK_BYTES = 1024 * 1024
_SIGNED = "HTTP/1.1 200 OK\r\nMimosaloom-Attempt-Id: {id}\r\n"
_SIGNED += "Mimosaloom-Response-Signature: signed\r\n"


class EndlessAnswer(NamedTuple):
    """What the target writes.

    Attributes:
        start: What it writes once; `{id}` stands for the id of the request.
        piece: What it repeats until the connection closes.
    """

    start: str
    piece: bytes


ENDLESS_ANSWERS = {
    "header": EndlessAnswer(_SIGNED + "X: ", b"x"),
    "headers": EndlessAnswer(_SIGNED, b"x:y\r\n"),
    "trailers": EndlessAnswer(
        _SIGNED + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", b"x:y\r\n"
    ),
    "body": EndlessAnswer(_SIGNED + "\r\n", b"b"),
    "long-body": EndlessAnswer(_SIGNED + "Content-Length: 99999999999\r\n\r\n", b"b"),
    "chunk": EndlessAnswer(
        _SIGNED + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", b"b"
    ),
    "chunks": EndlessAnswer(
        _SIGNED + "Transfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + 4096 * b"b" + b"\r\n",
    ),
    "short-chunks": EndlessAnswer(
        _SIGNED + "Transfer-Encoding: chunked\r\n\r\n", b"1\r\nb\r\n"
    ),
}


def answer_endlessly(connection: socket.socket, answer: EndlessAnswer) -> None:
    """Read the head of a request and answer until the connection closes."""
    block = answer.piece * (BLOCK_BYTES // len(answer.piece))
    with connection:
        head = b""
        while b"\r\n\r\n" not in head:
            received = connection.recv(65536)
            if not received:
                return
            head += received
        lines = dict(line.partition(": ")[::2] for line in head.decode().split("\r\n"))
        request_id = lines.get("Mimosaloom-Attempt-Id", "")
        try:
            connection.sendall(answer.start.replace("{id}", request_id).encode())
            while True:
                connection.sendall(block)
        except OSError:
            # The node has given up the answer.
            return


def main(name: str, host: str, port: str) -> None:
    """Accept connections until the process is ended."""
    with socket.create_server((host, int(port)), backlog=256) as server:
        while True:
            connection, _ = server.accept()
            threading.Thread(
                target=answer_endlessly,
                args=(connection, ENDLESS_ANSWERS[name]),
                daemon=True,
            ).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
