import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import ManualClock
from mimosaloom_node.directory import Directory, new_incarnation


def make_record(name, incarnation, record_type, port=1000):
    """Return a record whose id differs where anything in it differs."""
    return {
        "id": f"{name}-{incarnation}-{record_type}-{port}",
        "type": record_type,
        "member": {
            "name": name,
            "region": "r",
            "service": "billing",
            "upstream": name,
            "failure_domain": "d",
            "host": "127.0.0.1",
            "ingress_port": port,
            "admin_port": 2,
            "control_port": 3,
            "slots": 4,
            "max_connections": 5,
            "incarnation": f"{incarnation:013x}-00000000",
        },
    }


RECORDS = st.lists(
    st.builds(
        make_record,
        st.sampled_from(["a", "b"]),
        st.integers(1, 3),
        st.sampled_from(["announce", "leave"]),
        st.integers(1, 65535),
    ),
    max_size=12,
)


@given(records=RECORDS, rng=st.randoms(use_true_random=False))
def test_table_depends_on_incarnations_and_not_on_the_order_of_records(records, rng):
    """Guards against nodes that route to a left or replaced target for good."""
    in_order, shuffled = Directory(), Directory()
    for record in records:
        in_order.apply(record)
    repeated = records + records[:4]
    rng.shuffle(repeated)
    for record in repeated:
        shuffled.apply(record)
    assert shuffled.members() == in_order.members()
    listed = {candidate.name for candidate in in_order.candidates("billing")}
    for name in ("a", "b"):
        own = [r for r in records if r["member"]["name"] == name]
        newest = max((r["member"]["incarnation"] for r in own), default=None)
        last = [r for r in own if r["member"]["incarnation"] == newest]
        has_left = any(r["type"] == "leave" for r in last)
        assert (name in listed) == (newest is not None and not has_left)


@given(
    st.recursive(
        st.none() | st.integers() | st.text(),
        lambda c: (
            st.dictionaries(st.sampled_from(["id", "type", "member", "name"]), c)
            | st.lists(c)
        ),
    )
)
def test_bad_records_are_counted_and_skipped(value):
    """Guards against one bad record that stops every node."""
    directory = Directory()
    assert not directory.apply(value)
    assert directory.bad_records == 1
    assert directory.members() == []


def test_replacement_and_drain_are_seen_by_the_router():
    """Guards against calls to the predecessor of an upstream, or to a leaving one."""
    directory = Directory()
    old = make_record("old", 1, "announce", port=1)
    new = make_record("new", 2, "announce", port=2)
    new["member"]["upstream"] = "old"
    assert directory.apply(old)
    assert directory.apply(new)
    assert not directory.apply(old)
    [candidate] = directory.candidates("billing")
    assert candidate.port == 2
    assert directory.mark_draining(candidate.incarnation)
    assert not directory.mark_draining(candidate.incarnation)
    [candidate] = directory.candidates("billing")
    assert candidate.is_draining


def test_incarnations_are_ordered_by_start():
    """Guards against a restarted node whose announcement loses against its old one."""
    clock, rng = ManualClock(), random.Random(1)
    incarnations = []
    for _ in range(50):
        incarnations.append(new_incarnation(clock, rng))
        clock.advance(timedelta(milliseconds=1))
    assert incarnations == sorted(incarnations)
