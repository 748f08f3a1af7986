"""Budget of the bytes that one process holds for callers and targets.

Under pressure no new large holder gets room, holders that don't move lose theirs, and one
team can't take everything. Small requests use a part that large ones never get.
"""

import operator
from collections import Counter
from collections.abc import Callable
from typing import Self

from currantmast.clocks import BootClock, Clock

BYTES_PER_MB = 1_000_000

# Memory that the process needs beside the bytes that the budget counts.
PROCESS_BYTES = 64 * BYTES_PER_MB

# Memory of a machine whose settings don't name it.
DEFAULT_MEMORY_MB = 300

# Smallest budget, for machines on which the process itself hardly fits.
MIN_LIMIT_BYTES = 8 * BYTES_PER_MB

# Bodies up to this size may use the whole budget, larger ones all but a fraction of it.
SMALL_BYTES = 65_536
SMALL_FRACTION = 1 / 8

# Fraction of the large holders' room above which it is scarce, and the fraction that a team
# may then use with more than one body.
SCARCE_FRACTION = 3 / 4
TEAM_FRACTION = 1 / 2

# Room that a body without an announced length asks for ahead of what has arrived.
STEP_BYTES = 262_144

# A holder that has moved fewer bytes than this for this time in seconds has stalled.
MOVED_BYTES = 16_384
STALL_S = 1.0

# Shortest time in seconds between two searches for a stalled holder that found none.
SEARCH_INTERVAL_S = 0.05

# Fraction of the limit below which pressure has ended.
RELAXED_FRACTION = 1 / 2


def compute_limit(memory_mb: float) -> int:
    """Return the budget in bytes on a machine with this memory."""
    return max(MIN_LIMIT_BYTES, int(memory_mb * BYTES_PER_MB) - PROCESS_BYTES)


DEFAULT_LIMIT_BYTES = compute_limit(DEFAULT_MEMORY_MB)


class MemoryBudget:
    """Count of the held bytes and of who holds them.

    Parameters
    ----------
    limit : int
        Most bytes that may be held.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self, limit: int = DEFAULT_LIMIT_BYTES, clock: Clock | None = None
    ) -> None:
        self.limit = limit
        self.held = 0
        self.refused_count = 0
        self.closed_count = 0
        self.is_pressed = False
        self.clock = clock or BootClock()
        # Holders that can be closed, and the large bytes of each team.
        self.holders: dict[Reservation, None] = {}
        self.by_team: Counter[str] = Counter()
        self._large_limit = int(limit * (1 - SMALL_FRACTION))
        self._next_search_at: float = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<MemoryBudget {self.held} of {self.limit}>'

    def open(self, evict: Callable[[], None]) -> 'Reservation':
        """Return an empty reservation; `evict` ends its holder without blocking."""
        return Reservation(self, evict)

    def reserve(self, size: int, is_small: bool) -> bool:
        """Take `size` bytes, closing stalled holders if needed; False without room."""
        limit = self.limit if is_small else self._large_limit
        while self.held + size > limit:
            if not self.close_stalled():
                self.refused_count += 1
                return False
        self.held += size
        return True

    def fits_team(self, size: int, team: str) -> bool:
        """Return whether a large holder of a team may take `size` bytes more."""
        wanted = self.held + size
        if wanted > self._large_limit:
            return False
        own = self.by_team[team]
        is_scarce = wanted > self._large_limit * SCARCE_FRACTION
        return not (
            is_scarce and own and own + size > self._large_limit * TEAM_FRACTION
        )

    def close_stalled(self) -> bool:
        """End the holder that has not moved for longest; return whether there was one."""
        now = self.clock.now()
        self.is_pressed = True
        if now < self._next_search_at:
            return False
        stalled_from = now - STALL_S
        stalled = [
            known
            for known in self.holders
            if known.size and known.moved_at <= stalled_from
        ]
        if not stalled:
            self._next_search_at = now + SEARCH_INTERVAL_S
            return False
        victim = min(stalled, key=operator.attrgetter('moved_at'))
        self.closed_count += 1
        victim.release()
        victim.evict()
        return True

    def end_pressure(self) -> None:
        """Note the end of pressure once enough has been given back."""
        if self.held < self.limit * RELAXED_FRACTION:
            self.is_pressed = False


class Reservation:
    """Bytes that one body or answer holds; a context manager that gives them back.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that the bytes are taken from.
    evict : callable
        Ends the holder without blocking.
    """

    __slots__ = (
        '_announced',
        '_budget',
        '_marked',
        '_team',
        'evict',
        'moved_at',
        'received',
        'size',
    )

    def __init__(self, budget: MemoryBudget, evict: Callable[[], None]) -> None:
        self.size = 0
        self.received = 0
        self.moved_at = budget.clock.now()
        self.evict = evict
        self._announced = 0
        self._marked = 0
        # Set for large bodies, whose bytes are counted by team.
        self._team: str | None = None
        self._budget = budget
        budget.holders[self] = None

    def __enter__(self) -> Self:
        """Return the reservation."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give the bytes back."""
        self.release()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Reservation {self.received} of {self.size}>'

    def announce(self, size: int, team: str) -> None:
        """Make this a large body of `size` bytes, or 0 if unknown, that `team` sends."""
        self._announced = size
        self._team = team
        self._budget.by_team[team] += self.size

    def add(self, size: int) -> bool:
        """Count received bytes; return False if a small body has no room for them."""
        self.move(size)
        missing = self.received - self.size
        if missing <= 0:
            return True
        if self._team is None:
            if not self._budget.reserve(missing, is_small=True):
                return False
            self.size += missing
            return True
        # What came with the head of a large body, before it was given room.
        self._take(missing)
        return True

    def is_short(self) -> bool:
        """Return whether a large body needs more room before it is read on."""
        return self._find_missing() > 0

    def grow(self) -> bool:
        """Take the room for what a large body needs next; return False without room."""
        missing = self._find_missing()
        if missing <= 0:
            return True
        if not self._budget.fits_team(missing, self._team or ''):
            if self._announced:
                # It waits for its room, so it hasn't stalled.
                self.moved_at = self._budget.clock.now()
            return False
        if not self._announced:
            missing = self.received + STEP_BYTES - self.size
        self._take(missing)
        self.moved_at = self._budget.clock.now()
        return True

    def hold(self, size: int) -> None:
        """Take `size` bytes that are in memory already."""
        self._take(size)

    def move(self, size: int) -> None:
        """Count bytes that were received or sent, and record progress.

        `size` is negative when a body begins, as the bytes of its head count no longer.
        """
        self.received += size
        self._marked = min(self._marked, self.received)
        if self.received - self._marked >= MOVED_BYTES:
            self._marked = self.received
            self.moved_at = self._budget.clock.now()

    def complete(self) -> None:
        """Give back what was not needed, and keep the holder from being closed."""
        self._budget.holders.pop(self, None)
        self._take(self.received - self.size)

    def release(self) -> None:
        """Give all bytes back; further calls do nothing."""
        self._budget.holders.pop(self, None)
        self._take(-self.size)

    def _find_missing(self) -> int:
        if self._announced:
            return self._announced - self.size
        return self.received + SMALL_BYTES - self.size

    def _take(self, size: int) -> None:
        self.size += size
        self._budget.held += size
        if self._team is not None:
            self._budget.by_team[self._team] += size
