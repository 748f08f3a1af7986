"""Placement: which target a request goes to, or why it can't be served.

Load patterns that it answers: waves that overfill the few targets of one region; objects
that are fast where they were handled lately; targets that turn slow or fail part of their
work; bursts beyond what all targets can take.
"""

from collections.abc import Iterable
from functools import lru_cache

import msgspec
import xxhash

from currantmast.direct.model import Place, TargetRecord
from currantmast.direct.targets import Target

# Requests that a target may hold for each of its slots, running ones included.
LOAD_PER_SLOT = 2.5

# Part of the time that is left which a prediction may fill.
TIME_PART = 0.9

# Seconds by which a target that always fails looks further away.
TROUBLE_S = 1.5

# Seconds of latency that a crossing costs beside its delay, so that callers near a busy
# link are spared when another target is almost as good.
CROSS_REGION_S = 0.06
CROSS_DOMAIN_S = 0.005

# Time of work in seconds before any answer was seen.
FIRST_WARM_S = 0.25
FIRST_COLD_S = 0.8
WORK_WEIGHT = 0.05

# Work on an object that a target doesn't know takes at least this many times as long.
LEAST_COLD_FACTOR = 2.0

# Requests by which the known load of a target may lag behind the real one.
LOAD_LAG = 0.5

# Chance that a target still knows an object that this instance sent there lately, when
# it is known to forget what others sent.
KNOWN_PART = 0.4

# Chance that the second target for an object knows it, from earlier overflow.
SECOND_WARM_PART = 0.5

# Delays in seconds before any connection was made.
NEAR_DELAY_S = 0.002
FAR_DELAY_S = 0.06
DELAY_WEIGHT = 0.2


class WorkTimes:
    """Times of work by service: on objects that a target knew, and on others.

    Nobody tells which of the two a run was, so each time counts for the nearer average.
    """

    __slots__ = ('_times',)

    def __init__(self) -> None:
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


class Need(msgspec.Struct, frozen=True):
    """What a request asks of a target.

    Parameters
    ----------
    service : str
        Service to run on.
    thing : str
        Object that it concerns; empty when unknown.
    time_left_s : float
        Seconds until the caller or the route gives up.
    target_left_s : float
        Seconds until the answer is late.
    """

    service: str
    thing: str
    time_left_s: float
    target_left_s: float


class Chosen(msgspec.Struct, frozen=True):
    """The target to send to, with what was expected of it.

    Parameters
    ----------
    target : Target
        The target.
    transit_s, wait_s, work_s : float
        Expected round trip, queueing and work, in seconds.
    chance : float
        Chance from 0 to 1 that it knows the object.
    candidates : int
        Number of targets weighed.
    """

    target: Target
    transit_s: float
    wait_s: float
    work_s: float
    chance: float
    candidates: int


class NoRoom(msgspec.Struct, frozen=True):
    """No target can serve the request in time.

    Parameters
    ----------
    candidates : int
        Number of targets weighed.
    room_in_s : float
        Seconds until a target is expected to have room.
    """

    candidates: int
    room_in_s: float


class Placement:
    """Chooses targets by expected latency.

    Parameters
    ----------
    place : Place
        Where this instance runs.
    """

    __slots__ = ('_place', 'delays', 'times')

    def __init__(self, place: Place) -> None:
        self._place = place
        self.delays = Delays(place.region)
        self.times = WorkTimes()

    def __repr__(self) -> str:
        """Return the place."""
        return f'<Placement {self._place.failure_domain}>'

    def choose(self, need: Need, targets: Iterable[Target]) -> Chosen | NoRoom:
        """Return the target with the lowest cost that has room and time."""
        candidates = list(targets)
        homes = find_homes(need.thing, candidates) if need.thing else Homes()
        best: tuple[float, Chosen] | None = None
        room_in_s = need.time_left_s
        for target in candidates:
            option = self._estimate(need, target, homes, len(candidates))
            if not self._fits(need, option):
                room_in_s = min(room_in_s, option.wait_s)
                continue
            cost = self._weigh(option)
            if best is None or cost < best[0]:
                best = (cost, option)
        if best is None:
            return NoRoom(len(candidates), room_in_s)
        return best[1]

    def _estimate(
        self, need: Need, target: Target, homes: 'Homes', candidates: int
    ) -> Chosen:
        chance = _estimate_chance(need.thing, target, homes)
        slots = target.record.slots
        ahead = max(0, target.load + 1 - slots + LOAD_LAG)
        usual_s = self.times.get(need.service, 1) * target.history.slowness
        return Chosen(
            target=target,
            transit_s=self.delays.get(target.record.place.region),
            wait_s=ahead * usual_s / slots,
            work_s=self.times.get(need.service, chance) * target.history.slowness,
            chance=chance,
            candidates=candidates,
        )

    def _fits(self, need: Need, option: Chosen) -> bool:
        target = option.target
        most = target.limit_load(round(target.record.slots * LOAD_PER_SLOT))
        if target.load >= most:
            return False
        expected_s = option.transit_s + option.wait_s + option.work_s
        return expected_s <= need.time_left_s * TIME_PART

    def _weigh(self, option: Chosen) -> float:
        place = option.target.record.place
        crossing_s: float = 0
        if place.region != self._place.region:
            crossing_s = CROSS_REGION_S
        elif place.failure_domain != self._place.failure_domain:
            crossing_s = CROSS_DOMAIN_S
        expected_s = option.transit_s + option.wait_s + option.work_s
        return expected_s + crossing_s + option.target.history.trouble * TROUBLE_S


def _estimate_chance(thing: str, target: Target, homes: 'Homes') -> float:
    if target.knows(thing):
        return KNOWN_PART + (1 - KNOWN_PART) * target.history.hits
    return homes.get_chance(target) * target.history.hits


_Score = tuple[int, str]


class Homes(msgspec.Struct, frozen=True):
    """The targets that keep an object: the first and the second of each region.

    Every instance computes the same ones, so that all requests for an object meet the
    same targets; when one comes or goes, only its own objects move.
    """

    first: frozenset[str] = frozenset()
    second: frozenset[str] = frozenset()

    def get_chance(self, target: Target) -> float:
        """Return the chance that `target` knows the object."""
        if target.record.id in self.first:
            return 1
        return SECOND_WARM_PART if target.record.id in self.second else 0


def find_homes(thing: str, targets: Iterable[Target]) -> Homes:
    """Return the targets of `targets` that keep the object `thing`."""
    ranked: dict[str, list[_Score]] = {}
    for target in targets:
        record: TargetRecord = target.record
        score = (_score(thing, record.id), record.id)
        ranked.setdefault(record.place.region, []).append(score)
    best = [sorted(scores, reverse=True) for scores in ranked.values()]
    return Homes(
        first=frozenset(scores[0][1] for scores in best),
        second=frozenset(scores[1][1] for scores in best if len(scores) > 1),
    )


@lru_cache(maxsize=65_536)
def _score(thing: str, target_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{thing}|{target_id}'.encode())
