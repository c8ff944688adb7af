"""Decoding of the platform's messages and settings, valid and damaged."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_adapter.standins import build_document

from mimosaloom_platform.announcements import decode_heartbeat
from mimosaloom_platform.configuration import decode_configuration
from mimosaloom_platform.settings import SettingsError, read_settings

pytestmark = pytest.mark.fuzz

DOCUMENT = build_document(
    7,
    [
        {
            "pathPrefix": "/a/",
            "weightedBackends": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 10},
            ],
        },
        {"pathPrefix": "/b/", "service": "x", "routeType": "non_idempotent"},
    ],
    ["x", "y"],
)
HEARTBEAT = json.dumps(
    {
        "address": "10.1.0.8:8301",
        "info": {"service": "x", "version": "v1", "zone": "z", "slots": 72},
        "status": {"state": "ready", "seq": 4, "coldLeftMs": 0},
    }
).encode()
SETTINGS = """
nodeName = "sidecar-1"
zone = "z"
ip = "10.1.0.8"
portRange = [7620, 7635]
service = "x"
appAddr = "10.1.0.8:8301"
bounds = ["graceS=6", "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetBase=49"]
unknown = 1
[listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
admin = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
"""


def test_configuration_is_decoded():
    """Guards against fields whose values end up in the wrong place."""
    configuration = decode_configuration(DOCUMENT)
    assert configuration.version == 7
    first, second = configuration.routes["h.example"]
    assert first.shares == (("x", 90), ("y", 10))
    assert second.shares == (("x", 1),)
    assert [r.request_class.is_idempotent for r in (first, second)] == [True, False]
    assert first.request_class.timeout_s == 2.0
    assert configuration.services["x"].max_connections == 100


@given(st.data())
def test_damaged_configuration_is_whole_or_nothing(data):
    """Guards against a damaged configuration that raises or is applied in part."""
    cut = data.draw(st.integers(0, len(DOCUMENT)))
    piece = data.draw(st.binary(max_size=4))
    found = decode_configuration(DOCUMENT[:cut] + piece + DOCUMENT[cut + len(piece) :])
    assert found is None or len(found.routes) == 1


@given(st.data())
def test_damaged_heartbeat_names_no_broken_target(data):
    """Guards against a damaged heartbeat that raises or is accepted without slots."""
    cut = data.draw(st.integers(0, len(HEARTBEAT)))
    piece = data.draw(st.binary(max_size=4))
    body = HEARTBEAT[:cut] + piece + HEARTBEAT[cut + len(piece) :]
    found = decode_heartbeat("i-1", body)
    assert found is None or (found.slots >= 1 and found.address.port >= 0)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_other_json_is_no_message(value):
    """Guards against JSON of another shape that raises or is accepted."""
    body = json.dumps(value).encode()
    assert decode_heartbeat("i-1", body) is None
    assert decode_configuration(body) is None


def test_settings_are_read(tmp_path):
    """Guards against swapped addresses and bounds."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.store_url == "http://10.200.1.7:8309"
    assert settings.node.listen.announcements.port == 8306
    assert settings.node.listen.outbound.port == 8304
    assert settings.node.listen.metrics.port == 7620
    assert settings.node.target.port == 8301
    assert settings.node.retry_budget == (0.2, 49.0, 10.0)
    assert settings.node.quota_bounds == (5.0, 0.1, 20.0)


def test_bounds_of_quotas_are_read_beside_entries_that_are_not_numbers(tmp_path):
    """Guards against swapped bounds, and against a node that does not start.

    Entries that the node does not use may have values of any kind.
    """
    path = tmp_path / "local.toml"
    bounds = '"quotaWindowS=4", "quotaOverage=0.25", "quotaSlack=8", "other=false", '
    path.write_text(SETTINGS.replace("bounds = [", f"bounds = [{bounds}"))
    assert read_settings(path).node.quota_bounds == (4.0, 0.25, 8.0)


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('nodeName = "sidecar-1"', "", "nodeName"),
        ('nodeName = "sidecar-1"', "nodeName = 7", "nodeName"),
        ('"graceS=6", ', "", "graceS"),
        ("graceS=6", "graceS=soon", "graceS"),
        ("graceS=6", 'graceS=6", "quotaSlack=true', "quotaSlack"),
        ('"10.1.0.8:8301"', '"10.1.0.8"', "appAddr"),
        ('inbound = "10.1.0.8:8300"', "", "listen"),
        ("[listen]", "[listen", "local.toml"),
    ],
)
def test_error_for_invalid_settings_names_the_field(tmp_path, old, new, field):
    """Guards against a traceback, or an error that does not name the field or file."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(SettingsError, match=field):
        read_settings(path)


def test_missing_settings_file_is_a_settings_error(tmp_path):
    """Guards against a traceback if the file does not exist."""
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "none.toml")
