"""Counters, histograms and gauges in the usual exposition format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5)


class Meter:
    """Metrics of one instance; every label has a bounded set of values."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._outcomes = Counter(
            'requests',
            'Requests by outcome and reason.',
            ['outcome', 'reason'],
            registry=self._registry,
        )
        self._latency = Histogram(
            'request_seconds',
            'Time from the first byte of a request to its answer.',
            ['outcome'],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._crossings = Counter(
            'placements',
            'Requests sent, by why they left the region.',
            ['crossing'],
            registry=self._registry,
        )
        self._oversizes = Counter(
            'answers_too_large',
            'Answers of targets that went beyond a bound, by bound.',
            ['kind'],
            registry=self._registry,
        )
        self._beliefs = Gauge(
            'belief',
            'What the instance believes, by name.',
            ['name'],
            registry=self._registry,
        )

    def __repr__(self) -> str:
        """Return a short description."""
        return '<Meter>'

    def count(self, outcome: str, reason: str) -> None:
        """Count one request."""
        self._outcomes.labels(outcome, str(reason)).inc()

    def count_crossing(self, crossing: str) -> None:
        """Count one request that was sent, by why it left the region."""
        self._crossings.labels(crossing).inc()

    def count_oversize(self, kind: str) -> None:
        """Count one answer that went beyond a bound."""
        self._oversizes.labels(kind).inc()

    def time(self, outcome: str, seconds: float) -> None:
        """Record how long a request took."""
        self._latency.labels(outcome).observe(seconds)

    def show(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._beliefs.labels(name).set(level)

    def write(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)
