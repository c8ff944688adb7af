"""What the system says of a process: its memory, its sockets and what they hold."""

import os
from pathlib import Path
from typing import NamedTuple

__all__ = ["Usage", "read_peak_resident_bytes", "read_usage"]

_SOCKET_PREFIX = "socket:["
_KIB = 1024


class Usage(NamedTuple):
    """Use of a process at one moment.

    Attributes:
        resident_bytes: Memory that is resident.
        unread_bytes: Bytes that its sockets have received and it has not read.
        descriptors: Open descriptors.
        sockets: Open sockets.
    """

    resident_bytes: int
    unread_bytes: int
    descriptors: int
    sockets: int


def read_usage(pid: int) -> Usage:
    """Return the use of a process now."""
    inodes = set()
    descriptors = 0
    for entry in os.scandir(f"/proc/{pid}/fd"):
        descriptors += 1
        try:
            target = os.readlink(entry.path)
        except FileNotFoundError:
            # It was closed meanwhile.
            continue
        if target.startswith(_SOCKET_PREFIX):
            inodes.add(target[len(_SOCKET_PREFIX) : -1])
    return Usage(
        _read_status_bytes(pid, "VmRSS"),
        _count_unread_bytes(pid, inodes),
        descriptors,
        len(inodes),
    )


def read_peak_resident_bytes(pid: int) -> int:
    """Return the largest resident memory that a process ever had."""
    return _read_status_bytes(pid, "VmHWM")


def _read_status_bytes(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text("ascii").splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * _KIB
    raise ProcessLookupError(f"process {pid} has ended")


def _count_unread_bytes(pid: int, inodes: set[str]) -> int:
    unread_bytes = 0
    for line in Path(f"/proc/{pid}/net/tcp").read_text("ascii").splitlines()[1:]:
        fields = line.split()
        # For a listener, the queue is a number of connections.
        state, queues, inode = fields[3], fields[4], fields[9]
        if inode in inodes and state != "0A":
            unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes
