"""Tests that a caller key runs at most once over all nodes, by claims in a log.

A simulation runs nodes, batchers and a log that loses, delays and repeats appends.
"""

# ruff: noqa: D102 - the class docstrings describe the methods

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_policy import (
    AppendResult,
    ClaimBatcher,
    ClaimBook,
    Claimed,
    ClaimLimits,
    ClaimReplay,
    MintedKey,
    ReceivedVerdicts,
    Unclaimed,
    Undecided,
    Withdrawal,
    format_caller_key,
    mint_key,
    parse_key,
)

LIMITS = ClaimLimits(window_s=20.0, ahead_s=2.0, skew_s=1.0, max_keys=3)
STEPS = 240


class LastClaimWins(ClaimReplay):
    """Broken: lets a later claim replace the first one."""

    def _apply_claim(self, claim):
        super()._apply_claim(claim)
        if claim.key in self._winners:
            self._winners[claim.key] = claim.claimant


class ForgottenWinners(ClaimReplay):
    """Broken: accepts claims for keys that it has dropped from memory."""

    def _is_void(self, issued_s):
        return issued_s + self._limits.window_s < self._latest_time_s


class IgnoredGap(ClaimReplay):
    """Broken: returns verdicts on keys that may be claimed in skipped records."""

    def skip_to(self, offset, wall_s):
        self._next_offset = offset


class StartsWithoutReading(ClaimBook):
    """Broken: treats a claim as won once its append is stored."""

    def settle_append(self, record_id, result):
        record = self._records.get(record_id)
        super().settle_append(record_id, result)
        if record and result is AppendResult.STORED:
            find_verdict = self._find_verdict
            won = {c.key: Claimed(self._claimant) for c in record.claims}
            self._find_verdict = lambda key, wall_s: (
                won.get(key) or find_verdict(key, wall_s)
            )


class StartsWithdrawn(ClaimBook):
    """Broken: starts a withdrawn key if its claim wins."""

    def withdraw(self, key, wall_s):
        state = self._states.get(key)
        result = super().withdraw(key, wall_s)
        if state:
            self._states[key] = state
        return result


class Node:
    """A claimant and reader whose clock is off by `skew_s`.

    Each node has a batcher for the claims of other nodes. A remote node claims through
    the batchers of the nodes and receives verdicts from them.
    """

    def __init__(self, claimant, skew_s, is_remote, replay_type, book_type):
        self.claimant, self.skew_s, self.is_remote = claimant, skew_s, is_remote
        self.replay = replay_type(LIMITS)
        self.batcher = ClaimBatcher(self.replay.find_verdict, max_open=4)
        self.verdicts = ReceivedVerdicts(LIMITS) if is_remote else None
        find_verdict = (
            self.verdicts.find_verdict if is_remote else self.replay.find_verdict
        )
        self.book = book_type(claimant, find_verdict, LIMITS)
        self.records, self.refused = [], set()


