"""Cost of the metrics that an instance sends to statsd."""

import time
from collections.abc import Iterator, Sequence
from contextlib import closing

from gevent import socket

from currantmast.messages import Address
from currantmast.runtime.metrics import Metrics

Row = list[float]

HOST = '127.41.0.1'
US_PER_S = 1_000_000
LATENCY_S = 0.0123
DATAGRAM_BYTES = 1500
METRIC_COSTS = ('datagrams of one request B', 'us a request')


def measure_metrics(sizes: Sequence[int]) -> Iterator[Row]:
    """Yield bytes and time of the metrics of one request, against requests."""
    with closing(socket.socket(type=socket.SOCK_DGRAM)) as sink:
        sink.bind((HOST, 0))
        address = Address(*sink.getsockname())
        for size in sizes:
            with Metrics(address, 'region00-00001') as metrics:
                started_s = time.process_time()
                for _ in range(size):
                    _note_request(metrics)
                took_s = time.process_time() - started_s
            sizes_seen = [len(sink.recv(DATAGRAM_BYTES)) for _ in range(2)]
            yield [size, sum(sizes_seen), took_s / size * US_PER_S]


def _note_request(metrics: Metrics) -> None:
    """Send what the entry sends for one request."""
    metrics.count('outcome.done')
    metrics.time('latency.orders', LATENCY_S)
