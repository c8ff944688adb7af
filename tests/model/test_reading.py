"""Guards against files that are taken with faults, or refused without a clear one."""

import json
import tempfile
from copy import deepcopy
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from model.strategies import json_values

from mimosaloom_model import (
    Invalid,
    NodeSettings,
    check_change,
    check_documents,
    read_resources,
    read_settings,
)

EXAMPLES = Path(__file__).parents[2] / "examples" / "water"
SETTINGS = json.loads((EXAMPLES / "node-billing-1.json").read_text("utf-8"))
RESOURCES = [
    {"kind": "Service", "name": "intake", "spec": {"calls": ["billing"]}},
    {"kind": "Service", "name": "billing", "spec": {}},
    {
        "kind": "Upstream",
        "name": "billing-1",
        "spec": {
            "service": "billing",
            "failure_domain": "a",
            "slots": 35,
            "max_connections": 300,
        },
    },
    {
        "kind": "RequestClass",
        "name": "issue-fee",
        "spec": {
            "entry_service": "intake",
            "priority": 1,
            "is_idempotent": False,
            "timeout_s": 2,
            "path": ["intake", "billing"],
        },
    },
    {
        "kind": "RequestClass",
        "name": "register",
        "spec": {
            "entry_service": "intake",
            "priority": 0,
            "is_idempotent": False,
            "is_protected": True,
            "path": ["intake"],
        },
    },
    {"kind": "RetryAllowance", "name": "few", "spec": {"retries_per_request": 1}},
]
MISSING = object()


def change(document, path, value):
    """Return a copy in which the value at a path of keys is set or taken out."""
    changed = deepcopy(document)
    *above, last = path
    place = changed
    for key in above:
        place = place[key]
    if value is MISSING:
        del place[last]
    elif isinstance(place, list) and last == len(place):
        place.append(value)
    else:
        place[last] = value
    return changed


def write(directory, content, name="file.json"):
    """Write bytes or a JSON value to a file and return its path."""
    path = Path(directory) / name
    is_raw = isinstance(content, bytes)
    path.write_bytes(content if is_raw else json.dumps(content).encode())
    return path


BAD_FILES = {
    "empty": (b" \n", "the file is empty"),
    "not JSON": (b'{"a": }', "expected JSON: Expecting value at line 1 column 7"),
    "invalid UTF-8": (
        b'{"a": "\xff"}',
        "expected UTF-8 text: invalid byte at offset 7",
    ),
    "byte order mark": (b"\xef\xbb\xbf{}", "expected UTF-8 without a byte order mark"),
    "deep": (b"[" * 40 + b"]" * 40, "expected at most 32 levels of nesting"),
    "too deep to decode": (b"[" * 100_000, "expected at most 32 levels of nesting"),
    "array": (b"[]", "expected an object, got an array"),
}


@pytest.mark.parametrize("name", BAD_FILES)
def test_unreadable_content_is_one_fault(tmp_path, name):
    """An exception of the decoder would reach the operator as a traceback."""
    raw, message = BAD_FILES[name]
    path = write(tmp_path, raw)
    for read in (read_settings(path), read_resources([path])):
        (fault,) = read.faults
        assert (fault.file, fault.path) == (str(path), "$")
        assert message in fault.message


def test_missing_file_and_directory_are_faults(tmp_path):
    """The system's own message would not name the file or what to do."""
    read = read_resources([tmp_path / "none.json", tmp_path, "a\0b"])
    messages = [fault.message for fault in read.faults]
    assert messages[0] == "expected a JSON file, but it does not exist; check the path"
    assert messages[1] == "expected a JSON file, got a directory"
    assert len(messages) == 3


