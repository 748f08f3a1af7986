"""Tasks that keep configuration and fleet record up to date."""

from collections.abc import Callable, Iterable
from operator import attrgetter

import msgspec
from gevent.event import Event

from currantmast.clocks import Clock
from currantmast.deployment import Configuration
from currantmast.errors import (
    CurrantmastError,
    StoreError,
    WatchExpired,
)
from currantmast.messages import Address
from currantmast.pages import decode_configuration
from currantmast.publication import ConfigurationReader
from currantmast.runtime.fleet import FLEET, FleetStore, decode_record
from currantmast.runtime.forwarding import Connections, HopRequest
from currantmast.runtime.logs import log_event
from currantmast.runtime.store import ObjectClient
from currantmast.steering import Steering

# Witnesses that were removed together learn it from the store alone, so the watch of
# a connection that went silent must end within a few seconds.
WATCH_S = 4.0
POLL_S = 1.0
BACKOFF_S = 0.5
PEER_TIMEOUT_S = 2.0
FOUND = 200
# A renewal younger than this needs no read of the store.
FRESH_RENEWAL_S = 1.0


AddressOf = Callable[[str], Address | None]


class PeerHints(msgspec.Struct):
    """Peers that are known to hold something newer."""

    configuration: str | None = None
    record: str | None = None


class Follower:
    """Fetches newer configurations and fleet records from the store or from peers.

    Witnesses watch the store, so that its calls do not grow with the fleet; other
    members fetch what heartbeats announce from the peer that announced it.

    Parameters
    ----------
    steering : Steering
        Adopts what was fetched.
    client : ObjectClient
        Client of the platform's store.
    fleet : FleetStore
        The fleet record in the store.
    connections : Connections
        Pooled connections to peers.
    """

    __slots__ = (
        '_announced',
        '_client',
        '_connections',
        '_fleet',
        '_hints',
        '_reader',
        '_steering',
    )

    def __init__(
        self,
        steering: Steering,
        client: ObjectClient,
        fleet: FleetStore,
        connections: Connections,
    ) -> None:
        self._steering = steering
        self._client = client
        self._fleet = fleet
        self._connections = connections
        self._reader = ConfigurationReader(client)
        self._hints = PeerHints()
        self._announced = Event()

    def __repr__(self) -> str:
        """Return the peers to fetch from."""
        return f'<Follower {self._hints!r}>'

    def announce(self, peer_id: str, epoch: int, version: int) -> None:
        """Note what a peer holds; wakes the task that fetches."""
        if epoch > self._steering.peering.record.epoch:
            self._hints.record = peer_id
            self._announced.set()
        if version > self._steering.peering.version:
            self._hints.configuration = peer_id
            self._announced.set()

    def follow_peers(self, find_address: AddressOf) -> None:
        """Fetch what peers announce, for ever."""
        while True:
            self._announced.wait()
            self._announced.clear()
            hints = self._hints
            self._hints = PeerHints()
            self._fetch_hinted(hints, find_address)

    def follow_store(self, name: str) -> None:
        """Watch the object `name`, while this instance is a witness, for ever."""
        revision = None
        while True:
            try:
                revision = self._watch_once(name, revision)
            except WatchExpired:
                revision = None
            except StoreError as error:
                log_event('watch_failed', level='WARNING', object=name, error=error)
                revision = None
                self._steering.clock.sleep(BACKOFF_S)

    def renew_from_store(self) -> None:
        """Read the fleet record while heartbeats do not renew the lease, for ever."""
        clock = self._steering.clock
        while True:
            clock.sleep(POLL_S)
            remaining_s = self._steering.lease.expires_at() - clock.now()
            if remaining_s > self._steering.timing.lease_s - FRESH_RENEWAL_S:
                continue
            try:
                self._fleet.read()
            except StoreError as error:
                log_event('lease_read_failed', level='WARNING', error=error)

    def read_record(self, seeds: Iterable[Address]) -> None:
        """Adopt a fleet record from the store, else from one of the peers `seeds`."""
        try:
            self._fleet.read()
        except StoreError as error:
            log_event('start_without_store', level='WARNING', error=error)
            self._read_from_seeds(seeds)

    def adopt(self, configuration: Configuration, source: str) -> None:
        """Put `configuration` in force if it is newer."""
        if self._steering.adopt_configuration(configuration):
            log_event('configuration', version=configuration.version, source=source)

    def _read_from_seeds(self, seeds: Iterable[Address]) -> None:
        for seed in seeds:
            try:
                self._fetch_record(seed)
            except CurrantmastError as error:
                log_event('seed_failed', level='WARNING', seed=seed, error=error)

    def _watch_once(self, name: str, revision: int | None) -> int | None:
        if not self._steering.peering.is_witness:
            self._steering.clock.sleep(POLL_S)
            return None
        if revision is None:
            revision = self._client.list(name).revision
            self._read(name)
        result = self._client.watch(name, revision, WATCH_S)
        if result.events:
            self._read(name)
        return result.revision

    def _read(self, name: str) -> None:
        if name == FLEET:
            self._fleet.read()
        else:
            self.adopt(self._reader.read(), 'store')

    def _fetch_hinted(self, hints: PeerHints, find_address: AddressOf) -> None:
        try:
            if hints.record is not None:
                self._fetch_record(find_address(hints.record))
            if hints.configuration is not None:
                self._fetch_configuration(
                    find_address(hints.configuration), hints.configuration
                )
        except CurrantmastError as error:
            log_event('fetch_failed', level='WARNING', error=error)

    def _fetch_record(self, address: Address | None) -> None:
        body = address and fetch_from_peer(self._connections, address, '/fleet')
        if body:
            self._steering.adopt_record(decode_record(body))

    def _fetch_configuration(self, address: Address | None, source: str) -> None:
        body = address and fetch_from_peer(self._connections, address, '/config')
        if body:
            self.adopt(decode_configuration(body), source)


def obtain_configuration(
    client: ObjectClient,
    connections: Connections,
    seeds: Iterable[Address],
    clock: Clock,
) -> Configuration:
    """Return the configuration in force; waits for one as long as it takes.

    The store is asked first. While it gives no answer, the newest configuration that
    the peers `seeds` hold is taken.
    """
    while True:
        try:
            return ConfigurationReader(client).read()
        except CurrantmastError as error:
            log_event('configuration_awaited', level='WARNING', error=error)
        found = [
            configuration
            for seed in seeds
            if (configuration := _ask_seed(connections, seed)) is not None
        ]
        if found:
            return max(found, key=attrgetter('version'))
        clock.sleep(BACKOFF_S)


def _ask_seed(connections: Connections, seed: Address) -> Configuration | None:
    try:
        body = fetch_from_peer(connections, seed, '/config')
        return None if body is None else decode_configuration(body)
    except CurrantmastError as error:
        log_event('seed_failed', level='WARNING', seed=seed, error=error)
        return None


def fetch_from_peer(
    connections: Connections, address: Address, path: str
) -> bytes | None:
    """Return what a peer serves under `path`, or None if it has nothing.

    Raises
    ------
    TransportError
        If the peer gave no whole answer.
    """
    answer = connections.exchange(address, HopRequest('GET', path), PEER_TIMEOUT_S)
    return answer.body if answer.status == FOUND else None
