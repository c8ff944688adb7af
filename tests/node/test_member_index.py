"""Tests that the candidates for routing do not depend on the order of updates."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_control import Announce, Drain, Leave, Member
from mimosaloom_model import ManualClock
from mimosaloom_node.incarnation import new_incarnation
from mimosaloom_node.member_index import MemberIndex


def make_update(name, incarnation, kind, port=1000, upstream=""):
    """Return an update whose id is unique for its content."""
    member = Member(
        name=name,
        region="r",
        service="billing",
        upstream=upstream or name,
        failure_domain="d",
        host="127.0.0.1",
        ingress_port=port,
        admin_port=2,
        control_port=3,
        slots=4,
        max_connections=5,
        incarnation=f"{incarnation:013x}-00000000",
    )
    return kind(id=f"{name}-{incarnation}-{kind.__name__}-{port}", member=member)


UPDATES = st.lists(
    st.builds(
        make_update,
        st.sampled_from(["a", "b"]),
        st.integers(1, 3),
        st.sampled_from([Announce, Leave]),
        st.integers(1, 65535),
    ),
    max_size=12,
)


@given(updates=UPDATES, rng=st.randoms(use_true_random=False))
def test_candidates_depend_on_incarnations_and_not_on_the_order_of_updates(
    updates, rng
):
    """Late or repeated updates must not route calls to a left or replaced target."""
    in_order, shuffled = MemberIndex("me", "d"), MemberIndex("me", "d")
    for item in updates:
        in_order.apply(item, 0.0)
    repeated = updates + updates[:4]
    rng.shuffle(repeated)
    for item in repeated:
        shuffled.apply(item, 0.0)
    assert shuffled.live == in_order.live
    assert shuffled.digest == in_order.digest
    listed = {candidate.name for candidate in in_order.candidates("billing")}
    for name in ("a", "b"):
        own = [n for n in updates if n.member.name == name]
        newest = max((n.member.incarnation for n in own), default=None)
        last = [n for n in own if n.member.incarnation == newest]
        has_left = any(isinstance(n, Leave) for n in last)
        assert (name in listed) == (newest is not None and not has_left)


def test_replacement_and_drain_are_seen_by_the_router():
    """Calls must not go to a replaced node of an upstream, or to a draining one."""
    index = MemberIndex("me", "d")
    old = make_update("old", 1, Announce, port=1)
    new = make_update("new", 2, Announce, port=2, upstream="old")
    assert index.apply(old, 0.0)
    assert index.apply(new, 0.0)
    assert not index.apply(old, 0.0)
    [candidate] = index.candidates("billing")
    assert candidate.port == 2
    drain = make_update("new", 2, Drain, port=2, upstream="old")
    assert index.apply(drain, 0.0)
    assert not index.apply(drain, 0.0)
    [candidate] = index.candidates("billing")
    assert candidate.is_draining


def test_incarnations_are_ordered_by_start():
    """The announcement of a restarted node must take precedence over its old one."""
    clock, rng = ManualClock(), random.Random(1)
    incarnations = []
    for _ in range(50):
        incarnations.append(new_incarnation(clock, rng))
        clock.advance(timedelta(milliseconds=1))
    assert incarnations == sorted(incarnations)
