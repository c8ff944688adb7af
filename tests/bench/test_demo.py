import os

import pytest

from mimosaloom_bench.demo import run_demo
from mimosaloom_bench.meshes import MESHES, MeshName
from mimosaloom_bench.processes import ProcessGroup, StartFailed

pytestmark = pytest.mark.sockets


def is_alive(pid):
    """Return whether a process exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_short_overload_breaks_no_guarantee(monkeypatch):
    """Guards against duplicate runs, cut or swapped answers and false refusals.

    Also guards against processes that still run after the demo.
    """
    pids = []
    stop = ProcessGroup.stop

    def record_pids_and_stop(group):
        pids.extend(group.pids())
        stop(group)

    monkeypatch.setattr(ProcessGroup, "stop", record_pids_and_stop)
    report = run_demo(MESHES[MeshName.WATER], seed=3, duration_s=3.0)
    assert report["duplicate_runs"] == 0
    assert report["wrong_answers"] == 0
    assert report["not_run_violations"] == 0
    assert report["retry_violations"] == 0
    assert report["max_retries_per_request"] <= report["retry_bound"]
    assert all(row["whole"] > 0 for row in report["by_class"].values())
    verdict_counts = ("whole_answers", "refused_not_run", "failed", "unknown")
    assert sum(report[name] for name in verdict_counts) == report["calls"]
    # One log service, and a target and a node for each of eight upstreams.
    assert len(pids) == 17
    assert not any(is_alive(pid) for pid in pids)


def start_with_broken_target(directory, pids):
    """Start a log service, and a target with an unknown option; record their ids."""
    with ProcessGroup(directory) as group:
        log = group.start("log", "mimosaloom_standins", "log")
        broken = group.start("target-x", "mimosaloom_standins", "target", '{"no": 1}')
        pids.extend(group.pids())
        for child in (log, broken):
            child.wait_for_line(lambda line: "port" in line)


def test_failed_start_names_the_process_and_stops_the_others(tmp_path):
    """Guards against a demo that hangs or leaves processes running if a start fails."""
    pids = []
    with pytest.raises(StartFailed, match="target-x") as failure:
        start_with_broken_target(tmp_path, pids)
    assert "unexpected keyword argument 'no'" in str(failure.value)
    assert len(pids) == 2
    assert not any(is_alive(pid) for pid in pids)
