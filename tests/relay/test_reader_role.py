"""Tests of the choice of the nodes that read the store for others."""

from datetime import timedelta

import pytest

from mimosaloom_model import ManualClock
from mimosaloom_relay.peers import PeerRecord
from mimosaloom_relay.reader_role import (
    ASKED_S,
    FALLBACK_S,
    MIN_READERS,
    SKIP_S,
    ReaderRole,
)


def build_records(per_domain, domains=3):
    """Return a record for each node of some failure domains."""
    return [
        PeerRecord(f"n{d}-{n}", "h", 1, f"d{d}", "s", "i", "t", 8, True)
        for d in range(domains)
        for n in range(per_domain)
    ]


def build_roles(records, clock=None):
    """Return the role of each node, all of which know all records."""
    clock = clock or ManualClock()
    return {
        r.name: ReaderRole(r.name, r.failure_domain, lambda: records, clock=clock)
        for r in records
    }


@pytest.mark.parametrize(("per_domain", "domains"), [(5, 3), (40, 5), (300, 2), (2, 1)])
def test_few_nodes_read_and_all_others_find_them(per_domain, domains):
    """Guards against a fleet in which nobody reads the store, or nearly all do."""
    records = build_records(per_domain, domains)
    roles = build_roles(records)
    readers = {name for name, role in roles.items() if role.is_reader}
    assert min(MIN_READERS, len(records)) <= len(readers)
    assert len(readers) <= max(MIN_READERS + domains, len(records) / 12)
    for record in records:
        if record.name not in readers:
            found = roles[record.name].find_readers()
            assert found[0].failure_domain == record.failure_domain
            assert {r.name for r in found} <= readers


def test_followers_of_a_domain_spread_over_its_readers():
    """Guards against one reader that answers all nodes of a large failure domain."""
    records = build_records(300, 1)
    first = [
        role.find_readers()[0].name
        for role in build_roles(records).values()
        if not role.is_reader
    ]
    assert max(first.count(name) for name in set(first)) < 2.5 * 32


def test_failed_reader_is_replaced_and_asked_again_later():
    """Guards against nodes that wait for a reader that is dead or cut off."""
    clock = ManualClock()
    records = build_records(5)
    roles = build_roles(records, clock)
    role = next(role for role in roles.values() if not role.is_reader)
    failed = role.find_readers()[0].name
    role.note_failed(failed)
    assert failed not in {record.name for record in role.find_readers()}
    clock.advance(timedelta(seconds=SKIP_S))
    assert role.find_readers()[0].name == failed


def test_node_without_any_reader_left_reads_by_itself():
    """Guards against a node that learns nothing while all readers are gone."""
    clock = ManualClock()
    roles = build_roles(build_records(5), clock)
    role = next(role for role in roles.values() if not role.is_reader)
    started = []
    role.on_start = lambda: started.append(1)
    while readers := role.find_readers():
        role.note_failed(readers[0].name)
    role.note_no_reader()
    assert role.is_reader
    assert started == [1]
    clock.advance(timedelta(seconds=FALLBACK_S))
    assert not role.is_reader


def test_node_that_is_asked_reads_at_once_also_as_a_chosen_reader():
    """Guards against an answer from a long poll that may be lost.

    A node becomes a reader by what it knows of others; its open polls are older.
    """
    clock = ManualClock()
    for role in build_roles(build_records(5), clock).values():
        started = []
        role.on_start = lambda started=started: started.append(1)
        role.note_asked()
        role.note_asked()
        assert role.is_reader
        assert started == [1]
        clock.advance(timedelta(seconds=ASKED_S))
        role.note_asked()
        assert started == [1, 1]
