"""Guards against accepted files with faults, and against unclear fault messages."""

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
DELETE = object()


def with_value(document, path, value):
    """Return a copy in which the value at a path of keys is replaced or deleted."""
    changed = deepcopy(document)
    *parent_keys, last_key = path
    parent = changed
    for key in parent_keys:
        parent = parent[key]
    if value is DELETE:
        del parent[last_key]
    elif isinstance(parent, list) and last_key == len(parent):
        parent.append(value)
    else:
        parent[last_key] = value
    return changed


def write_file(directory, content, name="file.json"):
    """Write bytes, or a value as JSON, to a file and return its path."""
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
def test_unreadable_content_gives_one_fault(tmp_path, name):
    """Guards against decoder exceptions, which operators would see as tracebacks."""
    raw, message = BAD_FILES[name]
    path = write_file(tmp_path, raw)
    for read in (read_settings(path), read_resources([path])):
        (fault,) = read.faults
        assert (fault.file, fault.path) == (str(path), "$")
        assert message in fault.message


def test_missing_file_and_directory_are_faults(tmp_path):
    """Guards against plain system errors, which don't name the file or a fix."""
    read = read_resources([tmp_path / "none.json", tmp_path, "a\0b"])
    messages = [fault.message for fault in read.faults]
    assert messages[0] == "expected a JSON file, but it does not exist; check the path"
    assert messages[1] == "expected a JSON file, got a directory"
    assert len(messages) == 3


BAD_SETTINGS = [
    (("node", "name"), DELETE, "$.node", 'expected the field "name", missing'),
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
    (("resources_file",), None, "$.resources_file", "expected a string, got null"),
    (("a b\x1b",), 1, '$["a b\\u001b"]', "expected one of the fields node, target"),
]


def test_same_port_on_another_host_gives_no_fault(tmp_path):
    """Guards against comparing a listener on 0.0.0.0 with the ports of other hosts."""
    everywhere = with_value(SETTINGS, ("listen", "admin", "host"), "0.0.0.0")
    changed = with_value(
        everywhere, ("log_service", "url"), "http://10.0.0.9:7003/log/"
    )
    read = read_settings(write_file(tmp_path, changed))
    assert read.log_service.url == "http://10.0.0.9:7003/log"
    changed = with_value(everywhere, ("target", "url"), "http://127.0.0.1:7003")
    (fault,) = read_settings(write_file(tmp_path, changed)).faults
    assert "the node's own admin listener" in fault.message
    changed = with_value(everywhere, ("listen", "egress", "port"), 7003)
    (fault,) = read_settings(write_file(tmp_path, changed)).faults
    assert fault.message == "expected a port other than that of egress, got 7003"


@pytest.mark.parametrize(("keys", "value", "path", "message"), BAD_SETTINGS)
def test_bad_setting_gives_its_path_and_the_expected_value(
    tmp_path, keys, value, path, message
):
    """Guards against accepting wrong settings, whose effect shows only under load."""
    read = read_settings(write_file(tmp_path, with_value(SETTINGS, keys, value)))
    assert isinstance(read, Invalid)
    assert [fault.path for fault in read.faults] == [path]
    assert message in read.faults[0].message


