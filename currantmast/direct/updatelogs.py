"""What an instance has read from the store, kept so that others can follow it there."""

from collections import deque

import msgspec
from gevent.event import Event

from currantmast.direct.positions import START, Position
from currantmast.direct.updates import Entry, StoreUpdate
from currantmast.errors import StoreUnavailable, WatchExpired

# Changes that are kept for watches.
MAX_CHANGES = 4000


class _Change(msgspec.Struct, frozen=True):
    position: Position
    name: str


class UpdateLog:
    """The entries of one topic, and which of them changed at which position.

    A watch gets the present state of the entries that changed since its position, so it
    never gets a state that is older than what it has.
    """

    __slots__ = (
        '_available',
        '_changed',
        '_changes',
        '_entries',
        '_first_position',
        '_last_position',
        'read_at',
    )

    def __init__(self) -> None:
        self._changed = Event()
        self._changes: deque[_Change] = deque()
        self._entries: dict[str, Entry] = {}
        # Oldest and newest position between which all changes are known; the newest is
        # None until the topic has been listed.
        self._first_position = START
        self._last_position: Position | None = None
        # Whether the store answered the last call.
        self._available = False
        # Time at which the newest successful call was sent.
        self.read_at: float = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<UpdateLog position={self._last_position}>'

    def put_list(self, update: StoreUpdate, sent_at: float) -> None:
        """Replace all entries."""
        self._entries = {
            entry.name: entry for entry in update.entries if entry.value is not None
        }
        self._changes.clear()
        self._first_position = update.position
        self._advance(update.position, sent_at)

    def put_changes(self, update: StoreUpdate, sent_at: float) -> None:
        """Add the changes that a watch returned."""
        for entry in update.entries:
            self._changes.append(_Change(update.position, entry.name))
            if entry.value is None:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        while len(self._changes) > MAX_CHANGES:
            self._first_position = self._changes.popleft().position
        self._advance(update.position, sent_at)

    def can_continue(self, position: Position) -> bool:
        """Return whether the changes after `position` continue the known ones."""
        return position == self._last_position

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
        return StoreUpdate(self._get_position(), tuple(self._entries.values()))

    def watch(self, position: Position, wait_s: float) -> StoreUpdate:
        """Return the changes after `position`, waiting up to `wait_s` for the first.

        Raises
        ------
        WatchExpired
            If not all changes after `position` are known.
        StoreUnavailable
            If the store has not answered the last call, or not yet in the era of
            `position`.
        """
        if self._get_position() <= position:
            self._changed.wait(wait_s)
        last = self._get_position()
        if last.era < position.era:
            raise StoreUnavailable(f'nothing was read yet of era {position.era}')
        if position < self._first_position:
            raise WatchExpired(f'changes are known from {self._first_position} on')
        # The last change of each name.
        changed = {
            change.name: change.position
            for change in self._changes
            if change.position > position
        }
        entries = (
            self._entries.get(name, Entry(name, changed_at.revision, None))
            for name, changed_at in changed.items()
        )
        return StoreUpdate(max(position, last), tuple(entries))

    def _get_position(self) -> Position:
        if not self._available or self._last_position is None:
            raise StoreUnavailable('the store does not answer')
        return self._last_position

    def _advance(self, position: Position, sent_at: float) -> None:
        changed = position != self._last_position
        self._last_position = position
        self._available = True
        self.read_at = sent_at
        if changed:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()
