"""Tests that all nodes replay the same configuration and never revert it."""

# ruff: noqa: D102 - the names of the rules and of the replay variants are descriptive

import random
from typing import ClassVar

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mimosaloom_control import (
    BadRecord,
    ConfigRecord,
    Effect,
    Outcome,
    Replay,
    Resource,
    SnapshotAssembler,
    choose_snapshot,
    decode_record,
    decode_snapshot,
    encode_record,
    encode_snapshot,
    replay_records,
    split_snapshot,
)

ID_WINDOW = 6
NODE_INDEXES = st.integers(0, 2)
BAD_VALUES = [b"x", b"{}", b"[" * 2000, b'{"id":""}', b" " * 70_000]


def replay_naively(log):
    """Replay a log from offset zero without ever dropping an id."""
    resources, outcomes = {}, {}
    for offset, value in enumerate(log):
        record = decode_record(value)
        if isinstance(record, BadRecord) or record.base_offset > offset:
            continue
        if record.id in outcomes:
            continue
        key = (record.kind, record.name)
        revision = resources[key].revision if key in resources else 0
        if record.base_offset < offset - ID_WINDOW:
            outcomes[record.id] = Outcome(Effect.STALE, offset, revision)
        elif record.expected_revision != revision:
            outcomes[record.id] = Outcome(Effect.CONFLICT, offset, revision)
        elif record.spec is None:
            resources.pop(key, None)
            outcomes[record.id] = Outcome(Effect.ACCEPTED, offset, 0)
        else:
            resources[key] = Resource(offset + 1, record.spec)
            outcomes[record.id] = Outcome(Effect.ACCEPTED, offset, offset + 1)
    return resources, outcomes


