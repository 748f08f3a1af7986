"""Real instances on a stand-in of the users' platform."""

import signal

import gevent
import pytest

from currantmast.standins.platformfleet import KEYS, PlatformFleet

RATE = 60


@pytest.fixture(scope='module')
def fleet():
    with PlatformFleet(size=6, seed=11) as running:
        yield running


@pytest.fixture(autouse=True)
def check(fleet):
    fleet.tally.statuses.clear()
    yield
    assert not fleet.list_violations()


def count_failed(tally):
    return sum(tally.statuses.values()) - tally.statuses[200]


def test_calm_load_is_served_whole(fleet):
    tally = fleet.load(RATE, 3)
    assert count_failed(tally) == 0


def test_replacing_an_instance_cuts_no_request(fleet):
    """Guards against a planned stop that loses what it has read."""
    load = gevent.spawn(fleet.load, RATE, 6)
    gevent.sleep(0.5)
    fleet.instances['edge-0'].send_signal(signal.SIGTERM)
    assert fleet.instances['edge-0'].wait_exit(8) == 0
    tally = load.get()
    fleet.start('edge-0')
    fleet.wait_ready()
    assert count_failed(tally) == 0


def test_killed_instance_is_soon_named_no_more_and_rejoins(fleet):
    address = str(fleet.public['edge-1'])
    fleet.instances['edge-1'].end()
    gevent.sleep(2)
    named = fleet.look_up('edge-0', 'fife', 'fife-a')
    assert address not in named
    assert named
    tally = fleet.load(RATE, 2)
    assert count_failed(tally) == 0
    fleet.start('edge-1')
    fleet.wait_ready()


def test_withdrawn_key_stops_within_its_bound(fleet):
    """Guards against a key that works on after it was taken away."""
    fleet.keys['fitters'] = []
    fleet.publish()
    gevent.sleep(1)
    tally = fleet.load(RATE, 2)
    fleet.keys['fitters'] = [KEYS['fitters']]
    fleet.publish()
    gevent.sleep(1)
    assert tally.statuses[401] > 0
    assert set(tally.statuses) == {200, 401}


def test_store_outage_stops_keyed_requests_only_after_the_lease(fleet):
    fleet.store.faults.outage = True
    tally = fleet.load(RATE, 2)
    assert count_failed(tally) == 0
    gevent.sleep(4)
    tally.statuses.clear()
    fleet.load(RATE, 1)
    assert set(tally.statuses) == {503}
    fleet.store.faults.outage = False
    gevent.sleep(2)
    tally.statuses.clear()
    assert count_failed(fleet.load(RATE, 2)) == 0


def test_suspended_instance_admits_nothing_on_an_old_configuration(fleet):
    """Guards against a lease that does not see its holder's suspension."""
    paused = fleet.instances['edge-2']
    paused.send_signal(signal.SIGSTOP)
    fleet.keys['fitters'] = []
    fleet.publish()
    gevent.sleep(6)
    paused.send_signal(signal.SIGCONT)
    tally = fleet.load(RATE, 2)
    fleet.keys['fitters'] = [KEYS['fitters']]
    fleet.publish()
    gevent.sleep(1)
    assert tally.statuses[401] > 0
    by_team = sum(target.tenants['fitters'] for target in fleet.targets)
    fleet.load(RATE, 1)
    assert sum(target.tenants['fitters'] for target in fleet.targets) > by_team


def test_leaving_target_gets_nothing_more(fleet):
    target = fleet.targets[0]
    fleet.store.put('servers', target.plan.id, target.describe('draining'))
    gevent.sleep(1)
    before = sum(target.tenants.values())
    tally = fleet.load(RATE, 2)
    assert count_failed(tally) == 0
    assert sum(target.tenants.values()) == before
    fleet.store.put('servers', target.plan.id, target.describe())
