"""Turns of the connections whose bytes cost more to parse than to receive.

A body in chunks of a few bytes costs the parser one call for each of them, so a hundred
such connections would keep the loop from everything else. They take turns: after each
read one waits until it is its turn, and the turn lasts longer than the parsing took. The
reads of all of them together so use a part of the loop's time, however many there are.
"""

from currantmast.clocks import BootClock, Clock

# Bytes of a read: usually, at the begin of a message whose form is unknown, and of a
# connection that takes turns.
READ_BYTES = 65_536
FIRST_READ_BYTES = 16_384
TURN_READ_BYTES = 4096

# A read is dense if its parts of bodies are at least so many, and shorter on average.
MIN_DENSE_PARTS = 64
MIN_PART_BYTES = 32

# Length of a turn in seconds for each part that was parsed.
TURN_PER_PART_S = 0.000_003

# Longest wait in seconds for a turn and its end.
MAX_WAIT_S = 10.0


class ParserTurns:
    """Turns that all connections of one process share, first come first served.

    Parameters
    ----------
    clock : Clock, optional
        Source of time.
    """

    __slots__ = ('_clock', '_free_at', 'taken_count')

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or BootClock()
        # Time at which the last turn that was given away is over.
        self._free_at: float = 0
        self.taken_count = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ParserTurns taken={self.taken_count}>'

    def take(self, parts: int) -> None:
        """Wait for a turn, and until it is over, after `parts` parts were parsed."""
        now = self._clock.now()
        over_at = max(now, self._free_at) + parts * TURN_PER_PART_S
        # Connections that were closed while they waited leave their turns unused.
        self._free_at = min(over_at, now + MAX_WAIT_S)
        self.taken_count += 1
        self._clock.sleep(self._free_at - now)


class ReadPace:
    """Sizes of the reads from one connection, and the turns between them.

    Parameters
    ----------
    turns : ParserTurns
        Turns of the process.
    """

    __slots__ = ('_is_dense', '_turns')

    def __init__(self, turns: ParserTurns) -> None:
        self._turns = turns
        self._is_dense = False

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ReadPace dense={self._is_dense}>'

    def choose_size(self, is_within_body: bool) -> int:
        """Return the bytes to read next."""
        if self._is_dense:
            return TURN_READ_BYTES
        return READ_BYTES if is_within_body else FIRST_READ_BYTES

    def note_read(self, size: int, parts: int) -> None:
        """Record a read of `size` bytes with `parts` parts; after a dense one, wait."""
        self._is_dense = parts >= MIN_DENSE_PARTS and parts * MIN_PART_BYTES > size
        if self._is_dense:
            self._turns.take(parts)
