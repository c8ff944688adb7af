"""Tests that updates reach all nodes, and configuration all failure domains."""

import random

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_control import (
    Overlay,
    Position,
    RecentRecords,
    SyncAction,
    compare_positions,
)
from mimosaloom_policy import choose_readers

NAME_SETS = st.sets(st.from_regex(r"[a-z]{1,4}", fullmatch=True), max_size=40)


def count_reached(overlay, names):
    """Return the number of names that can be reached from one of them."""
    reached, pending = set(), list(names)[:1]
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending.extend(n for n in overlay.neighbors_of(name) if n in names)
    return len(reached)


@given(NAME_SETS, NAME_SETS)
def test_the_overlay_is_connected_and_symmetric(names, initial_names):
    """Guards against unreachable nodes, which would keep an old configuration."""
    overlay = Overlay(initial_names)
    for name in names:
        overlay.add(name)
    for name in initial_names - names:
        overlay.remove(name)
    assert count_reached(overlay, names) == len(names)
    rebuilt = Overlay(names)
    for name in names:
        neighbors = overlay.neighbors_of(name)
        assert neighbors == rebuilt.neighbors_of(name)
        assert len(neighbors) <= 6
        assert name not in neighbors
        assert all(name in overlay.neighbors_of(n) for n in neighbors)


def test_the_overlay_stays_connected_when_a_failure_domain_fails():
    """Updates must spread even before the failed nodes are recognised as dead."""
    names = {f"node-{number:04}" for number in range(5_200)}
    overlay = Overlay(names)
    failed = set(random.Random(1).sample(sorted(names), 5_200 // 17 * 2))
    assert count_reached(overlay, names - failed) == len(names - failed)


@given(st.lists(st.from_regex(r"[a-z]{1,4}", fullmatch=True)), st.randoms())
def test_nodes_agree_on_readers_and_few_change(names, rng):
    """Guards against a failure domain without readers.

    Its nodes would receive no new configuration.
    """
    readers = choose_readers("zone-1", names)
    assert len(readers) == min(2, len(set(names)))
    assert choose_readers("zone-1", rng.sample(names, len(names))) == readers
    for departed in set(names) - set(readers):
        remaining = [name for name in names if name != departed]
        assert choose_readers("zone-1", remaining) == readers


@given(st.lists(st.integers(0, 9), max_size=30), st.integers(0, 40))
def test_recent_records_have_no_gaps(steps, next_offset):
    """Guards against a missing record: a neighbour could not apply the next one."""
    recent = RecentRecords(max_records=5, max_bytes=40)
    offset = 0
    for step in steps:
        offset += 1 if step < 8 else step
        recent.append(offset, b"x" * step)
    records = recent.since(next_offset)
    if records:
        assert [o for o, _ in records] == list(range(next_offset, offset + 1))
        assert len(records) <= 5
        assert sum(len(value) for _, value in records) <= 40


def test_compared_positions_give_the_action():
    """Guards against a node that returns to the lower offset of a neighbour."""
    own = Position(5, "a")
    assert compare_positions(own, Position(4, "x")) is SyncAction.SEND
    assert compare_positions(own, Position(6, "x")) is SyncAction.FETCH
    assert compare_positions(own, own) is SyncAction.NOTHING
    assert compare_positions(own, Position(5, "x")) is SyncAction.DIVERGED
