"""Followers of the store during outages, with expired entries and lost history."""

import pytest

from currantmast.clocks import ManualClock
from currantmast.direct.following import Follower
from currantmast.direct.positions import Position
from currantmast.direct.storehealth import StoreContact, StoreHealth
from currantmast.direct.updates import Entry, InvalidEntry, StoreUpdate, Topic
from currantmast.errors import StoreUnavailable, WatchExpired
from currantmast.platform.store import WATCH_MARGIN_S

# Seconds after a failure within which an instance acts on the store's state again.
RECOVERY_S = 3.0


def at(revision, era=1):
    return Position(era, revision)


class ScriptedSource:
    """Returns or raises the next of a list of results at each read."""

    def __init__(self, clock):
        self.clock = clock
        self.script = []
        self.reads = []

    def list_all(self, topic):
        self.reads.append('list')
        return self._next()

    def watch(self, topic, position, wait_s):
        self.reads.append(('watch', position.revision))
        return self._next()

    def _next(self):
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class RecordingSubscriber:
    """Records the entries that a follower passes on."""

    def __init__(self):
        self.entries = {}

    def put(self, name, value):
        self.entries[name] = value

    def remove(self, name):
        self.entries.pop(name, None)


class FollowerHarness:
    def __init__(self, topic=Topic.targets):
        self.clock = ManualClock(1000)
        self.source = ScriptedSource(self.clock)
        self.subscriber = RecordingSubscriber()
        self.confirmed = []
        self.health = StoreHealth(self.clock)
        self.follower = Follower(
            topic,
            self.source,
            self.subscriber,
            self.clock,
            self.health,
            self.confirmed.append,
        )

    def play(self, *script, pause_s=0.1):
        for result in script:
            self.source.script.append(result)
            self.follower.step()
            self.clock.advance(pause_s)


def make_entry(name, revision=1, value='v'):
    return Entry(name, revision, value)


def make_removed(name, revision=9):
    return Entry(name, revision, None)


UNAVAILABLE = StoreUnavailable('503')

# Calls that fail for 4 s, long enough for entries to expire.
LONG_OUTAGE = [UNAVAILABLE] * 40
NO_CHANGES = StoreUpdate(at(5), ())


def test_watch_resumes_after_an_outage():
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(5), (make_entry('a'),)),
        UNAVAILABLE,
        UNAVAILABLE,
        StoreUpdate(at(7), (make_entry('b'),)),
    )
    assert harness.source.reads == ['list', ('watch', 5), ('watch', 5), ('watch', 5)]
    assert set(harness.subscriber.entries) == {'a', 'b'}


def test_lost_history_is_replaced_by_a_full_list():
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(5), (make_entry('a'), make_entry('b'))),
        WatchExpired(''),
        StoreUpdate(at(9), (make_entry('b'),)),
    )
    assert set(harness.subscriber.entries) == {'b'}


def test_target_removed_without_an_outage_is_dropped_at_once():
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(5), (make_entry('a'),)), StoreUpdate(at(6), (make_removed('a'),))
    )
    assert not harness.subscriber.entries


def test_targets_that_expire_in_an_outage_stay_until_they_can_return():
    """Guards against a store outage that empties the table of targets."""
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(5), (make_entry('a'), make_entry('b'))),
        *LONG_OUTAGE,
        StoreUpdate(at(8), (make_removed('a'), make_removed('b'))),
    )
    assert set(harness.subscriber.entries) == {'a', 'b'}
    harness.play(StoreUpdate(at(9), (make_entry('a', 9),)), pause_s=2.3)
    harness.play(NO_CHANGES)
    assert set(harness.subscriber.entries) == {'a'}


def test_expired_target_stays_when_missing_from_a_full_list():
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(5), (make_entry('a'),)),
        *LONG_OUTAGE,
        WatchExpired(''),
        StoreUpdate(at(8), ()),
    )
    assert set(harness.subscriber.entries) == {'a'}
    harness.play(NO_CHANGES, pause_s=2.3)
    harness.play(NO_CHANGES)
    assert not harness.subscriber.entries


def test_evacuation_withdrawn_in_an_outage_ends_at_once():
    harness = FollowerHarness(Topic.evacuations)
    harness.play(
        StoreUpdate(at(5), (make_entry('a'),)),
        UNAVAILABLE,
        StoreUpdate(at(8), (make_removed('a'),)),
    )
    assert not harness.subscriber.entries


def test_invalid_entry_is_dropped_and_others_stay():
    harness = FollowerHarness()
    invalid = Entry('a', 6, InvalidEntry('no slots'))
    harness.play(
        StoreUpdate(at(5), (make_entry('a'), make_entry('b'))),
        StoreUpdate(at(6), (invalid,)),
    )
    assert set(harness.subscriber.entries) == {'b'}


