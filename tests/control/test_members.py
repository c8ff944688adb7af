"""Guards that all nodes come to the same members, whatever happens to the news."""

# ruff: noqa: D102 - the class says what its methods do

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
    decode_news,
    encode_news,
)

NAMES = ("a", "b", "c", "d")
STEPS = 120


def make_member(name, start):
    """Return a member whose incarnation is the given number."""
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
        incarnation=f"{start:013x}-00000000",
    )


class OldNewsWins(MemberTable):
    """Lets news of an older incarnation replace that of a newer one."""

    def apply(self, news, now_s):
        name = news.name if isinstance(news, Suspect) else news.member.name
        known = self._views.get(name)
        own = news.incarnation if isinstance(news, Suspect) else news.member.incarnation
        if known and own < known.incarnation:
            del self._views[name]
        return super().apply(news, now_s)


class OneMonitor(MemberTable):
    """Takes the word of one monitor."""

    def apply(self, news, now_s):
        changed = super().apply(news, now_s)
        if isinstance(news, Suspect) and self._views[news.name].monitors:
            view = self._views[news.name]
            self._views[news.name] = view._replace(monitors=view.monitors | {"?"})
        return changed


class LastingSuspicion(MemberTable):
    """Keeps suspicions although the member contradicted them."""

    def apply(self, news, now_s):
        name = news.name if isinstance(news, Suspect) else news.member.name
        known = self._views.get(name)
        changed = super().apply(news, now_s)
        view = self._views[name]
        if known and known.incarnation == view.incarnation:
            monitors = view.monitors | known.monitors
            self._views[name] = view._replace(monitors=monitors)
        return changed


class UndoneLeave(MemberTable):
    """Lets a late announcement bring back an incarnation that has ended."""

    def apply(self, news, now_s):
        changed = super().apply(news, now_s)
        if isinstance(news, Announce):
            name = news.member.name
            if self._views[name].sequence == news.sequence:
                self._views[name] = self._views[name]._replace(has_left=False)
        return changed


class Gossip:
    """Nodes that send news over links that lose, delay, copy and reorder it."""

    def __init__(self, rng, table_type):
        self.rng, self.starts, self.violations = rng, 0, []
        self.tables = {name: table_type() for name in NAMES}
        self.history, self.net, self.own, self.suspicions = [], [], {}, set()
        for name in NAMES:
            self.start(name)

    def start(self, name):
        """Start a new incarnation; its table is empty, as after a crash."""
        self.starts += 1
        self.own[name] = SelfAnnouncer(make_member(name, self.starts))
        self.tables[name] = type(self.tables[name])()
        self.publish(name, self.own[name].current())

    def publish(self, sender, news):
        self.history.append(news)
        self.receive(sender, news)
        self.net.extend((other, news) for other in NAMES if other != sender)

    def receive(self, name, news):
        table = self.tables[name]
        before = {n: v[:2] for n, v in table.views().items()}
        table.apply(news, 0.0)
        for other, version in before.items():
            if table.find(other)[:2] < version:
                self.violations.append(("reverted", name, other))
        answer = self.own[name].answer(news)
        if answer:
            self.publish(name, answer)

    def step(self):
        name = self.rng.choice(NAMES)
        chance = self.rng.random()
        if chance < 0.6 and self.net:
            item = self.rng.choice(self.net)
            if self.rng.random() < 0.8:
                self.net.remove(item)
            if self.rng.random() < 0.7:
                self.receive(*item)
        elif chance < 0.85:
            self.suspect(name, self.rng.choice(NAMES))
        elif chance < 0.9:
            self.publish(name, self.own[name].drain())
        elif chance < 0.93:
            self.publish(name, self.own[name].leave())
        elif chance < 0.96:
            self.start(name)

    def suspect(self, monitor, name):
        news = self.tables[monitor].suspect(name, monitor)
        if news and monitor != name:
            self.suspicions.add((name, news.incarnation, news.sequence, monitor))
            self.publish(monitor, news)

    def settle(self):
        """Deliver all news to all nodes until none answers any more."""
        known = -1
        while known != len(self.history):
            known = len(self.history)
            for name in NAMES:
                for news in self.rng.sample(self.history, known):
                    self.receive(name, news)