class ConfigMachine(RuleBasedStateMachine):
    """Model of operators, nodes and the log.

    The oldest records of the log expire. Nodes read, pause while they write snapshots,
    and restart.

    Attributes:
        log: All records ever appended.
        composed: Records that operators have written, appended or not.
        first_offset: Offset of the oldest record that the log still holds.
        snapshots: Snapshots in the snapshot stream.
        delayed_snapshots: Snapshots of writers that are paused.
        nodes: Replay of each node.
        lowest_offsets: Offset below which each node must not return.
    """

    replay_type: ClassVar = Replay
    decode: ClassVar = staticmethod(decode_snapshot)

    def __init__(self):
        super().__init__()
        self.log, self.composed, self.first_offset = [], [], 0
        self.snapshots, self.delayed_snapshots = [], []
        self.nodes = [self.replay_type(id_window=ID_WINDOW) for _ in range(3)]
        self.lowest_offsets = [0, 0, 0]

    @rule(node=NODE_INDEXES, name=st.sampled_from("ab"), is_deletion=st.booleans())
    def compose(self, node, name, is_deletion):
        replay = self.nodes[node]
        current = replay.resources.get(("Service", name))
        record = ConfigRecord(
            id=f"r{len(self.log)}-{len(self.composed)}-{node}",
            kind="Service",
            name=name,
            expected_revision=current.revision if current else 0,
            base_offset=replay.next_offset,
            spec=None if is_deletion else {"by": node},
        )
        self.composed.append(encode_record(record))

    @rule(index=st.integers(0, 20), copies=st.integers(1, 2))
    def append(self, index, copies):
        """Append a composed record; writers may append it again at any later time."""
        if self.composed:
            self.log.extend([self.composed[index % len(self.composed)]] * copies)

    @rule(value=st.sampled_from(BAD_VALUES))
    def append_bad(self, value):
        self.log.append(value)

    @rule(node=NODE_INDEXES, first=st.integers(0, 30), count=st.integers(1, 8))
    def read(self, node, first, count):
        """Read from any offset, which may be below or above that of the node."""
        replay = self.nodes[node]
        first = max(self.first_offset, min(first, replay.next_offset + 1))
        for offset in range(first, min(len(self.log), first + count)):
            replay.apply(offset, self.log[offset])

    @rule(node=NODE_INDEXES)
    def read_all(self, node):
        self.read(node, self.nodes[node].next_offset, len(self.log))

    @rule(node=NODE_INDEXES)
    def restart(self, node):
        self.nodes[node] = self.replay_type(id_window=ID_WINDOW)
        self.lowest_offsets[node] = 0
        state = choose_snapshot(self.snapshots, self.first_offset)
        if state:
            self.nodes[node].adopt(state)

    @rule(node=NODE_INDEXES, is_paused=st.booleans())
    def write_snapshot(self, node, is_paused):
        stream = self.delayed_snapshots if is_paused else self.snapshots
        stream.append(encode_snapshot(self.nodes[node]))

    @rule(is_twice=st.booleans())
    def resume_writer(self, is_twice):
        if self.delayed_snapshots:
            self.snapshots.extend([self.delayed_snapshots.pop(0)] * (1 + is_twice))

    @rule(count=st.integers(1, 10))
    def truncate(self, count):
        state = choose_snapshot(self.snapshots, self.first_offset)
        if state:
            self.first_offset = min(self.first_offset + count, state.next_offset)

    @rule(node=NODE_INDEXES, peer=NODE_INDEXES, seed=st.integers(0, 99))
    def adopt_from_peer(self, node, peer, seed):
        """Adopt the snapshot of a peer, which an odd seed damages in transit."""
        value = encode_snapshot(self.nodes[peer])
        if seed % 2:
            index = value.index(b"[") + 1
            value = value[:index] + b"9" + value[index:]
        state = self.decode(value)
        if state:
            self.nodes[node].adopt(state)

    @invariant()
    def no_node_reverts(self):
        for number, replay in enumerate(self.nodes):
            assert replay.next_offset >= self.lowest_offsets[number]
            self.lowest_offsets[number] = replay.next_offset

    @invariant()
    def each_state_depends_only_on_the_records_read(self):
        for replay in self.nodes:
            offset = replay.next_offset
            assert offset <= len(self.log)
            resources, outcomes = replay_naively(self.log[:offset])
            assert replay.resources == resources
            for record_id, outcome in outcomes.items():
                if outcome.offset >= offset - ID_WINDOW:
                    assert replay.outcome_of(record_id) == outcome
            assert len(replay.state().seen_records) <= ID_WINDOW + 1

    @invariant()
    def nodes_at_the_same_offset_hold_the_same_state(self):
        states = [replay.state() for replay in self.nodes]
        for state in states:
            same = [s for s in states if s.next_offset == state.next_offset]
            assert all(encode_state(s) == encode_state(state) for s in same)


def encode_state(state):
    """Encode a state in its canonical form."""
    return msgspec.json.encode(state, order="deterministic")


class LastWriterWins(Replay):
    """Broken: accepts a change that was made against an older revision."""

    def _apply_change(self, offset, record):
        current = self._resources.get((record.kind, record.name))
        revision = current.revision if current else 0
        changed = msgspec.structs.replace(record, expected_revision=revision)
        return super()._apply_change(offset, changed)


class IdsExpireTooEarly(Replay):
    """Broken: drops ids although copies of their records are not stale yet."""

    def _expire_ids(self):
        self._seen_ids.clear()
        self._outcomes.clear()


class AdoptsLowerOffset(Replay):
    """Broken: continues from a snapshot with a lower offset."""

    def adopt(self, state):
        self._next_offset = 0
        return super().adopt(state)


class IgnoresGap(Replay):
    """Broken: continues after missing records."""

    def apply(self, offset, value):
        self._next_offset = max(self._next_offset, offset)
        return super().apply(offset, value)


def decode_unchecked(value):
    """Broken: decodes a snapshot without checking its digest."""
    state = msgspec.json.decode(value)["state"]
    return msgspec.convert(state, type(Replay().state()))


def make_machine(replay_class, decoder=decode_snapshot):
    """Return the state machine with another replay or snapshot decoder."""

    class Machine(ConfigMachine):
        replay_type = replay_class
        decode = staticmethod(decoder)

    return Machine


TestReplay = ConfigMachine.TestCase
TestReplay.settings = settings(max_examples=80, stateful_step_count=40)