BAD_SETTINGS = [
    (("node", "name"), MISSING, "$.node", 'expected the field "name", missing'),
    (("node", "name"), "Node 1", "$.node.name", "a name of 1 to 63 lower-case"),
    (("node", "name"), "node\n", "$.node.name", 'got "node\\n"'),
    (
        ("log_service", "timeout_ms"),
        2,
        "$.log_service.timeout_ms",
        'expected one of the fields url, poll_interval_s, timeout_s; did you mean "tim',
    ),
    (("log_service", "timeout_s"), -1, "$.log_service.timeout_s", "from 0.01 to 600"),
    (("log_service", "timeout_s"), "2", "$.log_service.timeout_s", "a finite number"),
    (("log_service", "timeout_s"), float("nan"), "$.log_service.timeout_s", "a finite"),
    (("log_service", "timeout_s"), True, "$.log_service.timeout_s", "got true"),
    (("limits", "queue_capacity"), 10**400, "$.limits.queue_capacity", "an integer"),
    (("limits", "queue_capacity"), 2.0, "$.limits.queue_capacity", "an integer from 1"),
    (("listen", "ingress", "port"), 65536, "$.listen.ingress.port", "from 0 to 65535"),
    (("listen", "ingress", "host"), "web", "$.listen.ingress.host", "an IP address"),
    (("listen", "ingress", "host"), "0.0.0.0", "$.listen.ingress.host", "announced"),
    (("listen", "egress", "host"), "10.0.0.1", "$.listen.egress.host", "a loopback"),
    (("listen", "admin", "port"), 7004, "$.listen.control.port", "other than that of"),
    (("target", "url"), "http://db:1", "$.target.url", "URL with an IP address"),
    (("target", "url"), "ftp://127.0.0.1", "$.target.url", "an http:// or https://"),
    (("target", "url"), "http://[::1", "$.target.url", "an http:// or https://"),
    (("target", "url"), "http://127.0.0.1:7002", "$.target.url", "own egress listener"),
    (("target", "url"), "http://127.0.0.1:7001", "$.target.url", "own ingress"),
    (("listen", "egress", "port"), 7001, "$.listen.egress.port", "that of ingress"),
    (("resources_file",), None, "$.resources_file", "expected a text, got null"),
    (("a b\x1b",), 1, '$["a b\\u001b"]', "expected one of the fields node, target"),
]


def test_port_of_another_host_is_no_fault(tmp_path):
    """A listener on all addresses says nothing about the ports of other hosts."""
    everywhere = change(SETTINGS, ("listen", "admin", "host"), "0.0.0.0")
    changed = change(everywhere, ("log_service", "url"), "http://10.0.0.9:7003/log/")
    read = read_settings(write(tmp_path, changed))
    assert read.log_service.url == "http://10.0.0.9:7003/log"
    changed = change(everywhere, ("target", "url"), "http://127.0.0.1:7003")
    (fault,) = read_settings(write(tmp_path, changed)).faults
    assert "the node's own admin listener" in fault.message
    changed = change(everywhere, ("listen", "egress", "port"), 7003)
    (fault,) = read_settings(write(tmp_path, changed)).faults
    assert fault.message == "expected a port other than that of egress, got 7003"


@pytest.mark.parametrize(("keys", "value", "path", "message"), BAD_SETTINGS)
def test_bad_setting_gives_its_path_and_what_was_expected(
    tmp_path, keys, value, path, message
):
    """A setting that is taken although wrong shows only under load."""
    read = read_settings(write(tmp_path, change(SETTINGS, keys, value)))
    assert isinstance(read, Invalid)
    assert [fault.path for fault in read.faults] == [path]
    assert message in read.faults[0].message


