"""Metrics by statsd datagrams."""

import re
from types import TracebackType
from typing import Self

from statsd import StatsClient

from currantmast.messages import Address

_UNSAFE = re.compile(r'[^A-Za-z0-9_.-]')


class _DatagramClient(StatsClient):
    """statsd client whose datagrams are dropped when they can't be sent at once."""

    def __init__(self, address: Address, prefix: str) -> None:
        super().__init__(address.host, address.port, prefix=prefix)
        self._sock.setblocking(False)


class Metrics:
    """Counters, gauges and timings; without an address all are dropped.

    Parameters
    ----------
    address : Address or None
        Address of the statsd server.
    prefix : str
        Prefix of all names.
    """

    __slots__ = ('_client',)

    def __init__(self, address: Address | None, prefix: str) -> None:
        self._client: _DatagramClient | None = None
        if address is not None:
            self._client = _DatagramClient(address, _clean(prefix))

    def __enter__(self) -> Self:
        """Return the metrics."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the socket; later metrics are dropped."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def __repr__(self) -> str:
        """Return whether datagrams are sent."""
        return f'<Metrics sending={self._client is not None}>'

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        if self._client is not None:
            self._client.incr(_clean(name), amount)

    def gauge(self, name: str, level: float) -> None:
        """Set the gauge `name`."""
        if self._client is not None:
            self._client.gauge(_clean(name), level)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds; statsd gets milliseconds."""
        if self._client is not None:
            self._client.timing(_clean(name), seconds * 1000)


def _clean(name: str) -> str:
    return _UNSAFE.sub('_', name)
