"""Tests of the decisions bench."""

from mimosaloom_bench.decisions import measure_decisions


def test_tables_use_memory_for_their_entries():
    """Guards against tables that refuse all entries and so seem to cost nothing."""
    report = measure_decisions(500)
    assert report["run_table_bytes"] > 100
    assert report["claim_bytes"] > 50
