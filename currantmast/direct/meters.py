"""Metrics of an instance in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator, Mapping
from itertools import accumulate
from types import MappingProxyType
from typing import Any

import msgspec

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5)


class Family(msgspec.Struct, frozen=True):
    """A group of counters under one name, told apart by the values of their labels."""

    help: str
    labels: tuple[str, ...]


COUNTERS = MappingProxyType(
    {
        'requests': Family('Requests by outcome and reason.', ('outcome', 'reason')),
        'placements': Family(
            'Requests sent, by why they left the region.', ('crossing',)
        ),
        'answers_too_large': Family(
            'Answers of targets that went beyond a bound, by bound.', ('kind',)
        ),
    }
)


class _Latencies:
    """Histogram of latencies: the number of values in each bucket, and their sum."""

    __slots__ = ('counts', 'sum_s')

    def __init__(self) -> None:
        self.counts = [0, *(0 for _ in LATENCY_BUCKETS_S)]
        self.sum_s: float = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<_Latencies {sum(self.counts)}>'

    def add(self, seconds: float) -> None:
        """Count one value."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def list_buckets(self) -> list[tuple[str, int]]:
        """Return the upper limit of each bucket, and the number of values up to it."""
        limits = (*map(str, map(float, LATENCY_BUCKETS_S)), '+Inf')
        return list(zip(limits, accumulate(self.counts), strict=True))


class Meter:
    """Metrics of one instance.

    Every label has a bounded set of values, so callers can't add time series.
    """

    __slots__ = ('_counts', '_gauges', '_latencies')

    def __init__(self) -> None:
        # For each name, the counts by values of the labels.
        self._counts: Mapping[str, Counter] = {name: Counter() for name in COUNTERS}
        self._latencies: dict[str, _Latencies] = {}
        self._gauges: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return '<Meter>'

    def count_outcome(self, outcome: str, reason: str) -> None:
        """Count one request by outcome and reason."""
        self._counts['requests'][outcome, str(reason)] += 1

    def count_spillover(self, reason: str) -> None:
        """Count one request that was sent, by the reason why it left the local region."""
        self._counts['placements'][reason,] += 1

    def count_oversize(self, kind: str) -> None:
        """Count one target's answer that exceeded a size limit, by limit."""
        self._counts['answers_too_large'][kind,] += 1

    def observe_latency(self, outcome: str, seconds: float) -> None:
        """Record the seconds from a request's first byte to its answer."""
        self._latencies.setdefault(outcome, _Latencies()).add(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge with the label `name` to `value`."""
        self._gauges[name] = value

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported at the first scrape: the library would take a tenth of a start.
        from prometheus_client import exposition  # noqa: PLC0415

        return exposition.generate_latest(self)

    def collect(self) -> Iterator[Any]:
        """Return the metrics as families of the Prometheus client; it calls this."""
        from prometheus_client import core  # noqa: PLC0415

        for name, family in COUNTERS.items():
            counter = core.CounterMetricFamily(name, family.help, labels=family.labels)
            for labels, count in self._counts[name].items():
                counter.add_metric(labels, count)
            yield counter
        histogram = core.HistogramMetricFamily(
            'request_seconds',
            'Time from the first byte of a request to its answer.',
            labels=('outcome',),
        )
        for outcome, latencies in self._latencies.items():
            histogram.add_metric((outcome,), latencies.list_buckets(), latencies.sum_s)
        yield histogram
        gauge = core.GaugeMetricFamily(
            'belief', 'What the instance believes, by name.', labels=('name',)
        )
        for name, value in self._gauges.items():
            gauge.add_metric((name,), value)
        yield gauge
