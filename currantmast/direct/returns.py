"""When refused callers come back: in the order in which they were turned away.

Callers that are all told the same short time come back together, and those who are refused
again have no attempt left. Therefore each gets a time of its own: the callers of one
service and urgency come back one after the other, at the pace at which such requests
lately found room here. This answers a shortage in which more are turned away than served.
"""

import msgspec
import xxhash

from currantmast.clocks import Clock
from currantmast.decisions.buckets import DemandMeter
from currantmast.direct.urgency import Urgency

# Smallest pace assumed, in requests per second, while none finds room.
MIN_PACE = 1.0

# Fraction of the time left for which a caller waits as it was told. It would come back
# at that time if it was told a later one.
MAX_TIME_FRACTION = 1 / 3

# Longest time in seconds until a return, whatever time the caller has.
MAX_RETURN_S = 20.0

# Steps into which a hash divides the interval between two callers.
SPREAD_STEPS = 1000


class RefusedCaller(msgspec.Struct, frozen=True):
    """A caller that was refused, and when it may come back.

    Parameters
    ----------
    request_id : str
        Id of its request, which spreads the callers between two times.
    earliest_s : float
        Seconds before which there is no room in any case.
    time_left_s : float
        Seconds until it gives up.
    """

    request_id: str
    earliest_s: float
    time_left_s: float


class _Line:
    """Callers of one service and urgency that were told when to come back."""

    __slots__ = ('booked_until', 'pace')

    def __init__(self, clock: Clock) -> None:
        # Requests that found room.
        self.pace = DemandMeter(clock)
        # Time in seconds up to which all times are given to callers.
        self.booked_until = clock.now()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<_Line booked_until={self.booked_until:.2f}>'


class ReturnTimes:
    """Times at which refused callers should come back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_lines')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines: dict[tuple[str, Urgency], _Line] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ReturnTimes lines={len(self._lines)}>'

    def note_room(self, service: str, urgency: Urgency) -> None:
        """Record a request that found room."""
        self._get_line(service, urgency).pace.record(1)

    def book(self, service: str, urgency: Urgency, refused: RefusedCaller) -> float:
        """Return in how many seconds a refused caller should come back."""
        line = self._get_line(service, urgency)
        now = self._clock.now()
        interval_s = 1 / max(MIN_PACE, line.pace.measure())
        begin_at = now + refused.earliest_s
        if line.booked_until > begin_at:
            begin_at = line.booked_until + interval_s * _spread(refused.request_id)
        after_s = begin_at - now
        latest_s = min(MAX_RETURN_S, refused.time_left_s * MAX_TIME_FRACTION)
        if after_s > latest_s:
            # It comes back by then whatever it is told, so no time is booked for it.
            return latest_s
        line.booked_until = (
            max(line.booked_until, now + refused.earliest_s) + interval_s
        )
        return after_s

    def measure_backlog(self) -> float:
        """Return the seconds until all refused callers are asked back."""
        now = self._clock.now()
        return max(
            (line.booked_until - now for line in self._lines.values()), default=0
        )

    def _get_line(self, service: str, urgency: Urgency) -> _Line:
        key = (service, urgency)
        if key not in self._lines:
            self._lines[key] = _Line(self._clock)
        return self._lines[key]


def _spread(request_id: str) -> float:
    """Return a number from 0 to 1 that depends on the id alone."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SPREAD_STEPS / SPREAD_STEPS