BAD_RESOURCES = [
    ((0, "kind"), "Sevice", "[0].kind", 'did you mean "Service"?'),
    ((0, "name"), MISSING, "[0]", 'expected the field "name"'),
    ((0, "spec"), [], "[0].spec", "expected an object, got an array"),
    ((0, "spec", "calls"), ["billing"] * 2, "[0].spec.calls", "each item once"),
    (
        (1, "spec", "calls"),
        ["intake"],
        "[0].spec.calls[0]",
        '"billing" -> "intake"',
    ),
    ((1, "spec", "calls"), ["billing"], "[1].spec.calls[0]", '"billing" -> "billing"'),
    ((2, "spec", "service"), "biling", "[2].spec.service", 'did you mean "billing"?'),
    ((2, "spec", "slots"), 0, "[2].spec.slots", "an integer from 1 to 100000, got 0"),
    ((2, "spec", "slots"), 1e400, "[2].spec.slots", "an integer from 1 to 100000"),
    ((3, "spec", "priority"), 8, "[3].spec.priority", "an integer from 0 to 7, got 8"),
    ((3, "spec", "timeout_s"), 0, "[3].spec.timeout_s", "from 0.001 to 3600, got 0"),
    ((3, "spec", "retry_allowance"), "fwe", "[3].spec.retry_allowance", '"few"?'),
    ((3, "spec", "path"), [], "[3].spec.path", "expected at least 1 item, got an"),
    ((3, "spec", "path"), ["billing"], "[3].spec.path[0]", 'service "intake" first'),
    (
        (3, "spec", "path"),
        ["intake", "billing", "intake"],
        "[3].spec.path[2]",
        "makes a call cycle",
    ),
    (
        (0, "spec", "calls"),
        [],
        "[3].spec.path[1]",
        'a service that "intake" calls (none), got "billing"',
    ),
    ((4, "spec", "priority"), 2, "[4].spec.priority", "expected at most 1, the pri"),
    ((4, "spec", "protected"), True, "[4].spec.protected", '"is_protected"?'),
    ((5, "spec", "retries_per_request"), 17, "[5].spec.retries_per_request", "0 to 16"),
    ((6,), RESOURCES[1], "[6].name", 'Service "billing" is already declared in'),
]


@pytest.mark.parametrize(("keys", "value", "path", "message"), BAD_RESOURCES)
def test_bad_resource_gives_its_path_and_what_was_expected(
    tmp_path, keys, value, path, message
):
    """A resource that is taken although wrong is in force on every node."""
    resources = change(RESOURCES, keys, value)
    read = read_resources([write(tmp_path, {"resources": resources})])
    assert isinstance(read, Invalid)
    assert [fault.path for fault in read.faults] == [f"$.resources{path}"]
    assert message in read.faults[0].message


def test_names_in_faults_are_escaped():
    """Found by fuzzing: a name with a newline broke a fault into two lines."""
    caller = change(RESOURCES, (0, "spec", "calls"), ["a\nb", "billing"])
    resources = change(caller, (3, "spec", "path"), ["intake", "few"])
    service = {"kind": "Service", "name": "a\nb", "spec": {"calls": ["a\nb"]}}
    few = {"kind": "Service", "name": "few", "spec": {}}
    faults = check_documents([*resources, service, few], "log").faults
    messages = [fault.message for fault in faults]
    assert 'expected calls without a cycle, got "a\\nb" -> "a\\nb"' in messages
    assert any('calls ("a\\nb", "billing"), got "few"' in text for text in messages)
    assert all(str(fault).isprintable() for fault in faults)


def test_slots_must_hold_a_share_for_each_protected_class():
    """With one slot per protected class alone, all others would never run."""
    resources = change(RESOURCES, (2, "spec", "slots"), 1)
    resources = change(resources, (4, "spec", "path"), ["intake", "billing"])
    (fault,) = check_documents(resources, "log").faults
    assert fault.path == "$.resources[2].spec.slots"
    assert fault.message.startswith("expected at least 2 slots")


