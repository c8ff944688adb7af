"""The shared bound on repeats, summed over nodes in any window."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_relay import RepeatBound, RepeatShare

BOUND = RepeatBound(ratio=0.2, base=49, window_s=10.0)
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 2), st.sampled_from([None, False, True])),
    max_size=120,
)


@given(STEPS)
def test_sum_over_nodes_keeps_the_bound_in_every_window(steps):
    """Guards against repeats that exceed the bound in some sliding window."""
    shares = [RepeatShare(BOUND) for _ in range(3)]
    now_s, requests, repeats = 0.0, [], []
    for wait_s, node, is_important in steps:
        now_s += wait_s
        if is_important is None:
            shares[node].record_request(now_s)
            requests.append(now_s)
        elif shares[node].try_spend(now_s, nodes=3, is_important=is_important):
            repeats.append(now_s)
    for end_s in repeats:
        inside = [t for t in repeats if end_s - BOUND.window_s < t <= end_s]
        known = [t for t in requests if end_s - 2 * BOUND.window_s < t <= end_s]
        assert len(inside) <= BOUND.ratio * len(known) + BOUND.base


def test_share_is_given_back_with_time():
    """Guards against a node that never repeats again after a bad minute."""
    share = RepeatShare(BOUND)
    while share.try_spend(0.0, nodes=15, is_important=True):
        pass
    assert not share.try_spend(5.0, nodes=15, is_important=True)
    assert share.try_spend(10.1, nodes=15, is_important=True)


def test_calls_of_repeats_use_up_the_share():
    """Guards against a repeat high in the call graph that multiplies below."""
    share = RepeatShare(BOUND)
    for _ in range(3):
        share.record_repeat(0.0)
    assert not share.try_spend(0.0, nodes=15, is_important=True)


def test_important_requests_may_repeat_last():
    """Guards against a share that unimportant requests use up alone."""
    share = RepeatShare(BOUND)
    for _ in range(100):
        share.record_request(0.0)
    while share.try_spend(0.0, nodes=15, is_important=False):
        pass
    assert share.try_spend(0.0, nodes=15, is_important=True)
