"""Tests that a non-idempotent call runs at most once and never after a refusal.

A simulation of callers, upstreams and a network that loses, delays and duplicates
messages drives the run table. A plain list records all runs.
"""

# ruff: noqa: D102 - the class docstrings describe the methods

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import Answered, ErrorKind, Failed
from mimosaloom_policy import (
    Blocked,
    Done,
    Join,
    NotAccepted,
    NotRun,
    Replay,
    RetentionRule,
    Run,
    Running,
    RunTable,
    Stamp,
    StampBook,
    Unknown,
    format_stamp,
    parse_stamp,
)

UPSTREAMS = ("a", "b")
KEYS = ("k1", "k2", "k3")
STEPS = 150
ANSWER = Answered(200, (), b"done")


class NoTombstone(RunTable):
    """Broken: reports a key as not run, but lets a late copy run."""

    def _forbid_key(self, key, epoch, stamp, entry):
        return NotRun()


class ForgetfulRefusal(RunTable):
    """Broken: forgets a refused attempt, so that a copy of it may run."""

    def abandon(self, key):
        self._entries.pop(key, None)


class EarlyDrop(RunTable):
    """Broken: drops entries one epoch after their last change."""

    def _drop_expired(self, now_s):
        rule = self._rule
        self._rule = rule._replace(retained=1)
        epoch = super()._drop_expired(now_s)
        self._rule = rule
        return epoch


class AnyIncarnation(RunTable):
    """Broken: accepts stamps of an earlier incarnation, whose table is lost."""

    def _check_stamp(self, epoch, stamp):
        own = stamp and stamp._replace(incarnation=self._rule.incarnation)
        return super()._check_stamp(epoch, own)


class PartialRefused(RunTable):
    """Broken: reports a run that failed after its start as refused."""

    def finish(self, key, result, now_s):
        if isinstance(result, Failed):
            return self.abandon(key)
        return super().finish(key, result, now_s)


class Upstream:
    """A node with its run table, and the queued and started calls of its target."""

    def __init__(self, name, number, now_s, table_type):
        rule = RetentionRule(f"{name}{number:04}", now_s, period_s=1.0, retained=4)
        self.name, self.number = name, number
        self.table = table_type(rule)
        self.queued, self.started = {}, {}


class Caller:
    """State of the sender of one key."""

    def __init__(self):
        self.state, self.attempt = "idle", 0
        self.upstream = self.stamp = None


class Simulation:
    """Callers, upstreams and the messages between them.

    Each step is one random action. Each message is a tuple of the name of the method
    that receives it and the arguments of that method.
    """

    def __init__(self, rng, table_type=RunTable):
        self.rng, self.table_type, self.now_s = rng, table_type, 0.0
        self.nodes = {u: Upstream(u, 1, 0.0, table_type) for u in UPSTREAMS}
        self.callers = {key: Caller() for key in KEYS}
        self.book, self.messages, self.runs = StampBook(max_age_s=2.0), [], []

    def step(self):
        actions = (
            [self.deliver] * 8 + [self.send_or_resolve] * 5 + [self.process_call] * 4
        )
        self.rng.choice([*actions, self.wait, self.wait, self.crash])()

    def wait(self):
        """Advance the time; this also models a pause of any party."""
        self.now_s += self.rng.choice([0.1, 0.5, 1.0, 2.0, 5.0])

    def crash(self):
        if self.rng.random() < 0.3:
            old = self.nodes[self.rng.choice(UPSTREAMS)]
            new = Upstream(old.name, old.number + 1, self.now_s, self.table_type)
            self.nodes[old.name] = new

    def deliver(self):
        if not self.messages:
            return
        message = self.rng.choice(self.messages)
        fate = self.rng.random()
        if fate > 0.2:
            self.messages.remove(message)
        if fate < 0.85:
            getattr(self, message[0])(*message[1:])

    def send_or_resolve(self):
        key = self.rng.choice(KEYS)
        caller = self.callers[key]
        if caller.state == "idle":
            self.send(key, caller)
        elif caller.state in ("waiting", "resolving"):
            caller.state = "resolving"
            arguments = (key, caller.attempt, caller.upstream, caller.stamp)
            self.messages.append(("resolve", *arguments))

    def send(self, key, caller):
        upstream = self.rng.choice(UPSTREAMS)
        if self.rng.random() < 0.5:
            table = self.nodes[upstream].table
            self.book.record_stamp(upstream, table.stamp(self.now_s), self.now_s)
        stamp = self.book.current_stamp(upstream, self.now_s)
        if stamp:
            caller.attempt += 1
            caller.state, caller.upstream, caller.stamp = "waiting", upstream, stamp
            self.messages.append(("call", key, caller.attempt, upstream, stamp))

    def call(self, key, attempt, upstream, stamp):
        node = self.nodes[upstream]
        decision = node.table.begin(key, "digest", self.now_s, stamp, attempt)
        match decision:
            case Run():
                node.queued[key] = attempt
            case Replay(result):
                self.reply(key, attempt, result)
            case Blocked() | NotAccepted():
                self.reply(key, attempt, "refused")
            case Unknown():
                self.reply(key, attempt, "unknown")

    def process_call(self):
        """Start, refuse or end a call at a random upstream."""
        node = self.nodes[self.rng.choice(UPSTREAMS)]
        if node.started and self.rng.random() < 0.6:
            key = self.rng.choice(list(node.started))
            attempt = node.started.pop(key)
            failed = Failed(ErrorKind.TARGET_FAILED)
            result = ANSWER if self.rng.random() < 0.7 else failed
            node.table.finish(key, result, self.now_s)
            is_stored = node.table.resolve(key, self.now_s, None) == Done(result)
            self.reply(key, attempt, result if is_stored else "refused")
        elif node.queued:
            key = self.rng.choice(list(node.queued))
            attempt = node.queued.pop(key)
            if self.rng.random() < 0.5:
                node.table.abandon(key)
                self.reply(key, attempt, "refused")
            else:
                node.started[key] = attempt
                self.runs.append(key)

    def reply(self, key, attempt, answer):
        self.messages.append(("answer", key, attempt, answer))

    def answer(self, key, attempt, answer):
        caller = self.callers[key]
        if caller.attempt != attempt or caller.state not in ("waiting", "resolving"):
            return
        if answer == "refused":
            caller.state = self.rng.choice(["idle", "idle", "not_run"])
        else:
            caller.state = "unknown" if answer == "unknown" else "ended"

    def resolve(self, key, attempt, upstream, stamp):
        table = self.nodes[upstream].table
        state = Unknown()
        if table.stamp(self.now_s).incarnation == stamp.incarnation:
            state = table.resolve(key, self.now_s, stamp)
        self.messages.append(("resolved", key, attempt, state))

    def resolved(self, key, attempt, state):
        caller = self.callers[key]
        if caller.attempt != attempt or caller.state != "resolving":
            return
        if isinstance(state, NotRun):
            caller.state = self.rng.choice(["idle", "idle", "not_run"])
        elif not isinstance(state, Running):
            caller.state = "ended" if isinstance(state, Done) else "unknown"


