"""Validation of values against the JSON schemas of the package."""

import json
from collections.abc import Iterator
from functools import cache
from importlib.resources import files
from ipaddress import ip_address
from math import isfinite
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from .faults import Fault, describe_value, format_path, suggest_name

if TYPE_CHECKING:
    from jsonschema import Draft202012Validator, FormatChecker, ValidationError

__all__ = ["find_schema_faults"]

TYPE_DESCRIPTIONS = {
    "array": "an array",
    "boolean": "true or false",
    "integer": "an integer",
    "number": "a finite number",
    "object": "an object",
    "string": "a string",
}


def find_schema_faults(schema: str, value: object, file: str) -> list[Fault]:
    """Validate a value against a JSON schema of the package.

    Args:
        schema: Name of the schema: `settings` or `resources`.
        value: Decoded JSON value.
        file: File name to use in faults.

    Returns:
        All faults in the order of the document, without duplicates.
    """
    errors = _load_validator(schema).iter_errors(value)
    faults = [
        Fault(file, format_path(keys), message)
        for error in errors
        for keys, message in _describe_error(error)
    ]
    return list(dict.fromkeys(faults))


@cache
def _load_validator(schema: str) -> "Draft202012Validator":
    # Imported only on use: the library takes 4 MB and 40 ms to load, which processes
    # that validate nothing don't need.
    from jsonschema import Draft202012Validator
    from jsonschema.validators import extend

    text = files(__package__).joinpath(f"schemas/{schema}.json").read_text("utf-8")
    checker = Draft202012Validator.TYPE_CHECKER.redefine_many(
        {"integer": _is_integer, "number": _is_finite_number}
    )
    validator = extend(Draft202012Validator, type_checker=checker)
    return validator(json.loads(text), format_checker=_build_format_checker())


def _is_integer(_checker, value: object) -> bool:
    # JSON Schema accepts 3.0 as an integer, but the typed values need a Python int.
    return isinstance(value, int) and not isinstance(value, bool)


def _is_finite_number(checker, value: object) -> bool:
    is_float = isinstance(value, float) and isfinite(value)
    return is_float or _is_integer(checker, value)


def _build_format_checker() -> "FormatChecker":
    from jsonschema import FormatChecker

    checker = FormatChecker(formats=())
    checker.checks("ip-address", raises=ValueError)(_is_ip_address)
    checker.checks("http-url", raises=ValueError)(_is_http_url)
    return checker


def _is_ip_address(value: object) -> bool:
    return not isinstance(value, str) or bool(ip_address(value))


def _is_http_url(value: object) -> bool:
    if not isinstance(value, str):
        return True
    if not value.isascii() or not value.isprintable() or " " in value:
        return False
    parts = urlsplit(value)
    # Host names are not accepted, since resolving one would block the event loop.
    is_address = bool(ip_address(parts.hostname or ""))
    is_port_valid = parts.port is None or parts.port > 0
    has_extra_parts = parts.query or parts.fragment or "@" in parts.netloc
    return parts.scheme in ("http", "https") and (
        is_address and is_port_valid and not has_extra_parts
    )


def _describe_error(
    error: "ValidationError",
) -> Iterator[tuple[tuple[str | int, ...], str]]:
    keys = tuple(error.absolute_path)
    if error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield keys, f"expected the field {describe_value(name)}, missing here"
    elif error.validator == "additionalProperties":
        known = error.schema["properties"]
        for name in error.instance:
            if name not in known:
                yield (*keys, name), _describe_unknown_field(name, known)
    else:
        expected = _describe_expected(error)
        got = describe_value(error.instance)
        yield keys, f"expected {expected}, got {got}{_suggest_enum_value(error)}"


def _describe_unknown_field(name: str, known: dict) -> str:
    fields = ", ".join(known)
    return f"expected one of the fields {fields}{suggest_name(name, known)}"


def _describe_expected(error: "ValidationError") -> str:
    schema = error.schema
    if error.validator == "enum":
        return f"one of {', '.join(schema['enum'])}"
    if "description" in schema:
        return schema["description"]
    if "minimum" in schema:
        type_description = TYPE_DESCRIPTIONS[schema["type"]]
        return f"{type_description} from {schema['minimum']} to {schema['maximum']}"
    return _describe_expected_size_or_type(error)


def _suggest_enum_value(error: "ValidationError") -> str:
    if error.validator != "enum" or not isinstance(error.instance, str):
        return ""
    return suggest_name(error.instance, error.schema["enum"])


def _describe_expected_size_or_type(error: "ValidationError") -> str:
    templates = {
        "maxItems": "at most {} items",
        "minItems": "at least {} item",
        "maxLength": "at most {} characters",
        "uniqueItems": "each item once",
    }
    if error.validator in templates:
        return templates[error.validator].format(error.validator_value)
    return TYPE_DESCRIPTIONS[error.validator_value]
