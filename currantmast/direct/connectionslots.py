"""Limit of the callers' connections of one process, which keeps descriptors for others."""

from enum import Enum
from typing import Protocol

# Most connections of callers, if the settings allow as many descriptors.
MAX_CONNECTIONS = 3000

# Descriptors that files take.
FILE_DESCRIPTORS = 200

# Fraction of the other descriptors that callers may take; the store, members and targets use
# the rest.
CALLER_FRACTION = 3 / 4


class SlotUse(Enum):
    """What a connection is used for at a moment."""

    idle = 'idle'
    receiving = 'receiving'
    answering = 'answering'


class Slot(Protocol):
    """A connection that uses one slot."""

    def get_use(self) -> SlotUse:
        """Return what the connection is used for."""

    def close(self) -> None:
        """End the connection without blocking."""


def compute_connections(max_fds: int) -> int:
    """Return how many connections of callers a process with these descriptors takes."""
    left = max(1, max_fds - FILE_DESCRIPTORS)
    return max(1, min(MAX_CONNECTIONS, int(left * CALLER_FRACTION)))


class ConnectionSlots:
    """Open connections of callers, the idlest first.

    Parameters
    ----------
    limit : int
        Most connections at the same time.
    """

    __slots__ = ('_slots', 'closed_count', 'limit')

    def __init__(self, limit: int = MAX_CONNECTIONS) -> None:
        self.limit = limit
        self.closed_count = 0
        self._slots: dict[Slot, None] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._slots)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ConnectionSlots {len(self)} of {self.limit}>'

    def add(self, slot: Slot) -> bool:
        """Give `slot` a place, closing the idlest connection for it if there is none.

        Returns False if no connection can be closed.
        """
        if len(self._slots) >= self.limit and not self.close_idlest():
            return False
        self._slots[slot] = None
        return True

    def note_use(self, slot: Slot) -> None:
        """Record that a request of `slot` was answered."""
        if self._slots.pop(slot, False) is None:
            self._slots[slot] = None

    def discard(self, slot: Slot) -> None:
        """Take the place of `slot` back."""
        self._slots.pop(slot, None)

    def close_idlest(self) -> bool:
        """Close the idlest connection; return False if all answer."""
        idlest: Slot | None = None
        for slot in self._slots:
            use = slot.get_use()
            if use is SlotUse.idle:
                idlest = slot
                break
            if use is SlotUse.receiving and idlest is None:
                idlest = slot
        if idlest is None:
            return False
        self._slots.pop(idlest)
        self.closed_count += 1
        idlest.close()
        return True
