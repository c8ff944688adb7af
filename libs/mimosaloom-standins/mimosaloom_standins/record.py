"""Record of the runs on a target, independent of the system under test."""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import NamedTuple

__all__ = ["CallIdentity", "Run", "RunRecord", "read_journal"]


class CallIdentity(NamedTuple):
    """Identity and deadline of a call, as read from its headers and its body.

    Attributes:
        request_id: Id of the root request.
        call_id: Id of the call; the same for all attempts.
        attempt: Number of the attempt, from 1.
        class_name: Name of the request class.
        remaining_ms: Time left until the deadline, in milliseconds; None if the call
            has no deadline.
        token: Text chosen by the client that sent the root request. It doesn't depend
            on any id that the system under test creates.
    """

    request_id: str = ""
    call_id: str = ""
    attempt: int = 1
    class_name: str = ""
    remaining_ms: int | None = None
    token: str = ""


@dataclass
class Run:
    """Run of one attempt of a call on a target.

    Attributes:
        request_id: Id of the root request.
        call_id: Id of the call.
        attempt: Number of the attempt, from 1.
        class_name: Name of the request class.
        token: Text chosen by the client; see `CallIdentity`.
        service: Service of the target.
        upstream: Name of the target.
        start_s: Start on the monotonic clock of the machine, in seconds.
        end_s: End on the same clock; None while the call runs.
        end: State of the run: "running", "whole" (completed), "cancelled", "deadline"
            (the deadline passed), "failed_downstream" (a sub-call failed) or "crashed".
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
        """Whether the run completed all of its work."""
        return self.end == "whole"


class RunRecord:
    """All runs on one target in the order of their starts, and all refused calls.

    Args:
        service: Service of the target.
        upstream: Name of the target.
        journal: File to which each entry is written at once, so that the record
            survives if the process is killed; empty for no file. See `read_journal`.
    """

    def __init__(self, service: str, upstream: str, journal: str = ""):
        # The file stays open as long as the process runs.
        self._journal = Path(journal).open("a", buffering=1) if journal else None  # noqa: SIM115
        self._service = service
        self._upstream = upstream
        self._runs: list[Run] = []
        self._refused: list[CallIdentity] = []

    def start_run(self, identity: CallIdentity) -> Run:
        """Record the start of a run."""
        run = Run(
            request_id=identity.request_id,
            call_id=identity.call_id,
            attempt=identity.attempt,
            class_name=identity.class_name,
            token=identity.token,
            service=self._service,
            upstream=self._upstream,
            start_s=time.monotonic(),
        )
        self._runs.append(run)
        self._write({"run": asdict(run)})
        return run

    def finish_run(self, run: Run, end: str) -> None:
        """Record the end of a run.

        Args:
            run: The run.
            end: State of the run at its end; see `Run.end`.
        """
        run.end_s = time.monotonic()
        run.end = end
        self._write({"run": asdict(run)})

    def add_refused(self, identity: CallIdentity) -> None:
        """Record a refused call, of which no part ran."""
        self._refused.append(identity)
        self._write({"refused": identity._asdict()})

    def read_refused(self) -> list[dict]:
        """Return the refused calls as JSON objects."""
        return [identity._asdict() for identity in self._refused]

    def read_runs(self, start: int = 0) -> list[dict]:
        """Return runs as JSON objects, with `is_whole`.

        Args:
            start: Index of the first run to return.
        """
        return [{**asdict(run), "is_whole": run.is_whole} for run in self._runs[start:]]

    def _write(self, entry: dict) -> None:
        if self._journal is not None:
            self._journal.write(json.dumps(entry) + "\n")


def read_journal(path: Path) -> tuple[list[dict], list[dict]]:
    """Read the runs and the refused calls from the journal of a target.

    Args:
        path: Journal, which the target may still be writing.

    Returns:
        The same as `RunRecord.read_runs` and `RunRecord.read_refused`.
    """
    runs: dict[tuple, dict] = {}
    refused = []
    for line in path.read_text(encoding="utf-8").splitlines(keepends=True):
        # A last line without a newline is incomplete: the target is still writing it,
        # or was killed while it did.
        entry = json.loads(line) if line.endswith("\n") else {}
        if "refused" in entry:
            refused.append(entry["refused"])
        if "run" in entry:
            run = entry["run"]
            key = (run["start_s"], run["call_id"], run["attempt"])
            runs[key] = {**run, "is_whole": run["end"] == "whole"}
    return list(runs.values()), refused
