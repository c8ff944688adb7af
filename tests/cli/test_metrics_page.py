"""Guards against a page on metrics that differs from what a node exports."""

from pathlib import Path

from prometheus_client import Metric

from mimosaloom_mesh import MeshMetrics
from mimosaloom_model import Kind
from mimosaloom_relay import RelayMetrics

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"


PLATFORM_SECTION = "## On the users' platform"


def read_rows(text):
    """Return metric, type and labels of each row of a part of the page."""
    lines = text.splitlines()
    rows = [line.strip("|").split("|") for line in lines if line.startswith("| `")]
    return {tuple(cell.strip().replace("`", "") for cell in row[:3]) for row in rows}


def describe_metric(metric: Metric):
    """Return name, type and labels of a metric as on the page."""
    suffix = "_total" if metric.type == "counter" else ""
    labels = {label for sample in metric.samples for label in sample.labels}
    return metric.name + suffix, metric.type, ", ".join(sorted(labels))


def record_shared(metrics):
    """Use each labelled metric that nodes of both kinds have."""
    metrics.count_refusal(Kind.OVERLOADED)
    metrics.count_retry(Kind.OVERLOADED.value)
    metrics.count_stopped_retry("retry_budget_empty")
    metrics.count_resolution("done")
    metrics.count_answer("billing")


def test_page_lists_exactly_the_exported_metrics():
    """An alert on a metric that was renamed would never fire."""
    metrics = MeshMetrics()
    record_shared(metrics)
    exported = {describe_metric(metric) for metric in metrics.registry.collect()}
    shared = PAGE.read_text("utf-8").partition(PLATFORM_SECTION)[0]
    assert exported == read_rows(shared)


def test_page_lists_exactly_the_metrics_on_the_platform():
    """An alert on a metric that nodes on the platform do not have never fires."""
    metrics = RelayMetrics()
    record_shared(metrics)
    metrics.count_outcome("lookup", "answered", 0.1)
    metrics.count_dropped_line("success")
    metrics.count_ignored("heartbeat")
    metrics.count_connection("target")
    exported = {describe_metric(metric) for metric in metrics.registry.collect()}
    assert exported == read_rows(PAGE.read_text("utf-8"))
