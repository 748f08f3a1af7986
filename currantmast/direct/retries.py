"""Budget of repeats: arrivals at a service beyond the first of each request."""

from currantmast.clocks import Clock
from currantmast.decisions.buckets import TokenBucket
from currantmast.direct.model import Bounds

# Part of the fleet's budget that is handed out; the rest covers members that the store
# doesn't list yet, and windows that begin in the middle of a burst.
USED_PART = 0.6


class RetryBudgets:
    """This member's part of the repeats that each service may get.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_buckets', '_clock', '_members')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._members = 1
        self._buckets: dict[str, TokenBucket] = {}

    def __repr__(self) -> str:
        """Return the number of services."""
        return f'<RetryBudgets services={len(self._buckets)}>'

    def split_over(self, count: int) -> None:
        """Split the extra repeats over `count` members."""
        self._members = max(1, count)

    def note_request(self, service: str, bounds: Bounds) -> None:
        """Count one request for `service`."""
        self._open(service, bounds).add(bounds.retry_ratio * USED_PART)

    def take(self, service: str, bounds: Bounds) -> bool:
        """Return whether one more arrival at `service` is allowed, and count it."""
        return self._open(service, bounds).take(1)

    def _open(self, service: str, bounds: Bounds) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._clock)
            self._buckets[service] = bucket
        # The bucket may empty and refill within one window, so each of burst and refill
        # gets half of the extra repeats.
        extra = bounds.retry_extra * USED_PART / self._members / 2
        bucket.resize(extra / bounds.retry_window_s, max(1, extra))
        return bucket
