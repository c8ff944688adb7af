"""Tests of the times of long polls."""

import pytest

from mimosaloom_policy.backoff import BACKOFF_BASE_S
from mimosaloom_relay import choose_poll_timing


@pytest.mark.parametrize("nodes", [1, 16, 83, 120])
def test_lost_poll_is_given_up_before_a_version_is_late(nodes):
    """Guards against a node that waits for a lost answer past the allowed delay."""
    timing = choose_poll_timing(3.0, nodes, 2000)
    assert timing.timeout_s + BACKOFF_BASE_S < 3.0
    assert 0 < timing.wait_s < timing.timeout_s


@pytest.mark.parametrize("nodes", [300, 1000, 5200])
def test_polls_of_many_nodes_take_a_small_part_of_the_read_rate(nodes):
    """Guards against reads that the store refuses because the nodes poll too often."""
    timing = choose_poll_timing(3.0, nodes, 2000)
    assert nodes / timing.wait_s <= 0.15 * 2000


def test_answer_may_come_later_than_the_wait_at_the_store():
    """Guards against polls that are given up while their answer is on its way."""
    timing = choose_poll_timing(0.5, 1, 2000)
    assert timing.timeout_s > timing.wait_s >= 0
