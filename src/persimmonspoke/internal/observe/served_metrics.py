"""Counters, gauges and latency histograms, served over HTTP for Prometheus."""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

PREFIX = "persimmonspoke"

BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.7, 1.0, 1.5, 2.5, 5.0)
"""Bucket bounds of the latency histograms; they include callers' objectives."""


class ServedMetrics:
    """Implements `persimmonspoke.internal.observe.api.Metrics`."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Gauge] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(_metric_name(name), name, registry=self._registry)
            self._counters[name] = counter
        counter.inc(count)

    def timing(self, name: str, ms: float) -> None:
        """Record one duration, in milliseconds; it is served in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                _metric_name(name) + "_seconds",
                name,
                registry=self._registry,
                buckets=BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.observe(ms / 1000)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value `read` returns when the metrics are served."""
        gauge = Gauge(_metric_name(name), name, registry=self._registry)
        gauge.set_function(read)
        self._gauges[name] = gauge

    def app(self, environ: dict, start_response) -> Iterable[bytes]:
        """Return all metrics for any request; a WSGI application."""
        body = generate_latest(self._registry)
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]


def _metric_name(name):
    return f"{PREFIX}_{name.replace('.', '_')}"
