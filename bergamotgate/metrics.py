"""Prometheus metrics of one node, in a registry of their own."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0, 10.0)
COVERAGE_BUCKETS = (0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """Counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests by route and result.", "route result")
        self.refusals = self._counter("refusals", "Refusals by route and reason.", "route reason")
        self.retries = self._counter("retries", "Repeated sub-requests by reason.", "pool reason")
        self.declined = self._counter("declined", "Sub-requests without answer.", "pool reason")
        self.sub_requests = self._counter("sub_requests", "Sub-requests sent.", "pool kind")
        self.late_replies = self._counter("late_replies", "Replies nobody waited for.", "pool")
        self.batches = self._counter("batches", "Batches of sub-requests sent.", "pool")
        self.bad_messages = self._counter("bad_messages", "Unreadable messages of peers.", "kind")
        self.control_bytes = self._counter("control_bytes", "Datagram bytes.", "direction")
        self.control_messages = self._counter("control_messages", "Datagrams.", "direction")
        self.service_calls = self._counter("service_calls", "Platform calls.", "service result")
        self.tables_rejected = self._counter("tables_rejected", "Rejected publications.", "table")
        self.identity_conflicts = self._counter("identity_conflicts", "Names used twice.", "vm")
        self.connections = self._counter("connections", "Backend connections.", "pool event")
        self.wrong_replies = self._counter("wrong_replies", "Replies not believed.", "pool reason")
        self.unreadable_items = self._counter("unreadable_items", "Published garbage.", "kind")
        self.store_histories = self._counter(
            "store_histories", "Times that the store began a new history.", ""
        )
        self.delegated = self._counter("delegated", "Parts through VMs near servers.", "event")
        self.rate_limited = self._counter(
            "rate_limited", "Sub-requests to servers that state a request rate.", "pool event"
        )
        self.server_statements = self._counter(
            "server_statements", "Servers that said that they leave or want a pause.", "pool kind"
        )
        self.task_failures = self._counter("task_failures", "Failed background tasks.", "component")
        self.strikes = self._counter("strikes", "Servers lost to a request.", "pool")
        self.request_latency = Histogram(
            "bergamotgate_request_seconds",
            "Time from arrival to answer.",
            ["route"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.sub_request_latency = Histogram(
            "bergamotgate_sub_request_seconds",
            "Time from sending a sub-request to its reply.",
            ["pool"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.coverage = Histogram(
            "bergamotgate_coverage",
            "Share of shards in answers.",
            ["route"],
            registry=self.registry,
            buckets=COVERAGE_BUCKETS,
        )
        self.tables_revision = self._gauge("tables_revision", "Revision of the tables in force.")
        self.members_alive = self._gauge("members_alive", "Members believed alive.")
        self.store_era = self._gauge("store_era", "Era of the store that this VM follows.")
        self.view_age = self._gauge("view_age_seconds", "Age of what is known of the store.")
        self.servers = self._gauge("servers", "Discovered servers.")

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, documentation: str, labels: str) -> Counter:
        return Counter(
            f"bergamotgate_{name}", documentation, labels.split(), registry=self.registry
        )

    def _gauge(self, name: str, documentation: str) -> Gauge:
        return Gauge(f"bergamotgate_{name}", documentation, registry=self.registry)
