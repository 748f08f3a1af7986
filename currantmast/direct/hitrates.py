"""Hit rates of object affinity, learned from the outcomes of requests.

Whether a target still caches an object depends on what else it gets, which no instance
knows. The rate is learned for each kind of copy and, apart from it, for objects that this
instance itself sent to the target recently.
"""

from types import MappingProxyType

from currantmast.direct.copies import CopyKind

# Hit rates before any outcome was seen: low for copies that others may not have used yet.
INITIAL_RATES = MappingProxyType(
    {
        CopyKind.first: 0.6,
        CopyKind.second: 0.3,
        CopyKind.remote: 0.5,
        CopyKind.spare: 0.3,
        CopyKind.strange: 0.05,
        CopyKind.no_object: 1.0,
    }
)
INITIAL_RECENT_RATE = 0.95

# Weight of one request in the moving averages.
RATE_WEIGHT = 0.03


class HitRates:
    """Average hit rates by service and kind of copy."""

    __slots__ = ('_rates',)

    def __init__(self) -> None:
        self._rates: dict[tuple[str, CopyKind, bool], float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<HitRates {len(self._rates)}>'

    def get(self, service: str, kind: CopyKind, *, recent: bool) -> float:
        """Return the chance from 0 to 1 that a target caches an object.

        Parameters
        ----------
        service : str
            Service of the target.
        kind : CopyKind
            Why it may cache the object.
        recent : bool
            Whether this instance sent the object there recently.
        """
        initial = INITIAL_RECENT_RATE if recent else INITIAL_RATES[kind]
        return self._rates.get((service, kind, recent), initial)

    def note(self, service: str, kind: CopyKind, *, recent: bool, hit: bool) -> None:
        """Record whether a target cached the object of one request."""
        rate = self.get(service, kind, recent=recent)
        self._rates[service, kind, recent] = rate + RATE_WEIGHT * (hit - rate)
