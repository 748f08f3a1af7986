"""Whether the store answers, and whether entries can have expired in its last outage.

Targets renew their entries in the store. While the store is away they can't, so an entry
that is missing after an outage may only have expired, and is back soon. It was removed if
the outage was too short for that, or if only this instance could not reach the store.
"""

import math

import msgspec
from gevent.event import Event

from currantmast.clocks import Clock
from currantmast.direct.model import Bounds
from currantmast.direct.readtimes import ReadTimes
from currantmast.direct.updates import Topic
from currantmast.runtime.logs import log_event

# Seconds after the store's recovery within which targets whose entries expired during
# the outage write them again.
RETURN_WINDOW_S = 2.2

# Seconds after a restore of the store within which no read proves what is newest: the
# operator may still be writing again what was lost.
REWRITE_S = 0.5

# Seconds beyond the time after which silent targets' entries lapse in which those of a
# restored store are compared with what was known before.
LAPSE_MARGIN_S = 1.0

# Seconds before the end of the recovery time at which a missing target is dropped at the
# latest, so that the last request to it has arrived by then.
SEND_MARGIN_S = 0.3


class StoreContact(msgspec.Struct, frozen=True, array_like=True):
    """How long the store has answered a member, as sent in its heartbeats.

    Parameters
    ----------
    since_s : float
        Seconds since its first answer, or since the end of the last outage in which
        entries can have expired.
    answered_s : float
        Seconds since its newest answer.
    """

    since_s: float
    answered_s: float


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


class _Span(msgspec.Struct, frozen=True):
    """Time in which the store answered a peer, by the local clock."""

    start: float
    end: float


class StoreHealth:
    """Whether the store answers, and its last outages, for all topics together.

    The first follower that gets an answer after an outage wakes the others.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_answered_at',
        '_answering_since',
        '_available',
        '_bounds',
        '_clock',
        '_era',
        '_failed_sent_at',
        '_long_outage',
        '_peer_spans',
        '_restored_at',
        '_returned_after',
        'last_outage',
        'read_times',
        'restore_count',
    )

    def __init__(self, clock: Clock) -> None:
        self._available = Event()
        self._available.set()
        self._clock = clock
        self._bounds = Bounds()
        self.read_times = ReadTimes(clock)
        self._answered_at = -math.inf
        self._answering_since = math.inf
        self._failed_sent_at = -math.inf
        self.last_outage: Outage | None = None
        # The last one in which entries can have expired.
        self._long_outage: Outage | None = None
        self._peer_spans: dict[str, _Span] = {}
        self._era: int | None = None
        # Time at which the present era was noticed, if it isn't the first, and a time
        # after which the store came back in it.
        self._restored_at = -math.inf
        self._returned_after = -math.inf
        self.restore_count = 0

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<StoreHealth answers={self._available.is_set()}>'

    @property
    def recovery_s(self) -> float:
        """Seconds after a failure within which the store's state must be acted on."""
        return self._bounds.recovery_s

    def get_bound(self, topic: Topic) -> float:
        """Return the seconds within which a change of `topic` must be acted on."""
        match topic:
            case Topic.configuration | Topic.targets:
                return self._bounds.propagation_s
            case Topic.evacuations:
                return self._bounds.evacuation_s
            case Topic.instances:
                return self._bounds.recovery_s

    def apply_bounds(self, bounds: Bounds) -> None:
        """Set the limits of the whole fleet."""
        self._bounds = bounds

    def note_failure(self, sent_at: float) -> None:
        """Record a call without a valid answer, which was sent at `sent_at`.

        A call that was sent before the last recovery is ignored, since its failure says
        nothing about the store after it.
        """
        if self.last_outage is not None and sent_at < self.last_outage.ended_at:
            return
        self._failed_sent_at = max(self._failed_sent_at, sent_at)
        self._available.clear()

    def note_success(self) -> None:
        """Record a valid answer."""
        now = self._clock.now()
        self._answering_since = min(self._answering_since, now)
        if not self._available.is_set():
            self._end_outage(Outage(self._answered_at, self._failed_sent_at, now))
            self._available.set()
        self._answered_at = now

    def note_era(self, era: int) -> None:
        """Record the era of an answer, before the answer itself is recorded."""
        if self._era is None:
            log_event('store_era', era=era)
        elif era > self._era:
            log_event('store_restored', level='WARNING', era=era)
            self._restored_at = self._clock.now()
            self._returned_after = max(self._failed_sent_at, self._answered_at)
            self.restore_count += 1
        self._era = max(era, self._era or 0)

    def is_rewriting(self) -> bool:
        """Return whether the operator may still write again what a restore lost."""
        return self._clock.now() < self._restored_at + REWRITE_S

    def is_restoring(self) -> bool:
        """Return whether entries that nobody writes again may not have lapsed yet."""
        lapse_s = self._bounds.lapse_s + LAPSE_MARGIN_S
        return self._clock.now() < self._restored_at + lapse_s

    def get_rewrite_deadline(self) -> float:
        """Return the time until which entries that a restore lost may be back."""
        latest = self._returned_after + self._bounds.recovery_s - SEND_MARGIN_S
        return min(self._restored_at + RETURN_WINDOW_S, latest)

    def wait(self, seconds: float) -> None:
        """Wait until the store answers again, for at most `seconds` seconds."""
        self._available.wait(seconds)

    def make_contact(self) -> StoreContact | None:
        """Return what the heartbeats of this instance tell; None without an answer."""
        if not self._available.is_set() or self._answered_at == -math.inf:
            return None
        now = self._clock.now()
        return StoreContact(now - self._answering_since, now - self._answered_at)

    def note_peer(self, member_id: str, contact: StoreContact) -> None:
        """Record what a heartbeat that has just arrived told."""
        now = self._clock.now()
        self._peer_spans[member_id] = _Span(
            now - contact.since_s, now - contact.answered_s
        )

    def get_return_deadline(self) -> float:
        """Return the time until which a missing entry may be back.

        It has passed if no entry can have expired.
        """
        outage = self._long_outage
        if outage is None or self._was_reached_by_peer(outage):
            return -math.inf
        latest = outage.failed_at + self._bounds.recovery_s - SEND_MARGIN_S
        return min(outage.ended_at + RETURN_WINDOW_S, latest)

    def _end_outage(self, outage: Outage) -> None:
        self.last_outage = outage
        if outage.length_s >= self._bounds.expiry_s:
            self._long_outage = outage
            self._answering_since = outage.ended_at

    def _was_reached_by_peer(self, outage: Outage) -> bool:
        """Return whether a peer reached the store while this instance didn't.

        What the peer doesn't cover of the outage must be too short for an entry to expire.
        """
        return any(
            max(span.start - outage.began_at, outage.ended_at - span.end)
            < self._bounds.expiry_s
            for span in self._peer_spans.values()
        )
