"""Finding the organisation of a request by its key."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_model import ErrorKind
from mimosaloom_relay import Organisation, OrganisationDirectory, digest_key
from mimosaloom_relay.organisations import explain_missing_organisation

CLINIC = Organisation("clinic", priority=1)
DIRECTORY = OrganisationDirectory(
    {digest_key("key-1"): CLINIC, digest_key("key-2"): CLINIC}
)


def find(*values):
    """Return the credential of a request with these credentials headers."""
    return DIRECTORY.find(tuple(("authorization", value) for value in values))


@pytest.mark.parametrize(
    "value", ["Bearer key-1", "bearer key-2", "Bearer   key-1", " Bearer key-1 "]
)
def test_known_key_names_its_organisation(value):
    """Guards against a valid key that is refused for its spacing or its case."""
    assert find(value).organisation == CLINIC


@pytest.mark.parametrize(
    "value",
    [
        "",
        "Bearer",
        "Bearer ",
        "Basic key-1",
        "key-1",
        "Bearer key-1 key-2",
        "Bearer KEY-1",
        "Bearer key-1\xff",
        "Bearer " + "k" * 65536,
    ],
)
def test_other_credentials_name_none(value):
    """Guards against a key that is accepted in part, or by another scheme."""
    found = find(value)
    assert found.organisation is None
    assert found.is_present


def test_several_headers_name_none():
    """Guards against a second header that another server would read instead."""
    assert find("Bearer key-1", "Bearer key-2").organisation is None
    assert find("Bearer key-1", "").organisation is None
    assert not find().is_present


@given(st.text(st.characters(max_codepoint=255)))
def test_any_value_is_read_without_an_error(value):
    """Guards against a header value that raises."""
    assert find(value).organisation in (None, CLINIC)


def test_directory_keeps_no_key():
    """Guards against keys that can be read from the state of a node."""
    assert "key-1" not in repr(vars(DIRECTORY))


def test_call_without_a_known_parent_may_be_sent_again():
    """Guards against a final answer to a proper call after a restart of its node."""
    without, unknown = find(), find("Bearer other")
    assert explain_missing_organisation(without, "id.1") is ErrorKind.UNKNOWN_PARENT
    assert explain_missing_organisation(without, "id") is ErrorKind.UNKNOWN_CREDENTIAL
    assert explain_missing_organisation(unknown, "id.1") is ErrorKind.UNKNOWN_CREDENTIAL
