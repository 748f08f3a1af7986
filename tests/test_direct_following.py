"""Followers of the store during outages, with expired entries and lost history."""

from currantmast.clocks import ManualClock
from currantmast.direct.following import (
    Entry,
    Follower,
    News,
    StoreHealth,
    Topic,
    Unusable,
)
from currantmast.errors import StoreUnavailable, WatchExpired


class ScriptedSource:
    """Returns or raises the next of a list of results at each read."""

    def __init__(self, clock):
        self.clock = clock
        self.script = []
        self.reads = []

    def list_all(self, topic):
        self.reads.append('list')
        return self._next()

    def watch(self, topic, revision, wait_s):
        self.reads.append(('watch', revision))
        return self._next()

    def _next(self):
        found = self.script.pop(0)
        if isinstance(found, Exception):
            raise found
        return found


class Table:
    """Records the entries that a follower passes on."""

    def __init__(self):
        self.kept = {}

    def put(self, name, value):
        self.kept[name] = value

    def remove(self, name):
        self.kept.pop(name, None)


class World:
    def __init__(self, topic=Topic.targets):
        self.clock = ManualClock(1000)
        self.source = ScriptedSource(self.clock)
        self.table = Table()
        self.confirmed = []
        self.health = StoreHealth(self.clock)
        self.follower = Follower(
            topic,
            self.source,
            self.table,
            self.clock,
            self.health,
            self.confirmed.append,
        )

    def play(self, *script, pause_s=0.1):
        for found in script:
            self.source.script.append(found)
            self.follower.step()
            self.clock.advance(pause_s)


def put(name, revision=1, value='v'):
    return Entry(name, revision, value)


def gone(name, revision=9):
    return Entry(name, revision, None)


DOWN = StoreUnavailable('503')
CALM = News(5, ())


def test_watch_resumes_after_an_outage():
    world = World()
    world.play(News(5, (put('a'),)), DOWN, DOWN, News(7, (put('b'),)))
    assert world.source.reads == ['list', ('watch', 5), ('watch', 5), ('watch', 5)]
    assert set(world.table.kept) == {'a', 'b'}


def test_lost_history_is_read_whole_again_and_what_is_missing_goes():
    world = World()
    world.play(News(5, (put('a'), put('b'))), WatchExpired(''), News(9, (put('b'),)))
    assert set(world.table.kept) == {'b'}


def test_target_removed_in_calm_is_gone_at_once():
    world = World()
    world.play(News(5, (put('a'),)), News(6, (gone('a'),)))
    assert not world.table.kept


def test_targets_that_lapse_in_an_outage_stay_until_they_had_time_to_return():
    """Guards against a store outage that empties the table of targets."""
    world = World()
    world.play(News(5, (put('a'), put('b'))), DOWN, News(8, (gone('a'), gone('b'))))
    assert set(world.table.kept) == {'a', 'b'}
    world.play(News(9, (put('a', 9),)), pause_s=2.3)
    world.play(CALM)
    assert set(world.table.kept) == {'a'}


def test_lapse_is_also_seen_in_a_whole_list():
    world = World()
    world.play(News(5, (put('a'),)), DOWN, WatchExpired(''), News(8, ()))
    assert set(world.table.kept) == {'a'}
    world.play(CALM, pause_s=2.3)
    world.play(CALM)
    assert not world.table.kept


def test_evacuation_taken_back_in_an_outage_ends_at_once():
    world = World(Topic.evacuations)
    world.play(News(5, (put('a'),)), DOWN, News(8, (gone('a'),)))
    assert not world.table.kept


def test_unusable_entry_names_nothing_and_harms_no_other():
    world = World()
    odd = Entry('a', 6, Unusable('no slots'))
    world.play(News(5, (put('a'), put('b'))), News(6, (odd,)))
    assert set(world.table.kept) == {'b'}


def test_sound_read_counts_from_its_sending():
    """Guards against a lease that starts when a delayed answer arrives."""
    world = World(Topic.configuration)
    slow = News(5, ())
    original = world.source.list_all

    def answer_late(topic):
        world.clock.advance(2)
        return original(topic)

    world.source.list_all = answer_late
    world.play(slow)
    assert world.confirmed == [1000]


def test_failed_read_confirms_nothing():
    world = World(Topic.configuration)
    world.play(DOWN, WatchExpired(''))
    assert not world.confirmed


def test_time_to_return_counts_from_the_first_answer_of_any_topic():
    """Guards against use of a removed target long after a partition has healed.

    Seen when the list of targets was read 1.6 s after another topic's first answer
    (scale-2 of glenbrae-mast, seed 155566213091).
    """
    world = World()
    world.play(News(5, (put('a'),)), DOWN)
    world.clock.advance(10)
    world.health.note_success()
    world.clock.advance(1.6)
    world.play(WatchExpired(''), News(8, ()), pause_s=0.7)
    world.play(CALM)
    assert not world.table.kept


class SlowFailure:
    """Source whose call is sent before the store's recovery and times out after it."""

    def __init__(self, world):
        self.world = world

    def list_all(self, topic):
        self.world.clock.advance(0.1)
        self.world.health.note_success()
        self.world.clock.advance(1.3)
        raise DOWN


def test_call_that_times_out_after_the_recovery_is_no_new_outage():
    """Guards against use of a removed target long after a partition has healed.

    Seen when a call from before the recovery timed out 1.3 s after it and restarted the
    time in which targets may return (scale-2 of glenbrae-mast, seed 484698024239).
    """
    world = World()
    world.play(News(5, (put('a'),)), DOWN)
    world.clock.advance(10)
    other = Follower(
        Topic.instances, SlowFailure(world), Table(), world.clock, world.health
    )
    other.step()
    world.play(WatchExpired(''), News(8, ()), pause_s=0.5)
    world.play(CALM)
    assert not world.table.kept


def record_waits(world):
    waits = []
    original = world.source.watch
    world.source.watch = lambda topic, revision, wait_s: (
        waits.append(wait_s) or original(topic, revision, wait_s)
    )
    return waits


def test_first_call_after_a_failure_does_not_wait_for_a_change():
    world = World()
    waits = record_waits(world)
    world.play(News(5, ()), DOWN, CALM, CALM)
    assert waits[1] == 0
    assert waits[2] > 0


def test_watches_of_the_configuration_end_at_different_moments():
    """Guards against leases that all expire together at the start of an outage.

    With watches of equal length, all instances begin theirs together after a change, so
    the fleet's newest read can be as old as a whole watch.
    """
    world = World(Topic.configuration)
    waits = record_waits(world)
    world.play(News(5, ()), *[CALM] * 40)
    assert min(waits) < 1 < 1.6 < max(waits)