def test_all_faults_of_all_files_come_in_one_run(tmp_path):
    """An operator who sees one fault at a time needs a run for each."""
    services = change(RESOURCES[:2], (0, "spec", "cals"), [])
    others = change(RESOURCES[2:], (0, "spec", "service"), "payments")
    raw = json.dumps({"resources": others}).replace('"name": "few"', '"name": 1')
    raw = raw.replace('"slots": 35', '"slots": "x", "slots": -1')
    paths = [
        write(tmp_path, {"resources": services}, "a.json"),
        write(tmp_path, raw.encode(), "b.json"),
    ]
    found = [(Path(f.file).name, f.path) for f in read_resources(paths).faults]
    assert found == [
        ("a.json", "$.resources[0].spec.cals"),
        ("b.json", "$.resources[0].spec.slots"),
        ("b.json", "$.resources[0].spec.slots"),
        ("b.json", "$.resources[3].name"),
        ("b.json", "$.resources[0].spec.service"),
    ]


def test_reference_into_an_unreadable_file_is_no_fault(tmp_path):
    """Faults that follow from another one hide the one to correct."""
    paths = [
        write(tmp_path, b"{", "services.json"),
        write(tmp_path, {"resources": RESOURCES[2:]}, "others.json"),
    ]
    assert [Path(f.file).name for f in read_resources(paths).faults] == [
        "services.json"
    ]


def test_files_are_checked_with_the_resources_in_force(tmp_path):
    """A file may use what is in force, and must not break it."""
    in_force = change(RESOURCES, (0, "spec", "calls"), ["billing", "gone"])
    added = change(RESOURCES[2], ("name",), "billing-2") | {"revision": 0, "status": {}}
    changed = change(RESOURCES[0], ("spec", "calls"), [])
    path = write(tmp_path, {"resources": [added]})
    (document,) = read_resources([path], in_force=in_force)
    assert document == change(RESOURCES[2], ("name",), "billing-2") | {"revision": 0}
    path = write(tmp_path, {"resources": [added, changed]})
    (fault,) = read_resources([path], in_force=in_force).faults
    assert fault.file == "RequestClass/issue-fee in force"
    assert fault.path == "$.spec.path[1]"


def test_deletion_is_checked_for_what_it_breaks():
    """A fault that is in force already must not keep operators from a deletion."""
    in_force = change(RESOURCES, (0, "spec", "calls"), ["billing", "gone"])
    assert check_change(in_force, in_force[:2] + in_force[3:]) is None
    broken = check_change(in_force, in_force[:1] + in_force[2:])
    assert [fault.file for fault in broken.faults] == [
        "Service/intake in force",
        "Upstream/billing-1 in force",
        "RequestClass/issue-fee in force",
    ]


def list_places(value, keys=()):
    """Return the paths of all values below a JSON value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    places = []
    for key, below in items:
        places.append((*keys, key))
        if isinstance(below, dict | list):
            places += list_places(below, (*keys, key))
    return places


def read_both(raw):
    """Read the same bytes as settings and as resources."""
    with tempfile.TemporaryDirectory() as directory:
        path = write(directory, raw)
        return read_settings(path), read_resources([path])


@pytest.mark.fuzz
@given(raw=st.binary(max_size=200) | json_values.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_give_a_value_or_faults(raw):
    """Any other exception would reach the operator as a traceback."""
    settings, resources = read_both(raw)
    assert isinstance(settings, Invalid)
    assert settings.faults
    assert isinstance(resources, Invalid | list)


@pytest.mark.fuzz
@given(data=st.data())
def test_any_value_at_any_place_gives_a_value_or_faults(data):
    """Files that are nearly right reach the checks across resources."""
    document = data.draw(st.sampled_from([SETTINGS, {"resources": RESOURCES}]))
    keys = data.draw(st.sampled_from(list_places(document)))
    raw = json.dumps(change(document, keys, data.draw(json_values))).encode()
    settings, resources = read_both(raw)
    assert isinstance(settings, Invalid | NodeSettings)
    assert isinstance(resources, Invalid | list)
    for read in (settings, resources):
        if isinstance(read, Invalid):
            assert all(str(fault).isprintable() for fault in read.faults)
