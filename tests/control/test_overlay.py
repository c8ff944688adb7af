"""Guards that news reaches every node, and configuration every failure domain."""

import random

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_control import (
    CatchUp,
    Overlay,
    Position,
    RecentRecords,
    choose_readers,
    compare_positions,
)

NAME_SETS = st.sets(st.from_regex(r"[a-z]{1,4}", fullmatch=True), max_size=40)


def count_reached(overlay, names):
    """Return how many of the names are reached from one of them."""
    reached, waiting = set(), list(names)[:1]
    while waiting:
        name = waiting.pop()
        if name not in reached:
            reached.add(name)
            waiting.extend(n for n in overlay.neighbors_of(name) if n in names)
    return len(reached)


@given(NAME_SETS, NAME_SETS)
def test_the_overlay_is_connected_and_symmetric(names, others):
    """A part that nobody reaches would keep an old configuration."""
    overlay = Overlay(others)
    for name in names:
        overlay.add(name)
    for name in others - names:
        overlay.remove(name)
    assert count_reached(overlay, names) == len(names)
    fresh = Overlay(names)
    for name in names:
        neighbors = overlay.neighbors_of(name)
        assert neighbors == fresh.neighbors_of(name)
        assert len(neighbors) <= 6
        assert name not in neighbors
        assert all(name in overlay.neighbors_of(n) for n in neighbors)


def test_the_overlay_survives_the_loss_of_a_failure_domain():
    """News must still spread in the seconds before the lost nodes are known dead."""
    names = {f"node-{number:04}" for number in range(5_200)}
    overlay = Overlay(names)
    lost = set(random.Random(1).sample(sorted(names), 5_200 // 17 * 2))
    assert count_reached(overlay, names - lost) == len(names - lost)


@given(st.lists(st.from_regex(r"[a-z]{1,4}", fullmatch=True)), st.randoms())
def test_nodes_agree_on_readers_and_few_change(names, rng):
    """Without a reader, a failure domain would get no new configuration."""
    readers = choose_readers("zone-1", names)
    assert len(readers) == min(2, len(set(names)))
    assert choose_readers("zone-1", rng.sample(names, len(names))) == readers
    for gone in set(names) - set(readers):
        left = [name for name in names if name != gone]
        assert choose_readers("zone-1", left) == readers


@given(st.lists(st.integers(0, 9), max_size=30), st.integers(0, 40))
def test_recent_records_have_no_holes(steps, next_offset):
    """A neighbour that skips a record could never apply the next one."""
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


def test_positions_tell_what_to_do():
    """A node that is ahead must not go back to a neighbour's lower offset."""
    own = Position(5, "a")
    assert compare_positions(own, Position(4, "x")) is CatchUp.SEND
    assert compare_positions(own, Position(6, "x")) is CatchUp.FETCH
    assert compare_positions(own, own) is CatchUp.NOTHING
    assert compare_positions(own, Position(5, "x")) is CatchUp.DIVERGED
