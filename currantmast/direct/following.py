"""Followers: lists and watches of the store that keep an instance's state up to date."""

import math
from collections.abc import Callable
from random import Random
from types import MappingProxyType

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.entrytables import EntryTable, Subscriber
from currantmast.direct.positions import START, Position
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.updates import Source, StoreUpdate, Topic
from currantmast.errors import StoreError, StoreUnavailable, WatchExpired
from currantmast.runtime.logs import log_event

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0

# Fraction of a backoff that is waited at least. The rest is random, so that the followers
# of an instance don't all call at once, and one of them soon notices a recovery.
MIN_BACKOFF_FRACTION = 0.5

# Longest wait in seconds of a watch while a missing target may be back, so that it is
# dropped soon after a peer tells that the store was never away.
MISSING_WAIT_S = 0.4

# Seconds beyond its wait within which a watch that hangs is noticed and the topic is read
# again.
HANG_MARGIN_S = 1.0

# Seconds from one list to the next while changes that failed are tried again.
FAILED_INTERVAL_S = 5.0

# Shortest wait in seconds of a watch of targets, however short the recovery time is.
MIN_TARGETS_WAIT_S = 0.5


class WatchTiming(msgspec.Struct, frozen=True):
    """Timing of the watches of a topic.

    Parameters
    ----------
    wait_s : float
        Longest time in seconds that one watch waits for a change.
    batch_pause_s : float
        Pause in seconds after a change, so that the next call returns several at once.
    min_wait_s : float or None
        If set, each watch waits for a random time from this to `wait_s`, so that the
        watches of the instances end at different moments, and each instance can renew
        its lease on the configuration with the most recent read of any peer.
    """

    wait_s: float
    batch_pause_s: float
    min_wait_s: float | None = None


WATCH_TIMINGS = MappingProxyType(
    {
        Topic.configuration: WatchTiming(wait_s=2.2, batch_pause_s=0.1, min_wait_s=0.4),
        Topic.targets: WatchTiming(wait_s=3.0, batch_pause_s=0.6),
        Topic.evacuations: WatchTiming(wait_s=4.0, batch_pause_s=0.3),
        Topic.instances: WatchTiming(wait_s=5.0, batch_pause_s=0.5),
    }
)


class Follower:
    """Reads one topic of the store and passes its changes to a subscriber.

    Parameters
    ----------
    topic : Topic
        Topic to follow.
    source : Source
        Store to read from.
    subscriber : Subscriber
        Receiver of the changes.
    clock : Clock
        Source of time.
    health : StoreHealth
        Health of the store, shared by the followers of all topics.
    on_read : callable, optional
        Called after each successful read with the latest time at which what it returned
        was certainly in the store; not while a configuration can't be put in force.
    """

    __slots__ = (
        '_backoff_s',
        '_clock',
        '_health',
        '_last_error',
        '_last_position',
        '_list_again_at',
        '_on_read',
        '_position',
        '_rng',
        '_source',
        '_store_lost',
        '_table',
        'topic',
    )

    def __init__(
        self,
        topic: Topic,
        source: Source,
        subscriber: Subscriber,
        clock: Clock,
        health: StoreHealth,
        on_read: Callable[[float], None] | None = None,
    ) -> None:
        self.topic = topic
        self._source = source
        self._clock = clock
        self._rng = Random()
        self._on_read = on_read
        # Position to watch from; None when the whole topic must be listed.
        self._position: Position | None = None
        # Newest position that was read.
        self._last_position = START
        self._table = EntryTable(topic, subscriber, clock, health)
        # Time from which the topic may be listed again because of failed changes.
        self._list_again_at = -math.inf
        self._health = health
        self._store_lost = False
        # Error of the last call; empty after a successful one.
        self._last_error = ''
        self._backoff_s = FIRST_BACKOFF_S

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Follower {self.topic.value} position={self._position}>'

    def run(self) -> None:
        """Follow the topic forever; run as a task."""
        while True:
            pause_s = self.step()
            if self._store_lost:
                self._health.wait(pause_s)
            else:
                self._clock.sleep(pause_s)

    def step(self) -> float:
        """Make one call to the store; return the seconds to pause before the next."""
        sent_at = self._clock.now()
        try:
            update = self._read()
        except WatchExpired:
            log_event(
                'history_gone', topic=self.topic.value, position=str(self._position)
            )
            self._position = None
            return 0
        except StoreError as error:
            return self._note_failure(error, sent_at)
        self._health.note_era(update.position.era)
        self._note_success(update.position)
        self._table.apply(update, is_full_list=self._position is None)
        # Moved on only now, so that an update that could not be applied is read again.
        self._position = update.position
        self._last_position = max(self._last_position, update.position)
        if self._table.has_failed and sent_at >= self._list_again_at:
            self._list_again_at = sent_at + FAILED_INTERVAL_S
            self._position = None
        read_at = sent_at - update.age_s
        self._health.read_times.note(self.topic, read_at)
        if self._on_read is not None and not self._lacks_configuration():
            self._on_read(read_at)
        return WATCH_TIMINGS[self.topic].batch_pause_s if update.entries else 0

    def _lacks_configuration(self) -> bool:
        """Return whether a configuration was read, but could not be put in force."""
        return self.topic is Topic.configuration and self._table.has_failed

    def _read(self) -> StoreUpdate:
        if self._position is None:
            return self._list_all()
        # After a failure the call returns at once, to detect the recovery early.
        wait_s = 0 if self._store_lost else self._choose_wait()
        if self._table.has_missing:
            left_s = self._table.get_return_deadline() - self._clock.now()
            wait_s = min(wait_s, MISSING_WAIT_S, max(0, left_s))
        return self._source.watch(self.topic, self._position, wait_s)

    def _list_all(self) -> StoreUpdate:
        update = self._source.list_all(self.topic)
        if update.position < self._last_position:
            # A relay may be behind. Its list would bring back what was removed since.
            raise StoreUnavailable(f'list of {update.position} is outdated')
        return update

    def _choose_wait(self) -> float:
        timing = WATCH_TIMINGS[self.topic]
        if self.topic is Topic.targets:
            longest_s = self._health.recovery_s - HANG_MARGIN_S
            return max(MIN_TARGETS_WAIT_S, min(timing.wait_s, longest_s))
        if timing.min_wait_s is None:
            return timing.wait_s
        return self._rng.uniform(timing.min_wait_s, timing.wait_s)

    def _note_failure(self, error: StoreError, sent_at: float) -> float:
        self._health.note_failure(sent_at)
        if str(error) != self._last_error:
            # A different error tells of another cause, also within one outage.
            log_event(
                'store_read_failed' if self._store_lost else 'store_lost',
                level='WARNING',
                topic=self.topic.value,
                error=error,
                position=str(self._last_position),
            )
        self._store_lost = True
        self._last_error = str(error)
        pause_s = self._backoff_s * self._rng.uniform(MIN_BACKOFF_FRACTION, 1)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
        return pause_s

    def _note_success(self, position: Position) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        self._health.note_success()
        if self._store_lost:
            outage = self._health.last_outage
            log_event(
                'store_regained',
                topic=self.topic.value,
                position=str(position),
                outage_s=outage.length_s if outage else None,
                unnoticed_s=outage.unnoticed_s if outage else None,
            )
        self._store_lost = False
        self._last_error = ''
