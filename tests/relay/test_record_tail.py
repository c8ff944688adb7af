"""Tests of the records that a node passes on to others."""

from mimosaloom_relay import Batch, KeyedRecord
from mimosaloom_relay.record_tail import MAX_TAIL_RECORDS, RecordTail


def records(start, count):
    """Return records with the offsets from `start` on."""
    return tuple(KeyedRecord(f"k{n}", b"v", 1, n) for n in range(start, start + count))


def test_tail_returns_the_records_from_an_offset_on():
    """Guards against a record that is passed on twice or left out."""
    tail = RecordTail()
    tail.restart(1, 5)
    tail.extend(Batch(records(5, 3), 8, 1))
    tail.extend(Batch(records(8, 1), 9, 1))
    for start in range(5, 9):
        assert [r.offset for r in tail.read(start)] == list(range(start, 9))
    assert tail.read(9) == []
    assert tail.read(12) == []


def test_tail_that_does_not_reach_back_says_so():
    """Guards against a gap in what another node applies."""
    tail = RecordTail()
    tail.restart(1, 5)
    assert tail.read(4) is None
    tail.extend(Batch(records(5, MAX_TAIL_RECORDS + 1), 6 + MAX_TAIL_RECORDS, 1))
    assert tail.read(5) is None
    assert len(tail.read(6)) == MAX_TAIL_RECORDS


def test_records_of_an_earlier_era_are_dropped():
    """Guards against records of a lost history under the offsets of a new one."""
    tail = RecordTail()
    tail.restart(1, 5)
    tail.extend(Batch(records(5, 3), 8, 1))
    tail.restart(2, 6)
    assert tail.era == 2
    assert tail.read(5) is None
    assert tail.read(6) == []
