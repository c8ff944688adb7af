"""Addresses, settings files and processes of the nodes that a soak runs."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

from mimosaloom_model import Address

__all__ = ["GRACE_S", "Machine", "NodeProcess", "build_machines"]

# Each soak has loopback networks of its own, so that all machines use the same ports:
# one for the machines themselves and one for the proxies in front of them.
OWN_NETWORK, PROXY_NETWORK = 100, 101
OUTBOUND_PORT, INBOUND_PORT, READY_PORT, ADMIN_PORT = 8304, 8300, 8302, 8306
TARGET_PORT, STORE_PORT, METRICS_PORT = 8301, 8309, 7620
# Time between SIGTERM and SIGKILL.
GRACE_S = 6.0

SETTINGS_TEMPLATE = """\
nodeName = "{name}"
role = "node"
ip = "{host}"
zone = "{zone}"
portRange = [{metrics_port}, 7635]
appAddr = "{host}:{target_port}"
service = "{service}"
bounds = ["graceS={grace_s}", "stableMs=3000", "retryBudgetRatio=0.2", \
"budgetWindowS=10", "retryBudgetBase=49"]
[listen]
inbound = "{host}:{inbound_port}"
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"
admin = "{host}:{admin_port}"
[platform]
address = "{proxy_host}:{store_port}"
"""


class Machine(NamedTuple):
    """One instance: a node and the target beside it.

    Attributes:
        name: Name of the node.
        service: Service of the target.
        zone: Failure domain.
        host: IP address of the node and the target.
        proxy_host: IP address where other nodes and the store are reached through
            proxies.
    """

    name: str
    service: str
    zone: str
    host: str
    proxy_host: str

    def address(self, port: int) -> Address:
        """Return the address of a listener of this machine."""
        return Address(self.host, port)


def build_machines(network: int, services: list[str], copies: int) -> list[Machine]:
    """Return the machines of a soak.

    Args:
        network: Number of the soak, 0 to 255; soaks at the same time need different
            ones.
        services: Names of the services.
        copies: Number of machines of each service.
    """
    machines = []
    for index in range(copies):
        for service in services:
            number = len(machines) + 1
            machines.append(
                Machine(
                    f"{service}-{index}",
                    service,
                    f"zone-{index % 3}",
                    f"127.{OWN_NETWORK}.{network}.{number}",
                    f"127.{PROXY_NETWORK}.{network}.{number}",
                )
            )
    return machines


class NodeProcess:
    """Starts, signals and stops the node of one machine.

    Args:
        machine: The machine.
        folder: Receives the settings file and the log.
        tree: Checkout whose sources the node runs.
        further_settings: Added at the end of the settings file.

    Attributes:
        starts: Number of starts so far.
        is_paused: Whether the process is stopped by SIGSTOP.
    """

    def __init__(
        self, machine: Machine, folder: Path, tree: Path, further_settings: str = ""
    ):
        self.machine = machine
        self.starts = 0
        self.is_paused = False
        self._tree = tree
        self._settings = folder / f"{machine.name}.toml"
        self._log = folder / f"{machine.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            SETTINGS_TEMPLATE.format(
                **machine._asdict(),
                grace_s=GRACE_S,
                metrics_port=METRICS_PORT,
                target_port=TARGET_PORT,
                inbound_port=INBOUND_PORT,
                outbound_port=OUTBOUND_PORT,
                ready_port=READY_PORT,
                admin_port=ADMIN_PORT,
                store_port=STORE_PORT,
            )
            + further_settings,
            encoding="utf-8",
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the process, which has been started."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs, negative after a signal."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process."""
        sources = [*self._tree.glob("libs/*"), self._tree / "platform"]
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "mimosaloom_platform",
                cwd=self._tree,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": ":".join(map(str, sources)),
                    "MIMOSALOOM_CONFIG": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self.is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.is_paused = False
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def terminate(self) -> bool:
        """Stop the process as the platform does; return whether it had to be killed."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), GRACE_S)
        except TimeoutError:
            await self.kill()
            return True
        return False
