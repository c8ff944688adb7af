"""Tests of the table in the capacity page."""

import json
from pathlib import Path

import pytest

from mimosaloom_bench.capacity import (
    build_rows,
    format_rows,
    replace_table,
)

DOCS = Path(__file__).parents[2] / "docs"
LATENCY = {
    "added_p99_ms": 4.0,
    "added_cpu_us": 1_000.0,
    "embedded": {"added_p99_ms": 0.3, "added_cpu_us": 400.0},
}
CONTROL = {
    "sizes": [
        {
            "nodes": 80,
            "bytes_per_s": 1_800.0,
            "messages_per_s": 12.0,
            "cpu_ratio": 0.003,
        }
    ],
    "tables": {"member_change_us": 28.0, "settle_ms": 60.0},
    "verdicts": [
        {"figure": "bytes_per_s", "value": 1_024.0, "limit": 4_096.0, "unit": "B/s"}
    ],
}


def test_only_figures_within_their_limit_show_a_margin():
    """Guards against a figure over its limit that is shown with a margin."""
    table = format_rows(build_rows(CONTROL, LATENCY), LATENCY)
    lines = {line.split("|")[1].strip(): line for line in table.splitlines()}
    assert "75%" in lines["control: bytes_per_s"]
    assert "**not met**" in lines["added latency at p99, node path"]
    assert "39%" in lines["added latency at p99, embedded path"]
    assert "0.25 cores" in lines["processor time of the data path, node path"]


def test_page_without_markers_is_refused():
    """Guards against a page without markers, which would silently keep old figures."""
    with pytest.raises(ValueError, match="the page needs"):
        replace_table("no marks", "table")


def test_page_shows_the_measured_figures():
    """Guards against figures in the page that were edited by hand."""
    measured = DOCS / "measured"
    control = json.loads((measured / "control.json").read_text(encoding="utf-8"))
    latency = json.loads((measured / "latency.json").read_text(encoding="utf-8"))
    page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
    table = format_rows(build_rows(control, latency), latency)
    assert replace_table(page, table) == page
