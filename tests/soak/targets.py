"""Targets of a soak: they announce themselves, drain, crash and come back."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from platform_adapter.standins import FakeTarget
from soak.callers import call_once
from soak.machines import ADMIN_PORT, TARGET_PORT, Machine

__all__ = ["DRAIN_S", "Leave", "Run", "SoakTarget", "TargetHost"]

HEARTBEAT_S = 0.5
# A heartbeat is acknowledged within this time or sent again.
ACKNOWLEDGE_S = 1.0
# A draining target serves for this long after the acknowledgement.
DRAIN_S = 2.0
LINGER_S = 1.0
# A leaving target says so in its answers for up to this long before its heartbeat does.
MAX_EARLY_LEAVING_S = 3.5
SLOTS = 16
WORK_S = (0.005, 0.06)
# Modes of `FakeTarget` while it is faulty.
FAULTY_MODES = ("ok", "ok", "lose", "cut", "garbage", "error", "reject", "reject-twice")
FAULTY_MODES += ("extra", "extra-after", "no-length", "hang", "unsigned")
FAULTY_MODES += ("reject-unnamed-twice",)


class Run(NamedTuple):
    """One run of a request at a target.

    Attributes:
        request_id: Id of the request.
        service: Service of the target.
        target_id: Id of the target.
        at_s: When it began, on the clock of the event loop.
    """

    request_id: str
    service: str
    target_id: str
    at_s: float


class Leave(NamedTuple):
    """An acknowledged leave of a target.

    Attributes:
        target_id: Id of the target.
        machine: Name of the machine whose node acknowledged it.
        acknowledged_s: When, on the clock of the event loop.
    """

    target_id: str
    machine: str
    acknowledged_s: float


class SoakTarget(FakeTarget):
    """A target that works for a while on each request, and records its runs.

    Attributes:
        is_faulty: Whether it spoils part of its answers.
    """

    def __init__(
        self, target_id: str, service: str, record: list[Run], rng: random.Random
    ):
        super().__init__(target_id)
        self.is_faulty = False
        self._service = service
        self._record = record
        self._rng = rng

    def next_mode(self) -> str:
        """Draw a mode while the target is faulty."""
        return self._rng.choice(FAULTY_MODES) if self.is_faulty else "ok"

    async def run(self, request_id: str) -> None:
        """Record the run and work."""
        now_s = asyncio.get_running_loop().time()
        self._record.append(Run(request_id, self._service, self.target_id, now_s))
        await asyncio.sleep(self._rng.uniform(*WORK_S))

    async def listen_at(self, host: str) -> None:
        """Start to listen at the address of the machine."""
        self._server = await asyncio.start_server(self._serve, host, TARGET_PORT)
        self.port = TARGET_PORT


class TargetHost:
    """Keeps one target running on a machine and announces it to the node.

    Args:
        machine: The machine.
        record: Receives the runs of all its targets.
        rng: Source of random choices.
        now_ms: Returns the time of day in Unix milliseconds.
        ends_target: Returns whether a request ends a target, as in `FakeTarget`.

    Attributes:
        target: The target that runs now; None while there is none.
        leaves: Acknowledged leaves of all its targets.
    """

    def __init__(
        self,
        machine: Machine,
        record: list[Run],
        rng: random.Random,
        now_ms: Callable[[], int],
        ends_target: Callable[[str, dict[str, str], bytes], bool],
    ):
        self.machine = machine
        self.target: SoakTarget | None = None
        self.leaves: list[Leave] = []
        self._record = record
        self._rng = rng
        self._now_ms = now_ms
        self._ends_target = ends_target
        self._id = self._new_id()
        self._born_ms = 0
        self._sequence = 0
        self._announcing: asyncio.Task | None = None

    def _new_id(self) -> str:
        return f"i-{self._rng.getrandbits(32):08x}"

    async def start(self, *, keeps_id: bool = False) -> None:
        """Start a target, with a new id or with that of the last one."""
        if not keeps_id:
            self._id = self._new_id()
        self._born_ms = self._now_ms()
        self._sequence = 0
        target = SoakTarget(self._id, self.machine.service, self._record, self._rng)
        target.ends_on = self._ends_target
        await target.listen_at(self.machine.host)
        self.target = target
        self._announcing = asyncio.ensure_future(self._announce())

    def crash(self) -> None:
        """End the target without a word."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self.target is not None:
            self.target.crash()
        self.target = None

    async def drain(self) -> None:
        """Announce that the target leaves, serve for a while, and end it."""
        self.target.signals = ["Server-Leaving: 1"]
        await asyncio.sleep(self._rng.choice([0, 0.1, MAX_EARLY_LEAVING_S]))
        self._announcing.cancel()
        self.target.is_healthy = False
        while not await self._send_heartbeat("draining"):
            await asyncio.sleep(HEARTBEAT_S)
        self._note_leave()
        await asyncio.sleep(DRAIN_S + self._rng.uniform(0, LINGER_S))
        await self.leave()
        self.crash()

    def stop_announcing(self) -> bytes:
        """Send no more heartbeats; return the next one, which may arrive late."""
        self._announcing.cancel()
        return self._build_heartbeat("ready")

    async def leave(self) -> None:
        """Announce that the target has left, which goes on to serve."""
        self.target.is_healthy = False
        path = f"/-/instances/{self._id}"
        body = msgspec.json.encode({"born": self._born_ms})
        if await self._call("DELETE", path, body):
            self._note_leave()

    def _note_leave(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.leaves.append(Leave(self._id, self.machine.name, now_s))

    async def _announce(self) -> None:
        while True:
            is_acknowledged = await self._send_heartbeat("ready")
            await asyncio.sleep(HEARTBEAT_S if is_acknowledged else 0.1)

    async def _send_heartbeat(self, state: str) -> bool:
        return await self.send(self._build_heartbeat(state))

    def _build_heartbeat(self, state: str) -> bytes:
        self._sequence += 1
        machine = self.machine
        body = {
            "address": f"{machine.host}:{TARGET_PORT}",
            "info": {"service": machine.service, "zone": machine.zone, "slots": SLOTS},
            "status": {"state": state, "seq": self._sequence, "coldLeftMs": 0},
            "born": self._born_ms,
        }
        return msgspec.json.encode(body)

    async def send(self, heartbeat: bytes) -> bool:
        """Send a heartbeat; return whether it is acknowledged."""
        return await self._call("PUT", f"/-/instances/{self._id}", heartbeat)

    async def _call(self, method: str, path: str, body: bytes) -> bool:
        try:
            status = await call_once(
                self.machine.address(ADMIN_PORT),
                method,
                path,
                body,
                timeout_s=ACKNOWLEDGE_S,
            )
        except (OSError, TimeoutError):
            return False
        return status == 200