def find_violations(seed, table_type=MemberTable):
    """Run the model; return how the tables differ from what the members say."""
    world = Gossip(random.Random(seed), table_type)
    for _ in range(STEPS):
        world.step()
    for table in world.tables.values():
        for name, view in table.views().items():
            key = (name, view.incarnation, view.sequence)
            believers = [s for s in world.suspicions if s[:3] == key]
            if view.status is Status.DEAD and len(believers) < 2:
                world.violations.append(("dead too early", name))
    world.settle()
    expected = {Announce: Status.ALIVE, Drain: Status.DRAINING, Leave: Status.LEFT}
    for viewer, table in world.tables.items():
        for name, own in world.own.items():
            view, news = table.find(name), own.current()
            if view.member != news.member or view.status is not expected[type(news)]:
                world.violations.append((viewer, name, view))
    return world.violations


@given(st.integers(0, 2**32))
def test_live_members_are_alive_everywhere_in_the_end(seed):
    """A live target that stays dead for some callers takes no part of the load."""
    assert find_violations(seed) == []


@pytest.mark.parametrize(
    "table_type", [OldNewsWins, OneMonitor, LastingSuspicion, UndoneLeave]
)
def test_the_check_rejects_broken_tables(table_type):
    """A check that accepts one of these can't vouch for the real table."""
    assert any(find_violations(seed, table_type) for seed in range(200))


STARTS = st.integers(1, 3)
OWN_NEWS = st.builds(
    lambda news_type, start, sequence: news_type(
        id="n", member=make_member("a", start), sequence=sequence
    ),
    st.sampled_from([Announce, Drain, Leave]),
    STARTS,
    st.integers(0, 2),
)
SUSPICIONS = st.builds(
    lambda start, sequence, monitor: Suspect(
        name="a",
        incarnation=make_member("a", start).incarnation,
        sequence=sequence,
        monitor=monitor,
    ),
    STARTS,
    st.integers(0, 2),
    st.sampled_from("xyz"),
)


def view_naively(news):
    """Return the view that follows from a set of news about one name."""
    read = [n if isinstance(n, Suspect) else n.member for n in news]
    newest = max(r.incarnation for r in read)
    of_newest = [n for n, r in zip(news, read, strict=True) if r.incarnation == newest]
    sequence = max(n.sequence for n in of_newest)
    current = [n for n in of_newest if n.sequence == sequence]
    members = [n.member for n in of_newest if not isinstance(n, Suspect)]
    return MemberView(
        newest,
        sequence,
        any(isinstance(n, Drain) for n in current),
        any(isinstance(n, Leave) for n in of_newest),
        frozenset(n.monitor for n in current if isinstance(n, Suspect)),
        max(members, default=None),
    )


@given(st.lists(OWN_NEWS | SUSPICIONS, min_size=1, max_size=12), st.randoms())
def test_order_and_copies_of_news_do_not_matter(news, rng):
    """Nodes that got the same news in another order would route differently."""
    table = MemberTable()
    for item in rng.sample(news * 2, len(news) * 2):
        table.apply(decode_news(encode_news(item)), 0.0)
    assert table.find("a") == view_naively(news)


def test_departed_names_are_dropped_after_a_day():
    """Replaced targets would fill the memory of every node."""
    table = MemberTable()
    own = SelfAnnouncer(make_member("a", 1))
    table.apply(own.current(), 0.0)
    assert table.prune(1e9) == 0
    table.apply(own.leave(), 10.0)
    assert table.prune(20.0) == 0
    assert table.prune(100_000.0) == 1
    assert len(table) == 0


def test_a_paused_monitor_suspects_nobody_at_once():
    """A resumed node called all its neighbours dead before reading their news."""
    monitor = HeartbeatMonitor(3.0, 0.0)
    monitor.watch(["a", "b"], 0.0)
    silent = []
    for tick in range(1, 7):
        monitor.hear("a", tick / 1.0)
        silent = monitor.find_silent(tick / 1.0)
    assert silent == ["b"]
    assert monitor.find_silent(600.0) == []
    assert monitor.find_silent(601.0) == []


@pytest.mark.fuzz
@given(st.binary(max_size=300))
def test_any_bytes_are_news_or_none(value):
    """A malformed message of one neighbour must not stop a node."""
    news = decode_news(value)
    assert news is None or decode_news(encode_news(news)) == news
