"""Tests that each accepted change reaches every node, even while the log is down."""

# ruff: noqa: D102 - the docstrings of the classes describe their methods

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosaloom_control import (
    ConfigSync,
    Overlay,
    RecentRecords,
    Replay,
    decode_sync,
    encode_sync,
    replay_records,
)
from mimosaloom_policy import choose_readers

NAMES = [f"node-{number:02}" for number in range(24)]
DOMAINS = [NAMES[0:8], NAMES[8:16], NAMES[16:24]]
ROUNDS = 40
ROUNDS_WITHOUT_LOG = 12


class NoRepair(ConfigSync):
    """Broken: relies on pushes alone and never compares positions."""

    def _reply_to_hello(self, hello):
        return None


class NoSnapshots(ConfigSync):
    """Broken: sends records that it still has, but never a snapshot."""

    def _build_catch_up(self, next_offset):
        records = self._recent.since(next_offset)
        return super()._build_catch_up(next_offset) if records else None


class MeshModel:
    """Model of nodes on an overlay that loses messages, with a log that fails at times.

    Attributes:
        log: All records ever appended.
        loss_ratio: Probability that a message is lost.
        nodes: Configuration of each node.
        readers: Names of the nodes that read the log.
        reverted: Names of nodes that moved to a lower offset.
    """

    def __init__(self, rng, sync_type):
        self.rng, self.sync_type, self.log, self.loss_ratio = rng, sync_type, [], 0.4
        self.nodes = {name: self.start() for name in NAMES}
        self.overlay = Overlay(NAMES)
        self.readers = [r for names in DOMAINS for r in choose_readers("z", names)]
        self.reverted = []

    def start(self):
        node = self.sync_type()
        node._recent = RecentRecords(max_records=6)
        return node

    def push(self, sender, batch):
        """Flood a batch through the overlay; each link may lose it."""
        pending = [(sender, batch)]
        while pending:
            name, message = pending.pop()
            for other in self.overlay.neighbors_of(name):
                reaction = self.send(name, other, message)
                if reaction and reaction.push:
                    pending.append((other, reaction.push))

    def send(self, sender, receiver, message):
        """Deliver a message and the replies to it, any of which may be lost.

        Returns:
            The reaction to the message; None if it was lost.
        """
        reaction = None
        while message is not None and self.rng.random() >= self.loss_ratio:
            before = self.nodes[receiver].replay.next_offset
            latest = self.nodes[receiver].handle_message(
                decode_sync(encode_sync(message))
            )
            if self.nodes[receiver].replay.next_offset < before:
                self.reverted.append(receiver)
            reaction = reaction or latest
            sender, receiver, message = receiver, sender, latest.reply
        return reaction

    def run_round(self, is_log_up):
        """Let the readers read and push, and each node send its position once."""
        for name in self.readers if is_log_up else []:
            node = self.nodes[name]
            offset = node.replay.next_offset
            batch = node.apply_records(offset, self.log[offset : offset + 9])
            if batch:
                self.push(name, batch)
        for name in NAMES:
            other = self.rng.choice(self.overlay.neighbors_of(name))
            self.send(name, other, self.nodes[name].hello())


def find_wrong_nodes(seed, sync_type=ConfigSync):
    """Run the model; return the nodes that reverted or end in a wrong state."""
    rng = random.Random(seed)
    mesh = MeshModel(rng, sync_type)
    for number in range(ROUNDS):
        change = {"id": f"{number}", "kind": "Service", "name": f"s{number % 5}"}
        change |= {"expected_revision": 0, "base_offset": 0, "spec": {"n": number}}
        mesh.log.append(msgspec.json.encode(change))
        mesh.run_round(is_log_up=rng.random() < 0.5)
        if rng.random() < 0.3:
            mesh.nodes[rng.choice(NAMES)] = mesh.start()
    mesh.run_round(is_log_up=True)
    while max(n.replay.next_offset for n in mesh.nodes.values()) < len(mesh.log):
        mesh.run_round(is_log_up=True)
    mesh.nodes[rng.choice(NAMES)] = mesh.start()
    mesh.loss_ratio = 0.1
    for _ in range(ROUNDS_WITHOUT_LOG):
        mesh.run_round(is_log_up=False)
    expected = replay_records(enumerate(mesh.log)).state()
    wrong = [n for n, node in mesh.nodes.items() if node.replay.state() != expected]
    return wrong + mesh.reverted


@settings(max_examples=25)
@given(st.integers(0, 2**32))
def test_every_node_catches_up_without_the_log(seed):
    """Guards against a node that admits and routes calls by an old configuration."""
    assert find_wrong_nodes(seed) == []


@pytest.mark.parametrize("sync_type", [NoRepair, NoSnapshots])
def test_the_model_rejects_broken_synchronisation(sync_type):
    """Verifies that the model detects each kind of broken synchronisation."""
    assert any(find_wrong_nodes(seed, sync_type) for seed in range(20))


def test_diverged_nodes_are_reported_and_do_not_adopt_state():
    """Guards against a replaced log that silently reverts or mixes configurations."""
    first = ConfigSync(replay_records([(0, b"a")]))
    second = ConfigSync(replay_records([(0, b"b")], Replay()))
    assert first.handle_message(second.hello()).reply is None
    assert first.divergences == 1
    assert first.replay.chain != second.replay.chain


@pytest.mark.fuzz
@given(st.binary(max_size=200))
def test_any_bytes_from_a_neighbour_are_handled(value):
    """Guards against a malformed message of a neighbour that stops a node."""
    message = decode_sync(value)
    node = ConfigSync()
    if message is not None:
        node.handle_message(message)
    assert message is None or decode_sync(encode_sync(message)) == message
