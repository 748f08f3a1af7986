"""Budget of calls that one process may make on the object API."""

from collections import Counter

from currantmast.clocks import Clock
from currantmast.errors import StoreBudgetExceeded


class CallBudget:
    """Token bucket of calls; its burst is one second's worth, at least one.

    Parameters
    ----------
    clock : Clock
        Time of the refill.
    calls_per_s : float
        Calls per second.
    """

    __slots__ = ('_burst', '_clock', '_rate', '_refilled_at', '_tokens', 'counts')

    def __init__(self, clock: Clock, calls_per_s: float) -> None:
        self._clock = clock
        self._rate = calls_per_s
        self._burst = max(1, calls_per_s)
        self._tokens = self._burst
        self._refilled_at = clock.now()
        self.counts: Counter[str] = Counter()

    def __repr__(self) -> str:
        """Return the calls made and left."""
        return f'<CallBudget made={self.counts.total()} left={self.count_left():.0f}>'

    def count_left(self) -> float:
        """Return the calls that may be made now."""
        now = self._clock.now()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        return self._tokens

    def take(self, kind: str) -> None:
        """Count one call of `kind`.

        Raises
        ------
        StoreBudgetExceeded
            If no call is left; nothing is counted then.
        """
        if self.count_left() < 1:
            raise StoreBudgetExceeded(f'no {kind} call left of {self._rate} a second')
        self.force(kind)

    def force(self, kind: str) -> None:
        """Count one call that must be made, even over the budget."""
        self._tokens -= 1
        self.counts[kind] += 1
