"""Reserves that follow the store through relays."""

from random import Random

import gevent
import msgspec
import pytest
from test_direct_following import FollowerHarness, at

from currantmast.clocks import BootClock, ManualClock
from currantmast.direct.front import FrontServer
from currantmast.direct.members import Members
from currantmast.direct.model import (
    CallerLimits,
    Configuration,
    InstanceRecord,
    Location,
    Route,
    TargetRecord,
    Team,
    WeightedService,
    WorkKind,
)
from currantmast.direct.relays import RecordingSource, RelayServer
from currantmast.direct.reports import Heartbeat
from currantmast.direct.reserves import (
    ANSWER_MARGIN_S,
    RelayedSource,
    list_relays,
)
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.updatelogs import UpdateLog
from currantmast.direct.updates import Entry, InvalidEntry, StoreUpdate, Topic
from currantmast.errors import StoreUnavailable, WatchExpired
from currantmast.messages import Address
from currantmast.standins.proxy import Link
from currantmast.standins.shaping import Channel, LinkSettings

HERE = Location('fife', 'fife-a')
ANY_PORT = Address('127.0.0.1', 0)
CONFIGURATION = Configuration(
    7,
    (
        Route(
            'r1',
            'shop.example',
            '/look/',
            WorkKind('idempotent'),
            (WeightedService('s1', 1),),
            2,
            0.5,
            allowed_regions=frozenset(('fife',)),
        ),
    ),
    {},
    {'schools': Team('schools', 5, 5)},
    {'key': 'schools'},
)


def make_target(number, service='s1'):
    return TargetRecord(f't{number}', service, Address('127.0.0.1', 1), HERE, 3)


class Store:
    """A store whose answers a test sets."""

    def __init__(self):
        self.calls = []
        self.answers = {}
        self.lost = False

    def list_all(self, topic):
        return self._answer('list', topic)

    def watch(self, topic, revision, wait_s):
        return self._answer('watch', topic)

    def _answer(self, kind, topic):
        self.calls.append((kind, topic))
        if self.lost:
            raise StoreUnavailable('down')
        return self.answers[topic]


class Relay:
    """A relay that listens, and the reserve that follows it."""

    def __init__(self):
        self.clock = BootClock()
        self.store = Store()
        self.recorded = RecordingSource(self.store, self.clock)
        self.server = FrontServer(
            ANY_PORT,
            RelayServer(self.recorded, self.clock).answer,
            CallerLimits,
            self.clock,
        )
        self.direct = Store()
        own = InstanceRecord('reserve', 'run', HERE, ANY_PORT, ANY_PORT, 0.1)
        self.members = Members(own, self.clock)
        for number in range(3):
            name = f'entry-{number}'
            peer = self.server.address
            self.members.put(InstanceRecord(name, 'run', HERE, ANY_PORT, peer, 2))
            self.members.observe(Heartbeat(name, 'run', 1, True, False))
        self.members.update_entries()
        self.source = RelayedSource(
            RecordingSource(self.direct, self.clock),
            self.members,
            self.clock,
            StoreHealth(self.clock),
        )

    def __enter__(self):
        self.server.__enter__()
        return self

    def __exit__(self, *exc_info):
        self.server.__exit__(*exc_info)

    def read(self, topic, update):
        self.store.answers[topic] = update
        self.recorded.list_all(topic)


@pytest.fixture
def relay():
    with Relay() as found:
        yield found


def make_entries(*values):
    return tuple(Entry(value.id, 3, value) for value in values)


def test_every_kind_of_entry_is_relayed_unchanged(relay):
    entries = {
        Topic.configuration: (Entry('main', 5, CONFIGURATION),),
        Topic.targets: (
            *make_entries(make_target(1)),
            Entry('x', 4, InvalidEntry('y')),
        ),
        Topic.evacuations: (Entry('fife-a', 6, 'fife-a'),),
        Topic.instances: make_entries(relay.members.own),
    }
    for topic, expected in entries.items():
        relay.read(topic, StoreUpdate(at(9), expected))
        update = relay.source.list_all(topic)
        assert update.entries == expected
        assert update.position == at(9)
        assert update.age_s < 1
    assert not relay.direct.calls


def test_watch_returns_as_soon_as_the_relay_has_read_a_change(relay):
    relay.read(Topic.targets, StoreUpdate(at(9), make_entries(make_target(1))))
    relay.store.answers[Topic.targets] = StoreUpdate(at(10), (Entry('t1', 10, None),))
    gevent.spawn_later(0.1, relay.recorded.watch, Topic.targets, at(9), 0)
    with gevent.Timeout(1):
        update = relay.source.watch(Topic.targets, at(9), 3)
    assert update.entries == (Entry('t1', 10, None),)
    assert update.position == at(10)


def test_reserve_reads_the_store_when_its_relays_are_gone(relay):
    relay.direct.answers[Topic.targets] = StoreUpdate(at(12), ())
    relay.server.__exit__()
    with gevent.Timeout(3):
        assert relay.source.list_all(Topic.targets).position == at(12)


