"""Stand-in of an application upstream and of the heartbeats that it sends."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from http_io import Message, call, read_message, write_message

__all__ = ["HEARTBEAT_S", "Upstream"]

HEARTBEAT_S = 1.5
# A heartbeat that is not acknowledged within this time is given up.
ACKNOWLEDGE_S = 1.0


class Upstream:
    """A sound upstream: it runs each request once and answers it, also while it leaves.

    Attributes:
        instance_id: Id of this incarnation.
        is_leaving: Whether it has said that it leaves; its health check fails then.
        work: Works on a request; returns the status of the answer.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        port: int,
        admin_port: int,
        on_run: Callable[[str, "Upstream", Message], None],
        slots: int = 64,
    ):
        self.instance_id = instance_id
        self.is_leaving = False
        self.work: Callable[[Message], Awaitable[int]] = _work_briefly
        self.port = port
        self.admin_port = admin_port
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self._service, self._zone, self._slots = service, zone, slots
        self._on_run = on_run
        self._server = None
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self._beating = asyncio.ensure_future(self._beat())

    def close(self) -> None:
        """Stop the heartbeats and accept no more connections."""
        self.stop_heartbeats()
        self._server.close()

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        self._beating.cancel()

    def build_heartbeat(self, state: str) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        info = {
            "service": self._service,
            "version": "v1",
            "zone": self._zone,
            "slots": self._slots,
        }
        status = {"state": state, "seq": self.sequence, "coldLeftMs": 0}
        address = f"127.0.0.1:{self.port}"
        body = {"address": address, "info": info, "status": status}
        return json.dumps(body | {"born": self.born_ms}).encode()

    async def send_heartbeat(self, body: bytes) -> int | None:
        """Send a heartbeat; return the status of the answer, None without one."""
        answer = await call(
            "127.0.0.1",
            self.admin_port,
            "PUT",
            f"/-/instances/{self.instance_id}",
            {"Content-Type": "application/json"},
            body,
            timeout_s=ACKNOWLEDGE_S,
        )
        return None if answer is None else answer.status

    async def _beat(self) -> None:
        while True:
            status = await self.send_heartbeat(self.build_heartbeat("ready"))
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer) -> None:
        named = {"Mimosaloom-Instance-Id": self.instance_id}
        if request.path == "/healthz":
            status = "503 Leaving" if self.is_leaving else "200 OK"
            write_message(writer, f"HTTP/1.1 {status}", named)
            return
        request_id = request.headers.get("mimosaloom-attempt-id", "")
        echoed = {"Mimosaloom-Attempt-Id": request_id}
        expected = request.headers.get("mimosaloom-expect-instance")
        if expected not in (None, self.instance_id):
            write_message(writer, "HTTP/1.1 421 Misdirected Request", named | echoed)
            return
        self._on_run(request_id, self, request)
        status = await self.work(request)
        echoed["Mimosaloom-Response-Signature"] = f"sig.{self.instance_id}"
        line = "HTTP/1.1 200 OK" if status == 200 else f"HTTP/1.1 {status} Failed"
        write_message(writer, line, echoed, b"done " + request_id.encode())


async def _work_briefly(request: Message) -> int:
    await asyncio.sleep(0.02)
    return 200