def test_read_confirms_the_time_at_which_it_was_sent():
    """Guards against a lease that starts when a delayed answer arrives."""
    harness = FollowerHarness(Topic.configuration)
    slow = StoreUpdate(at(5), ())
    original = harness.source.list_all

    def answer_late(topic):
        harness.clock.advance(2)
        return original(topic)

    harness.source.list_all = answer_late
    harness.play(slow)
    assert harness.confirmed == [1000]


def test_failed_read_confirms_nothing():
    harness = FollowerHarness(Topic.configuration)
    harness.play(UNAVAILABLE, WatchExpired(''))
    assert not harness.confirmed


def test_time_to_return_counts_from_the_first_answer_of_any_topic():
    """Guards against use of a removed target long after a partition has healed.

    Seen when the list of targets was read 1.6 s after another topic's first answer
    (scale-2 of glenbrae-mast, seed 155566213091).
    """
    harness = FollowerHarness()
    harness.play(StoreUpdate(at(5), (make_entry('a'),)), UNAVAILABLE)
    harness.clock.advance(10)
    harness.health.note_success()
    harness.clock.advance(1.6)
    harness.play(WatchExpired(''), StoreUpdate(at(8), ()), pause_s=0.7)
    harness.play(NO_CHANGES)
    assert not harness.subscriber.entries


class SlowFailure:
    """Source whose call is sent before the store's recovery and times out after it."""

    def __init__(self, harness):
        self.harness = harness

    def list_all(self, topic):
        self.harness.clock.advance(0.1)
        self.harness.health.note_success()
        self.harness.clock.advance(1.3)
        raise UNAVAILABLE


def test_call_that_times_out_after_the_recovery_is_no_new_outage():
    """Guards against use of a removed target long after a partition has healed.

    Seen when a call from before the recovery timed out 1.3 s after it and restarted the
    time in which targets may return (scale-2 of glenbrae-mast, seed 484698024239).
    """
    harness = FollowerHarness()
    harness.play(StoreUpdate(at(5), (make_entry('a'),)), UNAVAILABLE)
    harness.clock.advance(10)
    other = Follower(
        Topic.instances,
        SlowFailure(harness),
        RecordingSubscriber(),
        harness.clock,
        harness.health,
    )
    other.step()
    harness.play(WatchExpired(''), StoreUpdate(at(8), ()), pause_s=0.5)
    harness.play(NO_CHANGES)
    assert not harness.subscriber.entries


def record_waits(harness):
    waits = []
    original = harness.source.watch
    harness.source.watch = lambda topic, position, wait_s: (
        waits.append(wait_s) or original(topic, position, wait_s)
    )
    return waits


def test_first_call_after_a_failure_does_not_wait_for_a_change():
    harness = FollowerHarness()
    waits = record_waits(harness)
    harness.play(StoreUpdate(at(5), ()), UNAVAILABLE, NO_CHANGES, NO_CHANGES)
    assert waits[1] == 0
    assert waits[2] > 0


def test_configuration_watches_vary_in_length():
    """Guards against leases that all expire together at the start of an outage.

    With watches of equal length, all instances begin theirs together after a change, so
    the fleet's newest read can be as old as a whole watch.
    """
    harness = FollowerHarness(Topic.configuration)
    waits = record_waits(harness)
    harness.play(StoreUpdate(at(5), ()), *[NO_CHANGES] * 40)
    assert min(waits) < 1 < 1.6 < max(waits)


def test_removed_target_is_dropped_in_time_though_the_return_is_noticed_late():
    """Guards against requests to a target that left while this instance was cut off."""
    harness = FollowerHarness()
    harness.play(StoreUpdate(at(5), (make_entry('a'),)), pause_s=10)
    # The cut heals just after this call was sent.
    healed_at = harness.clock.now()
    harness.play(UNAVAILABLE, pause_s=1.3)
    harness.play(WatchExpired(''), StoreUpdate(at(8), ()))
    while harness.clock.now() < healed_at + RECOVERY_S - 0.2:
        harness.play(NO_CHANGES)
    assert not harness.subscriber.entries


def test_broken_connection_keeps_no_removed_target():
    """Guards against a failure too short for any entry to expire in it."""
    harness = FollowerHarness()
    harness.play(
        StoreUpdate(at(5), (make_entry('a'),)),
        UNAVAILABLE,
        StoreUpdate(at(8), (make_removed('a'),)),
    )
    assert not harness.subscriber.entries


def test_watch_of_targets_that_hangs_ends_within_the_recovery_time():
    """Guards against requests to targets that left while a connection was silent."""
    harness = FollowerHarness()
    waits = record_waits(harness)
    harness.play(StoreUpdate(at(5), ()), *[NO_CHANGES] * 5)
    assert max(waits) + WATCH_MARGIN_S + 0.3 <= RECOVERY_S


