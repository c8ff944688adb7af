"""Stand-in for a target that speaks the published protocol, and its configuration."""

import asyncio

import msgspec

# How long a request that ends the target runs before.
END_DELAY_S = 0.03


class FakeTarget:
    """A target that writes raw HTTP/1.1, so that it can violate the protocol.

    Attributes:
        target_id: Id of the target.
        runs: Ids of the requests that it ran, in order.
        requests: Request line, headers and body of each request, as received.
        modes: How it answers the next requests, one entry each; "ok" when empty.
            "early" answers before the body has arrived, "reject" refuses the request
            without running it, "reject-twice" also sends a copy of that answer when the
            next request on the connection arrives, "reject-unnamed-twice" does so
            without the id of the request, "hold", "hold-error" and "hold-large" run it
            and answer once `released` is set, "hang" never answers and does not run it,
            "large-stall" stops in the middle of a large answer;
            those of `_ENDLESS_ANSWERS` write until the connection closes;
            `_ANSWER_BUILDERS` has the others.
        released: Event that lets held requests end.
        disconnected: Ids of the requests whose connection closed while they were held.
        connections: Number of connections accepted so far.
        endless_bytes: Number of bytes written in endless answers.
        status: Status of its own answers.
        invalid_head: Bytes in front of each of its own answers.
        is_healthy: Whether its health check succeeds.
        has_endless_health: Whether the body of its health check never ends.
        signals: Header lines in all of its answers.
        ends_on: Returns whether a request ends the target, from its request line,
            headers and body.
        has_ended: Whether a request has ended it, or a test has by `crash`.
        port: Port on which it listens.
    """

    def __init__(self, target_id: str = "i-1"):
        self.target_id = target_id
        self.runs: list[str] = []
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.modes: list[str] = []
        self.released = asyncio.Event()
        self.disconnected: list[str] = []
        self.connections = 0
        self.endless_bytes = 0
        self.status = "200"
        self.invalid_head = b""
        self.is_healthy = True
        self.has_endless_health = False
        self.signals: list[str] = []
        self.ends_on = lambda line, headers, body: False
        self.has_ended = False
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = None
        self._late_answers: dict[asyncio.StreamWriter, bytes] = {}

    async def listen(self, port: int = 0) -> int:
        """Start to listen on loopback; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.has_ended = True
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def next_mode(self) -> str:
        """Return how the next request is answered."""
        return self.modes.pop(0) if self.modes else "ok"

    async def run(self, request_id: str) -> None:
        """Record that a request runs, and do its work."""
        self.runs.append(request_id)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except RuntimeError:
            # The transport of an aborted connection can't be used any more.
            if not self.has_ended:
                raise
        finally:
            self._writers.discard(writer)
            self._late_answers.pop(writer, None)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = head.strip().split("\r\n")
        headers = dict(row.split(": ", 1) for row in rows)
        if line.startswith("GET /healthz "):
            status = "200 OK" if self.is_healthy else "503 Leaving"
            lines = (f"HTTP/1.1 {status}", f"Mimosaloom-Instance-Id: {self.target_id}")
            if self.has_endless_health:
                start = "\r\n".join((*lines, "\r\n")).encode()
                await self._write_endlessly("health", writer, start, b"b" * 65536)
                return False
            lines += (*self.signals, "Content-Length: 0\r\n\r\n")
            writer.write("\r\n".join(lines).encode())
            return True
        mode = self.next_mode()
        request_id = headers.get("Mimosaloom-Attempt-Id", "")
        if mode == "early":
            writer.write(self._build_answer(request_id, b"early"))
            return True
        body = await _read_body(reader, headers)
        self.requests.append((line, headers, body))
        writer.write(self._late_answers.pop(writer, b""))
        expected = headers.get("Mimosaloom-Expect-Instance", self.target_id)
        if expected != self.target_id:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.ends_on(line, headers, body):
            await self.run(request_id)
            await asyncio.sleep(END_DELAY_S)
            self.crash()
            return False
        return await self._respond(mode, request_id, body, reader, writer)

    async def _respond(self, mode, request_id, body, reader, writer) -> bool:
        if mode.startswith("reject"):
            id_line = f"Mimosaloom-Attempt-Id: {request_id}\r\n"
            named = "" if "unnamed" in mode else id_line
            rejection = (
                b"HTTP/1.1 503 Busy\r\nMimosaloom-Not-Executed: 1\r\n"
                + named.encode()
                + self._encode_signals()
                + b"Content-Length: 0\r\n\r\n"
            )
            writer.write(rejection)
            if mode.endswith("-twice"):
                self._late_answers[writer] = rejection
            return True
        if mode == "hang":
            await reader.read()
            return False
        await self.run(request_id)
        if mode == "large-stall":
            answer = _enlarge(self._build_answer(request_id, b""), 800_000)
            writer.write(answer[:-400_000])
            await reader.read()
            self.disconnected.append(request_id)
            return False
        if mode in _ENDLESS_ANSWERS:
            await self._write_endlessly(request_id, writer, *_ENDLESS_ANSWERS[mode])
            return False
        answer = self._build_answer(request_id, b"done:" + body)
        if mode.startswith("hold"):
            if mode != "hold":
                answer = _ANSWER_BUILDERS[mode.removeprefix("hold-")](answer, b"")
            return await self._hold_request(request_id, answer, reader, writer)
        unsolicited = self._build_answer(
            "another" if mode == "extra" else request_id, b"late"
        )
        writer.write(_ANSWER_BUILDERS[mode](answer, unsolicited))
        return mode not in _CLOSING_MODES

    async def _write_endlessly(self, request_id, writer, start, piece) -> None:
        writer.write(start.replace(b"ID", request_id.encode()))
        while not writer.transport.is_closing():
            writer.write(piece)
            self.endless_bytes += len(piece)
            await writer.drain()
            # Lets the node run, which shares the event loop.
            await asyncio.sleep(0)
        self.disconnected.append(request_id)

    async def _hold_request(self, request_id, answer, reader, writer) -> bool:
        closed = asyncio.ensure_future(reader.read(1))
        released = asyncio.ensure_future(self.released.wait())
        await asyncio.wait({closed, released}, return_when=asyncio.FIRST_COMPLETED)
        released.cancel()
        if closed.done():
            self.disconnected.append(request_id)
            return False
        closed.cancel()
        # The stream allows one reader at a time.
        await asyncio.wait([closed])
        writer.write(answer)
        return True

    def _build_answer(self, request_id: str, body: bytes) -> bytes:
        return (
            self.invalid_head
            + (
                f"HTTP/1.1 {self.status} OK\r\nMimosaloom-Attempt-Id: {request_id}\r\n"
                f"Mimosaloom-Response-Signature: sig.{self.target_id}\r\n"
                f"{self._encode_signals().decode()}"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )

    def _encode_signals(self) -> bytes:
        return "".join(f"{line}\r\n" for line in self.signals).encode()


def _encode_chunked(answer: bytes) -> bytes:
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if b"Content-Length" not in line]
    head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"])
    return head + b"\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def _enlarge(answer: bytes, size: int) -> bytes:
    """Return an answer with a body of another size."""
    head = answer.partition(b"Content-Length: ")[0]
    return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


# What the target writes in each mode, built from its answer and an unsolicited one.
_ANSWER_BUILDERS = {
    "ok": lambda answer, unsolicited: answer,
    "lose": lambda answer, unsolicited: b"",
    "cut": lambda answer, unsolicited: answer[:-3],
    "garbage": lambda answer, unsolicited: b"\x00\x01 no http\r\n\r\n",
    "unsigned": lambda answer, unsolicited: answer.replace(
        b"Mimosaloom-Response-Signature", b"X-No"
    ),
    "extra": lambda answer, unsolicited: unsolicited + answer,
    "extra-after": lambda answer, unsolicited: answer + unsolicited,
    "no-length": lambda answer, unsolicited: answer.replace(
        b"Content-Length", b"X-Length"
    ),
    "error": lambda answer, unsolicited: answer.replace(b"200 OK", b"500 Error"),
    "chunked": lambda answer, unsolicited: _encode_chunked(answer),
    # Sizes below and above those up to which nodes buffer an answer.
    "medium": lambda answer, unsolicited: _enlarge(answer, 240_000),
    "huge": lambda answer, unsolicited: _enlarge(answer, 12_000_000),
    "large": lambda answer, unsolicited: _enlarge(answer, 800_000),
    "large-cut": lambda answer, unsolicited: _enlarge(answer, 800_000)[:-400_000],
}
_SIGNED_START = (
    b"HTTP/1.1 200 OK\r\nMimosaloom-Attempt-Id: ID\r\n"
    b"Mimosaloom-Response-Signature: s\r\n"
)
_PIECE_BYTES = 65536
# What the target writes once, and what it then repeats until the connection closes.
_ENDLESS_ANSWERS = {
    "endless-status": (b"HTTP/1.1 200 ", b"O" * _PIECE_BYTES),
    "endless-header": (_SIGNED_START + b"X: ", b"x" * _PIECE_BYTES),
    "endless-headers": (_SIGNED_START, b"X: y\r\n" * (_PIECE_BYTES // 6)),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "endless-trailers": (
        _SIGNED_START + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"X: y\r\n" * (_PIECE_BYTES // 6),
    ),
    "endless-body": (_SIGNED_START + b"\r\n", b"b" * _PIECE_BYTES),
}
_CLOSING_MODES = frozenset({"lose", "cut", "garbage", "no-length", "large-cut"})


async def _read_body(reader, headers) -> bytes:
    if headers.get("Transfer-Encoding") == "chunked":
        pieces = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if not size:
                return b"".join(pieces)
            pieces.append(piece)
    return await reader.readexactly(int(headers.get("Content-Length", "0")))


def build_document(
    version: int, routes: list[dict], services: list[str], **fields
) -> bytes:
    """Return a configuration document in the form that the operator publishes.

    Args:
        version: Number of the version.
        routes: Routes, each with the fields that differ from those given here.
        services: Names of the services.
        **fields: Further fields of the document.
    """
    hosts: dict[str, list[dict]] = {}
    for route in routes:
        path = {
            "name": f"r-{route['pathPrefix'].strip('/')}",
            "routeType": "idempotent",
            "timeoutMs": 2000,
            "sloMs": 1000,
            "priority": 2,
            "attempts": 2,
            **route,
        }
        hosts.setdefault(path.pop("host", "h.example"), []).append(path)
    return msgspec.json.encode(
        {
            "version": f"r{version}",
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConns": 100}
                for name in services
            ],
            "limits": {"maxBodyBytes": 67108864, "idleTimeoutMs": 15000},
            "vhosts": [{"host": h, "paths": paths} for h, paths in hosts.items()],
            **fields,
        }
    )
