"""Tests of the control bench and the replay bench."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_bench.control.figures import (
    TARGET_NODES,
    check_limits,
    extrapolate,
    measure_tables,
)
from mimosaloom_bench.control.fleet import Fleet, wait_until
from mimosaloom_bench.control.replay_speed import build_records, replay_naively
from mimosaloom_control import replay_records


@given(st.integers(1, 300), st.integers(0, 10_000))
def test_replay_equals_a_naive_full_replay(count, seed):
    """Guards against a replay that skips work and so changes the resources."""
    values = build_records(count, seed)
    assert replay_records(enumerate(values)).resources == replay_naively(values)


def test_growing_figure_is_extrapolated_to_the_target_size():
    """Guards against a limit shown as met because 100 nodes, but not 5,200, meet it."""
    base = dict.fromkeys(
        ("bytes_per_s", "in_force_s", "leave_s", "leave_log_down_s", "death_s"), 1.0
    )
    reports = [
        {**base, "nodes": n, "cpu_ratio": 0.001 + n * 1e-5, "memory_mb": 60.0}
        for n in (10, 100)
    ]
    fit = extrapolate(reports, "cpu_ratio")
    assert fit["at_target"] == pytest.approx(0.001 + TARGET_NODES * 1e-5)
    tables = measure_tables()
    assert (tables["members"], tables["resources"]) == (5_200, 6_200)
    met = {v["figure"]: v["is_met"] for v in check_limits(reports, tables)}
    assert met["cpu_ratio"] is False
    assert met["bytes_per_s"] is True


@pytest.mark.sockets
def test_fleet_converges_and_detects_a_crash():
    """Guards against a bench of isolated nodes, and against an undetected crash."""

    async def body():
        fleet = Fleet(1)
        await fleet.start(6)
        assert await wait_until(fleet.has_converged, timeout_s=20) < 20
        offset = fleet.change_resource()
        await wait_until(
            lambda: all(p.config.next_offset == offset for p in fleet.planes.values()),
            timeout_s=20,
        )
        assert all(p.config.in_force for p in fleet.planes.values())
        assert not fleet.receives_no_calls("n-0003")
        fleet.kill("n-0003")
        taken_s = await wait_until(
            lambda: fleet.receives_no_calls("n-0003"), timeout_s=30
        )
        assert taken_s != float("inf")
        await fleet.close()

    asyncio.run(body())
