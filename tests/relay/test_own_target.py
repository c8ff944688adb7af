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
def test_available_state_never_goes_back_for_any_order_of_heartbeats(heartbeats):
    """Guards against a late heartbeat that restores an earlier start or state.

    Only a leave may replace a later start, for a time: that of a start which has sent a
    heartbeat since the later one.
    """
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    drained, heard_born_ms = set(), set()
    newest = last = (0, 0)
    for heartbeat in heartbeats:
        target.apply_heartbeat(heartbeat)
        known = target.announcement
        now = (known.born_ms, known.sequence)
        if now < last:
            assert heartbeat is known
            assert heartbeat.state is TargetState.DRAINING
            assert heartbeat.born_ms not in heard_born_ms
        last = now
        newest = max(newest, now)
        assert now == newest or not target.is_available
        if heartbeat is known:
            heard_born_ms.add(heartbeat.born_ms)
            if heartbeat.state is TargetState.DRAINING:
                drained.add(heartbeat.born_ms)
        assert not (target.is_available and known.born_ms in drained)


@given(HEARTBEATS, st.lists(st.floats(0, 15), min_size=20, max_size=20))
def test_start_that_keeps_announcing_itself_is_in_use_after_any_others(
    heartbeats, pauses_s
):
    """Guards against a target that is ignored for good as its clock was set back."""
    clock = ManualClock()
    target = OwnTarget("s", ADDRESS, clock=clock)
    for heartbeat, pause_s in zip(heartbeats, pauses_s, strict=False):
        target.apply_heartbeat(heartbeat)
        clock.advance(timedelta(seconds=pause_s))
    for sequence in range(1, 9):
        target.apply_heartbeat(announce(born_ms=0, sequence=sequence))
        clock.advance(timedelta(seconds=1.5))
    assert target.announcement.born_ms == 0
    assert target.is_available


def restart_with_earlier_clock(clock):
    """Return a target whose second start has an earlier time than its first one."""
    target = OwnTarget("s", ADDRESS, clock=clock)
    target.apply_heartbeat(announce(born_ms=9))
    target.mark_unreachable()
    target.apply_heartbeat(announce(born_ms=5, sequence=1))
    target.apply_heartbeat(announce(born_ms=5, sequence=2))
    return target


@pytest.mark.parametrize("is_delete", [False, True])
def test_leave_after_a_step_of_the_clock_is_respected(is_delete):
    """Guards against a leave that is confirmed and ignored, as its start seems old."""
    target = restart_with_earlier_clock(ManualClock())
    if is_delete:
        assert target.mark_leaving("a", 5)
    else:
        draining = announce(born_ms=5, sequence=3, state=TargetState.DRAINING)
        assert target.apply_heartbeat(draining) is HeartbeatResult.NEW
    assert target.is_leaving
    target.apply_heartbeat(announce(born_ms=9, sequence=2))
    target.apply_heartbeat(announce(born_ms=5, sequence=4))
    assert target.is_leaving


def test_unreachable_target_is_back_after_a_step_of_the_clock():
    """Guards against a target that is left out until its node starts anew."""
    clock = ManualClock()
    target = restart_with_earlier_clock(clock)
    assert not target.is_available
    clock.advance(timedelta(seconds=MAX_LATENESS_S + 0.1))
    assert target.apply_heartbeat(announce(born_ms=5, sequence=3))
    assert (target.announcement.born_ms, target.is_available) == (5, True)


def test_late_leave_of_an_earlier_start_excludes_the_current_one_for_a_time_only():
    """Guards against a live target that is left out for good by a late message."""
    clock = ManualClock()
    target = OwnTarget("s", ADDRESS, clock=clock)
    target.apply_heartbeat(announce(born_ms=9, sequence=1))
    target.apply_heartbeat(announce(born_ms=5, sequence=1))
    assert target.mark_leaving("a", 5)
    for sequence in range(2, 10):
        clock.advance(timedelta(seconds=1.5))
        target.apply_heartbeat(announce(born_ms=9, sequence=sequence))
    assert (target.announcement.born_ms, target.is_available) == (9, True)


def test_late_leave_beside_heartbeats_of_the_current_start_changes_nothing():
    """Guards against a running target that a late message takes out of use."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce(born_ms=9, sequence=1))
    assert not target.mark_leaving("a", 4)
    target.apply_heartbeat(announce(born_ms=5, sequence=1))
    target.apply_heartbeat(announce(born_ms=9, sequence=2))
    draining = announce(born_ms=5, sequence=2, state=TargetState.DRAINING)
    assert target.apply_heartbeat(draining) is HeartbeatResult.STALE
    assert target.is_available


def test_late_leave_of_a_start_that_was_replaced_changes_nothing():
    """Guards against a restarted target that its own earlier leave excludes."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce(born_ms=5))
    target.apply_heartbeat(announce(born_ms=9))
    assert not target.mark_leaving("a", 5)
    draining = announce(born_ms=5, sequence=2, state=TargetState.DRAINING)
    assert target.apply_heartbeat(draining) is HeartbeatResult.STALE
    assert target.is_available


def test_start_that_needs_a_check_is_used_once_it_has_answered_one():
    """Guards against a late heartbeat that puts a target in use which has left."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce(sequence=1))
    target.require_check()
    assert target.apply_heartbeat(announce(sequence=2)) is HeartbeatResult.UNCHANGED
    assert (target.is_unchecked, target.is_available) == (True, False)
    target.end_check()
    assert (target.is_unchecked, target.is_available) == (False, True)


def test_start_that_needs_a_check_is_used_when_its_heartbeats_can_not_be_late():
    """Guards against a running target that is idle for good as its checks fail."""
    clock = ManualClock()
    target = OwnTarget("s", ADDRESS, clock=clock)
    target.apply_heartbeat(announce(sequence=1))
    target.require_check()
    clock.advance(timedelta(seconds=MAX_LATENESS_S))
    target.apply_heartbeat(announce(sequence=2))
    assert not target.is_available
    clock.advance(timedelta(seconds=0.1))
    assert target.apply_heartbeat(announce(sequence=3)) is HeartbeatResult.CHANGED
    assert target.is_available


def test_leave_of_a_start_that_needs_a_check_ends_the_need():
    """Guards against checks of a target that is known to leave."""
    target = OwnTarget("s", ADDRESS, clock=ManualClock())
    target.apply_heartbeat(announce())
    target.require_check()
    target.mark_leaving("a")
    assert (target.is_unchecked, target.is_available) == (False, False)
