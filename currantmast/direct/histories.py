"""Recent performance of targets, as one instance saw it."""

# Half-life in seconds of a target's failure rate and slowness.
HISTORY_HALF_LIFE_S = 4.0

# Weight of one answer in the moving averages of a target's slowness and failure rate, and
# the limit of the slowness.
SLOWNESS_WEIGHT = 0.25
MAX_SLOWNESS = 8.0


class History:
    """Recent performance of a target; failure rate and slowness decay with time.

    Parameters
    ----------
    now : float
        Time in seconds at which the history starts.

    Attributes
    ----------
    slowness : float
        Ratio of its processing times to the average of its service.
    failure_rate : float
        Failure rate of recent requests, from 0 to 1.
    failures : int
        Failures since the last success.
    hit_rate : float
        Hit rate from 0 to 1 of requests sent to it because of object affinity.
    """

    __slots__ = ('_decayed_at', 'failure_rate', 'failures', 'hit_rate', 'slowness')

    def __init__(self, now: float) -> None:
        self.slowness: float = 1
        self.failure_rate: float = 0
        self.failures = 0
        self.hit_rate: float = 1
        self._decayed_at = now

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<History slowness={self.slowness:.2f} failure_rate={self.failure_rate:.2f}>'

    def decay(self, now: float) -> None:
        """Decay failure rate and slowness by the time since the last call."""
        remaining = 0.5 ** ((now - self._decayed_at) / HISTORY_HALF_LIFE_S)
        self._decayed_at = now
        self.slowness = 1 + (self.slowness - 1) * remaining
        self.failure_rate *= remaining

    def note_success(self, slowness: float) -> None:
        """Record an answer whose processing took `slowness` times the average."""
        self.failures = 0
        self.note_slowness(slowness)
        self.failure_rate *= 1 - SLOWNESS_WEIGHT

    def note_slowness(self, slowness: float) -> None:
        """Record that processing took `slowness` times the average, or longer."""
        bounded = min(MAX_SLOWNESS, slowness)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def note_failure(self, weight: float) -> None:
        """Record a failed request, with its weight in the failure rate."""
        self.failures += 1
        self.failure_rate += weight * (1 - self.failure_rate)
