"""Retry budgets: limits on attempts beyond the first of each request, by service."""

from currantmast.clocks import Clock
from currantmast.decisions.buckets import TokenBucket
from currantmast.direct.model import Bounds

# Fraction of the fleet's budget that is used; the rest covers members that the store
# doesn't list yet, and windows that begin in the middle of a burst.
USED_FRACTION = 0.6

# The same for what each request allows, where requests are ranked and so retries matter
# most. It is counted where it is used, so no member can use it twice.
RANKED_FRACTION = 0.8

# Retries by which the most urgent requests may overdraw the budget of one instance, and
# the fraction of a budget's burst that the least urgent leave to others.
MAX_OVERDRAFT = 0.5
MAX_KEPT_FRACTION = 0.5


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

    def note_request(
        self, service: str, bounds: Bounds, *, ranked: bool = False
    ) -> None:
        """Add to the budget of `service` what one request allows."""
        fraction = RANKED_FRACTION if ranked else USED_FRACTION
        self._get_bucket(service, bounds).add(bounds.retry_ratio * fraction)

    def take(self, service: str, bounds: Bounds) -> bool:
        """Take one retry from the budget of `service`; return False if none is left."""
        return self._get_bucket(service, bounds).take(1)

    def has_left(self, service: str, bounds: Bounds, rank: float) -> bool:
        """Return whether a request may be retried, by its rank from 0 to 1.

        The most urgent, of rank 0, may overdraw the budget, and the least urgent leave a
        reserve to others. Both are small beside what the requests of a moment add.
        """
        overdraft = (1 - rank) * min(MAX_OVERDRAFT, self._compute_extra(bounds))
        reserve = rank * MAX_KEPT_FRACTION * (self._compute_burst(bounds) - 1)
        return self._get_bucket(service, bounds).count() >= 1 + reserve - overdraft

    def spend(self, service: str, bounds: Bounds) -> None:
        """Take a retry that `has_left` allowed; others may have been faster."""
        self._get_bucket(service, bounds).spend(1)

    def _get_bucket(self, service: str, bounds: Bounds) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._clock)
            self._buckets[service] = bucket
        extra = self._compute_extra(bounds)
        bucket.resize(extra / bounds.retry_window_s, self._compute_burst(bounds))
        return bucket

    def _compute_extra(self, bounds: Bounds) -> float:
        # A full bucket can be emptied and refilled within one window, so burst and
        # refill get half of the extra retries each.
        return bounds.retry_extra * USED_FRACTION / self._fleet_size / 2

    def _compute_burst(self, bounds: Bounds) -> float:
        return max(1, self._compute_extra(bounds))