@pytest.mark.parametrize(
    "machine",
    [
        make_machine(LastWriterWins),
        make_machine(IdsExpireTooEarly),
        make_machine(AdoptsLowerOffset),
        make_machine(IgnoresGap),
        make_machine(Replay, decode_unchecked),
    ],
)
def test_the_machine_rejects_broken_replays(machine):
    """Verifies that the state machine detects each kind of broken replay."""
    broken = settings(max_examples=400, stateful_step_count=40, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=broken)


def test_a_deleted_resource_is_not_created_again_by_a_late_copy():
    """Guards against a deleted resource that comes back.

    This happened when the record that created it was appended a second time.
    """
    replay = Replay(id_window=2)
    create = {"id": "c", "kind": "Service", "name": "a", "spec": {}}
    create |= {"expected_revision": 0, "base_offset": 0}
    delete = create | {"id": "d", "spec": None, "expected_revision": 1}
    values = [create, delete, create, *[b"x"] * 3, create]
    encoded = [v if v == b"x" else msgspec.json.encode(v) for v in values]
    effects = [replay.apply(offset, value) for offset, value in enumerate(encoded)]
    assert effects[2] is Effect.DUPLICATE
    assert effects[6] is Effect.STALE
    assert replay.resources == {}
    assert replay.bad_records == {"not_json": 3}


@pytest.mark.fuzz
@given(st.dictionaries(st.text(max_size=5), st.integers() | st.text(max_size=9)))
def test_fields_of_a_newer_version_survive(fields):
    """Guards against an old node that drops a field set by a newer version.

    It would undo a part of the change that the newer version made.
    """
    known = {"id": "i", "kind": "Service", "name": "a", "spec": {"new": [1, None]}}
    known |= {"expected_revision": 0, "base_offset": 3}
    value = msgspec.json.encode(fields | known)
    record = decode_record(value)
    if not isinstance(record, BadRecord):
        encoded = msgspec.json.decode(encode_record(record))
        assert encoded.items() >= msgspec.json.decode(value).items()
    else:
        assert {"author", "time_ms"} & set(fields)


@pytest.mark.fuzz
@given(st.binary(max_size=200))
def test_any_bytes_are_applied_or_skipped(value):
    """Guards against a bad record that stops the replay on all nodes."""
    replay = replay_records(enumerate([value, value]))
    assert replay.next_offset == 2
    damaged = bytearray(encode_snapshot(replay))
    damaged[random.Random(len(value)).randrange(len(damaged))] ^= 1
    assert decode_snapshot(bytes(damaged)) is None


@given(st.integers(0, 60), st.integers(1, 90), st.randoms(), st.binary(max_size=9))
def test_snapshots_are_assembled_from_parts_in_any_order(count, size, rng, noise):
    """Two writers, one of which was paused, mix their parts in one stream."""
    replay = replay_records(enumerate([b"x%d" % n for n in range(count)]))
    first = encode_snapshot(replay)
    replay.apply(count, b"y")
    second = encode_snapshot(replay)
    parts = split_snapshot(first, max_bytes=size) * 2
    parts += [*split_snapshot(second, max_bytes=size), noise]
    rng.shuffle(parts)
    collector = SnapshotAssembler()
    values = {collector.add(part) for part in parts}
    assert values - {None} == {first, second}


@pytest.mark.parametrize("levels", [31, 32, 33, 5000])
def test_the_nesting_limit_does_not_depend_on_the_stack_of_the_caller(levels):
    """Guards against nodes that disagree whether a deeply nested record is valid.

    The recursion limit of the interpreter caused this: it depends on the stack depth
    at which the decoder is called.
    """
    spec = b'{"a[":' * (levels - 1) + b'"]\\"[["' + b"}" * (levels - 1)
    value = b'{"id":"i","kind":"Service","name":"a","expected_revision":0,'
    value += b'"base_offset":0,"spec":' + spec + b"}"

    def apply(depth):
        return apply(depth - 1) if depth else Replay().apply(0, value)

    expected = Effect.ACCEPTED if levels <= 32 else Effect.BAD
    assert apply(0) is apply(800) is expected
