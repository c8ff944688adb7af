"""Guards against a page on metrics that differs from what a node exports."""

from pathlib import Path

from prometheus_client import Metric

from mimosaloom_mesh import MeshMetrics
from mimosaloom_model import Kind

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"


def read_rows():
    """Return metric, type and labels of each row of the page."""
    lines = PAGE.read_text("utf-8").splitlines()
    rows = [line.strip("|").split("|") for line in lines if line.startswith("| `")]
    return {tuple(cell.strip().replace("`", "") for cell in row[:3]) for row in rows}


def describe_metric(metric: Metric):
    """Return name, type and labels of a metric as on the page."""
    suffix = "_total" if metric.type == "counter" else ""
    labels = {label for sample in metric.samples for label in sample.labels}
    return metric.name + suffix, metric.type, ", ".join(sorted(labels))


def test_page_lists_exactly_the_exported_metrics():
    """An alert on a metric that was renamed would never fire."""
    metrics = MeshMetrics()
    metrics.count_refusal(Kind.OVERLOADED)
    metrics.count_retry(Kind.OVERLOADED.value)
    metrics.count_stopped_retry("retry_budget_empty")
    metrics.count_resolution("done")
    metrics.count_answer("billing")
    exported = {describe_metric(metric) for metric in metrics.registry.collect()}
    assert exported == read_rows()
