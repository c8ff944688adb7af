"""Child processes of the demo, the benches and the scenarios.

Each process is signalled by its own process id.
"""

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
    """A process did not start or ended during a run, or a mesh did not answer.

    The message includes the last lines of the output of a process.
    """


class ChildProcess:
    """A process that writes its standard output and standard error to a file each.

    Args:
        name: Name of the process in messages and of its output files.
        module: Python module that the process runs.
        arguments: Command line arguments.
        directory: Directory for the output files.
    """

    def __init__(self, name: str, module: str, arguments: list[str], directory: Path):
        self.name = name
        self._output_paths = [directory / f"{name}.out", directory / f"{name}.err"]
        with (
            self._output_paths[0].open("wb") as out,
            self._output_paths[1].open("wb") as err,
        ):
            # In a session of its own the child receives no SIGINT on Ctrl-C in the
            # terminal, so that `ProcessGroup` can stop the children in order.
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

    def wait_for_line(self, matches: Callable[[dict], bool]) -> dict:
        """Wait for a line of the output that holds a matching JSON object.

        Args:
            matches: Returns whether an object is the one to wait for.

        Returns:
            The first matching object.

        Raises:
            StartFailed: If the process ends first or does not write such a line within
                `START_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            was_running = self.is_running
            for entry in self._read_objects():
                if matches(entry):
                    return entry
            if not was_running:
                raise StartFailed(self.describe("ended during its start"))
            time.sleep(POLL_INTERVAL_S)
        raise StartFailed(self.describe(f"was not ready after {START_TIMEOUT_S:g} s"))

    def describe(self, event: str) -> str:
        """Return a message about the process with the end of its output.

        Args:
            event: What happened to the process, as the predicate of the sentence.
        """
        lines = [line for path in self._output_paths for line in _read_lines(path)]
        tail = "\n".join(f"  {line}" for line in lines[-LOG_TAIL_LINES:])
        code = self._popen.poll()
        state = "" if code is None else f" with exit code {code}"
        return f"process {self.name} ({self.pid}) {event}{state}:\n{tail}"

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.wait_or_kill(0.0)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; has no effect if the process has ended."""
        self._popen.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM if the process runs."""
        if self.is_running:
            self._popen.send_signal(signal.SIGTERM)

    def wait_or_kill(self, deadline_s: float) -> None:
        """Wait for the end of the process; kill it at a deadline.

        Args:
            deadline_s: Deadline, in seconds on the monotonic clock.
        """
        try:
            self._popen.wait(max(0.0, deadline_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()

    def _read_objects(self) -> list[dict]:
        """Return the JSON objects in the output; other lines are left out."""
        objects = []
        for path in self._output_paths:
            for line in _read_lines(path):
                try:
                    value = json.loads(line)
                except ValueError:
                    continue
                if isinstance(value, dict):
                    objects.append(value)
        return objects


class ProcessGroup:
    """Processes that are all stopped at the end of a `with` block, also on exceptions.

    Within the block SIGTERM raises `SystemExit`, so that the processes are stopped in
    that case too. Use it in the main thread only, where Python handles signals.

    Args:
        directory: Directory for the output files of the processes.
    """

    def __init__(self, directory: Path):
        self._directory = directory
        self._children: list[ChildProcess] = []
        self._previous_handler = signal.SIG_DFL

    def __enter__(self) -> "ProcessGroup":
        self._previous_handler = signal.signal(signal.SIGTERM, _raise_system_exit)
        return self

    def __exit__(self, *exception) -> None:
        try:
            self.stop()
        finally:
            signal.signal(signal.SIGTERM, self._previous_handler)

    def start(self, name: str, module: str, *arguments: str) -> ChildProcess:
        """Start a Python module as a process.

        Args:
            name: Name of the process in messages and of its output files.
            module: Python module that the process runs.
            *arguments: Command line arguments.
        """
        child = ChildProcess(name, module, list(arguments), self._directory)
        self._children.append(child)
        return child

    def find_exited(self) -> list[ChildProcess]:
        """Return the processes that have ended."""
        return [child for child in self._children if not child.is_running]

    def pids(self) -> list[int]:
        """Return the ids of all processes."""
        return [child.pid for child in self._children]

    def describe(self, name: str) -> str:
        """Return a message with the end of the output of the process with a name."""
        child = next(child for child in self._children if child.name == name)
        return child.describe("wrote last")

    def cpu_s(self) -> float:
        """Return the processor time that all processes have used so far, in seconds."""
        return sum(_read_cpu_s(child.pid) for child in self._children)

    def stop(self) -> None:
        """Stop all processes in reverse order of their start.

        Each receives SIGTERM; those that still run after `STOP_TIMEOUT_S` are killed.
        """
        for child in reversed(self._children):
            child.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for child in reversed(self._children):
            child.wait_or_kill(deadline_s)


def _raise_system_exit(number: int, frame: FrameType | None) -> None:
    raise SystemExit(128 + number)


def _read_cpu_s(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The program name, in parentheses, may contain spaces.
    fields = stat.rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


def _read_lines(path: Path) -> list[str]:
    return path.read_text(encoding="utf-8", errors="replace").splitlines()
