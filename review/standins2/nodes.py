"""Starts nodes with the command of the deploy file, on free loopback ports."""

import asyncio
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from http_io import call

__all__ = ["Node"]

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 6.0

SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region"
portRange = [{metrics},{metrics}]
seeds = []
bootstrap = true
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = ["seedLagS=3","reuseAfterS=2","stableMs=3000","ackMs=4000","catchupS=4",\
"drainMs=2000","graceS=6","lossSlackMs=200","configApplyMs=2000",\
"rollbackSlackMs=250","maxSkewMs=5000","retryBudgetRatio=0.2","budgetWindowS=10",\
"retryBudgetBase={budget_base}","recoveryS=15"]
appAddr = "127.0.0.1:{target}"
service = "{service}"
[zones]
{zone} = "region"
[listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
ready = "127.0.0.1:{ready}"
admin = "127.0.0.1:{admin}"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[platform]
address = "127.0.0.1:{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
"""
_PORTS = ("metrics", "target", "inbound", "outbound", "ready", "admin")


def reserve_ports(count: int) -> list[socket.socket]:
    """Return sockets that are bound to different free ports.

    They don't listen, so that a process can listen there. While they are open, no other
    socket gets one of these ports by chance, also while that process is down.
    """
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    return sockets


class Node:
    """The process beside one upstream.

    Attributes:
        ports: Ports of the listeners and of the upstream, by name.
        touched_s: When this process was last started or got a signal, on the monotonic
            clock.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store_port: int,
        folder: Path,
        budget_base: int = 49,
    ):
        self.name, self.service, self.zone = name, service, zone
        self._reserved = reserve_ports(len(_PORTS))
        ports = [sock.getsockname()[1] for sock in self._reserved]
        self.ports = dict(zip(_PORTS, ports, strict=True))
        self.touched_s = 0.0
        self._process: subprocess.Popen | None = None
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        fields = {"name": name, "service": service, "zone": zone, "store": store_port}
        fields |= self.ports | {"budget_base": budget_base}
        self._settings.write_text(SETTINGS.format(**fields), encoding="utf-8")

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MIMOSALOOM_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["node"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.touched_s = time.monotonic()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.touched_s = time.monotonic()
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, signal.SIGKILL)
            self._process.wait()

    async def stop(self) -> None:
        """Stop the process as the platform does: SIGTERM, after a while SIGKILL."""
        self.touched_s = time.monotonic()
        self._process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + GRACE_S
        while self._process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.01)
        self.kill()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        port = self.ports["ready"]
        answer = await call("127.0.0.1", port, "GET", "/-/readyz", timeout_s=1.0)
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until the node is ready; return False if it is not in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False
