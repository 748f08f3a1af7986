"""Estimates for placement: processing times, round trip times and numbers of objects."""

from collections import OrderedDict

# Processing times in seconds before any answer was seen, for objects that the target
# caches and for others.
INITIAL_CACHED_S = 0.25
INITIAL_UNCACHED_S = 0.8

# Weight of one request in the moving averages of processing times and overruns.
PROCESSING_WEIGHT = 0.05

# Minimum ratio of the processing time of an uncached object to that of a cached one.
MIN_UNCACHED_RATIO = 2.0

# Maximum ratio of actual to expected latency that is recorded for one request.
MAX_OVERRUN = 4.0

# Minimum number of objects assumed for a service, and the maximum that is counted.
MIN_OBJECTS = 24
MAX_OBJECTS = 10_000

# Round trip times in seconds before any connection was made.
INITIAL_LOCAL_ROUND_TRIP_S = 0.002
INITIAL_REMOTE_ROUND_TRIP_S = 0.06

# Weight of one round trip in the moving average.
ROUND_TRIP_WEIGHT = 0.2


class ProcessingTimes:
    """Average processing times by service, for cached and uncached objects.

    Targets don't report whether an object was cached, so each processing time counts for
    the nearer of the two averages.
    """

    __slots__ = ('_overruns', '_times')

    def __init__(self) -> None:
        self._overruns: dict[str, float] = {}
        self._times: dict[str, tuple[float, float]] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ProcessingTimes {len(self._times)}>'

    def get(self, service: str, chance: float) -> float:
        """Return the expected seconds, given the chance that the object is cached."""
        cached_s, uncached_s = self._times.get(
            service, (INITIAL_CACHED_S, INITIAL_UNCACHED_S)
        )
        return chance * cached_s + (1 - chance) * uncached_s

    def was_cached(self, service: str, seconds: float) -> bool:
        """Return whether a processing time is nearer, by ratio, to the cached average."""
        cached_s, uncached_s = self._times.get(
            service, (INITIAL_CACHED_S, INITIAL_UNCACHED_S)
        )
        return seconds * seconds < cached_s * uncached_s

    def note(self, service: str, seconds: float) -> None:
        """Record the processing time of one request."""
        cached_s, uncached_s = self._times.get(
            service, (INITIAL_CACHED_S, INITIAL_UNCACHED_S)
        )
        if self.was_cached(service, seconds):
            cached_s += PROCESSING_WEIGHT * (seconds - cached_s)
        else:
            uncached_s += PROCESSING_WEIGHT * (
                min(seconds, 2 * uncached_s) - uncached_s
            )
        uncached_s = max(uncached_s, cached_s * MIN_UNCACHED_RATIO)
        self._times[service] = (cached_s, uncached_s)

    def get_overrun(self, service: str) -> float:
        """Return the average ratio of actual to expected latency, at least 1."""
        return self._overruns.get(service, 1)

    def record_overrun(self, service: str, factor: float) -> None:
        """Record the ratio of actual to expected latency of one request."""
        overrun = self.get_overrun(service)
        bounded = min(MAX_OVERRUN, max(1, factor))
        self._overruns[service] = overrun + PROCESSING_WEIGHT * (bounded - overrun)


class ObjectCounts:
    """Numbers of distinct objects in the requests for each service."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        self._seen: dict[str, OrderedDict[str, None]] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<ObjectCounts services={len(self._seen)}>'

    def note(self, service: str, object_key: str) -> None:
        """Record a request for an object of a service."""
        seen = self._seen.setdefault(service, OrderedDict())
        seen[object_key] = None
        seen.move_to_end(object_key)
        if len(seen) > MAX_OBJECTS:
            seen.popitem(last=False)

    def count(self, service: str) -> int:
        """Return the number of objects seen, at least `MIN_OBJECTS`."""
        return max(MIN_OBJECTS, len(self._seen.get(service, ())))


class RoundTripTimes:
    """Round trip times to the regions, from the time that connections took to open."""

    __slots__ = ('_local_region', '_round_trips')

    def __init__(self, local_region: str) -> None:
        self._local_region = local_region
        self._round_trips: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<RoundTripTimes {self._round_trips}>'

    def get(self, region: str) -> float:
        """Return the round trip time to `region` in seconds."""
        local = region == self._local_region
        return self._round_trips.get(
            region, INITIAL_LOCAL_ROUND_TRIP_S if local else INITIAL_REMOTE_ROUND_TRIP_S
        )

    def note(self, region: str, seconds: float) -> None:
        """Record one round trip time in seconds."""
        average = self._round_trips.get(region, seconds)
        self._round_trips[region] = average + ROUND_TRIP_WEIGHT * (seconds - average)
