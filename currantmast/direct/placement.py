"""Placement: which target a request goes to, or why it can't be served.

Load patterns that it answers: waves that overfill the few targets of one region; objects
that are fast where they were handled lately; targets that turn slow or fail part of their
work; bursts beyond what all targets can take.
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

# Requests that a target may hold for each of its slots, running ones included.
LOAD_PER_SLOT = 2.0

# The same for a request that other targets have room for, but may not leave its side.
HELD_LOAD_PER_SLOT = 3.0

# Part of the time that is left which a prediction may fill.
TIME_PART = 0.9

# Seconds by which a target that always fails looks further away.
TROUBLE_S = 1.5

# Seconds of latency that a crossing costs beside its delay, so that callers near a busy
# link are spared when another target is almost as good.
CROSS_REGION_S = 0.06
CROSS_DOMAIN_S = 0.005

# Requests by which the known load of a target may lag behind the real one.
LOAD_LAG = 0.5

# Chance that a target still knows an object that this instance sent there lately, when
# it is known to forget what others sent.
KNOWN_PART = 0.4


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


class Crossing(Enum):
    """Why a request runs in another region than that of its instance.

    No near target is to keep its object (`unkept`); those that do are full, or would
    answer too late; a far one is faster; or the region's share has to leave (`shared`).
    """

    none = 'none'
    unkept = 'unkept'
    full = 'full'
    late = 'late'
    faster = 'faster'
    shared = 'shared'


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
    known : bool
        Whether this instance sent the object there lately.
    candidates : int
        Number of targets weighed.
    load : int
        Requests that the target was believed to have.
    crossing : Crossing
        Why it is in another region; `none` when it isn't.
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
    """Why a request can't go to a target."""

    full = 'full'
    strange = 'strange'
    late = 'late'


class NoRoom(msgspec.Struct, frozen=True):
    """No target can serve the request in time.

    Parameters
    ----------
    candidates : int
        Number of targets weighed.
    room_in_s : float
        Seconds until a target is expected to have room.
    full, strange, late : int
        Targets that hold all they may, that are busy and don't keep the object, and that
        would answer after the caller or the route has given up.
    held : int
        Targets that have room on the side that the request doesn't belong to.
    """

    candidates: int
    room_in_s: float
    full: int = 0
    strange: int = 0
    late: int = 0
    held: int = 0


class Placement:
    """Chooses targets by expected latency.

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
        """Return the place."""
        return f'<Placement {self._place.failure_domain}>'

    def choose(self, need: Need, targets: Iterable[Target]) -> Chosen | NoRoom:
        """Return the target with the lowest cost that has room and time."""
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
        pairs = list(zip(options, obstacles, strict=True))
        fitting = [option for option, obstacle in pairs if obstacle is None]
        allowed = self._bound(need, options, fitting)
        if allowed:
            best = min(allowed, key=self._weigh)
            return msgspec.structs.replace(
                best, crossing=self._explain_crossing(need, best, pairs)
            )
        return NoRoom(
            len(candidates),
            min((need.time_left_s, *(option.wait_s for option in options))),
            full=obstacles.count(Obstacle.full),
            strange=obstacles.count(Obstacle.strange),
            late=obstacles.count(Obstacle.late),
            held=len(fitting),
        )

    def note_served(self, service: str, chosen: Chosen, elapsed_s: float) -> None:
        """Record how long a request took in all, against what was expected."""
        self.times.note_stretch(service, elapsed_s / chosen.expected_s)

    def _bound(
        self, need: Need, options: list[Chosen], fitting: list[Chosen]
    ) -> list[Chosen]:
        """Return the options of `fitting` on the side that the request belongs to.

        Where the targets of one side may not serve the request at all, nothing is
        bound. A side without room lets few requests go to the other one.
        """
        sides = {self._is_near(option) for option in options}
        if not fitting or len(sides) == 1:
            return fitting
        service = need.service
        wish = min(fitting, key=self._weigh)
        self.crossings.note_wish(service, away=not self._is_near(wish))
        away = self._find_side(need, options, fitting)
        allowed = [option for option in fitting if self._is_near(option) is not away]
        if not allowed and self.crossings.may_stray(service, away=not away):
            away = not away
            allowed = fitting
        if not allowed:
            allowed = [
                option
                for option in options
                if self._is_near(option) is not away and self._may_queue(need, option)
            ]
        if allowed:
            self.crossings.note_sent(service, away=away)
        return allowed

    def _find_side(
        self, need: Need, options: list[Chosen], fitting: list[Chosen]
    ) -> bool:
        """Return whether a request goes to another region, if there is room."""
        rank = rank_thing(need.thing, self._place.region) if need.thing else None
        away = self.crossings.belongs_away(need.service, rank)
        if need.thing and not any(self._keeps(need, option) for option in options):
            return True
        if self.crossings.has_drifted(need.service, away=away) and any(
            option.chance > 0 and self._is_near(option) is away for option in fitting
        ):
            return not away
        return away

    def _may_queue(self, need: Need, option: Chosen) -> bool:
        """Return whether a full target that keeps the object has a place in its queue."""
        target = option.target
        most = round(target.record.slots * HELD_LOAD_PER_SLOT)
        keeps = option.chance > 0 or not need.thing
        in_time = option.expected_s <= need.time_left_s * TIME_PART
        return keeps and in_time and target.load < most

    def _explain_crossing(
        self, need: Need, best: Chosen, pairs: list[tuple[Chosen, Obstacle | None]]
    ) -> Crossing:
        if self._is_near(best):
            return Crossing.none
        kept = [pair for pair in pairs if self._keeps(need, pair[0])]
        obstacles = {obstacle for _, obstacle in kept}
        if not kept:
            return Crossing.unkept
        if None not in obstacles:
            return Crossing.full if Obstacle.full in obstacles else Crossing.late
        cost_s = min(self._weigh(option) for option, found in kept if found is None)
        return Crossing.faster if self._weigh(best) <= cost_s else Crossing.shared

    def _is_near(self, option: Chosen) -> bool:
        return option.target.record.place.region == self._place.region

    def _keeps(self, need: Need, option: Chosen) -> bool:
        return self._is_near(option) and (option.chance > 0 or not need.thing)

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
        if target.load >= target.limit_load(max(1, round(slots * LOAD_PER_SLOT))):
            return Obstacle.full
        if need.thing and not option.chance and target.load:
            # Objects that are new to a target take long and push out those that it is
            # to keep, so they only get one that has nothing to do.
            return Obstacle.strange
        left_s = need.time_left_s * TIME_PART / self.times.get_stretch(need.service)
        if not need.thing and target.load < slots:
            # Nothing is waited for, and a wrong expectation must not exclude it for good.
            left_s = need.time_left_s
        return None if option.expected_s <= left_s else Obstacle.late

    def _weigh(self, option: Chosen) -> float:
        place = option.target.record.place
        crossing_s: float = 0
        if place.region != self._place.region:
            crossing_s = CROSS_REGION_S
        elif place.failure_domain != self._place.failure_domain:
            crossing_s = CROSS_DOMAIN_S
        trouble_s = option.target.history.trouble * TROUBLE_S
        return option.expected_s + crossing_s + trouble_s


def _estimate_chance(thing: str, target: Target, homes: Homes) -> float:
    if not thing:
        return 1
    if target.knows(thing):
        return KNOWN_PART + (1 - KNOWN_PART) * target.history.hits
    return homes.get_chance(target) * target.history.hits