def find_violations(seed, table_type=RunTable):
    """Run the simulation; return keys run twice or run although refused as not run."""
    simulation = Simulation(random.Random(seed), table_type)
    for _ in range(STEPS):
        simulation.step()
    for message in [m for m in simulation.messages if m[0] == "call"]:
        simulation.call(*message[1:])
    for node in simulation.nodes.values():
        simulation.runs.extend(node.queued)
    counts = Counter(simulation.runs)
    refused = [k for k, c in simulation.callers.items() if c.state == "not_run"]
    return [k for k in KEYS if counts[k] > 1] + [k for k in refused if counts[k]]


@given(st.integers(0, 2**32))
def test_a_key_runs_at_most_once_and_never_after_a_refusal(seed):
    """Guards against a second run, and against a run that was reported as not run.

    Each of them could, for example, charge a fee in error.
    """
    assert find_violations(seed) == []


@pytest.mark.parametrize(
    "table_type",
    [NoTombstone, ForgetfulRefusal, EarlyDrop, AnyIncarnation, PartialRefused],
)
def test_the_check_rejects_broken_tables(table_type):
    """Verifies that the check rejects each of these broken tables."""
    assert any(find_violations(seed, table_type) for seed in range(1500))


def test_memory_is_bounded_by_the_window_and_by_the_limits():
    """Guards against a table that only grows, which exhausts memory within days."""
    rule = RetentionRule("i", 0.0, period_s=1.0, retained=3, max_entries=5)
    table = RunTable(rule, max_result_bytes=8)
    for number in range(5):
        assert table.begin(f"k{number}", "", 0.5, Stamp("i", 0), 1) == Run()
        table.finish(f"k{number}", ANSWER, 0.5)
    assert table.begin("over", "", 0.6, Stamp("i", 0), 1) == NotAccepted()
    assert table.begin("unstamped", "", 0.6) == NotAccepted()
    assert table.resolve("over", 0.6, Stamp("i", 0)) == NotRun()
    assert table.result_bytes == 8
    assert table.resolve("k4", 0.7) == Done(ANSWER)
    assert table.resolve("k0", 0.7).result.kind is ErrorKind.OUTCOME_UNKNOWN
    assert table.begin("over", "", 4.0, Stamp("i", 0), 1) == Unknown()
    assert table.begin("next", "", 4.0, Stamp("i", 3), 1) == Run()
    assert len(table) == 1
    assert table.result_bytes == 0
    assert table.begin("next", "", 40.0, Stamp("i", 40), 1) == Join()


def test_a_refusal_prolongs_the_tombstone_that_caused_it():
    """Guards against a copy of a refused attempt that runs after its tombstone expired.

    This happened when a refusal did not extend the retention of an older tombstone.
    """
    table = RunTable(RetentionRule("i", 0.0, period_s=1.0, retained=4))
    assert table.resolve("k", 3.0, Stamp("i", 0)) == NotRun()
    assert table.begin("k", "", 5.0, Stamp("i", 5), 3) == Blocked()
    assert table.begin("k", "", 7.0, Stamp("i", 5), 3) == Blocked()


@pytest.mark.fuzz
@given(st.text(max_size=50) | st.from_regex(r"[0-9a-f]{13}-[0-9a-f]{8}\.[0-9a-f]{1,9}"))
def test_a_stamp_is_parsed_as_it_was_formatted(text):
    """Guards against a stamp that changes in transit and looks stale or too new."""
    stamp = parse_stamp(text)
    assert stamp is None or parse_stamp(format_stamp(stamp)) == stamp
    own = Stamp("019a0b1c2d3e4-89abcdef", 0xFFFFFFFF)
    assert parse_stamp(format_stamp(own)) == own
