"""Guards that each accepted change reaches every node, also while the log is down."""

# ruff: noqa: D102 - the class says what its methods do

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
    choose_readers,
    decode_sync,
    encode_sync,
    replay_records,
)

NAMES = [f"node-{number:02}" for number in range(24)]
DOMAINS = [NAMES[0:8], NAMES[8:16], NAMES[16:24]]
ROUNDS = 40
QUIET_ROUNDS = 12


class NoRepair(ConfigSync):
    """Relies on pushes alone and never compares offsets."""

    def _compare(self, hello):
        return None


class NoSnapshots(ConfigSync):
    """Sends only records that it still holds."""

    def _missing(self, next_offset):
        records = self._recent.since(next_offset)
        return super()._missing(next_offset) if records else None


class Mesh:
    """Nodes on an overlay that loses messages, and a log that is down at times."""

    def __init__(self, rng, sync_type):
        self.rng, self.sync_type, self.log, self.loss = rng, sync_type, [], 0.4
        self.nodes = {name: self.start() for name in NAMES}
        self.overlay = Overlay(NAMES)
        self.readers = [r for names in DOMAINS for r in choose_readers("z", names)]
        self.fallen = []

    def start(self):
        node = self.sync_type()
        node._recent = RecentRecords(max_records=6)
        return node

    def push(self, sender, batch):
        """Flood a batch; each link may lose it."""
        waiting = [(sender, batch)]
        while waiting:
            name, message = waiting.pop()
            for other in self.overlay.neighbors_of(name):
                reaction = self.send(name, other, message)
                if reaction and reaction.push:
                    waiting.append((other, reaction.push))

    def send(self, sender, receiver, message):
        """Deliver a message and the replies that it causes."""
        reaction = None
        while message is not None and self.rng.random() >= self.loss:
            before = self.nodes[receiver].replay.next_offset
            got = self.nodes[receiver].receive(decode_sync(encode_sync(message)))
            if self.nodes[receiver].replay.next_offset < before:
                self.fallen.append(receiver)
            reaction = reaction or got
            sender, receiver, message = receiver, sender, got.reply
        return reaction

    def round(self, is_log_up):
        for name in self.readers if is_log_up else []:
            node = self.nodes[name]
            offset = node.replay.next_offset
            batch = node.read(offset, self.log[offset : offset + 9])
            if batch:
                self.push(name, batch)
        for name in NAMES:
            other = self.rng.choice(self.overlay.neighbors_of(name))
            self.send(name, other, self.nodes[name].hello())


def find_behind(seed, sync_type=ConfigSync):
    """Run the model; return the nodes that lack a part of the log in the end."""
    rng = random.Random(seed)
    mesh = Mesh(rng, sync_type)
    for number in range(ROUNDS):
        change = {"id": f"{number}", "kind": "Service", "name": f"s{number % 5}"}
        change |= {"expected_revision": 0, "base_offset": 0, "spec": {"n": number}}
        mesh.log.append(msgspec.json.encode(change))
        mesh.round(is_log_up=rng.random() < 0.5)
        if rng.random() < 0.3:
            mesh.nodes[rng.choice(NAMES)] = mesh.start()
    mesh.round(is_log_up=True)
    while max(n.replay.next_offset for n in mesh.nodes.values()) < len(mesh.log):
        mesh.round(is_log_up=True)
    mesh.nodes[rng.choice(NAMES)] = mesh.start()
    mesh.loss = 0.1
    for _ in range(QUIET_ROUNDS):
        mesh.round(is_log_up=False)
    expected = replay_records(enumerate(mesh.log)).state()
    wrong = [n for n, node in mesh.nodes.items() if node.replay.state() != expected]
    return wrong + mesh.fallen


@settings(max_examples=25)
@given(st.integers(0, 2**32))
def test_every_node_catches_up_without_the_log(seed):
    """A node with an old configuration would admit and route by old rules."""
    assert find_behind(seed) == []


@pytest.mark.parametrize("sync_type", [NoRepair, NoSnapshots])
def test_the_check_rejects_broken_exchanges(sync_type):
    """A check that accepts one of these can't vouch for the real exchange."""
    assert any(find_behind(seed, sync_type) for seed in range(20))


def test_two_histories_are_reported_and_not_mixed():
    """A log that was replaced must not silently revert or mix configurations."""
    first = ConfigSync(replay_records([(0, b"a")]))
    second = ConfigSync(replay_records([(0, b"b")], Replay()))
    assert first.receive(second.hello()).reply is None
    assert first.divergences == 1
    assert first.replay.chain != second.replay.chain


@pytest.mark.fuzz
@given(st.binary(max_size=200))
def test_any_bytes_from_a_neighbour_are_survived(value):
    """A malformed message of one neighbour must not stop a node."""
    message = decode_sync(value)
    node = ConfigSync()
    if message is not None:
        node.receive(message)
    assert message is None or decode_sync(encode_sync(message)) == message
