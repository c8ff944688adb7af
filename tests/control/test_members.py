"""Tests that all nodes agree on the members although updates are lost or reordered."""

# ruff: noqa: D102 - the docstrings of the classes describe their methods

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_control import (
    Announce,
    Drain,
    HeartbeatMonitor,
    Leave,
    Member,
    MemberTable,
    MemberView,
    SelfAnnouncer,
    Status,
    Suspect,
    decode_member_update,
    encode_member_update,
)

NAMES = ("a", "b", "c", "d")
STEPS = 120


def make_member(name, start_number):
    """Return a member; a higher start number is a later incarnation."""
    return Member(
        name=name,
        region="r",
        service="s",
        upstream=name,
        failure_domain="z",
        host="127.0.0.1",
        ingress_port=1,
        admin_port=2,
        control_port=3,
        slots=4,
        max_connections=5,
        incarnation=f"{start_number:013x}-00000000",
    )


class AppliesOldIncarnations(MemberTable):
    """Broken: an update of an older incarnation replaces a newer incarnation."""

    def apply(self, update, now_s):
        name = update.name if isinstance(update, Suspect) else update.member.name
        current = self._views.get(name)
        incarnation = (
            update.incarnation
            if isinstance(update, Suspect)
            else update.member.incarnation
        )
        if current and incarnation < current.incarnation:
            del self._views[name]
        return super().apply(update, now_s)


class OneMonitorSuffices(MemberTable):
    """Broken: the suspicion of a single monitor makes a member dead."""

    def apply(self, update, now_s):
        changed = super().apply(update, now_s)
        if isinstance(update, Suspect) and self._views[update.name].suspected_by:
            view = self._views[update.name]
            self._views[update.name] = view._replace(
                suspected_by=view.suspected_by | {"?"}
            )
        return changed


class KeepsRefutedSuspicions(MemberTable):
    """Broken: suspicions remain after the member has refuted them."""

    def apply(self, update, now_s):
        name = update.name if isinstance(update, Suspect) else update.member.name
        current = self._views.get(name)
        changed = super().apply(update, now_s)
        view = self._views[name]
        if current and current.incarnation == view.incarnation:
            monitors = view.suspected_by | current.suspected_by
            self._views[name] = view._replace(suspected_by=monitors)
        return changed


class AnnounceUndoesLeave(MemberTable):
    """Broken: a late announcement brings back an incarnation that has ended."""

    def apply(self, update, now_s):
        changed = super().apply(update, now_s)
        if isinstance(update, Announce):
            name = update.member.name
            if self._views[name].sequence == update.sequence:
                self._views[name] = self._views[name]._replace(has_left=False)
        return changed


class GossipModel:
    """Model of nodes on links that lose, delay, duplicate and reorder updates.

    Attributes:
        starts: Number of node starts so far; gives each incarnation its number.
        violations: Violations found so far.
        tables: Member table of each node.
        history: All updates ever published.
        in_transit: Receiver and update of each message not yet delivered or lost.
        announcers: Announcer of each node.
        suspicions: Name, incarnation, sequence and monitor of each suspicion.
    """

    def __init__(self, rng, table_type):
        self.rng, self.starts, self.violations = rng, 0, []
        self.tables = {name: table_type() for name in NAMES}
        self.history, self.in_transit, self.announcers, self.suspicions = (
            [],
            [],
            {},
            set(),
        )
        for name in NAMES:
            self.start(name)

    def start(self, name):
        """Start a new incarnation with an empty table, as after a crash."""
        self.starts += 1
        self.announcers[name] = SelfAnnouncer(make_member(name, self.starts))
        self.tables[name] = type(self.tables[name])()
        self.publish(name, self.announcers[name].current_update())

    def publish(self, sender, update):
        self.history.append(update)
        self.receive(sender, update)
        self.in_transit.extend((name, update) for name in NAMES if name != sender)

    def receive(self, name, update):
        table = self.tables[name]
        before = {n: v[:2] for n, v in table.views().items()}
        table.apply(update, 0.0)
        for other, version in before.items():
            if table.find(other)[:2] < version:
                self.violations.append(("reverted", name, other))
        answer = self.announcers[name].refute_suspicion(update)
        if answer:
            self.publish(name, answer)

    def step(self):
        name = self.rng.choice(NAMES)
        chance = self.rng.random()
        if chance < 0.6 and self.in_transit:
            message = self.rng.choice(self.in_transit)
            if self.rng.random() < 0.8:
                self.in_transit.remove(message)
            if self.rng.random() < 0.7:
                self.receive(*message)
        elif chance < 0.85:
            self.suspect(name, self.rng.choice(NAMES))
        elif chance < 0.9:
            self.publish(name, self.announcers[name].drain())
        elif chance < 0.93:
            self.publish(name, self.announcers[name].leave())
        elif chance < 0.96:
            self.start(name)

    def suspect(self, monitor, name):
        update = self.tables[monitor].build_suspicion(name, monitor)
        if update and monitor != name:
            self.suspicions.add((name, update.incarnation, update.sequence, monitor))
            self.publish(monitor, update)

    def settle(self):
        """Deliver all updates to all nodes until they publish no further updates."""
        delivered = -1
        while delivered != len(self.history):
            delivered = len(self.history)
            for name in NAMES:
                for update in self.rng.sample(self.history, delivered):
                    self.receive(name, update)


