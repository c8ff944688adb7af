"""Record of what really ran on a target."""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import NamedTuple

__all__ = ["CallMark", "Run", "RunRecord", "read_journal"]


class CallMark(NamedTuple):
    """What identifies a call, as read from its headers and its body.

    Attributes:
        request_id: The root request.
        call_id: The call; the same on each attempt.
        attempt: Number of the attempt, from 1.
        class_name: Request class.
        remaining_ms: Time left for the call; None if the call states none.
        token: Text that the first caller chose for its order. It is independent of
            all ids that the system under test creates.
    """

    request_id: str = ""
    call_id: str = ""
    attempt: int = 1
    class_name: str = ""
    remaining_ms: int | None = None
    token: str = ""


@dataclass
class Run:
    """One run of a call on a target.

    Attributes:
        request_id: The root request.
        call_id: The call.
        attempt: Number of the attempt.
        class_name: Request class.
        token: The first caller's own text.
        service: Service of the target.
        upstream: Name of the target.
        start_s: Start on the machine's monotonic clock.
        end_s: End on the same clock; None while the call runs.
        end: How it ended: "running", "whole", "cancelled", "deadline",
            "failed_downstream" or "crashed".
    """

    request_id: str
    call_id: str
    attempt: int
    class_name: str
    token: str
    service: str
    upstream: str
    start_s: float
    end_s: float | None = None
    end: str = "running"

    @property
    def is_whole(self) -> bool:
        """Whether the run reached its regular end."""
        return self.end == "whole"


class RunRecord:
    """All runs of one target, in the order of their starts.

    Args:
        service: Service of the target.
        upstream: Name of the target.
        journal: File that receives each entry at once, so that the record outlives
            a killed process; empty for none. See `read_journal`.
    """

    def __init__(self, service: str, upstream: str, journal: str = ""):
        # It stays open as long as the process runs.
        self._journal = Path(journal).open("a", buffering=1) if journal else None  # noqa: SIM115
        self._service = service
        self._upstream = upstream
        self._runs: list[Run] = []
        self._refused: list[CallMark] = []

    def start(self, mark: CallMark) -> Run:
        """Record that a call starts to run."""
        run = Run(
            request_id=mark.request_id,
            call_id=mark.call_id,
            attempt=mark.attempt,
            class_name=mark.class_name,
            token=mark.token,
            service=self._service,
            upstream=self._upstream,
            start_s=time.monotonic(),
        )
        self._runs.append(run)
        self._write({"run": asdict(run)})
        return run

    def finish(self, run: Run, end: str) -> None:
        """Record the end of a run; see `Run.end` for the values."""
        run.end_s = time.monotonic()
        run.end = end
        self._write({"run": asdict(run)})

    def refuse(self, mark: CallMark) -> None:
        """Record a call of which no part ran."""
        self._refused.append(mark)
        self._write({"refused": mark._asdict()})

    def read_refused(self) -> list[dict]:
        """Return the calls that were refused as plain objects."""
        return [mark._asdict() for mark in self._refused]

    def read(self, start: int = 0) -> list[dict]:
        """Return the runs from a position on as plain objects, with `is_whole`."""
        return [{**asdict(run), "is_whole": run.is_whole} for run in self._runs[start:]]

    def _write(self, entry: dict) -> None:
        if self._journal is not None:
            self._journal.write(json.dumps(entry) + "\n")


def read_journal(path: Path) -> tuple[list[dict], list[dict]]:
    """Return what `read` and `read_refused` returned last, from a journal."""
    runs: dict[tuple, dict] = {}
    refused = []
    for line in path.read_text(encoding="utf-8").splitlines(keepends=True):
        # A line without its end is still being written.
        entry = json.loads(line) if line.endswith("\n") else {}
        if "refused" in entry:
            refused.append(entry["refused"])
        if "run" in entry:
            run = entry["run"]
            key = (run["start_s"], run["call_id"], run["attempt"])
            runs[key] = {**run, "is_whole": run["end"] == "whole"}
    return list(runs.values()), refused
