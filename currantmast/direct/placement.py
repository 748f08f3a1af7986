"""Choice of the target for a request, or the reasons why none can serve it.

Placement handles bursts that overload the few targets of one region, objects that are
faster on targets that cache them, targets that become slow or fail part of their
requests, and bursts beyond the capacity of all targets.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.crossings import Crossings
from currantmast.direct.estimates import Delays, ThingCounts, WorkTimes
from currantmast.direct.homes import Homes, find_homes, rank_thing
from currantmast.direct.model import Place
from currantmast.direct.targets import Target

# Running and queued requests that a target may have for each of its slots.
MAX_LOAD_PER_SLOT = 2.0

# The same when only targets on the other side (local or other regions) have capacity
# and the request may not go there.
MAX_LOAD_PER_SLOT_ON_SIDE = 3.0

# Fraction of the remaining time that the expected latency may use.
MAX_TIME_FRACTION = 0.9

# Seconds added to the cost of a target that fails all requests.
FAILURE_PENALTY_S = 1.5

# Seconds added, beside the round trip, to the cost of a target in another region or
# failure domain, to keep requests off busy links when a nearer target is almost as good.
CROSS_REGION_PENALTY_S = 0.06
CROSS_DOMAIN_PENALTY_S = 0.005

# Requests by which the known load of a target may lag behind its actual load.
LOAD_LAG = 0.5

# Chance that a target still caches an object that this instance sent there recently,
# when the target's hit rate is zero.
MIN_CACHED_CHANCE = 0.4


class Need(msgspec.Struct, frozen=True):
    """What a request requires of a target.

    Parameters
    ----------
    service : str
        Service that the request is for.
    thing : str
        Object that the request concerns; empty when unknown.
    time_left_s : float
        Seconds until the caller or the route times out.
    target_left_s : float
        Seconds until the answer misses the latency objective of the route.
    """

    service: str
    thing: str
    time_left_s: float
    target_left_s: float


class Crossing(Enum):
    """Why a request runs outside the local region.

    No local target has affinity to its object (`unkept`); those that have are at their
    load limit (`full`) or would answer too late (`late`); a target in another region has
    a lower cost (`faster`); or the request is part of the region's spillover (`shared`).
    """

    none = 'none'
    unkept = 'unkept'
    full = 'full'
    late = 'late'
    faster = 'faster'
    shared = 'shared'


class Chosen(msgspec.Struct, frozen=True):
    """A target for a request, with the expected times.

    Parameters
    ----------
    target : Target
        The target.
    transit_s, wait_s, work_s : float
        Expected round trip, queueing time and processing time, in seconds.
    chance : float
        Chance from 0 to 1 that the target caches the object.
    known : bool
        Whether this instance sent the object to the target recently.
    candidates : int
        Number of targets compared.
    load : int
        Running and queued requests of the target, as known when it was compared.
    crossing : Crossing
        Why the target is in another region; `none` when it is in the local one.
    """

    target: Target
    transit_s: float
    wait_s: float
    work_s: float
    chance: float
    known: bool
    candidates: int
    load: int = 0
    crossing: Crossing = Crossing.none

    @property
    def expected_s(self) -> float:
        """Expected latency in seconds."""
        return self.transit_s + self.wait_s + self.work_s


class Obstacle(Enum):
    """Why a request can't go to a target.

    The target is at its load limit (`full`), is busy and has no affinity to the object
    (`strange`), or would answer too late (`late`).
    """

    full = 'full'
    strange = 'strange'
    late = 'late'


class NoRoom(msgspec.Struct, frozen=True):
    """No target can serve the request in time.

    Parameters
    ----------
    candidates : int
        Number of targets compared.
    room_in_s : float
        Seconds until a target is expected to have capacity.
    full, strange, late : int
        Number of targets for each `Obstacle`.
    held : int
        Targets with capacity on the side (local or other regions) that the request may
        not use.
    """

    candidates: int
    room_in_s: float
    full: int = 0
    strange: int = 0
    late: int = 0
    held: int = 0


class Placement:
    """Chooses targets by expected latency and penalties.

    Parameters
    ----------
    place : Place
        Where this instance runs.
    clock : Clock
        Source of time.
    """

    __slots__ = ('_place', 'crossings', 'delays', 'things', 'times')

    def __init__(self, place: Place, clock: Clock) -> None:
        self._place = place
        self.crossings = Crossings(clock)
        self.delays = Delays(place.region)
        self.things = ThingCounts()
        self.times = WorkTimes()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Placement {self._place.failure_domain}>'

    def choose(self, need: Need, targets: Iterable[Target]) -> Chosen | NoRoom:
        """Return the target of lowest cost that has capacity and would answer in time."""
        candidates = list(targets)
        homes = Homes()
        if need.thing:
            self.things.note(need.service, need.thing)
            homes = find_homes(
                need.thing,
                candidates,
                self.things.count(need.service),
                self._place.region,
            )
        options = [
            self._estimate(need, target, homes, len(candidates))
            for target in candidates
        ]
        obstacles = [self._find_obstacle(need, option) for option in options]
        checked = list(zip(options, obstacles, strict=True))
        feasible = [option for option, obstacle in checked if obstacle is None]
        allowed = self._restrict_to_side(need, options, feasible)
        if allowed:
            best = min(allowed, key=self._compute_cost)
            return msgspec.structs.replace(
                best, crossing=self._explain_crossing(need, best, checked)
            )
        return NoRoom(
            len(candidates),
            min((need.time_left_s, *(option.wait_s for option in options))),
            full=obstacles.count(Obstacle.full),
            strange=obstacles.count(Obstacle.strange),
            late=obstacles.count(Obstacle.late),
            held=len(feasible),
        )

    def note_served(self, service: str, chosen: Chosen, elapsed_s: float) -> None:
        """Record the latency of a request, to compare it with the expected one."""
        self.times.note_stretch(service, elapsed_s / chosen.expected_s)

    def _restrict_to_side(
        self, need: Need, options: list[Chosen], feasible: list[Chosen]
    ) -> list[Chosen]:
        """Return the options on the side that the request is assigned to.

        A side is the local region or all other regions. Nothing is restricted when all
        `options` are on one side. When the assigned side has no capacity, a few requests
        may go to the other side.
        """
        sides = {self._is_local(option) for option in options}
        if not feasible or len(sides) == 1:
            return feasible
        service = need.service
        preferred = min(feasible, key=self._compute_cost)
        self.crossings.note_wish(service, away=not self._is_local(preferred))
        away = self._find_side(need, options, feasible)
        allowed = [option for option in feasible if self._is_local(option) is not away]
        if not allowed and self.crossings.may_stray(service, away=not away):
            away = not away
            allowed = feasible
        if not allowed:
            allowed = [
                option
                for option in options
                if self._is_local(option) is not away and self._may_queue(need, option)
            ]
        if allowed:
            self.crossings.note_sent(service, away=away)
        return allowed

    def _find_side(
        self, need: Need, options: list[Chosen], feasible: list[Chosen]
    ) -> bool:
        """Return whether a request is assigned to the other regions."""
        rank = rank_thing(need.thing, self._place.region) if need.thing else None
        away = self.crossings.belongs_away(need.service, rank)
        if need.thing and not any(
            self._has_local_affinity(need, option) for option in options
        ):
            return True
        if self.crossings.has_drifted(need.service, away=away) and any(
            option.chance > 0 and self._is_local(option) is away for option in feasible
        ):
            return not away
        return away

    def _may_queue(self, need: Need, option: Chosen) -> bool:
        """Return whether a full target with affinity to the object may queue it."""
        target = option.target
        max_load = round(target.record.slots * MAX_LOAD_PER_SLOT_ON_SIDE)
        has_affinity = option.chance > 0 or not need.thing
        in_time = option.expected_s <= need.time_left_s * MAX_TIME_FRACTION
        return has_affinity and in_time and target.load < max_load

    def _explain_crossing(
        self, need: Need, best: Chosen, checked: list[tuple[Chosen, Obstacle | None]]
    ) -> Crossing:
        if self._is_local(best):
            return Crossing.none
        preferred = [
            item for item in checked if self._has_local_affinity(need, item[0])
        ]
        obstacles = {obstacle for _, obstacle in preferred}
        if not preferred:
            return Crossing.unkept
        if None not in obstacles:
            return Crossing.full if Obstacle.full in obstacles else Crossing.late
        cost_s = min(
            self._compute_cost(option) for option, reason in preferred if reason is None
        )
        return (
            Crossing.faster if self._compute_cost(best) <= cost_s else Crossing.shared
        )

    def _is_local(self, option: Chosen) -> bool:
        return option.target.record.place.region == self._place.region

    def _has_local_affinity(self, need: Need, option: Chosen) -> bool:
        return self._is_local(option) and (option.chance > 0 or not need.thing)

    def _estimate(
        self, need: Need, target: Target, homes: Homes, candidates: int
    ) -> Chosen:
        chance = _estimate_chance(need.thing, target, homes)
        slots = target.record.slots
        ahead = max(0, target.load + 1 - slots + LOAD_LAG)
        slowness = target.history.slowness
        usual_s = self.times.get(need.service, 1) * slowness
        return Chosen(
            target=target,
            transit_s=self.delays.get(target.record.place.region),
            wait_s=ahead * usual_s / slots,
            work_s=self.times.get(need.service, chance) * slowness,
            chance=chance,
            known=target.knows(need.thing),
            candidates=candidates,
            load=target.load,
        )

    def _find_obstacle(self, need: Need, option: Chosen) -> Obstacle | None:
        target = option.target
        slots = target.record.slots
        if target.load >= target.limit_load(max(1, round(slots * MAX_LOAD_PER_SLOT))):
            return Obstacle.full
        if need.thing and not option.chance and target.load:
            # An object that isn't cached takes longer and evicts cached ones, so it may
            # only go to an idle target.
            return Obstacle.strange
        left_s = (
            need.time_left_s * MAX_TIME_FRACTION / self.times.get_stretch(need.service)
        )
        if not need.thing and target.load < slots:
            # A slot is free, and a wrong estimate must not exclude the target for good.
            left_s = need.time_left_s
        return None if option.expected_s <= left_s else Obstacle.late

    def _compute_cost(self, option: Chosen) -> float:
        place = option.target.record.place
        distance_penalty_s: float = 0
        if place.region != self._place.region:
            distance_penalty_s = CROSS_REGION_PENALTY_S
        elif place.failure_domain != self._place.failure_domain:
            distance_penalty_s = CROSS_DOMAIN_PENALTY_S
        failure_penalty_s = option.target.history.trouble * FAILURE_PENALTY_S
        return option.expected_s + distance_penalty_s + failure_penalty_s


def _estimate_chance(thing: str, target: Target, homes: Homes) -> float:
    if not thing:
        return 1
    if target.knows(thing):
        return MIN_CACHED_CHANCE + (1 - MIN_CACHED_CHANCE) * target.history.hits
    return homes.get_chance(target) * target.history.hits