def find_violations(seed, table_type=MemberTable):
    """Run the model and return all violations.

    A violation is a view that reverts, a member that is dead with fewer than two
    suspicions, or a table that differs from the members in the end.
    """
    model = GossipModel(random.Random(seed), table_type)
    for _ in range(STEPS):
        model.step()
    for table in model.tables.values():
        for name, view in table.views().items():
            key = (name, view.incarnation, view.sequence)
            suspicions = [s for s in model.suspicions if s[:3] == key]
            if view.status is Status.DEAD and len(suspicions) < 2:
                model.violations.append(("dead too early", name))
    model.settle()
    expected = {Announce: Status.ALIVE, Drain: Status.DRAINING, Leave: Status.LEFT}
    for node, table in model.tables.items():
        for name, announcer in model.announcers.items():
            view, last = table.find(name), announcer.current_update()
            if view.member != last.member or view.status is not expected[type(last)]:
                model.violations.append((node, name, view))
    return model.violations


@given(st.integers(0, 2**32))
def test_all_tables_agree_with_the_members_in_the_end(seed):
    """Guards against a live target that some callers consider dead for good.

    Such a target would receive no calls from them.
    """
    assert find_violations(seed) == []


@pytest.mark.parametrize(
    "table_type",
    [
        AppliesOldIncarnations,
        OneMonitorSuffices,
        KeepsRefutedSuspicions,
        AnnounceUndoesLeave,
    ],
)
def test_the_model_rejects_broken_tables(table_type):
    """Verifies that the model detects each kind of broken table."""
    assert any(find_violations(seed, table_type) for seed in range(200))


START_NUMBERS = st.integers(1, 3)
SELF_UPDATES = st.builds(
    lambda update_type, start_number, sequence: update_type(
        id="n", member=make_member("a", start_number), sequence=sequence
    ),
    st.sampled_from([Announce, Drain, Leave]),
    START_NUMBERS,
    st.integers(0, 2),
)
SUSPICIONS = st.builds(
    lambda start_number, sequence, monitor: Suspect(
        name="a",
        incarnation=make_member("a", start_number).incarnation,
        sequence=sequence,
        monitor=monitor,
    ),
    START_NUMBERS,
    st.integers(0, 2),
    st.sampled_from("xyz"),
)


def build_view_naively(updates):
    """Return the view that results from a set of updates about one name."""
    subjects = [u if isinstance(u, Suspect) else u.member for u in updates]
    newest = max(s.incarnation for s in subjects)
    of_newest = [
        u for u, s in zip(updates, subjects, strict=True) if s.incarnation == newest
    ]
    sequence = max(u.sequence for u in of_newest)
    current = [u for u in of_newest if u.sequence == sequence]
    members = [u.member for u in of_newest if not isinstance(u, Suspect)]
    return MemberView(
        newest,
        sequence,
        any(isinstance(u, Drain) for u in current),
        any(isinstance(u, Leave) for u in of_newest),
        frozenset(u.monitor for u in current if isinstance(u, Suspect)),
        max(members, default=None),
    )


@given(st.lists(SELF_UPDATES | SUSPICIONS, min_size=1, max_size=12), st.randoms())
def test_order_and_copies_of_updates_do_not_matter(updates, rng):
    """Guards against nodes that route differently after the same updates."""
    table = MemberTable()
    for update in rng.sample(updates * 2, len(updates) * 2):
        table.apply(decode_member_update(encode_member_update(update)), 0.0)
    assert table.find("a") == build_view_naively(updates)


def test_departed_names_are_removed_after_a_day():
    """Guards against names of replaced targets that fill the memory of every node."""
    table = MemberTable()
    announcer = SelfAnnouncer(make_member("a", 1))
    table.apply(announcer.current_update(), 0.0)
    assert table.prune(1e9) == 0
    table.apply(announcer.leave(), 10.0)
    assert table.prune(20.0) == 0
    assert table.prune(100_000.0) == 1
    assert len(table) == 0


def test_a_paused_monitor_suspects_nobody_when_it_resumes():
    """Guards against a resumed node that suspects all its neighbours.

    This happened because it had not yet read the heartbeats that arrived meanwhile.
    """
    monitor = HeartbeatMonitor(3.0, 0.0)
    monitor.watch(["a", "b"], 0.0)
    silent = []
    for tick in range(1, 7):
        monitor.record_heartbeat("a", tick / 1.0)
        silent = monitor.find_silent(tick / 1.0)
    assert silent == ["b"]
    assert monitor.find_silent(600.0) == []
    assert monitor.find_silent(601.0) == []


@pytest.mark.fuzz
@given(st.binary(max_size=300))
def test_any_bytes_decode_to_an_update_or_none(value):
    """Guards against a malformed message of a neighbour that stops a node."""
    update = decode_member_update(value)
    assert (
        update is None or decode_member_update(encode_member_update(update)) == update
    )
