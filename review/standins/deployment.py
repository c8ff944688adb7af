"""A small deployment on loopback: real nodes, and stand-ins of all around them.

The store is the project's own stand-in. Targets and clients are written here, with an
HTTP reader of their own, so that a case does not depend on the code that it examines.
"""

import asyncio
import itertools
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from platform_adapter.store_standin import FakeStore
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

__all__ = ["Answer", "Connection", "Deployment", "Machine", "Target", "read_message"]

HOST = "127.0.0.1"
REPOSITORY = Path(__file__).resolve().parents[2]
MAX_FDS = 4100
BOUNDS = [
    "seedLagS=3",
    "reuseAfterS=2",
    "stableMs=3000",
    "ackMs=4000",
    "catchupS=4",
    "drainMs=2000",
    "graceS=6",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "rollbackSlackMs=250",
    "maxSkewMs=5000",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
    "retryBudgetBase=49",
    "recoveryS=15",
]
SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "{zone}"
region = "r"
portRange = [{metrics}, {metrics}]
heartbeatMs = 1500
bounds = {bounds}
appAddr = "{host}:{target}"
service = "{service}"
[listen]
inbound = "{host}:{inbound}"
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
admin = "{host}:{admin}"
[limits]
maxFds = 4100
memoryMb = 300
[platform]
address = "{host}:{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
"""


_used_ports: set[int] = set()


def find_free_ports(count: int) -> list[int]:
    """Return ports of loopback that are free now, all different.

    They are below the range from which the system takes ports for outgoing connections,
    which could take one before its listener does.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        if port in _used_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        ports.append(port)
    return ports


class Answer:
    """A message that was read: first line, headers in lower case, body."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes):
        self.line, self.headers, self.body = line, headers, body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Answer:
    """Read a request or response; raise EOFError or ValueError if it is not whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head[:-4].split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Answer(line, headers, body)


class Connection:
    """One connection of a client, which sends one request after the other."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port: int) -> "Connection":
        """Connect to a port of loopback; clients allow this one second."""
        async with asyncio.timeout(1):
            return cls(*await asyncio.open_connection(HOST, port, limit=1 << 20))

    async def call(self, method, path, headers=(), body=b"", timeout_s=5.0) -> Answer:
        """Send a request and return its whole answer."""
        rows = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
        if body or method in ("PUT", "POST"):
            rows.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(rows) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(timeout_s):
            return await read_message(self.reader)

    async def read(self) -> Answer:
        """Read the next answer, where several requests were sent."""
        return await read_message(self.reader)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Target:
    """A sound target: it announces itself, runs requests and leaves as it is told to.

    Attributes:
        runs: For each run: id of the request and the time of its begin.
        work_s: How long a request takes.
        body: Body of each answer.
        is_leaving: Whether its health check fails because it leaves.
        beat_delay_s: How late the next heartbeat arrives; 0 for at once.
    """

    def __init__(self, machine: "Machine", number: int, deployment: "Deployment"):
        self.machine = machine
        self.id = f"i-{number:08x}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[tuple[str, float]] = []
        self.work_s = 0.02
        self.body = b"done"
        self.is_leaving = False
        self._deployment = deployment
        self._beating: asyncio.Task | None = None
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, *, beats: bool = True) -> None:
        """Listen, and announce itself every `heartbeatMs`."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.machine.ports["target"], backlog=512
        )
        if beats:
            self.start_beating()

    def start_beating(self) -> None:
        """Announce itself from now on."""
        self._beating = asyncio.ensure_future(self._beat())

    def stop_beating(self) -> None:
        """Announce itself no more."""
        if self._beating is not None:
            self._beating.cancel()

    async def end(self) -> None:
        """End without a word, as a crash does."""
        self.stop_beating()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def build_heartbeat(self, state: str = "ready") -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        machine = self.machine
        return json.dumps(
            {
                "address": f"{HOST}:{machine.ports['target']}",
                "born": self.born_ms,
                "info": {
                    "service": machine.service,
                    "version": "v1",
                    "zone": machine.zone,
                    "slots": 64,
                },
                "status": {"state": state, "seq": self.sequence, "coldLeftMs": 0},
            }
        ).encode()

    async def tell(self, method: str, body: bytes) -> int:
        """Send a call about this target to its node; return the status, 0 for none."""
        try:
            connection = await Connection.open(self.machine.ports["admin"])
            answer = await connection.call(
                method, f"/-/instances/{self.id}", [("Host", "node")], body, 1.0
            )
            connection.close()
            return answer.status
        except (OSError, TimeoutError, EOFError, ValueError):
            return 0

    async def _beat(self) -> None:
        while True:
            status = await self.tell("PUT", self.build_heartbeat())
            await asyncio.sleep(1.5 if status == 200 else 0.2)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                # An idle connection is closed after the timeout that answers announce.
                async with asyncio.timeout(10):
                    request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, TimeoutError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Answer) -> bytes:
        if request.line.startswith("GET /healthz "):
            status = "503 Leaving" if self.is_leaving else "200 OK"
            return _encode(status, [("Mimosaloom-Instance-Id", self.id)], b"")
        request_id = request.headers.get("mimosaloom-attempt-id", "")
        id_header = ("Mimosaloom-Attempt-Id", request_id)
        if request.headers.get("mimosaloom-expect-instance", self.id) != self.id:
            return _encode("421 Misdirected", [id_header], b"")
        self.runs.append((request_id, time.monotonic()))
        self._deployment.note(f"run {request_id} at {self.machine.name} {self.id}")
        await asyncio.sleep(self.work_s)
        signature = ("Mimosaloom-Response-Signature", f"sig.{self.id}.{request_id}")
        return _encode("200 OK", [id_header, signature], self.body)