BAD_RESOURCES = [
    ((0, "kind"), "Sevice", "[0].kind", 'did you mean "Service"?'),
    ((0, "name"), DELETE, "[0]", 'expected the field "name"'),
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
def test_bad_resource_gives_its_path_and_the_expected_value(
    tmp_path, keys, value, path, message
):
    """Guards against accepting wrong resources, which take effect on every node."""
    resources = with_value(RESOURCES, keys, value)
    read = read_resources([write_file(tmp_path, {"resources": resources})])
    assert isinstance(read, Invalid)
    assert [fault.path for fault in read.faults] == [f"$.resources{path}"]
    assert message in read.faults[0].message


def test_names_in_faults_are_escaped():
    """Guards against names with a newline, which split a fault into two lines.

    Found by fuzzing.
    """
    caller = with_value(RESOURCES, (0, "spec", "calls"), ["a\nb", "billing"])
    resources = with_value(caller, (3, "spec", "path"), ["intake", "few"])
    service = {"kind": "Service", "name": "a\nb", "spec": {"calls": ["a\nb"]}}
    few = {"kind": "Service", "name": "few", "spec": {}}
    faults = check_documents([*resources, service, few], "log").faults
    messages = [fault.message for fault in faults]
    assert 'expected calls without a cycle, got "a\\nb" -> "a\\nb"' in messages
    assert any('calls ("a\\nb", "billing"), got "few"' in text for text in messages)
    assert all(str(fault).isprintable() for fault in faults)


def test_slots_must_exceed_the_number_of_protected_classes():
    """Guards against starving the unprotected classes.

    With only one slot per protected class, no slot is left for the others.
    """
    resources = with_value(RESOURCES, (2, "spec", "slots"), 1)
    resources = with_value(resources, (4, "spec", "path"), ["intake", "billing"])
    (fault,) = check_documents(resources, "log").faults
    assert fault.path == "$.resources[2].spec.slots"
    assert fault.message.startswith("expected at least 2 slots")


def test_all_faults_of_all_files_are_reported_at_once(tmp_path):
    """Guards against reporting one fault per run, so that operators need many runs."""
    services = with_value(RESOURCES[:2], (0, "spec", "cals"), [])
    others = with_value(RESOURCES[2:], (0, "spec", "service"), "payments")
    raw = json.dumps({"resources": others}).replace('"name": "few"', '"name": 1')
    raw = raw.replace('"slots": 35', '"slots": "x", "slots": -1')
    paths = [
        write_file(tmp_path, {"resources": services}, "a.json"),
        write_file(tmp_path, raw.encode(), "b.json"),
    ]
    found = [(Path(f.file).name, f.path) for f in read_resources(paths).faults]
    assert found == [
        ("a.json", "$.resources[0].spec.cals"),
        ("b.json", "$.resources[0].spec.slots"),
        ("b.json", "$.resources[0].spec.slots"),
        ("b.json", "$.resources[3].name"),
        ("b.json", "$.resources[0].spec.service"),
    ]


def test_reference_into_an_unreadable_file_gives_no_fault(tmp_path):
    """Guards against consequential faults, which hide the fault to correct."""
    paths = [
        write_file(tmp_path, b"{", "services.json"),
        write_file(tmp_path, {"resources": RESOURCES[2:]}, "others.json"),
    ]
    assert [Path(f.file).name for f in read_resources(paths).faults] == [
        "services.json"
    ]


def test_files_are_checked_with_the_resources_in_force(tmp_path):
    """A file may refer to resources in force, and must not make them faulty."""
    in_force = with_value(RESOURCES, (0, "spec", "calls"), ["billing", "gone"])
    added = with_value(RESOURCES[2], ("name",), "billing-2") | {
        "revision": 0,
        "status": {},
    }
    changed = with_value(RESOURCES[0], ("spec", "calls"), [])
    path = write_file(tmp_path, {"resources": [added]})
    (document,) = read_resources([path], in_force=in_force)
    assert document == with_value(RESOURCES[2], ("name",), "billing-2") | {
        "revision": 0
    }
    path = write_file(tmp_path, {"resources": [added, changed]})
    (fault,) = read_resources([path], in_force=in_force).faults
    assert fault.file == "RequestClass/issue-fee in force"
    assert fault.path == "$.spec.path[1]"


def test_deletion_reports_only_the_faults_that_it_adds():
    """Guards against faults already in force, which would block every deletion."""
    in_force = with_value(RESOURCES, (0, "spec", "calls"), ["billing", "gone"])
    assert check_change(in_force, in_force[:2] + in_force[3:]) is None
    broken = check_change(in_force, in_force[:1] + in_force[2:])
    assert [fault.file for fault in broken.faults] == [
        "Service/intake in force",
        "Upstream/billing-1 in force",
        "RequestClass/issue-fee in force",
    ]


def list_paths(value, keys=()):
    """Return the paths of all values inside a JSON value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    paths = []
    for key, child in items:
        paths.append((*keys, key))
        if isinstance(child, dict | list):
            paths += list_paths(child, (*keys, key))
    return paths


def read_as_both_kinds(raw):
    """Read the same bytes as settings and as resources."""
    with tempfile.TemporaryDirectory() as directory:
        path = write_file(directory, raw)
        return read_settings(path), read_resources([path])


@pytest.mark.fuzz
@given(raw=st.binary(max_size=200) | json_values.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_give_a_value_or_faults(raw):
    """Guards against exceptions, which operators would see as tracebacks."""
    settings, resources = read_as_both_kinds(raw)
    assert isinstance(settings, Invalid)
    assert settings.faults
    assert isinstance(resources, Invalid | list)


@pytest.mark.fuzz
@given(data=st.data())
def test_any_value_at_any_path_gives_a_value_or_faults(data):
    """Almost valid files reach the checks that involve several resources."""
    document = data.draw(st.sampled_from([SETTINGS, {"resources": RESOURCES}]))
    keys = data.draw(st.sampled_from(list_paths(document)))
    raw = json.dumps(with_value(document, keys, data.draw(json_values))).encode()
    settings, resources = read_as_both_kinds(raw)
    assert isinstance(settings, Invalid | NodeSettings)
    assert isinstance(resources, Invalid | list)
    for read in (settings, resources):
        if isinstance(read, Invalid):
            assert all(str(fault).isprintable() for fault in read.faults)