class Simulation:
    """Nodes, the log, and the keys of callers that repeat their requests.

    Each step lets a random node do one random action.
    """

    def __init__(self, rng, replay_type, book_type):
        self.rng, self.types = rng, (replay_type, book_type)
        self.now_s, self.head, self.log = 1_000_000_000.0, 0, []
        self.keys, self.runs, self.false_refusals, self.starts = [], [], [], 0
        self.messages = []
        self.nodes = [self.make_node() for _ in range(3)]

    def make_node(self):
        self.starts += 1
        skew_s = self.rng.uniform(-LIMITS.skew_s, LIMITS.skew_s)
        is_remote = self.rng.random() < 0.5
        return Node(f"n{self.starts}", skew_s, is_remote, *self.types)

    def step(self):
        node = self.rng.choice(self.nodes)
        wall_s = self.now_s + node.skew_s
        actions = [
            self.request,
            self.append,
            self.read,
            self.start,
            self.deliver_verdicts,
        ] * 4
        actions += [self.withdraw, self.wait, self.truncate, self.crash]
        self.rng.choice(actions)(node, wall_s)

    def request(self, node, wall_s):
        if not self.keys or self.rng.random() < 0.2:
            issued_s = self.now_s + self.rng.uniform(-1, 1)
            self.keys.append(format_caller_key(issued_s, f"key-{len(self.keys):05}"))
        key = self.rng.choice(self.keys[-6:])
        node.refused.discard(key)
        node.book.request(key, wall_s)

    def append(self, node, wall_s):
        """Append a record; it or its answer may be lost, or it is appended later."""
        self.starts += 1
        record = node.book.take_record(str(self.starts), wall_s, max_claims=2)
        if record and node.is_remote:
            result = self.rng.choice([AppendResult.STORED, AppendResult.UNKNOWN])
            if result is AppendResult.STORED or self.rng.random() < 0.5:
                self.rng.choice(self.nodes).batcher.add(record.claims)
            node.book.settle_append(record.record_id, result)
        elif record:
            node.records.append(record)
        batch = node.batcher.take_record(f"batch-{self.starts}")
        if batch:
            node.records.append(batch)
        if not node.records:
            return
        chosen = self.rng.choice(node.records)
        result = self.rng.choice([*AppendResult, AppendResult.STORED])
        is_stored = self.rng.random() < 0.5
        if result is AppendResult.STORED or (
            result is AppendResult.UNKNOWN and is_stored
        ):
            self.log.append(chosen)
        if result is not AppendResult.NOT_STORED:
            node.book.settle_append(chosen.record_id, result)
            node.batcher.settle_append(chosen.record_id, result)

    def deliver_verdicts(self, node, wall_s):
        """Deliver verdicts of a batcher; they may be lost, late or repeated."""
        self.messages.extend(node.batcher.take_verdicts(wall_s) * 2)
        for message in self.rng.sample(self.messages, min(3, len(self.messages))):
            self.messages.remove(message)
            for other in self.nodes:
                if other.claimant == message.claim.claimant and other.is_remote:
                    other.verdicts.record_verdicts([message], self.now_s + other.skew_s)
        for key in self.keys[-6:]:
            if self.rng.random() < 0.2:
                node.book.repeat(key)

    def read(self, node, wall_s):
        if node.replay.next_offset < self.head:
            node.replay.skip_to(self.head, wall_s)
        end = min(len(self.log), node.replay.next_offset + self.rng.randrange(4))
        for offset in range(max(self.head, end - 3), end):
            node.replay.apply(offset, self.log[offset], wall_s)

    def start(self, node, wall_s):
        for key in self.keys:
            if node.book.start(key, wall_s):
                self.runs.append(key)
                if key in node.refused:
                    self.false_refusals.append(key)

    def withdraw(self, node, wall_s):
        key = self.rng.choice(self.keys) if self.keys else ""
        if node.book.withdraw(key, wall_s) is Withdrawal.NOT_RUN:
            node.refused.add(key)

    def wait(self, node, wall_s):
        self.now_s += self.rng.choice([0.2, 0.5, 1.0, 4.0, 12.0])

    def truncate(self, node, wall_s):
        if self.rng.random() < 0.3:
            self.head = max(self.head, len(self.log) - self.rng.randrange(4))

    def crash(self, node, wall_s):
        if self.rng.random() < 0.3:
            self.nodes[self.nodes.index(node)] = self.make_node()


def find_violations(seed, replay_type=ClaimReplay, book_type=ClaimBook):
    """Run the simulation; return keys run twice or after a refusal as not run."""
    simulation = Simulation(random.Random(seed), replay_type, book_type)
    for _ in range(STEPS):
        simulation.step()
    assert all(len(n.replay) <= LIMITS.max_keys for n in simulation.nodes)
    assert all(len(n.batcher) <= 12 for n in simulation.nodes)
    counts = Counter(simulation.runs)
    return [k for k in simulation.keys if counts[k] > 1] + simulation.false_refusals


