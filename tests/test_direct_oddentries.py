"""Fleets that follow a store in which another writer left odd entries."""

import random

import msgspec
import pytest
from followingfleet import FollowingFleet, make_configuration, make_server

NESTED = msgspec.Raw(b'{"zone":' + b'[' * 5000 + b']' * 5000 + b'}')
TOO_LARGE = msgspec.Raw(b'{"service":"desk","slots":1e999}')
HALF_PAIR = msgspec.Raw(rb'{"service":"desk","version":"v1 \ud83d"}')
HALF_PAIR_IN_KEY = msgspec.Raw(rb'{"service":"desk","\udc00":1}')
NO_NUMBER = msgspec.Raw(b'{"service":"desk","slots":NaN}')
ODD = {
    'nested': NESTED,
    'too large': TOO_LARGE,
    'half a pair': HALF_PAIR,
    'half a pair in a key': HALF_PAIR_IN_KEY,
    'no number': NO_NUMBER,
}


@pytest.mark.parametrize('size', [9, 195])
@pytest.mark.parametrize('spec', ODD.values(), ids=ODD)
def test_fleet_follows_the_store_beside_an_odd_entry(size, spec):
    """Guards against instances that end, or use targets that left, by one entry."""
    with FollowingFleet(size, random.Random(1)) as fleet:
        fleet.store.put('config', 'main', make_configuration(3, 'a'))
        fleet.store.put('servers', 't1', make_server(1))
        fleet.store.put('servers', 't2', make_server(2))
        fleet.run(1.5)
        fleet.store.put('servers', 'odd', spec)
        fleet.run(0.5)
        fleet.store.put('config', 'main', make_configuration(4, 'a'))
        fleet.store.put('servers', 't3', make_server(3))
        fleet.store.remove('servers', 't2')
        fleet.run(1)
        assert set(fleet.versions().values()) == {4}
        for instance in fleet.instances.values():
            targets = {found.record.id for found in instance.state.targets.list_all()}
            assert targets == {'t1', 't3'}
