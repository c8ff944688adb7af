"""Guards against invalid headers that the decoder accepts."""

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st
from model.strategies import json_values

from mimosaloom_model import (
    MAX_CONTEXT_BYTES,
    AnswerMetadata,
    CallContext,
    ContextError,
    Ran,
    decode_answer_metadata,
    decode_context,
    encode_answer_metadata,
    encode_context,
)

CONTEXT = {
    "v": 1,
    "request_id": "0f" * 16,
    "call_id": "a.1",
    "class_name": "issue-fee",
    "attempt": 1,
    "depth": 0,
    "remaining_ms": 500,
    "retries": 3,
}
METADATA = {"call_id": "a.1", "attempt": 1, "ran": "no", "level": 0.5}
DECODERS = [
    (decode_context, CallContext, CONTEXT),
    (decode_answer_metadata, AnswerMetadata, METADATA),
]


@pytest.mark.fuzz
@pytest.mark.parametrize(("decode", "result_type", "_example"), DECODERS)
@given(raw=st.binary(max_size=64) | st.integers(0, 9000).map(lambda n: b"[" * n))
def test_any_bytes_decode_or_give_a_context_error(decode, result_type, _example, raw):
    """Guards against other exceptions, which end in a lost connection, not in a 400."""
    with suppress(ContextError):
        assert isinstance(decode(raw.decode("latin-1")), result_type)


@pytest.mark.fuzz
@pytest.mark.parametrize(("decode", "result_type", "example"), DECODERS)
@given(data=st.data())
def test_any_field_value_decodes_or_gives_a_context_error(
    decode, result_type, example, data
):
    """Almost valid headers reach field checks that random bytes don't reach."""
    field = data.draw(st.sampled_from(sorted(example)))
    text = json.dumps({**example, field: data.draw(json_values)})
    with suppress(ContextError):
        assert isinstance(decode(text), result_type)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("request_id", "0f" * 16 + "\n"),
        ("request_id", "0F" * 16),
        ("call_id", "a\n"),
        ("call_id", "a" * 65),
        ("class_name", "issue-fee\n"),
        ("class_name", ""),
        ("attempt", 0),
        ("attempt", 65),
        ("depth", -1),
        ("remaining_ms", -1),
        ("remaining_ms", 3_600_001),
        ("remaining_ms", True),
        ("retries", 17),
        ("retries", None),
        ("v", 0),
    ],
)
def test_context_field_out_of_range_is_rejected(field, value):
    """Guards against header injection by newlines, and against excessive retries."""
    with pytest.raises(ContextError):
        decode_context(json.dumps({**CONTEXT, field: value}))


@pytest.mark.parametrize(
    ("field", "value"),
    [("ran", "perhaps"), ("level", 1.1), ("kind", "bad\nkind"), ("digest", "zz")],
)
def test_answer_field_out_of_range_is_rejected(field, value):
    """Guards against reading an unknown value of `ran` as "not run"."""
    with pytest.raises(ContextError):
        decode_answer_metadata(json.dumps({**METADATA, field: value}))


def test_limit_counts_bytes_and_unknown_fields_are_accepted():
    """Guards against a limit in characters, which allows up to four times the bytes."""
    filler = MAX_CONTEXT_BYTES - len(json.dumps({**CONTEXT, "x": ""}))
    accepted = json.dumps({**CONTEXT, "x": "a" * filler})
    assert decode_context(accepted).class_name == "issue-fee"
    with pytest.raises(ContextError, match="over 1024 bytes"):
        decode_context(json.dumps({**CONTEXT, "x": "é" * filler}, ensure_ascii=False))


def test_headers_survive_a_round_trip():
    """Guards against a field that is not encoded and so decodes to its default."""
    context = CallContext("0f" * 16, "a.1", "issue-fee", 500, 2, 3, 4)
    assert decode_context(encode_context(context)) == context
    metadata = AnswerMetadata(
        "a.1", 2, "overloaded", Ran.NO, 9, 1, 0.5, "i-1", True, "0f"
    )
    assert decode_answer_metadata(encode_answer_metadata(metadata)) == metadata
