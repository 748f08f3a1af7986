"""Estimates that placement learns: times of work, round trips, and objects in use."""

from collections import OrderedDict

# Time of work in seconds before any answer was seen.
FIRST_WARM_S = 0.25
FIRST_COLD_S = 0.8
WORK_WEIGHT = 0.05

# Work on an object that a target doesn't know takes at least this many times as long.
LEAST_COLD_FACTOR = 2.0

# Most times that a request may count as longer than expected.
MOST_STRETCH = 4.0

# Objects that a service is taken to have before as many were seen, and the most that
# are counted.
FIRST_THINGS = 24
MAX_THINGS = 10_000

# Delays in seconds before any connection was made.
NEAR_DELAY_S = 0.002
FAR_DELAY_S = 0.06
DELAY_WEIGHT = 0.2


class WorkTimes:
    """Times of work by service: on objects that a target knew, and on others.

    Nobody tells which of the two a run was, so each time counts for the nearer average.
    """

    __slots__ = ('_stretches', '_times')

    def __init__(self) -> None:
        self._stretches: dict[str, float] = {}
        self._times: dict[str, tuple[float, float]] = {}

    def __repr__(self) -> str:
        """Return the number of averages."""
        return f'<WorkTimes {len(self._times)}>'

    def get(self, service: str, chance: float) -> float:
        """Return the expected seconds when the object is known with this chance."""
        warm_s, cold_s = self._times.get(service, (FIRST_WARM_S, FIRST_COLD_S))
        return chance * warm_s + (1 - chance) * cold_s

    def was_warm(self, service: str, seconds: float) -> bool:
        """Return whether a time of work is nearer to that on known objects."""
        warm_s, cold_s = self._times.get(service, (FIRST_WARM_S, FIRST_COLD_S))
        return seconds * seconds < warm_s * cold_s

    def note(self, service: str, seconds: float) -> None:
        """Record the time of one run."""
        warm_s, cold_s = self._times.get(service, (FIRST_WARM_S, FIRST_COLD_S))
        if self.was_warm(service, seconds):
            warm_s += WORK_WEIGHT * (seconds - warm_s)
        else:
            cold_s += WORK_WEIGHT * (min(seconds, 2 * cold_s) - cold_s)
        cold_s = max(cold_s, warm_s * LEAST_COLD_FACTOR)
        self._times[service] = (warm_s, cold_s)

    def get_stretch(self, service: str) -> float:
        """Return by how many times requests lately took longer than expected."""
        return self._stretches.get(service, 1)

    def note_stretch(self, service: str, factor: float) -> None:
        """Record by how many times one request took longer than expected."""
        stretch = self.get_stretch(service)
        bounded = min(MOST_STRETCH, max(1, factor))
        self._stretches[service] = stretch + WORK_WEIGHT * (bounded - stretch)


class ThingCounts:
    """How many objects each service was asked for."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        self._seen: dict[str, OrderedDict[str, None]] = {}

    def __repr__(self) -> str:
        """Return the number of services."""
        return f'<ThingCounts services={len(self._seen)}>'

    def note(self, service: str, thing: str) -> None:
        """Record that a service was asked for an object."""
        seen = self._seen.setdefault(service, OrderedDict())
        seen[thing] = None
        seen.move_to_end(thing)
        if len(seen) > MAX_THINGS:
            seen.popitem(last=False)

    def count(self, service: str) -> int:
        """Return the number of objects, or more while few are known."""
        return max(FIRST_THINGS, len(self._seen.get(service, ())))


class Delays:
    """Round trips to the regions, by the time that connections took to open."""

    __slots__ = ('_delays', '_own_region')

    def __init__(self, own_region: str) -> None:
        self._own_region = own_region
        self._delays: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return the delays."""
        return f'<Delays {self._delays}>'

    def get(self, region: str) -> float:
        """Return the round trip to `region` in seconds."""
        near = region == self._own_region
        return self._delays.get(region, NEAR_DELAY_S if near else FAR_DELAY_S)

    def note(self, region: str, seconds: float) -> None:
        """Record one round trip."""
        known = self._delays.get(region, seconds)
        self._delays[region] = known + DELAY_WEIGHT * (seconds - known)
