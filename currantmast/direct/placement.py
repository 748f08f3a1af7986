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
FIRST_WARM_S = 0.3
FIRST_COLD_S = 0.9
WORK_WEIGHT = 0.05

# Delays in seconds before any connection was made.
NEAR_DELAY_S = 0.002
FAR_DELAY_S = 0.06
DELAY_WEIGHT = 0.2


class WorkTimes:
    """Average time of work by service, for objects handled lately and others."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: dict[tuple[str, bool], float] = {}

    def __repr__(self) -> str:
        """Return the number of averages."""
        return f'<WorkTimes {len(self._times)}>'

    def get(self, service: str, warm: bool) -> float:
        """Return the average in seconds."""
        first_s = FIRST_WARM_S if warm else FIRST_COLD_S
        return self._times.get((service, warm), first_s)

    def note(self, service: str, warm: bool, seconds: float) -> None:
        """Record the time of one run."""
        average = self.get(service, warm)
        self._times[service, warm] = average + WORK_WEIGHT * (seconds - average)


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
    warm : bool
        Whether it is expected to know the object.
    candidates : int
        Number of targets weighed.
    """

    target: Target
    transit_s: float
    wait_s: float
    work_s: float
    warm: bool
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
        homes = find_homes(need.thing, candidates) if need.thing else frozenset()
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
        self, need: Need, target: Target, homes: frozenset[str], candidates: int
    ) -> Chosen:
        warm = target.knows(need.thing) or target.record.id in homes
        slots = target.record.slots
        ahead = max(0, target.load + 1 - slots)
        usual_s = self.times.get(need.service, warm=True) * target.slowness
        return Chosen(
            target=target,
            transit_s=self.delays.get(target.record.place.region),
            wait_s=ahead * usual_s / slots,
            work_s=self.times.get(need.service, warm) * target.slowness,
            warm=warm,
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
        crossing_s = 0.0
        if place.region != self._place.region:
            crossing_s = CROSS_REGION_S
        elif place.failure_domain != self._place.failure_domain:
            crossing_s = CROSS_DOMAIN_S
        expected_s = option.transit_s + option.wait_s + option.work_s
        return expected_s + crossing_s + option.target.trouble * TROUBLE_S


def find_homes(thing: str, targets: Iterable[Target]) -> frozenset[str]:
    """Return the ids of the targets that keep the object `thing`, one for each region.

    Every instance computes the same ones, so that all requests for an object meet the
    same targets; when one comes or goes, only its own objects move.
    """
    first: dict[str, tuple[int, str]] = {}
    for target in targets:
        record: TargetRecord = target.record
        score = (_score(thing, record.id), record.id)
        region = record.place.region
        first[region] = max(first.get(region, score), score)
    return frozenset(target_id for _, target_id in first.values())


@lru_cache(maxsize=65_536)
def _score(thing: str, target_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{thing}|{target_id}'.encode())
