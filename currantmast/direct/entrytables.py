"""The entries of one topic, as updates of the store change them."""

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from currantmast.clocks import Clock
from currantmast.direct.model import TargetRecord
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.targetsequences import TargetSequences
from currantmast.direct.updates import Entry, InvalidEntry, StoreUpdate, Topic
from currantmast.runtime.logs import log_event
from currantmast.runtime.origins import find_origin


class Subscriber(Protocol):
    """Receiver of the changes of one topic."""

    def put(self, name: str, value: Any) -> None:
        """Handle a new or changed entry."""

    def remove(self, name: str) -> None:
        """Handle the removal of an entry."""


class EntryTable:
    """Applies the updates of one topic, and passes the changes to a subscriber.

    After an outage entries may be missing that are back soon, and after a restore the
    store also lists what was replaced or removed since the copy was taken.

    A change that fails unexpectedly costs only its own entry: the others of the update are
    applied all the same.

    Parameters
    ----------
    topic : Topic
        Topic of the entries.
    subscriber : Subscriber
        Receiver of the changes.
    clock : Clock
        Source of time.
    health : StoreHealth
        Health of the store.
    """

    __slots__ = (
        '_clock',
        '_failed',
        '_health',
        '_missing',
        '_outdated',
        '_revisions',
        '_sequences',
        '_subscriber',
        '_topic',
    )

    def __init__(
        self, topic: Topic, subscriber: Subscriber, clock: Clock, health: StoreHealth
    ) -> None:
        self._topic = topic
        self._subscriber = subscriber
        self._clock = clock
        self._health = health
        # Revision of each known entry, by name.
        self._revisions: dict[str, int] = {}
        # Entries that are missing, but may be back soon.
        self._missing: set[str] = set()
        # Entries of a restored store that are older than what is known.
        self._outdated: dict[str, Entry] = {}
        self._sequences = TargetSequences(clock)
        # Entries whose newest change failed.
        self._failed: set[str] = set()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<EntryTable {self._topic.value} entries={len(self._revisions)}>'

    @property
    def has_missing(self) -> bool:
        """Whether entries are missing that may be back soon."""
        return bool(self._missing)

    @property
    def has_failed(self) -> bool:
        """Whether changes failed, so that the state differs from the store's."""
        return bool(self._failed)

    def get_return_deadline(self) -> float:
        """Return the time until which entries that a list lacks may be back."""
        rewritten_at = self._health.get_rewrite_deadline()
        if self._topic is not Topic.targets:
            return rewritten_at
        return max(rewritten_at, self._health.get_return_deadline())

    def apply(self, update: StoreUpdate, *, is_full_list: bool) -> None:
        """Process a list of all entries, or the changes that a watch returned."""
        if is_full_list:
            self._outdated.clear()
            self._failed.clear()
            listed = {entry.name for entry in update.entries}
            deadline = self.get_return_deadline()
            for missing in set(self._revisions) - listed:
                self._attempt(missing, partial(self._handle_missing, missing, deadline))
        for entry in update.entries:
            self._failed.discard(entry.name)
            self._attempt(entry.name, partial(self._apply_entry, entry))
        if self._clock.now() >= self.get_return_deadline():
            for name in tuple(self._missing):
                self._attempt(name, partial(self._drop, name, 'expired'))
        if self._outdated and not self._health.is_restoring():
            self._apply_outdated()

    def _attempt(self, name: str, change: Callable[[], None]) -> None:
        """Make a change of one entry; if it fails, use no target of this name."""
        try:
            change()
        except Exception as failure:
            self._note_failure(name, failure)
        else:
            return
        if self._topic is not Topic.targets:
            return
        try:
            self._drop(name, 'failed')
        except Exception as failure:
            self._note_failure(name, failure)

    def _note_failure(self, name: str, failure: Exception) -> None:
        self._failed.add(name)
        log_event(
            'entry_failed',
            level='ERROR',
            topic=self._topic.value,
            name=name,
            error=failure,
            at=find_origin(failure),
        )

    def _apply_entry(self, entry: Entry) -> None:
        match entry.value:
            case None:
                self._outdated.pop(entry.name, None)
                self._handle_missing(entry.name, self._get_lapse_deadline())
            case InvalidEntry(reason):
                self._reject(entry, reason)
            case TargetRecord() as record if self._is_outdated(record):
                self._outdated[entry.name] = entry
                self._missing.discard(entry.name)
                log_event('entry_outdated', topic=self._topic.value, name=entry.name)
            case value:
                self._put(entry, value)

    def _put(self, entry: Entry, value: Any) -> None:
        self._missing.discard(entry.name)
        self._outdated.pop(entry.name, None)
        self._revisions[entry.name] = entry.revision
        if isinstance(value, TargetRecord):
            self._sequences.put(value)
        self._subscriber.put(entry.name, value)

    def _reject(self, entry: Entry, reason: str) -> None:
        if self._revisions.get(entry.name) != entry.revision:
            log_event(
                'entry_unusable',
                level='WARNING',
                topic=self._topic.value,
                name=entry.name,
                reason=reason,
            )
        self._drop(entry.name, 'unusable')

    def _is_outdated(self, record: TargetRecord) -> bool:
        return self._health.is_restoring() and self._sequences.is_older(record)

    def _apply_outdated(self) -> None:
        """Apply what is still listed: its target lives, and says nothing else."""
        for entry in tuple(self._outdated.values()):
            self._attempt(entry.name, partial(self._put, entry, entry.value))

    def _get_lapse_deadline(self) -> float:
        """Return the time until which removed entries may only have lapsed."""
        if self._topic is not Topic.targets:
            return self._clock.now()
        return self._health.get_return_deadline()

    def _handle_missing(self, name: str, deadline: float) -> None:
        """Drop an entry at once, or at the deadline if it may be back until then."""
        if name not in self._revisions:
            return
        for_s = deadline - self._clock.now()
        if for_s <= 0:
            self._drop(name, 'removed')
        elif name not in self._missing:
            self._missing.add(name)
            log_event(
                'removal_deferred', topic=self._topic.value, name=name, for_s=for_s
            )

    def _drop(self, name: str, cause: str) -> None:
        self._missing.discard(name)
        self._sequences.remove(name)
        if self._revisions.pop(name, None) is not None:
            log_event('entry_gone', topic=self._topic.value, name=name, cause=cause)
        self._subscriber.remove(name)
