"""Guards the bench of decisions against tables that stay empty."""

from mimosaloom_bench.decisions import measure_decisions


def test_each_table_takes_memory_for_its_entries():
    """A table that refuses its entries would be measured as free of cost."""
    report = measure_decisions(500)
    assert report["run_table_bytes"] > 100
    assert report["claim_bytes"] > 50
