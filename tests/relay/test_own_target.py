"""Tests of the state of the target beside a node after heartbeats in any order."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import Address, ManualClock
from mimosaloom_relay import Announcement, HeartbeatResult, OwnTarget, TargetState
from mimosaloom_relay.own_target import MAX_LATENESS_S

ADDRESS = Address("10.0.0.1", 8080)


def announce(target_id="a", born_ms=0, sequence=1, state=TargetState.READY, **more):
    """Return a heartbeat of a target of the service under test."""
    fields = {"service": "s", "address": ADDRESS, **more}
    return Announcement(
        target_id,
        born_ms,
        sequence,
        state,
        fields["service"],
        fields["address"],
        "z",
        "v1",
        8,
        0.0,
    )


def test_late_heartbeat_of_a_dead_target_changes_nothing():
    """Guards against a delayed heartbeat that revives a target that has crashed."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    assert target.apply_heartbeat(announce("a", sequence=4)) is HeartbeatResult.NEW
    assert target.apply_heartbeat(announce("b", sequence=1)) is HeartbeatResult.NEW
    assert target.apply_heartbeat(announce("a", sequence=4)) is HeartbeatResult.STALE
    assert target.apply_heartbeat(announce("a", sequence=2)) is HeartbeatResult.STALE
    assert target.target_id == "b"


def test_live_target_returns_after_a_late_heartbeat_of_a_dead_one():
    """Guards against a live target that stays replaced by a dead one.

    A late heartbeat of the dead target replaces the live one for a moment. The next
    heartbeat of the live target has to reverse that.
    """
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce("b", sequence=1))
    target.apply_heartbeat(announce("a", sequence=9))
    assert target.apply_heartbeat(announce("b", sequence=2)) is HeartbeatResult.NEW
    assert target.target_id == "b"


def test_leaving_target_does_not_come_back_under_the_same_start():
    """Guards against new calls to a target that has announced that it is draining."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce(born_ms=5, sequence=1))
    target.apply_heartbeat(announce(born_ms=5, sequence=2, state=TargetState.DRAINING))
    target.apply_heartbeat(announce(born_ms=5, sequence=3))
    assert not target.is_available
    target.apply_heartbeat(announce(born_ms=6, sequence=1))
    assert target.is_available
    assert (
        target.apply_heartbeat(announce(born_ms=5, sequence=9)) is HeartbeatResult.STALE
    )


@pytest.mark.parametrize("born_ms", [5, None])
def test_leave_before_the_first_heartbeat_outlasts_a_late_one(born_ms):
    """Guards against a restarted node that confirms a leave and forgets it."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    assert target.mark_leaving("a", born_ms)
    assert (target.target_id, target.is_leaving) == ("a", True)
    target.apply_heartbeat(announce("a", born_ms=5, sequence=3))
    assert target.is_leaving
    target.apply_heartbeat(announce("b", born_ms=6))
    assert target.is_available


@pytest.mark.parametrize("target_id", ["a", "b"])
def test_leave_that_overtakes_the_first_heartbeat_of_its_start_is_kept(target_id):
    """Guards against use of a target whose leave came before its first heartbeat."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce("a", born_ms=5))
    target.mark_leaving(target_id, 6)
    target.apply_heartbeat(announce(target_id, born_ms=6))
    assert target.is_leaving


def test_leave_without_a_start_time_does_not_exclude_a_later_start():
    """Guards against a restarted target that is left out for good."""
    clock = ManualClock()
    target = OwnTarget("s", ADDRESS, clock=clock)
    target.mark_leaving("a")
    clock.advance(timedelta(seconds=MAX_LATENESS_S))
    target.apply_heartbeat(announce("a", born_ms=5))
    assert target.is_available


def test_many_other_leaves_do_not_revoke_the_current_one():
    """Guards against a leave that is dropped from a bounded memory while it counts."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce("a", born_ms=5))
    target.mark_leaving("a", 5)
    for number in range(100):
        target.mark_leaving(f"other-{number}", 5)
    target.apply_heartbeat(announce("a", born_ms=5, sequence=2))
    assert target.is_leaving


def test_foreign_heartbeats_are_ignored():
    """Guards against heartbeats of a target of another service or address."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    assert target.apply_heartbeat(announce(service="t")) is HeartbeatResult.FOREIGN
    other = Address("10.0.0.1", 9)
    assert target.apply_heartbeat(announce(address=other)) is HeartbeatResult.FOREIGN
    assert not target.is_available


def test_unreachable_target_is_back_with_its_next_heartbeat():
    """Guards against a target that stays unavailable after one refused connection."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce(sequence=1))
    assert target.mark_unreachable()
    assert not target.mark_unreachable()
    assert not target.is_available
    assert target.apply_heartbeat(announce(sequence=2)) is HeartbeatResult.CHANGED
    assert target.is_available


HEARTBEATS = st.lists(
    st.builds(
        announce,
        born_ms=st.integers(1, 3),
        sequence=st.integers(1, 5),
        state=st.sampled_from(list(TargetState)),
    ),
    max_size=20,
)


@given(HEARTBEATS)
def test_state_never_goes_back_for_any_order_of_heartbeats(heartbeats):
    """Guards against an older heartbeat that restores an earlier start or state."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    drained = set()
    last = (0, 0)
    for heartbeat in heartbeats:
        target.apply_heartbeat(heartbeat)
        known = target.announcement
        now = (known.born_ms, known.sequence)
        assert now >= last
        last = now
        if heartbeat is known and heartbeat.state is TargetState.DRAINING:
            drained.add(heartbeat.born_ms)
        assert not (target.is_available and known.born_ms in drained)
