"""Test of load shedding when the last service of a path loses most of its capacity."""

import pytest
from relay.path_load import CALLS_TO_LAST, LAST, PathLoad

LEAVE_S = 4.0
RUN_S = 12.0
# Load of 80% of what the last service can serve with all of its targets.
REQUESTS_PER_S = 0.8 * LAST.targets * LAST.slots / LAST.work_s / CALLS_TO_LAST
# Requests that the one remaining target can serve; an upper bound for any scheduler.
BEST_PER_S = LAST.slots / LAST.work_s / CALLS_TO_LAST


def run_path_load(seed, **options):
    """Return the number of requests by outcome after the loss of the targets."""
    load = PathLoad(
        requests_per_s=REQUESTS_PER_S, leave_s=LEAVE_S, seed=seed, **options
    )
    load.run(RUN_S)
    totals = {"answered": 0, "failed": 0, "refused": 0}
    for second, outcomes in load.outcomes.items():
        if LEAVE_S <= second < RUN_S - 1:
            for outcome, count in outcomes.items():
                totals[outcome] += count
    return totals


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_root_sheds_load_when_the_last_service_loses_capacity(seed):
    """Guards against requests that run on several services and fail at the last one.

    This happens if the root does not learn the admission level of the last service.
    """
    merged = run_path_load(seed, has_merged_levels=True)
    separate = run_path_load(seed)
    assert separate["failed"] < 0.5 * merged["failed"]
    assert separate["answered"] >= merged["answered"]
    assert separate["answered"] >= 0.9 * BEST_PER_S * (RUN_S - 1 - LEAVE_S)
