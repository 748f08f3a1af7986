"""Look-ups of a caller, kept for their lifetime, and its connections."""

import time

import msgspec

from currantmast.errors import TransportError
from currantmast.exchange import Request, SingleSendClient, exchange

CONNECT_TIMEOUT_S = 1
"""Longest time to open a connection to one instance, in seconds."""

LOOKUP_TIMEOUT_S = 1
"""Longest time of one look-up exchange, in seconds."""

IDLE_CONNECTIONS = 64
"""Connections that the pool of one instance holds at most."""

HTTP_OK = 200


class Entry(msgspec.Struct, frozen=True):
    """One instance that a look-up names."""

    id: str
    address: str


class Directory(msgspec.Struct, frozen=True):
    """Answer of a look-up.

    Parameters
    ----------
    instances : tuple of Entry
        Instances to use, best first.
    lifetime_s : float
        Seconds for which the answer may be used.
    """

    instances: tuple[Entry, ...]
    lifetime_s: float


class LookupFailed(TransportError):
    """No entry address answered a look-up."""


class Pools:
    """Connection pools by address."""

    __slots__ = ('_pools',)

    def __init__(self) -> None:
        self._pools: dict[str, SingleSendClient] = {}

    def get(self, address: str) -> SingleSendClient:
        """Return the pool of `address` (``ip:port``)."""
        pool = self._pools.get(address)
        if pool is None:
            pool = make_pool(address, IDLE_CONNECTIONS)
            self._pools[address] = pool
        return pool

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()


class Lookups:
    """Look-ups, each answer kept for its lifetime.

    Parameters
    ----------
    pools : Pools
        Connections to use.
    entries : tuple of str
        ``ip:port`` of instances to ask first.
    headers : dict
        Headers of every look-up.
    """

    __slots__ = ('_directories', '_entries', '_headers', '_pools')

    def __init__(
        self, pools: Pools, entries: tuple[str, ...], headers: dict[str, str]
    ) -> None:
        self._pools = pools
        self._entries = entries
        self._headers = headers
        self._directories: dict[str, tuple[float, Directory]] = {}

    def find(self, service: str) -> Directory:
        """Return the instances to use for `service`.

        An expired answer is used again when no instance answers the look-up.

        Raises
        ------
        LookupFailed
            If no entry answered and no earlier answer is known.
        """
        expires_at, directory = self._directories.get(service, (0, None))
        if directory is not None and time.monotonic() < expires_at:
            return directory
        fetched = self._fetch(service)
        if fetched is not None:
            expires_at = time.monotonic() + fetched.lifetime_s
            self._directories[service] = (expires_at, fetched)
        found = fetched or directory
        if found is None:
            raise LookupFailed(f'{service}: no entry answered')
        return found

    def _fetch(self, service: str) -> Directory | None:
        request = Request('GET', f'/lookup/{service}', self._headers)
        for address in self._list_addresses(service):
            directory = self._ask(address, request)
            if directory is not None:
                return directory
        return None

    def _ask(self, address: str, request: Request) -> Directory | None:
        try:
            response = exchange(self._pools.get(address), request, LOOKUP_TIMEOUT_S)
        except TransportError:
            return None
        if response.status != HTTP_OK:
            return None
        try:
            return msgspec.json.decode(response.body, type=Directory)
        except msgspec.MsgspecError:
            return None

    def _list_addresses(self, service: str) -> tuple[str, ...]:
        known = self._directories.get(service)
        if known is None:
            return self._entries
        listed = (entry.address for entry in known[1].instances)
        return tuple(dict.fromkeys((*listed, *self._entries)))


def make_pool(address: str, size: int) -> SingleSendClient:
    """Return a pool of up to `size` connections to `address` (``ip:port``)."""
    host, _, port = address.rpartition(':')
    return SingleSendClient(
        host,
        int(port),
        concurrency=size,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=None,
        disable_ipv6=True,
    )
