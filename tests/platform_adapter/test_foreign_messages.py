"""Heartbeats, records and configurations that other programs have written."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_adapter.test_decoding import DOCUMENT, HEARTBEAT

from mimosaloom_mesh.messages import Request
from mimosaloom_model import Address, ManualClock
from mimosaloom_platform.announcements import (
    build_announcement_handler,
    decode_heartbeat,
    decode_leave_born_ms,
)
from mimosaloom_platform.configuration import decode_configuration
from mimosaloom_relay import Incoming
from mimosaloom_relay.own_target import OwnTarget
from mimosaloom_relay.peers import PeerRecord, decode_record, encode_record

RECORD = PeerRecord(
    name="node-1",
    host="10.1.0.8",
    port=8300,
    failure_domain="z",
    service="x",
    incarnation="node-1-0",
    target_id="i-1",
    slots=72,
    is_available=True,
    target_born_ms=1_700_000_000_000,
)
MESSAGES = {
    "heartbeat": {**json.loads(HEARTBEAT), "born": 1_700_000_000_000},
    "record": json.loads(encode_record(RECORD)),
    "configuration": json.loads(DOCUMENT),
}
DECODERS = {
    "heartbeat": lambda body: decode_heartbeat("i-1", body),
    "record": decode_record,
    "configuration": decode_configuration,
}
# Fields that a message may lack.
OPTIONAL_FIELDS = {
    *("born", "version", "coldLeftMs"),
    *("target_born_ms", "is_leaving", "is_handed_over"),
    *("limits", "maxBodyBytes", "idleTimeoutMs", "healthPath", "maxConns", "sloMs"),
    *("service", "weightedBackends"),
}
VALUES_BY_TYPE = {
    bool: st.booleans(),
    float: st.floats(allow_nan=False, allow_infinity=False),
    int: st.integers(),
    str: st.text(),
    list: st.just([]),
    dict: st.just({}),
    type(None): st.none(),
}
DEEP = b"[" * 100_000


def list_fields(value, path=()):
    """Return the paths of all fields of a message."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for key, inner in items:
        found += [(*path, key)] if isinstance(value, dict) else []
        if isinstance(inner, dict | list):
            found += list_fields(inner, (*path, key))
    return found


def change_field(message, path, change):
    """Return an encoded copy of a message with one field changed in its parent."""
    message = copy.deepcopy(message)
    parent = message
    for key in path[:-1]:
        parent = parent[key]
    change(parent, path[-1])
    return json.dumps(message).encode()


def deliver_heartbeat(body):
    """Send a heartbeat to a node that knows a target; return it and the status."""
    own_target = OwnTarget("x", Address("10.1.0.8", 8301), clock=ManualClock())

    async def spread_leave():
        return None

    handle = build_announcement_handler(
        own_target.apply_heartbeat,
        own_target.mark_leaving,
        spread_leave,
        lambda source: None,
    )
    statuses = []
    for content in (HEARTBEAT, body):
        request = Request("PUT", "/-/instances/i-1", (), content)
        try:
            handle(Incoming(request)).send(None)
        except StopIteration as stop:
            statuses.append(stop.value.response.status)
    return own_target, statuses[1]


@pytest.mark.parametrize("kind", MESSAGES)
def test_message_without_a_required_field_is_ignored(kind):
    """Guards against a target or route that is made up from defaults."""
    message = MESSAGES[kind]
    assert DECODERS[kind](json.dumps(message).encode()) is not None
    for path in list_fields(message):
        if path[-1] not in OPTIONAL_FIELDS:
            body = change_field(message, path, lambda parent, key: parent.pop(key))
            assert DECODERS[kind](body) is None, path


@pytest.mark.fuzz
@pytest.mark.parametrize("kind", MESSAGES)
@given(data=st.data())
def test_field_of_another_type_is_ignored(kind, data):
    """Guards against a message that raises, or whose field is read as another type."""
    message = MESSAGES[kind]
    path = data.draw(st.sampled_from(list_fields(message)))
    old = message
    for key in path:
        old = old[key]
    is_allowed = {type(old)}
    # Times and weights may have fractions, and a route may name no single service.
    fractions = ("weight", "timeoutMs", "sloMs", "idleTimeoutMs", "coldLeftMs")
    is_allowed |= {float} if path[-1] in fractions else set()
    is_allowed |= {type(None)} if path[-1] == "service" and "vhosts" in path else set()
    others = [kind for kind in VALUES_BY_TYPE if kind not in is_allowed]
    value = data.draw(st.sampled_from(others).flatmap(VALUES_BY_TYPE.get))
    body = change_field(
        message, path, lambda parent, key: parent.__setitem__(key, value)
    )
    assert DECODERS[kind](body) is None


@pytest.mark.fuzz
@given(st.binary() | st.just(DEEP) | st.just(b'{"x":' + DEEP))
def test_undecodable_bytes_are_ignored(body):
    """Guards against bytes that raise an error in the task that reads messages."""
    for decode in (*DECODERS.values(), decode_leave_born_ms):
        assert decode(body) is None


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("info", "slots"), 0),
        (("info", "slots"), -1),
        (("info", "slots"), 10**6),
        (("info", "slots"), 10**30),
        (("info", "slots"), 72.0),
        (("info", "service"), "unknown"),
        (("status", "state"), "unknown"),
        (("status", "seq"), True),
        (("born",), 1.5),
        (("born",), 10**30),
        (("address",), "10.1.0.8"),
        (("address",), f"10.1.0.8:{'9' * 5000}"),
        (("address",), "10.1.0.8:-8301"),
        (("address",), "10.1.0.9:8301"),
    ],
)
def test_foreign_heartbeat_leaves_the_known_target(path, value):
    """Guards against a heartbeat that replaces the target, or fails midway."""
    message = copy.deepcopy(MESSAGES["heartbeat"])
    message["status"]["seq"] += 1
    body = change_field(
        message, path, lambda parent, key: parent.__setitem__(key, value)
    )
    own_target, status = deliver_heartbeat(body)
    assert status == 400
    assert own_target.announcement == decode_heartbeat("i-1", HEARTBEAT)
    assert own_target.is_available


def test_deeply_nested_heartbeat_leaves_the_known_target():
    """Guards against unknown content that exceeds the recursion limit."""
    own_target, status = deliver_heartbeat(HEARTBEAT[:-1] + b',"x":' + DEEP)
    assert status == 400
    assert own_target.is_available


@pytest.mark.parametrize(
    "fields",
    [
        {"name": ""},
        {"host": ""},
        {"port": 0},
        {"port": 65536},
        {"port": 8300.0},
        {"slots": 0},
        {"slots": -1},
        {"slots": 10**30},
        {"target_id": ""},
        {"target_born_ms": 10**30},
    ],
)
def test_record_that_names_no_usable_target_is_ignored(fields):
    """Guards against an upstream that can't be connected to or runs no calls."""
    body = json.dumps({**MESSAGES["record"], **fields}).encode()
    assert decode_record(body) is None


def test_weights_without_a_finite_sum_are_ignored():
    """Guards against shares that are not numbers."""
    message = copy.deepcopy(MESSAGES["configuration"])
    for share in message["vhosts"][0]["paths"][0]["weightedBackends"]:
        share["weight"] = 1e308
    assert decode_configuration(json.dumps(message).encode()) is None
