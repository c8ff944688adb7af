"""Child processes of the demo and the benches, each ended by its own id."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType

__all__ = ["ChildProcess", "ProcessGroup", "StartFailed"]

POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 3.0
LOG_TAIL_LINES = 20


class StartFailed(RuntimeError):
    """A process did not come up; the text holds the end of its log."""


class ChildProcess:
    """A process whose stdout and stderr go to one file each.

    Args:
        name: Name for messages.
        module: Python module that it runs.
        arguments: Its arguments.
        directory: Where its output goes.
    """

    def __init__(self, name: str, module: str, arguments: list[str], directory: Path):
        self.name = name
        self._paths = [directory / f"{name}.out", directory / f"{name}.err"]
        with self._paths[0].open("wb") as out, self._paths[1].open("wb") as err:
            # A session of its own keeps Ctrl-C in the terminal from the children,
            # which are then ended in order.
            self._popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                start_new_session=True,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def wait_for_line(self, is_wanted: Callable[[dict], bool]) -> dict:
        """Wait until the process has written a JSON object that is wanted.

        Args:
            is_wanted: Tells whether an object is the wanted one.

        Raises:
            StartFailed: If the process ends first or `START_TIMEOUT_S` pass.
        """
        give_up_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up_s:
            was_running = self.is_running
            for found in self._read_objects():
                if is_wanted(found):
                    return found
            if not was_running:
                raise StartFailed(self.describe("ended at its start"))
            time.sleep(POLL_INTERVAL_S)
        raise StartFailed(self.describe(f"was not ready after {START_TIMEOUT_S:g} s"))

    def describe(self, what: str) -> str:
        """Return a message on the process with the end of its output."""
        lines = [line for path in self._paths for line in _read_lines(path)]
        tail = "\n".join(f"  {line}" for line in lines[-LOG_TAIL_LINES:])
        code = self._popen.poll()
        state = "" if code is None else f" with exit code {code}"
        return f"process {self.name} ({self.pid}) {what}{state}:\n{tail}"

    def kill(self) -> None:
        """End the process at once, and wait for its end."""
        self.wait_or_kill(0.0)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; nothing happens if the process has ended."""
        self._popen.send_signal(number)

    def terminate(self) -> None:
        """Ask the process to stop."""
        if self.is_running:
            self._popen.send_signal(signal.SIGTERM)

    def wait_or_kill(self, give_up_s: float) -> None:
        """Wait for the end until a monotonic time, then kill the process."""
        try:
            self._popen.wait(max(0.0, give_up_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()

    def _read_objects(self) -> list[dict]:
        objects = []
        for path in self._paths:
            for line in _read_lines(path):
                try:
                    found = json.loads(line)
                except ValueError:
                    continue
                if isinstance(found, dict):
                    objects.append(found)
        return objects


class ProcessGroup:
    """Processes that are all ended when the `with` block is left, however it is.

    Within the block SIGTERM raises `SystemExit`, so that it too leaves the block. Use
    it in the main thread only, where signals arrive.

    Args:
        directory: Where their output goes.
    """

    def __init__(self, directory: Path):
        self._directory = directory
        self._children: list[ChildProcess] = []
        self._earlier_handler = signal.SIG_DFL

    def __enter__(self) -> "ProcessGroup":
        self._earlier_handler = signal.signal(signal.SIGTERM, _leave)
        return self

    def __exit__(self, *exception) -> None:
        try:
            self.stop()
        finally:
            signal.signal(signal.SIGTERM, self._earlier_handler)

    def start(self, name: str, module: str, *arguments: str) -> ChildProcess:
        """Start a Python module as a process."""
        child = ChildProcess(name, module, list(arguments), self._directory)
        self._children.append(child)
        return child

    def ended_early(self) -> list[ChildProcess]:
        """Return the processes that have ended although nobody asked them to."""
        return [child for child in self._children if not child.is_running]

    def pids(self) -> list[int]:
        """Return the ids of all processes."""
        return [child.pid for child in self._children]

    def describe(self, name: str) -> str:
        """Return the end of the output of the process of a name."""
        child = next(child for child in self._children if child.name == name)
        return child.describe("wrote last")

    def cpu_s(self) -> float:
        """Return the processor time that all processes have used, in seconds."""
        return sum(_read_cpu_s(child.pid) for child in self._children)

    def stop(self) -> None:
        """End all processes, the last started first; kill those that stay."""
        for child in reversed(self._children):
            child.terminate()
        give_up_s = time.monotonic() + STOP_TIMEOUT_S
        for child in reversed(self._children):
            child.wait_or_kill(give_up_s)


def _leave(number: int, frame: FrameType | None) -> None:
    raise SystemExit(128 + number)


def _read_cpu_s(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The name of the program, in brackets, may hold blanks.
    fields = stat.rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


def _read_lines(path: Path) -> list[str]:
    return path.read_text(encoding="utf-8", errors="replace").splitlines()
