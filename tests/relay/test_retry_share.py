"""The shared bound on repeats, summed over nodes in any window."""

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_relay import RepeatBound, RepeatShare

BOUND = RepeatBound(ratio=0.2, base=49, window_s=10.0)
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 2), st.booleans()), max_size=120
)


@given(STEPS)
def test_sum_over_nodes_keeps_the_bound_in_every_window(steps):
    """Guards against repeats that exceed the bound in some sliding window."""
    shares = [RepeatShare(BOUND) for _ in range(3)]
    now_s, requests, repeats = 0.0, [], []
    for wait_s, node, is_repeat in steps:
        now_s += wait_s
        if not is_repeat:
            shares[node].record_request(now_s)
            requests.append(now_s)
        elif shares[node].try_spend(now_s, nodes=3):
            repeats.append(now_s)
    for end_s in repeats:
        inside = [t for t in repeats if end_s - BOUND.window_s < t <= end_s]
        known = [t for t in requests if end_s - 2 * BOUND.window_s < t <= end_s]
        assert len(inside) <= BOUND.ratio * len(known) + BOUND.base


def test_share_is_given_back_with_time():
    """Guards against a node that never repeats again after a bad minute."""
    share = RepeatShare(BOUND)
    while share.try_spend(0.0, nodes=15):
        pass
    assert not share.try_spend(5.0, nodes=15)
    assert share.try_spend(10.1, nodes=15)
