"""A token bucket whose rate and burst change, and a meter of demand."""

import math

from currantmast.clocks import Clock

# Time after a take within which its tokens may be given back.
GIVE_BACK_WINDOW_S = 5
# Time constant of the demand average: short enough to show new demand within one
# heartbeat, long enough that a holder with occasional demand keeps its share for some
# seconds.
DEMAND_TIME_CONSTANT_S = 2


class TokenBucket:
    """Tokens that refill at a rate up to a burst; the refill is computed on access.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = (
        '_burst',
        '_clock',
        '_current_min_headroom',
        '_previous_min_headroom',
        '_rate',
        '_refilled_at',
        '_tokens',
        '_window_started_at',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float = 0
        self._burst: float = 0
        self._tokens: float = 0
        self._refilled_at = clock.now()
        self._current_min_headroom: float = 0
        self._previous_min_headroom: float = 0
        self._window_started_at = self._refilled_at

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return (
            f'<TokenBucket {self._tokens:.2f} of {self._burst:g} at {self._rate:g}/s>'
        )

    def resize(self, rate: float, burst: float) -> float:
        """Change rate and burst from now on, and return how many tokens were dropped.

        Tokens in excess of a lower burst are dropped; a higher burst adds none.
        """
        before = self.count()
        self._rate = max(0, rate)
        self._burst = max(0, burst)
        self._tokens = min(before, self._burst)
        self._update_min_headroom()
        return before - self._tokens

    def count(self) -> float:
        """Return the tokens available now."""
        self._refill()
        return self._tokens

    def take(self, amount: float) -> bool:
        """Remove `amount` tokens if there are as many."""
        if self.count() < amount:
            return False
        self._tokens -= amount
        return True

    def spend(self, amount: float) -> None:
        """Remove `amount` tokens that were used elsewhere; the count may go negative."""
        self._refill()
        self._tokens -= amount

    def get_wait(self, amount: float) -> float:
        """Return the time in seconds until `amount` tokens are available."""
        missing = amount - self.count()
        if missing <= 0:
            return 0
        if amount > self._burst or self._rate <= 0:
            return math.inf
        return missing / self._rate

    def add(self, amount: float) -> None:
        """Add tokens that another bucket has handed over, up to the burst."""
        self._tokens = min(self._burst, self.count() + amount)
        self._update_min_headroom()

    def give_back(self, amount: float) -> None:
        """Return tokens of a take made in the last `GIVE_BACK_WINDOW_S`.

        Adds at most the smallest headroom (burst minus tokens) of the current and the
        previous window, which together cover that time: had the tokens not been taken,
        the bucket would have overflowed by the rest. So the bucket never holds more
        than without the take, and the bound on admissions holds.
        """
        self._refill()
        headroom = min(self._previous_min_headroom, self._current_min_headroom)
        self._tokens += min(amount, headroom)
        self._update_min_headroom()

    def _refill(self) -> None:
        now = self._clock.now()
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, refilled)
        self._refilled_at = now
        if now - self._window_started_at > GIVE_BACK_WINDOW_S:
            self._previous_min_headroom = self._current_min_headroom
            self._current_min_headroom = self._burst - self._tokens
            self._window_started_at = now
        self._update_min_headroom()

    def _update_min_headroom(self) -> None:
        self._current_min_headroom = min(
            self._current_min_headroom, self._burst - self._tokens
        )


class DemandMeter:
    """Exponentially weighted average of the units asked for.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ('_clock', '_rate', '_recorded_at')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float = 0
        self._recorded_at = clock.now()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<DemandMeter {self._rate:.3f}/s>'

    def record(self, amount: float) -> None:
        """Count `amount` units asked for now."""
        self._rate = self.measure() + amount / DEMAND_TIME_CONSTANT_S
        self._recorded_at = self._clock.now()

    def measure(self) -> float:
        """Return the average in units per second."""
        elapsed = self._clock.now() - self._recorded_at
        return self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
