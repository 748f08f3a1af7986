"""Overflow: how much of a service's work leaves the region, and how fast that grows.

Load pattern that it answers: queues that fill in all targets of a region at once, at a
cold start or at the rise of a wave. Work that flees at once fills the queues of the
other regions as fast, and theirs flees back.
"""

from currantmast.clocks import Clock

# Seconds in which half of the recent and of the settled counts are forgotten.
RECENT_HALF_LIFE_S = 1.0
SETTLED_HALF_LIFE_S = 4.0

# Part of a service's requests by which the recent share may exceed the settled one.
GROWTH = 0.03


class _Share:
    """Share of requests that left, weighted by how recent they are."""

    __slots__ = ('_away', '_half_life_s', '_noted_at', '_total')

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._away: float = 0
        self._total: float = 0
        self._noted_at: float = 0

    def note(self, now: float, away: bool) -> None:
        """Count one request."""
        kept = 0.5 ** ((now - self._noted_at) / self._half_life_s)
        self._noted_at = now
        self._away = self._away * kept + away
        self._total = self._total * kept + 1

    def get(self, more: int = 0) -> float:
        """Return the share if `more` requests left beside those counted."""
        return (self._away + more) / max(1, self._total + more)


class Overflow:
    """Bounds the growth of the share of requests that leave the region.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ('_clock', '_recent', '_settled')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recent: dict[str, _Share] = {}
        self._settled: dict[str, _Share] = {}

    def __repr__(self) -> str:
        """Return the number of services."""
        return f'<Overflow services={len(self._recent)}>'

    def allows(self, service: str) -> bool:
        """Return whether one more request may leave by choice."""
        recent = self._recent.get(service)
        settled = self._settled.get(service)
        if recent is None or settled is None:
            return False
        return recent.get(more=1) <= settled.get() + GROWTH

    def note(self, service: str, away: bool) -> None:
        """Record whether a request left the region."""
        now = self._clock.now()
        recent = self._recent.setdefault(service, _Share(RECENT_HALF_LIFE_S))
        settled = self._settled.setdefault(service, _Share(SETTLED_HALF_LIFE_S))
        recent.note(now, away)
        settled.note(now, away)
