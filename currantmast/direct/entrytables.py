"""The entries of one topic, as updates of the store change them."""

import math
from typing import Any, Protocol

from currantmast.clocks import Clock
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.updates import Entry, InvalidEntry, StoreUpdate, Topic
from currantmast.runtime.logs import log_event


class Subscriber(Protocol):
    """Receiver of the changes of one topic."""

    def put(self, name: str, value: Any) -> None:
        """Handle a new or changed entry."""

    def remove(self, name: str) -> None:
        """Handle the removal of an entry."""


class EntryTable:
    """Applies the updates of one topic, and passes the changes to a subscriber.

    After an outage, targets may be missing that are back soon.

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
        '_health',
        '_missing',
        '_revisions',
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

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<EntryTable {self._topic.value} entries={len(self._revisions)}>'

    @property
    def has_missing(self) -> bool:
        """Whether entries are missing that may be back soon."""
        return bool(self._missing)

    def get_return_deadline(self) -> float:
        """Return the time until which missing entries may be back."""
        if self._topic is not Topic.targets:
            return -math.inf
        return self._health.get_return_deadline()

    def apply(self, update: StoreUpdate, *, is_full_list: bool) -> None:
        """Process a list of all entries, or the changes that a watch returned."""
        if is_full_list:
            listed = {entry.name for entry in update.entries}
            for missing in set(self._revisions) - listed:
                self._handle_missing(missing)
        for entry in update.entries:
            self._apply_entry(entry)
        if self._clock.now() >= self.get_return_deadline():
            for name in tuple(self._missing):
                self._drop(name, 'expired')

    def _apply_entry(self, entry: Entry) -> None:
        match entry.value:
            case None:
                self._handle_missing(entry.name)
            case InvalidEntry(reason):
                self._reject(entry, reason)
            case value:
                self._missing.discard(entry.name)
                self._revisions[entry.name] = entry.revision
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

    def _handle_missing(self, name: str) -> None:
        """Drop an entry at once, or at the deadline if it may be back until then."""
        if name not in self._revisions:
            return
        for_s = self.get_return_deadline() - self._clock.now()
        if for_s <= 0:
            self._drop(name, 'removed')
        elif name not in self._missing:
            self._missing.add(name)
            log_event(
                'removal_deferred', topic=self._topic.value, name=name, for_s=for_s
            )

    def _drop(self, name: str, cause: str) -> None:
        self._missing.discard(name)
        if self._revisions.pop(name, None) is not None:
            log_event('entry_gone', topic=self._topic.value, name=name, cause=cause)
        self._subscriber.remove(name)
