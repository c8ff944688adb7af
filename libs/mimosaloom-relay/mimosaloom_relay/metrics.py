"""Metrics of a node on the platform, for Prometheus."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from mimosaloom_mesh import MeshMetrics

__all__ = ["RelayMetrics"]

# Upper bounds in seconds, around the latency objectives and timeouts that
# operators declare.
LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


class RelayMetrics(MeshMetrics):
    """Counters, gauges and histograms of one node."""

    def __init__(self, registry: CollectorRegistry | None = None):
        super().__init__(registry)
        self._outcomes = Counter(
            "mimosaloom_requests",
            "Requests that began here, by class and outcome",
            ["request_class", "outcome"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "mimosaloom_request_seconds",
            "Time to the answer of requests that began here",
            ["request_class", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        # Caches the labelled metrics, as `labels` takes a lock on each look-up.
        self._metrics_by_outcome: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        self._dropped = self._counter("log_lines_dropped", "Lines left out", "reason")
        self._ignored = self._counter(
            "ignored_messages", "Messages that could not be used", "source"
        )
        self._closed_connections = self._counter(
            "closed_connections",
            "Connections of clients closed to bound them",
            "reason",
        )
        self._connections = self._counter(
            "connections_opened", "Connections opened by this node", "peer"
        )
        self._open_connections = Gauge(
            "mimosaloom_open_connections",
            "Connections that are open now, by listener or kind of peer",
            ["kind"],
            registry=self.registry,
        )
        self._code = Gauge(
            "mimosaloom_code_info",
            "Code that this process runs, by a digest of its sources; always 1",
            ["digest"],
            registry=self.registry,
        )
        self.version = self._gauge("configuration_version", "Version in force")
        self.peers = self._gauge("known_nodes", "Nodes that are known")
        self._store_calls = Counter(
            "mimosaloom_store_calls",
            "Calls to the store, by topic and kind",
            ["topic", "kind"],
            registry=self.registry,
        )
        self.store_lost = self._gauge(
            "store_unreachable_readers", "Loops that can't read the store now"
        )
        self.store_era = self._gauge("store_era", "Era of the store at the last read")
        self._store_answer_age = Gauge(
            "mimosaloom_store_answer_age_seconds",
            "Time since the store last answered a read of a topic",
            ["topic"],
            registry=self.registry,
        )
        self.lost_calls = Counter(
            "mimosaloom_calls_lost_by_ended_targets",
            "Calls that the target was working on when it ended",
            registry=self.registry,
        )
        self.quarantined = self._gauge(
            "quarantined_requests", "Requests that are held back as they end targets"
        )
        self.target_rate_limit = self._gauge(
            "target_rate_limit", "Requests a second that the target takes"
        )
        self.overlapping = self._gauge(
            "overlapping_requests",
            "Requests of clients that run beside an earlier one of their connection",
        )
        self.held_bytes = self._gauge(
            "held_bytes",
            "Bytes held or reserved for answers that wait for those before them",
        )
        self.received_bytes = self._gauge(
            "received_bytes",
            "Memory that requests beyond the ordinary hold, by estimate",
        )
        self.fair_share_ratio = self._gauge(
            "fair_share_ratio", "Largest demand of an organisation over the mean"
        )
        self.fair_share_ratio.set(1.0)
        self.target_pace = self._gauge(
            "target_pace", "How long work takes on the own target's machine"
        )
        self._expected_service = Gauge(
            "mimosaloom_expected_service_seconds",
            "Expected own work of one more request on the own target",
            ["request_class"],
            registry=self.registry,
        )
        # Caches the labelled gauges, as `labels` takes a lock on each look-up.
        self._expected_by_class: dict[str, Gauge] = {}
        self.quota_refusals = Counter(
            "mimosaloom_quota_refusals",
            "Requests refused here as their organisation has used up its quota",
            registry=self.registry,
        )
        self._quota_questions = Counter(
            "mimosaloom_quota_questions",
            "Questions to other nodes about quotas, by kind and result",
            ["kind", "result"],
            registry=self.registry,
        )
        self.quota_slots = self._gauge(
            "quota_slots_held", "Slots of organisations whose tokens this node keeps"
        )
        self.ready = self._gauge("ready", "Whether the node takes clients")

    def show_code(self, digest: str) -> None:
        """Show which code this process runs, by the digest of its sources."""
        self._code.labels(digest).set(1)

    def count_outcome(self, request_class: str, outcome: str, elapsed_s: float) -> None:
        """Count a request and the time to its answer."""
        key = (request_class, outcome)
        metrics = self._metrics_by_outcome.get(key)
        if metrics is None:
            metrics = (self._outcomes.labels(*key), self._latency.labels(*key))
            self._metrics_by_outcome[key] = metrics
        counter, histogram = metrics
        counter.inc()
        histogram.observe(elapsed_s)

    def show_expected_service(self, request_class: str, service_s: float) -> None:
        """Show the expected own work of a request of a class on the own target."""
        gauge = self._expected_by_class.get(request_class)
        if gauge is None:
            gauge = self._expected_service.labels(request_class)
            self._expected_by_class[request_class] = gauge
        gauge.set(service_s)

    def count_quota_question(self, kind: str, result: str) -> None:
        """Count a question about quotas by its kind and result."""
        self._quota_questions.labels(kind, result).inc()

    def count_dropped_line(self, reason: str) -> None:
        """Count a log line that was left out."""
        self._dropped.labels(reason).inc()

    def count_ignored(self, source: str) -> None:
        """Count a message that was ignored because it is not valid."""
        self._ignored.labels(source).inc()

    def count_closed_connection(self, reason: str) -> None:
        """Count a connection of a client that was closed to keep a bound."""
        self._closed_connections.labels(reason).inc()

    def count_store_call(self, topic: str, kind: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(topic, kind).inc()

    def show_store_answer_age(self, topic: str, age_s: Callable[[], float]) -> None:
        """Export the time since the store last answered a read of a topic."""
        self._store_answer_age.labels(topic).set_function(age_s)

    def show_open_connections(self, kind: str, count: Callable[[], int]) -> None:
        """Export the number of open connections of a kind."""
        self._open_connections.labels(kind).set_function(count)

    def count_connection(self, peer: str) -> None:
        """Count an opened connection by the kind of its peer: target or node."""
        self._connections.labels(peer).inc()