def play_cut(harness):
    """Play a long outage in which a target goes missing."""
    harness.play(
        StoreUpdate(at(5), (make_entry('a'),)),
        *LONG_OUTAGE,
        StoreUpdate(at(8), (make_removed('a'),)),
    )


def test_target_removed_while_only_this_instance_was_cut_off_is_dropped_at_once():
    harness = FollowerHarness()
    harness.health.note_peer('peer', StoreContact(since_s=60, answered_s=0))
    harness.play(StoreUpdate(at(5), (make_entry('a'),)), *LONG_OUTAGE)
    harness.health.note_peer('peer', StoreContact(since_s=60, answered_s=1.5))
    harness.play(StoreUpdate(at(8), (make_removed('a'),)))
    assert not harness.subscriber.entries


def test_missing_target_is_dropped_as_soon_as_a_peer_is_heard_that_had_the_store():
    harness = FollowerHarness()
    waits = record_waits(harness)
    play_cut(harness)
    assert harness.subscriber.entries
    harness.health.note_peer('peer', StoreContact(since_s=60, answered_s=1.5))
    harness.play(NO_CHANGES)
    assert not harness.subscriber.entries
    assert waits[-1] <= 0.5


@pytest.mark.parametrize(
    'contact',
    [
        pytest.param(StoreContact(since_s=60, answered_s=4.3), id='not yet noticed'),
        pytest.param(StoreContact(since_s=0.1, answered_s=0), id='just returned'),
    ],
)
def test_peer_that_lost_the_store_too_proves_no_removal(contact):
    """Guards against a store outage that empties the table of targets."""
    harness = FollowerHarness()
    play_cut(harness)
    harness.health.note_peer('peer', contact)
    harness.play(NO_CHANGES)
    assert set(harness.subscriber.entries) == {'a'}


def test_failure_after_an_outage_leaves_targets_their_time_to_return():
    harness = FollowerHarness()
    play_cut(harness)
    harness.play(UNAVAILABLE, NO_CHANGES, StoreUpdate(at(9), (make_removed('b'),)))
    assert set(harness.subscriber.entries) == {'a'}
    harness.play(NO_CHANGES, pause_s=2.2)
    harness.play(NO_CHANGES)
    assert not harness.subscriber.entries


def test_outages_one_after_the_other_end_the_time_to_return_once():
    """Guards against a missing target whose time starts anew with each short failure."""
    harness = FollowerHarness()
    play_cut(harness)
    for _ in range(6):
        harness.play(UNAVAILABLE, WatchExpired(''), StoreUpdate(at(9), ()), pause_s=0.2)
    assert not harness.subscriber.entries


class FailingSubscriber(RecordingSubscriber):
    """Fails on every change of one entry."""

    def __init__(self, name):
        super().__init__()
        self.name = name

    def put(self, name, value):
        if name == self.name:
            raise RuntimeError('a fault')
        super().put(name, value)


@pytest.mark.parametrize('is_watch', [True, False], ids=['watch', 'list'])
def test_entry_that_fails_costs_only_itself(is_watch):
    """Guards against changes that are lost because they came behind a faulty one."""
    harness = FollowerHarness()
    subscriber = FailingSubscriber('b')
    harness.follower._table._subscriber = subscriber
    if is_watch:
        harness.source.script = [StoreUpdate(at(1), ())]
        harness.follower.step()
    entries = tuple(Entry(name, 2, name) for name in 'abc')
    harness.source.script = [StoreUpdate(at(2), entries)]
    harness.follower.step()
    assert subscriber.entries == {'a': 'a', 'c': 'c'}


def test_change_that_failed_is_tried_again():
    """Guards against an instance that acts without an entry until it changes again."""
    harness = FollowerHarness()
    subscriber = FailingSubscriber('b')
    harness.follower._table._subscriber = subscriber
    entries = tuple(Entry(name, 2, name) for name in 'abc')
    harness.source.script = [StoreUpdate(at(2), entries)] * 2
    harness.follower.step()
    subscriber.name = None
    harness.follower.step()
    assert subscriber.entries == {'a': 'a', 'b': 'b', 'c': 'c'}
    assert harness.source.reads == ['list', 'list']


def test_configuration_that_fails_confirms_no_older_one():
    """Guards against a lease on a configuration that a newer one has replaced."""
    harness = FollowerHarness(Topic.configuration)
    subscriber = FailingSubscriber('main')
    harness.follower._table._subscriber = subscriber
    harness.source.script = [StoreUpdate(at(2), (Entry('main', 2, 'new'),))] * 2
    harness.follower.step()
    assert harness.confirmed == []
    subscriber.name = None
    harness.follower.step()
    assert harness.confirmed
