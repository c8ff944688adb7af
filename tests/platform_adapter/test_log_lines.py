"""Compares the log lines in the page for operators with those that the code writes."""

import ast
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCES = (ROOT / "libs" / "mimosaloom-relay", ROOT / "platform")
METHODS = frozenset({"change", "failure", "success", "write"})
HEADING = "| type of line | fields |"


def find_written_lines():
    """Return the fields of each type of log line that the code writes."""
    found = {}
    for root in SOURCES:
        for path in root.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if isinstance(node, ast.Call):
                    for name in _logged_types(node):
                        fields = {k.arg for k in node.keywords if k.arg}
                        found.setdefault(name, set()).update(fields)
    return found


def _logged_types(call):
    """Return the types of line that a call may log; empty if the call logs nothing."""
    method = getattr(call.func, "attr", getattr(call.func, "id", ""))
    if method not in METHODS or not call.args:
        return []
    first = call.args[0]
    receiver = getattr(getattr(call.func, "value", None), "attr", "")
    if receiver in ("log", "_log"):
        assert isinstance(first, ast.Constant | ast.IfExp), ast.unparse(call)
    choices = [first.body, first.orelse] if isinstance(first, ast.IfExp) else [first]
    return [
        choice.value
        for choice in choices
        if isinstance(choice, ast.Constant) and isinstance(choice.value, str)
    ]


def read_documented_lines():
    """Return the fields of each type of log line that the page documents."""
    rows = PAGE.read_text("utf-8").partition(HEADING)[2].split("\n\n")[0]
    documented = {}
    for row in rows.strip().splitlines()[1:]:
        name, fields = (cell.strip() for cell in row.strip("|").split("|"))
        documented[name.strip("`")] = {field.strip("` ") for field in fields.split(",")}
    return documented


def test_page_documents_each_log_line_with_its_fields():
    """Guards against log lines that an engineer on call can't look up."""
    written, documented = find_written_lines(), read_documented_lines()
    assert len(written) >= 20
    assert documented == {name: fields or {""} for name, fields in written.items()}
