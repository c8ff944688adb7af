"""A short soak: real processes on loopback, faults from outside, seeded."""

import asyncio
from pathlib import Path

import pytest
from soak.run import SoakOptions, run_soak

pytestmark = pytest.mark.sockets

ROOT = Path(__file__).parents[2]
FAULTS_S = 14.0
# What the load of the machine can't break. The rules with a time bound are checked in
# the soaks that are run by hand.
TIMELESS_RULES = {"TWICE", "REFUSED", "MIXED", "RECOVER", "LIMIT", "DRAIN", "BUDGET"}


@pytest.mark.parametrize(
    ("seed", "only"),
    [
        (1, ()),
        (22, ()),
        (40, ("send_bad_request", "kill_node", "crash_target")),
        (501, ("kill_all_after_leave",)),
    ],
)
def test_promises_hold_under_random_faults(seed, only, tmp_path):
    """Guards against duplicate runs, false refusals and nodes that do not recover."""
    options = SoakOptions(
        seed,
        FAULTS_S,
        copies=2,
        callers=3,
        series=2,
        tree=ROOT,
        folder=tmp_path,
        only=only,
    )
    report = asyncio.run(run_soak(options))
    at_end = [f for f in report.findings if f.detail.startswith("at the end")]
    broken = [f for f in report.findings if f.rule in TIMELESS_RULES]
    assert not broken + at_end
    assert report.statuses["idempotent 200"] > 0
    assert report.statuses["non_idempotent 200"] > 0