def test_relay_that_lost_the_store_says_so(relay):
    """Guards against a reserve that takes silence of a cut-off relay for no news."""
    relay.read(Topic.targets, StoreUpdate(at(9), ()))
    relay.direct.lost = relay.store.lost = True
    with pytest.raises(StoreUnavailable):
        relay.recorded.watch(Topic.targets, at(9), 0)
    with pytest.raises(StoreUnavailable):
        relay.source.watch(Topic.targets, at(9), 1)
    assert relay.direct.calls == [('watch', Topic.targets)]
    for _ in range(5):
        with pytest.raises(StoreUnavailable):
            relay.source.watch(Topic.targets, at(9), 1)
    assert len(relay.direct.calls) == 1


def test_entry_instance_reads_the_store_itself(relay):
    relay.direct.answers[Topic.targets] = StoreUpdate(at(12), ())
    for number in range(3):
        relay.members.remove(f'entry-{number}')
    relay.members.update_entries()
    assert relay.source.list_all(Topic.targets).position == at(12)


def test_list_of_a_relay_that_is_behind_brings_nothing_back():
    """Guards against a target or key in use again through a relay with an old copy."""
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(20), make_entries(make_target(1))),
        StoreUpdate(at(30), (Entry('t1', 30, None),)),
    )
    harness.follower._position = None
    harness.play(StoreUpdate(at(25), make_entries(make_target(1))))
    assert not harness.subscriber.entries


def test_age_of_a_relayed_read_shortens_the_lease():
    """Guards against a lease that outlives the last read of the store."""
    harness = FollowerHarness(Topic.configuration)
    read_at = harness.clock.now()
    harness.play(StoreUpdate(at(20), (), 1.5))
    assert harness.confirmed == [read_at - 1.5]


def test_log_returns_the_present_state_of_what_changed():
    log = UpdateLog()
    log.put_list(StoreUpdate(at(5), make_entries(make_target(1), make_target(2))), 0)
    log.put_changes(StoreUpdate(at(7), (Entry('t1', 7, None),)), 0)
    log.put_changes(StoreUpdate(at(9), make_entries(make_target(1))), 0)
    assert log.watch(at(5), 0).entries == make_entries(make_target(1))
    assert log.watch(at(7), 0).position == at(9)
    assert not log.watch(at(9), 0).entries
    assert len(log.list_all().entries) == 2
    with pytest.raises(WatchExpired):
        log.watch(at(4), 0)


def test_watch_from_a_newer_revision_waits_and_keeps_it():
    log = UpdateLog()
    log.put_list(StoreUpdate(at(5), ()), 0)
    assert log.watch(at(8), 0).position == at(8)


def test_reserve_relays_nothing(relay):
    """Guards against a record that is no longer kept up to date."""
    own = RecordingSource(relay.store, relay.clock)
    relay.read(Topic.targets, StoreUpdate(at(9), ()))
    relay.store.answers[Topic.targets] = StoreUpdate(at(3), ())
    own.list_all(Topic.targets)
    health = StoreHealth(relay.clock)
    RelayedSource(own, relay.members, relay.clock, health).list_all(Topic.targets)
    with pytest.raises(StoreUnavailable):
        own.logs[Topic.targets].list_all()


def test_instance_that_was_a_reserve_lists_before_it_relays():
    """Guards against a record with a gap, for the time in which a relay was followed."""
    store = Store()
    recorded = RecordingSource(store, ManualClock(0))
    with pytest.raises(WatchExpired):
        recorded.watch(Topic.targets, at(5), 0)
    assert not store.calls


def test_relay_that_lost_the_store_passes_on_no_topic(relay):
    """Guards against a list of targets that a cut-off relay hands on for seconds."""
    relay.read(Topic.targets, StoreUpdate(at(9), make_entries(make_target(1))))
    relay.store.lost = True
    with pytest.raises(StoreUnavailable):
        relay.recorded.list_all(Topic.configuration)
    relay.direct.answers[Topic.targets] = StoreUpdate(at(12), ())
    assert relay.source.list_all(Topic.targets).position == at(12)


def test_connections_to_relays_that_fell_silent_are_waited_for_once(relay):
    """Guards against a reserve that waits for the silent connection of each relay."""
    relay.read(Topic.targets, StoreUpdate(at(9), make_entries(make_target(1))))
    settings = LinkSettings('relays', upstream=relay.server.address)
    channels = (Channel(relay.clock), Channel(relay.clock))
    link = Link(settings, channels, relay.clock, Random(1))
    for record in list_relays(relay.members):
        relay.members.put(msgspec.structs.replace(record, peer=link.address))
    for record in list_relays(relay.members):
        relay.source._call(record, Topic.targets, None, ANSWER_MARGIN_S)
    link.silence()
    assert relay.source.list_all(Topic.targets).position == at(9)
    link.close()
    assert not relay.direct.calls
