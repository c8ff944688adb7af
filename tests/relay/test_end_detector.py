"""Tests of telling a target that has ended from a connection that was lost."""

import asyncio

import pytest

from mimosaloom_model import Address, ManualClock
from mimosaloom_relay import Announcement, OwnTarget, TargetState
from mimosaloom_relay.end_detector import (
    LOSS_WINDOW_S,
    RESTART_WINDOW_S,
    EndDetector,
    TargetConnections,
)

ADDRESS = Address("127.0.0.1", 1)
START = "i-1/7"


class StepClock:
    """A clock that a test moves."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        """Return the time that the test has set."""
        return self.now_s


def announce(own, born_ms, state=TargetState.READY):
    """Announce a start of the target."""
    own.apply_heartbeat(
        Announcement("i-1", born_ms, 1, state, "back", ADDRESS, "z", "v1", 8, 0.0)
    )


def build_detector(accepts, open_count=0):
    """Return a detector, its target, its clock and the ends that it reports.

    Args:
        accepts: Whether the target accepts connections.
        open_count: How often a connection to the target is found open before none is.
    """
    open_answers = iter([True] * open_count)
    own, clock, ends = OwnTarget("back", ADDRESS, clock=ManualClock()), StepClock(), []
    announce(own, 7)

    async def accepts_connection():
        await asyncio.sleep(0)
        return accepts

    detector = EndDetector(
        own,
        TargetConnections(lambda: next(open_answers, False), accepts_connection),
        lambda start, keys: ends.append((start, sorted(keys))),
        clock=clock,
    )
    return detector, own, clock, ends


async def lose(detector, *keys):
    """Lose the calls with these keys at the same moment."""
    return await asyncio.gather(*(detector.has_ended(START, key) for key in keys))


def test_all_calls_that_an_ended_target_has_lost_are_reported_together():
    """Guards against a suspect that is missed as its loss is seen a moment later."""
    detector, _, _, ends = build_detector(accepts=False)
    assert asyncio.run(lose(detector, "a", "b")) == [True, True]
    assert asyncio.run(lose(detector, "c")) == [True]
    assert ends == [(START, ["a", "b"]), (START, ["c"])]


def test_lost_connection_to_a_target_that_accepts_others_is_no_end():
    """Guards against suspects because of answers that are cut short."""
    detector, _, _, ends = build_detector(accepts=True)
    assert asyncio.run(lose(detector, "a", "b")) == [False, False]
    assert ends == []


def test_end_of_a_target_that_leaves_is_not_reported():
    """Guards against suspects because of planned stops of targets."""
    detector, own, _, ends = build_detector(accepts=False)
    own.mark_leaving("i-1")
    assert asyncio.run(lose(detector, "a")) == [False]
    assert ends == []


@pytest.mark.parametrize("is_recent", [True, False])
def test_target_that_listens_again_at_once_has_ended_if_it_is_another_start(is_recent):
    """Guards against ends that a supervisor hides by a quick restart."""
    detector, own, clock, ends = build_detector(accepts=True)
    asyncio.run(lose(detector, "a"))
    clock.now_s += RESTART_WINDOW_S - 1 if is_recent else RESTART_WINDOW_S + 1
    announce(own, 8)
    detector.note_new_start()
    assert ends == ([(START, ["a"])] if is_recent else [])


def test_call_that_its_client_gave_up_shortly_before_the_end_is_reported():
    """Guards against a request that ends targets after its client has left."""
    detector, _, clock, ends = build_detector(accepts=False)
    detector.note_lost_call(START, "old")
    clock.now_s += LOSS_WINDOW_S + 0.1
    detector.note_lost_call(START, "new")
    asyncio.run(lose(detector, "a"))
    assert ends == [(START, ["a", "new"])]


def test_connections_that_close_one_after_the_other_are_an_end():
    """Guards against an end that is missed as its connections close in turn."""
    detector, _, _, ends = build_detector(accepts=False, open_count=2)
    assert asyncio.run(lose(detector, "a")) == [True]
    assert ends == [(START, ["a"])]


def test_target_that_refuses_connections_but_has_some_open_has_not_ended():
    """Guards against suspects because a target under load resets some connections."""
    detector, _, clock, ends = build_detector(accepts=False, open_count=10**6)

    async def run():
        losing = asyncio.ensure_future(lose(detector, "a"))
        await asyncio.sleep(0.01)
        detector.note_refused_connection()
        clock.now_s += 1
        return await losing

    assert asyncio.run(run()) == [False]
    assert ends == []


def test_target_that_answers_has_not_ended():
    """Guards against all later losses that are put down to a wrong end."""
    detector, _, clock, ends = build_detector(accepts=False)
    asyncio.run(lose(detector, "a"))
    detector.note_answer(START)
    clock.now_s += LOSS_WINDOW_S + 1
    detector.note_lost_call(START, "b")
    assert ends == [(START, ["a"])]
    detector.note_refused_connection()
    assert ends == [(START, ["a"]), (START, ["b"])]