@given(st.integers(0, 2**32))
def test_a_caller_key_runs_at_most_once(seed):
    """Guards against a second run of a request that is repeated through another node.

    Without the claims, for example, a `log-return` request could run twice.
    """
    assert find_violations(seed) == []


@pytest.mark.parametrize(
    "broken",
    [
        (LastClaimWins, ClaimBook),
        (ForgottenWinners, ClaimBook),
        (IgnoredGap, ClaimBook),
        (ClaimReplay, StartsWithoutReading),
        (ClaimReplay, StartsWithdrawn),
    ],
)
def test_the_check_rejects_broken_claims(broken):
    """Verifies that the check rejects each of these broken classes."""
    assert any(find_violations(seed, *broken) for seed in range(1500))


def test_a_claim_is_won_after_a_lost_answer_and_a_second_append():
    """Guards against a lost append answer that keeps the only claimant from running.

    Also guards against keys that stay in memory after the claim window.
    """
    replay = ClaimReplay(LIMITS)
    book = ClaimBook("n1", replay.find_verdict, LIMITS)
    key = format_caller_key(100, "key-00001")
    assert book.request(key, 100.0) == Unclaimed()
    record = book.take_record("r1", 100.0)
    book.settle_append("r1", AppendResult.UNKNOWN)
    again = book.take_record("r2", 100.5)
    replay.apply(0, record, 101.0)
    replay.apply(1, again, 101.0)
    assert book.start(key, 101.0)
    assert not book.start(key, 101.0)
    assert book.request(key, 130.0) == Undecided()
    assert replay.find_verdict(key, 130.0) == Undecided()
    assert (len(replay), len(book)) == (0, 0)


@given(st.integers(0, 2**52 - 1), st.floats(0, 1e9), st.randoms())
def test_minted_keys_hold_their_owner_and_incarnation(start_ms, age_s, rng):
    """Guards against a key without its incarnation, which could run in a later one."""
    incarnation = f"{start_ms:013x}-0123abcd"
    key = mint_key("a" * 34, incarnation, age_s, rng)
    assert len(key) <= 64
    parsed = parse_key(key)
    assert isinstance(parsed, MintedKey)
    assert parsed[:3] == ("a" * 34, incarnation, int(age_s))


@pytest.mark.fuzz
@given(st.text(max_size=80) | st.from_regex(r"m[A-Za-z0-9_-]{28}\.[a-z]{1,34}"))
def test_any_text_is_a_key_or_none(text):
    """Guards against an internal error where a malformed key must be refused."""
    parsed = parse_key(text)
    assert parsed is None or len(text) <= 64


def test_a_node_wins_through_a_batcher_that_was_replaced():
    """Guards against a key that can't run because a lost batcher had its claim."""
    replay, verdicts = ClaimReplay(LIMITS), ReceivedVerdicts(LIMITS)
    book = ClaimBook("n1", verdicts.find_verdict, LIMITS)
    key = format_caller_key(100, "key-00001")
    book.request(key, 100.0)
    lost = book.take_record("r1", 100.0)
    book.settle_append(lost.record_id, AppendResult.STORED)
    assert book.take_record("r2", 101.0) is None
    book.repeat(key)
    batcher = ClaimBatcher(replay.find_verdict)
    batcher.add(book.take_record("r3", 102.0).claims)
    batch = batcher.take_record("b1")
    batcher.settle_append("b1", AppendResult.STORED)
    assert batcher.take_verdicts(102.0) == []
    replay.apply(0, batch, 102.0)
    verdicts.record_verdicts(batcher.take_verdicts(103.0), 103.0)
    assert book.start(key, 103.0)
    assert len(batcher) == 0
    verdicts.record_verdicts([], 130.0)
    assert len(verdicts) == 0
