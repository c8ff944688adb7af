"""Reads and writes HTTP/1.1 messages on asyncio streams, with the standard library."""

import asyncio

__all__ = ["Message", "call", "read_message", "write_message"]


class Message:
    """One HTTP message: its first line, its headers in lower case, and its body."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes):
        self.line = line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.line.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split(" ", 1)[0]

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.line.split(" ", 2)[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the connection ends before one begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rows = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(line, headers, body)


def write_message(
    writer, line: str, headers: dict[str, str], body: bytes = b""
) -> None:
    """Write a message with a length."""
    rows = [line, *(f"{name}: {value}" for name, value in headers.items())]
    rows.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(rows) + "\r\n\r\n").encode("latin-1") + body)


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Message | None:
    """Send one request on a new connection; return the answer, None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            sent = {"Host": f"{host}:{port}"} | (headers or {})
            write_message(writer, f"{method} {path} HTTP/1.1", sent, body)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
