"""Metrics of the data path for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from mimosaloom_model import Kind

__all__ = ["MeshMetrics"]


class MeshMetrics:
    """Counters and gauges of one node or embedded caller.

    Args:
        registry: Where the metrics are registered; a new registry if None.
    """

    def __init__(self, registry: CollectorRegistry | None = None):
        self.registry = registry or CollectorRegistry()
        refusals = self._counter("refusals", "Answers other than the target's", "kind")
        self._refusals = {kind: refusals.labels(kind.value) for kind in Kind}
        self._retries = self._counter(
            "retries", "Retries by what caused them", "reason"
        )
        self._stopped = self._counter(
            "retries_stopped", "Retries that were not made", "reason"
        )
        self._resolved = self._counter(
            "resolutions", "Unknown outcomes that were resolved", "state"
        )
        # Looking up a labelled counter costs a lock at each call.
        self._answers_of: dict[str, Counter] = {}
        self._answers = self._counter("answers", "Whole answers of targets", "service")
        self.limit = self._gauge("limit", "Calls that may run at once")
        self.level = self._gauge("level", "Admission level")
        self.in_flight = self._gauge("in_flight", "Calls that run on the target")
        self.queued = self._gauge("queued", "Calls that wait for the target")

    def count_refusal(self, kind: Kind) -> None:
        """Count an answer of a kind."""
        self._refusals[kind].inc()

    def count_retry(self, reason: str) -> None:
        """Count a retry by the kind that caused it."""
        self._retries.labels(reason).inc()

    def count_stopped_retry(self, reason: str) -> None:
        """Count a retry that a rule or an empty allowance or budget prevented."""
        self._stopped.labels(reason).inc()

    def count_resolution(self, state: str) -> None:
        """Count the resolution of an unknown outcome by its result."""
        self._resolved.labels(state).inc()

    def count_answer(self, service: str) -> None:
        """Count a whole answer of a target of a service."""
        counter = self._answers_of.get(service)
        if counter is None:
            counter = self._answers_of[service] = self._answers.labels(service)
        counter.inc()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def _counter(self, name: str, summary: str, label: str) -> Counter:
        return Counter(f"mimosaloom_{name}", summary, [label], registry=self.registry)

    def _gauge(self, name: str, summary: str) -> Gauge:
        return Gauge(f"mimosaloom_{name}", summary, registry=self.registry)
