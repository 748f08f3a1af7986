"""Retry budgets: limits on attempts beyond the first of each request, by service."""

from currantmast.clocks import Clock
from currantmast.decisions.buckets import TokenBucket
from currantmast.direct.model import Bounds

# Fraction of the fleet's budget that is used; the rest covers members that the store
# doesn't list yet, and windows that begin in the middle of a burst.
USED_FRACTION = 0.6


class RetryBudgets:
    """This instance's share of the fleet's retry budget for each service.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_buckets', '_clock', '_fleet_size')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._fleet_size = 1
        self._buckets: dict[str, TokenBucket] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RetryBudgets services={len(self._buckets)}>'

    def set_member_count(self, count: int) -> None:
        """Share `Bounds.retry_extra` between `count` members."""
        self._fleet_size = max(1, count)

    def note_request(self, service: str, bounds: Bounds) -> None:
        """Add to the budget of `service` what one request allows."""
        self._get_bucket(service, bounds).add(bounds.retry_ratio * USED_FRACTION)

    def take(self, service: str, bounds: Bounds) -> bool:
        """Take one retry from the budget of `service`; return False if none is left."""
        return self._get_bucket(service, bounds).take(1)

    def _get_bucket(self, service: str, bounds: Bounds) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._clock)
            self._buckets[service] = bucket
        # A full bucket can be emptied and refilled within one window, so burst and
        # refill get half of the extra retries each.
        extra = bounds.retry_extra * USED_FRACTION / self._fleet_size / 2
        bucket.resize(extra / bounds.retry_window_s, max(1, extra))
        return bucket
