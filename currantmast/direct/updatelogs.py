"""What an instance has read from the store, kept so that others can follow it there."""

from collections import deque

import msgspec
from gevent.event import Event

from currantmast.direct.following import Entry, StoreUpdate
from currantmast.errors import StoreUnavailable, WatchExpired

# Changes that are kept for watches.
MAX_CHANGES = 4000


class _Change(msgspec.Struct, frozen=True):
    revision: int
    name: str


class UpdateLog:
    """The entries of one topic, and which of them changed at which revision.

    A watch gets the present state of the entries that changed since its revision, so it
    never gets a state that is older than what it has.
    """

    __slots__ = (
        '_available',
        '_changed',
        '_changes',
        '_entries',
        '_first_revision',
        '_last_revision',
        'read_at',
    )

    def __init__(self) -> None:
        self._changed = Event()
        self._changes: deque[_Change] = deque()
        self._entries: dict[str, Entry] = {}
        # Oldest and newest revision between which all changes are known; the newest is
        # negative until the topic has been listed.
        self._first_revision = 0
        self._last_revision = -1
        # Whether the store answered the last call.
        self._available = False
        # Time at which the newest successful call was sent.
        self.read_at: float = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<UpdateLog revision={self._last_revision}>'

    def put_list(self, update: StoreUpdate, sent_at: float) -> None:
        """Replace all entries."""
        self._entries = {
            entry.name: entry for entry in update.entries if entry.value is not None
        }
        self._changes.clear()
        self._first_revision = update.revision
        self._advance(update.revision, sent_at)

    def put_changes(self, update: StoreUpdate, sent_at: float) -> None:
        """Add the changes that a watch returned."""
        for entry in update.entries:
            self._changes.append(_Change(update.revision, entry.name))
            if entry.value is None:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        while len(self._changes) > MAX_CHANGES:
            self._first_revision = self._changes.popleft().revision
        self._advance(update.revision, sent_at)

    def can_continue(self, revision: int) -> bool:
        """Return whether the changes after `revision` continue the known ones."""
        return revision == self._last_revision

    def lose(self) -> None:
        """Record that the store doesn't answer; ends all waiting watches."""
        self._available = False
        self._wake()

    def list_all(self) -> StoreUpdate:
        """Return all entries.

        Raises
        ------
        StoreUnavailable
            If the store has not answered the last call.
        """
        return StoreUpdate(self._get_revision(), tuple(self._entries.values()))

    def watch(self, revision: int, wait_s: float) -> StoreUpdate:
        """Return the changes after `revision`, waiting up to `wait_s` for the first.

        Raises
        ------
        WatchExpired
            If not all changes after `revision` are known.
        StoreUnavailable
            If the store has not answered the last call.
        """
        if self._get_revision() <= revision:
            self._changed.wait(wait_s)
            self._get_revision()
        if revision < self._first_revision:
            raise WatchExpired(f'changes are known from {self._first_revision} on')
        # The last change of each name.
        changed = {
            change.name: change.revision
            for change in self._changes
            if change.revision > revision
        }
        entries = (
            self._entries.get(name, Entry(name, changed_at, None))
            for name, changed_at in changed.items()
        )
        return StoreUpdate(max(revision, self._get_revision()), tuple(entries))

    def _get_revision(self) -> int:
        if not self._available:
            raise StoreUnavailable('the store does not answer')
        return self._last_revision

    def _advance(self, revision: int, sent_at: float) -> None:
        changed = revision != self._last_revision
        self._last_revision = revision
        self._available = True
        self.read_at = sent_at
        if changed:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()
