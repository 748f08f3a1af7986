"""Metrics of an instance in the Prometheus text format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5)


class Meter:
    """Metrics of one instance.

    Every label has a bounded set of values, so callers can't add time series.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
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
        self._placements = Counter(
            'placements',
            'Requests sent, by why they left the region.',
            ['crossing'],
            registry=self._registry,
        )
        self._oversized_answers = Counter(
            'answers_too_large',
            'Answers of targets that went beyond a bound, by bound.',
            ['kind'],
            registry=self._registry,
        )
        self._state_gauge = Gauge(
            'belief',
            'What the instance believes, by name.',
            ['name'],
            registry=self._registry,
        )

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return '<Meter>'

    def count_outcome(self, outcome: str, reason: str) -> None:
        """Count one request by outcome and reason."""
        self._requests.labels(outcome, str(reason)).inc()

    def count_spillover(self, reason: str) -> None:
        """Count one request that was sent, by the reason why it left the local region."""
        self._placements.labels(reason).inc()

    def count_oversize(self, kind: str) -> None:
        """Count one target's answer that exceeded a size limit, by limit."""
        self._oversized_answers.labels(kind).inc()

    def observe_latency(self, outcome: str, seconds: float) -> None:
        """Record the seconds from a request's first byte to its answer."""
        self._latency.labels(outcome).observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge with the label `name` to `value`."""
        self._state_gauge.labels(name).set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
