"""Announces that an upstream leaves, and kills processes once that is acknowledged.

A process of its own, so that nothing delays it after the acknowledgement.
"""

import os
import signal
import socket
import sys
import time


def main(port: str, instance_id: str, born_ms: str, *pids: str) -> int:
    """Send the leave; print when the acknowledgement was read."""
    body = f'{{"born":{born_ms}}}'
    head = (
        f"DELETE /-/instances/{instance_id} HTTP/1.1\r\nHost: admin\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    numbers = [int(pid) for pid in pids]
    with socket.create_connection(("127.0.0.1", int(port)), 1) as sock:
        sock.sendall((head + body).encode())
        answer = sock.recv(4096)
        for number in numbers:
            os.kill(number, signal.SIGKILL)
        at_s = time.monotonic()
    print(at_s)
    return 0 if answer.startswith(b"HTTP/1.1 200") else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
