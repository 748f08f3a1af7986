"""Large configurations over slow links."""

from contextlib import contextmanager
from random import Random

import gevent
import msgspec
import pytest
from followingfleet import make_configuration
from test_direct_following import at
from test_direct_relays import Relay

from currantmast.clocks import BootClock
from currantmast.direct.model import Configuration, Route, WeightedService, WorkKind
from currantmast.direct.reserves import list_relays
from currantmast.direct.updates import Entry, StoreUpdate, Topic
from currantmast.errors import StoreUnavailable
from currantmast.platform.store import ObjectStore
from currantmast.standins.platformstore import PlatformStore
from currantmast.standins.proxy import Link
from currantmast.standins.shaping import Channel, LinkFaults, LinkSettings

# Bandwidth in Mbit/s of the slowest links, and what it takes a second or more to send.
SLOW_MBIT_S = 4
SERVICES = (WeightedService('desk', 1),)
NAMES = tuple(f'{number:05}-{"x" * 60}' for number in range(4500))


@contextmanager
def open_link(upstream, mbit_s=SLOW_MBIT_S):
    clock = BootClock()
    faults = LinkFaults(bandwidth_mbit_s=mbit_s)
    link = Link(
        LinkSettings('slow', upstream=upstream, faults=faults),
        (Channel(clock), Channel(clock)),
        clock,
        Random(1),
    )
    try:
        yield link
    finally:
        link.close()


@pytest.fixture
def store():
    with PlatformStore() as found:
        found.put('config', 'main', make_configuration(1, *NAMES))
        yield found


def test_large_configuration_arrives_over_a_slow_link(store):
    """Guards against an instance that never reads a state which takes long to come."""
    with open_link(store.address) as link:
        client = ObjectStore(link.address, BootClock())
        listed = client.list_all(Topic.configuration)
        assert listed.entries[0].value.version == 1
        store.put('config', 'main', make_configuration(2, *NAMES))
        update = client.watch(Topic.configuration, listed.position, 1)
        assert update.entries[0].value.version == 2


def test_transfer_that_stalls_fails_soon(store):
    """Guards against a silent link that is waited for as if it were slow."""
    with open_link(store.address) as link:
        client = ObjectStore(link.address, BootClock())
        gevent.spawn_later(0.5, link.silence)
        with gevent.Timeout(3), pytest.raises(StoreUnavailable):
            client.list_all(Topic.configuration)


def test_large_configuration_arrives_from_a_relay_behind_a_slow_link():
    """Guards against a reserve that never gets a large state from its relay."""
    routes = tuple(
        Route(name, 'h', f'/{name}/', WorkKind.idempotent, SERVICES, 2, 0.5)
        for name in NAMES
    )
    configuration = Configuration(7, routes, {}, {}, {})
    with Relay() as relay, open_link(relay.server.address) as link:
        entries = (Entry('main', 5, configuration),)
        relay.read(Topic.configuration, StoreUpdate(at(9), entries))
        for record in list_relays(relay.members):
            relay.members.put(msgspec.structs.replace(record, peer=link.address))
        update = relay.source.list_all(Topic.configuration)
        assert update.entries == entries
        assert not relay.direct.calls
