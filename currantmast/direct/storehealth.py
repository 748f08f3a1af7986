"""Whether the store answers, and how long its last outage lasted."""

import math

import msgspec
from gevent.event import Event

from currantmast.clocks import Clock

# Seconds after the store's recovery within which targets whose entries expired during
# the outage write them again; an entry that is missing after that is removed.
RETURN_WINDOW_S = 2.2

# Seconds after a failure of the store for which a removal may only mean that the entry
# expired.
EXPIRY_WINDOW_S = 6.0


class Outage(msgspec.Struct, frozen=True):
    """Time in which this instance got no answer of the store, by the local clock.

    Parameters
    ----------
    began_at : float
        Time in seconds of the last answer before it.
    failed_at : float
        Time in seconds at which the last failed call was sent. The store may have
        answered again from that moment on.
    ended_at : float
        Time in seconds of the first answer after it.
    """

    began_at: float
    failed_at: float
    ended_at: float

    @property
    def length_s(self) -> float:
        """Seconds without an answer."""
        return self.ended_at - self.began_at

    @property
    def unnoticed_s(self) -> float:
        """Longest time in seconds for which the end of the outage was not noticed."""
        return self.ended_at - self.failed_at


class StoreHealth:
    """Whether the store answers, and when it last failed and recovered, for all topics.

    The first follower that gets an answer after an outage wakes the others. The time in
    which targets may write expired entries again starts at that answer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_answered_at',
        '_available',
        '_clock',
        '_failed_sent_at',
        'failed_at',
        'last_outage',
        'recovered_at',
    )

    def __init__(self, clock: Clock) -> None:
        self._available = Event()
        self._available.set()
        self._clock = clock
        self._answered_at = clock.now()
        self._failed_sent_at = -math.inf
        self.last_outage: Outage | None = None
        self.failed_at = -math.inf
        self.recovered_at = -math.inf

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<StoreHealth answers={self._available.is_set()}>'

    def note_failure(self, sent_at: float) -> None:
        """Record a call without a valid answer, which was sent at `sent_at`.

        A call that was sent before the last recovery is ignored, since its failure says
        nothing about the store after it.
        """
        if sent_at < self.recovered_at:
            return
        self.failed_at = self._clock.now()
        self._failed_sent_at = max(self._failed_sent_at, sent_at)
        self._available.clear()

    def note_success(self) -> None:
        """Record a valid answer."""
        now = self._clock.now()
        if not self._available.is_set():
            self.recovered_at = now
            self.last_outage = Outage(self._answered_at, self._failed_sent_at, now)
            self._available.set()
        self._answered_at = now

    def wait(self, seconds: float) -> None:
        """Wait until the store answers again, for at most `seconds` seconds."""
        self._available.wait(seconds)

    def may_have_expired(self) -> bool:
        """Return whether an entry may be missing only because it expired in an outage."""
        return self._clock.now() - self.failed_at < EXPIRY_WINDOW_S
