"""Guards against a page docs/metrics.md that differs from what a node exports."""

from pathlib import Path

from prometheus_client import Metric

from mimosaloom_mesh import MeshMetrics
from mimosaloom_model import ErrorKind
from mimosaloom_relay import RelayMetrics

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"


PLATFORM_SECTION = "## On the users' platform"


def read_rows(text):
    """Return name, type and labels of the metric in each table row of the text."""
    lines = text.splitlines()
    rows = [line.strip("|").split("|") for line in lines if line.startswith("| `")]
    return {tuple(cell.strip().replace("`", "") for cell in row[:3]) for row in rows}


def describe_metric(metric: Metric):
    """Return name, type and labels of a metric, in the format of the page."""
    suffix = "_total" if metric.type == "counter" else ""
    labels = {label for sample in metric.samples for label in sample.labels}
    return metric.name + suffix, metric.type, ", ".join(sorted(labels))


def record_shared_metrics(metrics):
    """Record a value of each labelled metric that both kinds of nodes export."""
    metrics.count_refusal(ErrorKind.OVERLOADED)
    metrics.count_retry(ErrorKind.OVERLOADED.value)
    metrics.count_stopped_retry("retry_budget_empty")
    metrics.count_resolution("done")
    metrics.count_answer("billing")


def test_page_lists_exactly_the_exported_metrics():
    """An alert on a metric that has been renamed never fires."""
    metrics = MeshMetrics()
    record_shared_metrics(metrics)
    exported = {describe_metric(metric) for metric in metrics.registry.collect()}
    shared = PAGE.read_text("utf-8").partition(PLATFORM_SECTION)[0]
    assert exported == read_rows(shared)


def test_page_lists_exactly_the_metrics_exported_on_the_platform():
    """An alert on a metric that nodes on the platform don't export never fires."""
    metrics = RelayMetrics()
    record_shared_metrics(metrics)
    metrics.count_outcome("lookup", "answered", 0.1)
    metrics.show_code("0123456789ab")
    metrics.count_dropped_line("success")
    metrics.count_ignored("heartbeat")
    metrics.count_closed_connection("memory")
    metrics.count_connection("target")
    metrics.show_open_connections("target", lambda: 0)
    metrics.count_quota_question("claims", "answered")
    metrics.count_store_call("keyed.op", "poll")
    metrics.show_store_answer_age("keyed.op", lambda: 0.0)
    metrics.show_expected_service("lookup", 0.1)
    exported = {describe_metric(metric) for metric in metrics.registry.collect()}
    assert exported == read_rows(PAGE.read_text("utf-8"))