def _encode(status: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    rows = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in headers)]
    rows += ["Keep-Alive: timeout=10", f"Content-Length: {len(body)}"]
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class Machine:
    """One machine: its addresses and the process of its node."""

    def __init__(self, name, service, zone, store_port, folder):
        self.name, self.service, self.zone = name, service, zone
        names = ("inbound", "outbound", "ready", "admin", "target", "metrics")
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        self.process: subprocess.Popen | None = None
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=HOST,
                zone=zone,
                service=service,
                bounds=json.dumps(BOUNDS),
                store=store_port,
                **self.ports,
            )
        )

    def start(self) -> None:
        """Start the node with the command of the deploy file."""
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "mimosaloom_platform"],
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "MIMOSALOOM_CONFIG": str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
                ),
            )

    async def end(self, number: int, wait_s: float = 6.0) -> None:
        """Send a signal and wait for the end; SIGKILL after the time."""
        self.process.send_signal(number)
        deadline_s = time.monotonic() + wait_s
        while self.process.poll() is None and time.monotonic() < deadline_s:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            connection = await Connection.open(self.ports["ready"])
            answer = await connection.call(
                "GET", "/-/readyz", [("Host", "n")], b"", 1.0
            )
            connection.close()
            return answer.status == 200
        except (OSError, TimeoutError, EOFError, ValueError):
            return False


class Deployment:
    """Machines by name, the store, and the record of what happens."""

    def __init__(self, record_path: Path):
        self.store = FakeStore()
        self.machines: dict[str, Machine] = {}
        self.start_s = time.monotonic()
        self._record = record_path.open("w")
        self._folder = tempfile.TemporaryDirectory()
        self._sockets = bind_sockets(0, HOST)
        self._server = HTTPServer(self.store.build_application())
        self._server.add_sockets(self._sockets)
        self._numbers = itertools.count(1)
        self._version = 0

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{time.monotonic() - self.start_s:8.3f} {text}\n")

    def add(self, name: str, service: str, zone: str = "z") -> Machine:
        """Add a machine; its node does not run yet."""
        port = self._sockets[0].getsockname()[1]
        machine = Machine(name, service, zone, port, Path(self._folder.name))
        self.machines[name] = machine
        return machine

    def new_target(self, machine: Machine) -> Target:
        """Return a new target for a machine, which does not run yet."""
        return Target(machine, next(self._numbers), self)

    def configure(self, routes: list[dict], **fields) -> None:
        """Publish a configuration as the operator does."""
        self._version += 1
        services = sorted({m.service for m in self.machines.values()})
        document = {
            "version": f"r{self._version}",
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConns": 800}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 16777216,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 15000,
            },
            "vhosts": [{"host": "h.example", "paths": routes}],
            **fields,
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.note(f"configuration r{self._version} acknowledged")

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all nodes are ready; raise TimeoutError if they are not."""
        async with asyncio.timeout(timeout_s):
            for machine in self.machines.values():
                while not await machine.is_ready():
                    await asyncio.sleep(0.1)

    def logs(self) -> str:
        """Return what the nodes have written, for a look at a failure."""
        found = sorted(Path(self._folder.name).glob("*.log"))
        return "".join(path.read_text() for path in found)

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()
        self._record.close()
        if os.environ.get("KEEP_LOGS"):
            Path(os.environ["KEEP_LOGS"]).write_text(self.logs())
        self._folder.cleanup()


def build_route(name: str, prefix: str, service: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "service": service,
        "timeoutMs": 3000,
        "sloMs": 1000,
        "priority": 1,
        "attempts": 2,
        **fields,
    }


def request_headers(request_id: str, timeout_ms: int = 3000) -> list[tuple[str, str]]:
    """Return the headers that each request of a client has."""
    return [
        ("Host", "h.example"),
        ("Mimosaloom-Attempt-Id", request_id),
        ("Mimosaloom-Timeout-Ms", str(timeout_ms)),
    ]


def run_case(scenario, folder: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if it can't run.

    The scenario gets the deployment and whether the disruption is on. It returns
    whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> None:
        deployment = Deployment(folder / "record.txt")
        # A script that is told to end also ends the nodes that it started.
        ending = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ending)
        try:
            async with asyncio.timeout(110):
                held = await scenario(deployment, has_trouble)
            code = 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            deployment.note(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            code = 2
        finally:
            deployment.close()
        # All processes have ended; what the stand-ins still do here needs no answer.
        sys.stderr.flush()
        os._exit(code)

    asyncio.run(run())
