"""Prometheus metrics of the data path."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from mimosaloom_model import ErrorKind

__all__ = ["MeshMetrics"]


class MeshMetrics:
    """Counters and gauges of one node or embedded caller.

    Args:
        registry: Registry of the metrics; a new one if None.
    """

    def __init__(self, registry: CollectorRegistry | None = None):
        self.registry = registry or CollectorRegistry()
        refusals = self._counter("refusals", "Answers other than the target's", "kind")
        self._refusals = {kind: refusals.labels(kind.value) for kind in ErrorKind}
        self._retries = self._counter(
            "retries", "Retries by what caused them", "reason"
        )
        self._stopped_retries = self._counter(
            "retries_stopped", "Retries that were not made", "reason"
        )
        self._resolutions = self._counter(
            "resolutions", "Unknown outcomes that were resolved", "state"
        )
        # Caches the labelled counters, as `labels` takes a lock on each lookup.
        self._answers_by_service: dict[str, Counter] = {}
        self._answers = self._counter("answers", "Whole answers of targets", "service")
        self.limit = self._gauge("limit", "Calls that may run at once")
        self.level = self._gauge("level", "Admission level")
        self.in_flight = self._gauge("in_flight", "Calls that run on the target")
        self.queued = self._gauge("queued", "Calls that wait for the target")

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal or failure by its kind."""
        self._refusals[kind].inc()

    def count_retry(self, reason: str) -> None:
        """Count a retry by its reason."""
        self._retries.labels(reason).inc()

    def count_stopped_retry(self, reason: str) -> None:
        """Count a retry that was not made, by what prevented it.

        A rule, an exhausted retry allowance or an exhausted retry budget prevents it.
        """
        self._stopped_retries.labels(reason).inc()

    def count_resolution(self, state: str) -> None:
        """Count the resolution of an unknown outcome by the resolved state."""
        self._resolutions.labels(state).inc()

    def count_answer(self, service: str) -> None:
        """Count a complete answer of a target by its service."""
        counter = self._answers_by_service.get(service)
        if counter is None:
            counter = self._answers_by_service[service] = self._answers.labels(service)
        counter.inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, summary: str, label: str) -> Counter:
        return Counter(f"mimosaloom_{name}", summary, [label], registry=self.registry)

    def _gauge(self, name: str, summary: str) -> Gauge:
        return Gauge(f"mimosaloom_{name}", summary, registry=self.registry)
