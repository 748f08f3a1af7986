"""What the servers of one process share, and the wait of a large body for its memory."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from currantmast.clocks import Clock
from currantmast.direct.connectionslots import ConnectionSlots, Slot
from currantmast.direct.inbound import RequestReader
from currantmast.direct.memory import MemoryBudget
from currantmast.direct.parserturns import ParserTurns

# Memory of one connection: tasks, parser, buffers, and a body of a few KiB.
CONNECTION_BYTES = 28_672

# Longest time in seconds for which a body is not read as it has no room, the poll
# interval, and the most connections that wait for room.
ROOM_WAIT_S = 1.0
ROOM_POLL_S = 0.05
MAX_ROOM_WAITERS = 32


class CallerResources:
    """What the servers of one process share.

    Parameters
    ----------
    budget : MemoryBudget, optional
        Memory for bodies, answers and connections.
    slots : ConnectionSlots, optional
        Connections of callers.
    turns : ParserTurns, optional
        Turns of the connections whose bytes cost most to parse.
    """

    __slots__ = ('_room_waiters', 'budget', 'slots', 'turns')

    def __init__(
        self,
        budget: MemoryBudget | None = None,
        slots: ConnectionSlots | None = None,
        turns: ParserTurns | None = None,
    ) -> None:
        self.turns = turns or ParserTurns()
        self.budget = budget or MemoryBudget()
        self.slots = ConnectionSlots() if slots is None else slots
        # Connections that wait for room.
        self._room_waiters = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CallerResources {self.budget} {self.slots}>'

    @contextmanager
    def admit(self, slot: Slot) -> Iterator[bool]:
        """Give a connection its place and memory; yield False if there is none."""
        if not self._take_slot(slot):
            yield False
            return
        try:
            yield True
        finally:
            self.budget.held -= CONNECTION_BYTES
            self.slots.discard(slot)

    def wait_for_room(self, reader: RequestReader, clock: Clock) -> bool:
        """Wait until the body that arrives has room; return False if it gets none.

        Its connection is not read meanwhile, so that its sender has to wait too.
        """
        give_up_at = clock.now() + ROOM_WAIT_S
        self._room_waiters += 1
        try:
            while not self._take_room(reader):
                is_crowded = self._room_waiters > MAX_ROOM_WAITERS
                if is_crowded or clock.now() >= give_up_at:
                    self.budget.refused_count += 1
                    return False
                gevent.sleep(ROOM_POLL_S)
        finally:
            self._room_waiters -= 1
        return True

    def _take_slot(self, slot: Slot) -> bool:
        """Take the place and memory of a connection, closing an idle one if needed."""
        has_memory = self.budget.reserve(CONNECTION_BYTES, is_small=True)
        if not has_memory and not self.slots.close_idlest():
            return False
        if not has_memory:
            # The closed connection gives its own back when its task ends.
            self.budget.held += CONNECTION_BYTES
        if self.slots.add(slot):
            return True
        self.budget.held -= CONNECTION_BYTES
        return False

    def _take_room(self, reader: RequestReader) -> bool:
        """Return whether the body has room, or needs none any more."""
        reservation = reader.reservation
        while reservation is not None and not reservation.grow():
            if not self.budget.close_stalled():
                return False
            # The body itself may have been the one that was closed.
            reservation = reader.reservation
        return True
