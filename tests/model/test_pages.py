"""Guards against pages in docs/ that contradict the code."""

import json
import re
from pathlib import Path

import pytest

from mimosaloom_model import ERROR_ANSWERS, NodeSettings, resources, settings

ROOT = Path(__file__).parents[2]
SCHEMAS = ROOT / "libs" / "mimosaloom-model" / "mimosaloom_model" / "schemas"
KINDS = ["Service", "Upstream", "RequestClass", "RetryAllowance"]
SETTINGS_TYPES = {
    "node": settings.NodeIdentity,
    "target": settings.TargetSettings,
    "log_service": settings.LogServiceSettings,
    "limits": settings.LimitSettings,
}
FORMATS = {"ip-address": "IP address", "http-url": "URL"}


def read_page(name):
    """Return the text of a page."""
    return (ROOT / "docs" / name).read_text("utf-8")


def read_rows(text):
    """Return the cells of each table row, except the header row."""
    lines = [line for line in text.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def describe_bounds(schema, definitions):
    """Return the expected text of the column "type and bounds"."""
    if "$ref" in schema:
        schema = {**definitions[schema["$ref"].rpartition("/")[2]], **schema}
    if "minimum" in schema:
        return f"{schema['type']}, {schema['minimum']} to {schema['maximum']}"
    if schema["type"] == "array":
        return f"{schema.get('minItems', 0)} to {schema['maxItems']} names"
    if schema["type"] == "boolean":
        return "true or false"
    if "description" in schema:
        return FORMATS.get(schema.get("format"), "name")
    return f"text, up to {schema['maxLength']} characters"


def expect_rows(fields, value_type, definitions, prefix=""):
    """Return the expected field, bounds and default of each row of a fields table."""
    defaults = value_type._field_defaults
    rows = []
    for name, schema in fields["properties"].items():
        default = "required"
        if name not in fields.get("required", []):
            default = f"`{json.dumps(defaults[name])}`"
        bounds = describe_bounds(schema, definitions)
        rows.append([f"`{prefix}{name}`", bounds, default])
    return rows


def expect_settings_rows():
    """Return the expected field, bounds and default of each row on node settings."""
    schema = json.loads((SCHEMAS / "settings.json").read_text("utf-8"))
    definitions, rows = schema["$defs"], []
    for part, fields in schema["properties"].items():
        if part in SETTINGS_TYPES:
            value_type = SETTINGS_TYPES[part]
            rows += expect_rows(fields, value_type, definitions, f"{part}.")
        elif part == "listen":
            for name in fields["properties"]:
                address, prefix = definitions["address"], f"listen.{name}."
                rows += expect_rows(address, settings.Address, definitions, prefix)
        else:
            single = {"properties": {part: fields}}
            rows += expect_rows(single, NodeSettings, definitions)
    return rows


def test_errors_page_matches_the_table_of_answers():
    """Guards against an outdated page, which may make callers retry a call that ran."""
    expected = [
        [
            f"`{kind}`",
            str(answer.http_status),
            "yes" if answer.is_retryable else "no",
            str(answer.ran),
            answer.summary,
        ]
        for kind, answer in ERROR_ANSWERS.items()
    ]
    table = read_page("errors.md").partition("## Answer to the caller")[0]
    assert read_rows(table) == expected


def test_settings_page_matches_schemas_and_defaults():
    """Guards against an outdated default or bound, which would mislead operators."""
    page = read_page("settings.md").partition("## Example")[0]
    rows = [[row[0], row[2], row[3]] for row in read_rows(page)]
    schema = json.loads((SCHEMAS / "resources.json").read_text("utf-8"))
    expected = expect_settings_rows()
    for kind in KINDS:
        fields, value_type = schema["$defs"][kind], getattr(resources, kind)
        expected += expect_rows(fields, value_type, schema["$defs"])
    assert rows == expected


@pytest.mark.parametrize("mesh", ["water", "cooperative"])
def test_settings_page_contains_the_example_files_unchanged(mesh):
    """Guards against untested examples on the page, which may be invalid."""
    blocks = re.findall(r"```json\n(.*?)```", read_page("settings.md"), re.DOTALL)
    for path in sorted((ROOT / "examples" / mesh).glob("*.json")):
        assert path.read_text("utf-8") in blocks
