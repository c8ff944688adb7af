"""Stand-in of the platform's store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from http_io import read_message, write_message

__all__ = ["Store"]

# Time of an answer, as the sites give it. Its first half is the round trip in which a
# connection opens between machines: on loopback that takes no time, but a process that
# ends in it has sent nothing.
ANSWER_S = 0.004


class Store:
    """Log of keyed records; it loses nothing and is never down.

    Attributes:
        on_append: Called with the topic and the key of each record that is appended
            by a node.
    """

    def __init__(self):
        self.port = 0
        self.on_append = lambda topic, key: None
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator does."""
        self._topics.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key; None without one."""
        found = [value for name, value in self._topics.get(topic, []) if name == key]
        return found[-1] or None if found else None

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if await _has_ended(reader, ANSWER_S / 2):
                    return
                status, body = await self._answer(request)
                await asyncio.sleep(ANSWER_S / 2)
                write_message(writer, f"HTTP/1.1 {status} -", {"Store-Era": "1"}, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a call."""
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        match url.path:
            case "/-/log-append":
                return self._append(topic, request.body)
            case "/-/log-read":
                return await self._read(topic, query)
            case "/-/log-newest":
                return self._newest(topic, query.get("after", ""))
        return 404, b""

    def _append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        first = len(self._topics.get(topic, []))
        while body:
            (length,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            self.put(topic, key, content[key_end:])
            self.on_append(topic, key)
        end = len(self._topics.get(topic, []))
        return 200, json.dumps({"offset": first, "endOffset": end}).encode()

    async def _read(self, topic: str, query: dict) -> tuple[int, bytes]:
        start, wait_s = int(query["from"]), int(query.get("waitMs", "0")) / 1000
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(wait_s, 30.0)
        if start > len(self._topics.get(topic, [])):
            return 410, json.dumps({"first": 0}).encode()
        while len(self._topics.get(topic, [])) <= start and loop.time() < end_s:
            try:
                await asyncio.wait_for(self._changed.wait(), end_s - loop.time())
            except TimeoutError:
                break
        records = self._topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def _newest(self, topic: str, after: str) -> tuple[int, bytes]:
        records = self._topics.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > after
        ]
        page = {
            "items": items[:500],
            "hasMore": len(items) > 500,
            "endOffset": len(records),
        }
        return 200, json.dumps(page).encode()


async def _has_ended(reader: asyncio.StreamReader, time_s: float) -> bool:
    """Wait for a time; return whether the caller closes the connection in it."""
    reading = asyncio.ensure_future(reader.read(1))
    await asyncio.wait([reading], timeout=time_s)
    if reading.done():
        return True
    reading.cancel()
    await asyncio.wait([reading])
    return False
