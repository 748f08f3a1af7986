"""Choice of the target for a request, or the reasons why none can serve it.

Placement handles bursts that overload the few targets of one region, objects that are
faster on targets that cache them, targets that become slow or fail part of their
requests, and bursts beyond the capacity of all targets.
"""

from collections.abc import Iterable

import msgspec

from currantmast.clocks import Clock
from currantmast.direct.affinity import (
    AffinityTargets,
    find_affinity_targets,
    rank_object,
)
from currantmast.direct.choices import (
    Choice,
    NoCapacity,
    Obstacle,
    Requirements,
    SpilloverReason,
)
from currantmast.direct.costplacement import CostPlacement
from currantmast.direct.estimates import ObjectCounts, ProcessingTimes, RoundTripTimes
from currantmast.direct.model import Location
from currantmast.direct.spillover import SpilloverControl
from currantmast.direct.targets import Target

# Running and queued requests that a target may have for each of its slots.
MAX_LOAD_PER_SLOT = 2.0

# The same for a request that must stay on its side (the local region, or all other
# regions) although only the other side has capacity.
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


class Placement:
    """Chooses targets by expected latency and penalties.

    Parameters
    ----------
    location : Location
        Where this instance runs.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        '_location',
        'by_cost',
        'object_counts',
        'processing_times',
        'round_trips',
        'spillover',
    )

    def __init__(self, location: Location, clock: Clock) -> None:
        self._location = location
        self.spillover = SpilloverControl(clock)
        self.round_trips = RoundTripTimes(location.region)
        self.object_counts = ObjectCounts()
        self.processing_times = ProcessingTimes()
        self.by_cost = CostPlacement(
            location, self.spillover, self.round_trips, self.object_counts
        )

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Placement {self._location.failure_domain}>'

    def choose(
        self, requirements: Requirements, targets: Iterable[Target]
    ) -> Choice | NoCapacity:
        """Return the target of lowest cost that has capacity and would answer in time."""
        if requirements.by_cost:
            return self.by_cost.choose(requirements, targets)
        candidates = list(targets)
        affinity_targets = AffinityTargets()
        if requirements.object_key:
            self.object_counts.note(requirements.service, requirements.object_key)
            affinity_targets = self._find_affinity_targets(requirements, candidates)
        options = [
            self._estimate(requirements, target, affinity_targets, len(candidates))
            for target in candidates
        ]
        obstacles = [self._find_obstacle(requirements, option) for option in options]
        checked = list(zip(options, obstacles, strict=True))
        feasible = [option for option, obstacle in checked if obstacle is None]
        allowed = self._restrict_to_side(requirements, options, feasible)
        if allowed:
            best = min(allowed, key=self._compute_cost)
            return msgspec.structs.replace(
                best,
                spillover_reason=self._explain_spillover(requirements, best, checked),
            )
        return NoCapacity(
            len(candidates),
            min((requirements.time_left_s, *(option.wait_s for option in options))),
            full=obstacles.count(Obstacle.full),
            strange=obstacles.count(Obstacle.strange),
            late=obstacles.count(Obstacle.late),
            held=len(feasible),
        )

    def note_served(self, service: str, choice: Choice, elapsed_s: float) -> None:
        """Record the latency of a request, to compare it with the expected one."""
        self.processing_times.record_overrun(service, elapsed_s / choice.expected_s)

    def _find_affinity_targets(
        self, requirements: Requirements, candidates: list[Target]
    ) -> AffinityTargets:
        """Return the targets that cache the object, and those in place of limited ones."""
        found = self._find_among(requirements, candidates)
        if not found.primary & requirements.limited.exhausted:
            return found
        scarce = requirements.limited.scarce
        others = [target for target in candidates if target.record.id not in scarce]
        replacing = self._find_among(requirements, others).primary
        return AffinityTargets(found.primary, found.secondary | replacing)

    def _find_among(
        self, requirements: Requirements, targets: list[Target]
    ) -> AffinityTargets:
        return find_affinity_targets(
            requirements.object_key,
            targets,
            self.object_counts.count(requirements.service),
            self._location.region,
        )

    def _restrict_to_side(
        self, requirements: Requirements, options: list[Choice], feasible: list[Choice]
    ) -> list[Choice]:
        """Return the options on the side that the request is assigned to.

        A side is the local region or all other regions. Nothing is restricted when all
        `options` are on one side. When the assigned side has no capacity, a few requests
        may go to the other side.
        """
        sides = {self._is_local(option) for option in options}
        if not feasible or len(sides) == 1:
            return feasible
        service = requirements.service
        preferred = min(feasible, key=self._compute_cost)
        self.spillover.record_preference(service, remote=not self._is_local(preferred))
        remote = self._is_assigned_remote(requirements, options, feasible)
        allowed = [
            option for option in feasible if self._is_local(option) is not remote
        ]
        if not allowed and self.spillover.may_deviate(service, remote=not remote):
            remote = not remote
            allowed = feasible
        if not allowed:
            allowed = [
                option
                for option in options
                if self._is_local(option) is not remote
                and self._may_queue(requirements, option)
            ]
        if allowed:
            self.spillover.note_sent(service, remote=remote)
        return allowed

    def _is_assigned_remote(
        self, requirements: Requirements, options: list[Choice], feasible: list[Choice]
    ) -> bool:
        """Return whether a request is assigned to the other regions.

        It is if it names an object to which no local target has affinity. Otherwise the
        spillover share selects a side. If that side already got too many requests, the
        opposite one is assigned, provided that a feasible target there has affinity to
        the object or the request names none.
        """
        rank = (
            rank_object(requirements.object_key, self._location.region)
            if requirements.object_key
            else None
        )
        remote = self.spillover.belongs_remote(requirements.service, rank)
        if requirements.object_key and not any(
            self._has_local_affinity(requirements, option) for option in options
        ):
            return True
        if self.spillover.is_over_share(requirements.service, remote=remote) and any(
            option.chance > 0 and self._is_local(option) is remote
            for option in feasible
        ):
            return not remote
        return remote

    def _may_queue(self, requirements: Requirements, option: Choice) -> bool:
        """Return whether a target without capacity may queue the request after all."""
        target = option.target
        if target.record.id in requirements.limited.exhausted:
            return False
        max_load = round(target.record.slots * MAX_LOAD_PER_SLOT_ON_SIDE)
        has_affinity = option.chance > 0 or not requirements.object_key
        in_time = option.expected_s <= requirements.time_left_s * MAX_TIME_FRACTION
        return has_affinity and in_time and target.load < max_load

    def _explain_spillover(
        self,
        requirements: Requirements,
        best: Choice,
        checked: list[tuple[Choice, Obstacle | None]],
    ) -> SpilloverReason:
        if self._is_local(best):
            return SpilloverReason.none
        with_affinity = [
            item for item in checked if self._has_local_affinity(requirements, item[0])
        ]
        obstacles = {obstacle for _, obstacle in with_affinity}
        if not with_affinity:
            return SpilloverReason.unkept
        if None not in obstacles:
            return (
                SpilloverReason.full
                if Obstacle.full in obstacles
                else SpilloverReason.late
            )
        cost_s = min(
            self._compute_cost(option)
            for option, reason in with_affinity
            if reason is None
        )
        return (
            SpilloverReason.faster
            if self._compute_cost(best) <= cost_s
            else SpilloverReason.shared
        )

    def _is_local(self, option: Choice) -> bool:
        return option.target.record.location.region == self._location.region

    def _has_local_affinity(self, requirements: Requirements, option: Choice) -> bool:
        return self._is_local(option) and (
            option.chance > 0 or not requirements.object_key
        )

    def _estimate(
        self,
        requirements: Requirements,
        target: Target,
        affinity_targets: AffinityTargets,
        candidates: int,
    ) -> Choice:
        chance = _estimate_chance(requirements.object_key, target, affinity_targets)
        slots = target.record.slots
        ahead = max(0, target.load + 1 - slots + LOAD_LAG)
        slowness = target.history.slowness
        usual_s = self.processing_times.get(requirements.service, 1) * slowness
        return Choice(
            target=target,
            round_trip_s=self.round_trips.get(target.record.location.region),
            wait_s=ahead * usual_s / slots,
            processing_s=self.processing_times.get(requirements.service, chance)
            * slowness,
            chance=chance,
            cached=target.has_cached(requirements.object_key),
            candidates=candidates,
            load=target.load,
        )

    def _find_obstacle(
        self, requirements: Requirements, option: Choice
    ) -> Obstacle | None:
        target = option.target
        slots = target.record.slots
        if target.record.id in requirements.limited.exhausted:
            return Obstacle.limited
        if target.load >= target.limit_load(max(1, round(slots * MAX_LOAD_PER_SLOT))):
            return Obstacle.full
        is_busy = target.load > 0 or target.record.id in requirements.limited.scarce
        if requirements.object_key and not option.chance and is_busy:
            # An object that isn't cached takes longer and evicts cached ones, so it may
            # only go to an idle target.
            return Obstacle.strange
        left_s = (
            requirements.time_left_s
            * MAX_TIME_FRACTION
            / self.processing_times.get_overrun(requirements.service)
        )
        if not requirements.object_key and target.load < slots:
            # A slot is free, and a wrong estimate must not exclude the target for good.
            left_s = requirements.time_left_s
        return None if option.expected_s <= left_s else Obstacle.late

    def _compute_cost(self, option: Choice) -> float:
        location = option.target.record.location
        distance_penalty_s: float = 0
        if location.region != self._location.region:
            distance_penalty_s = CROSS_REGION_PENALTY_S
        elif location.failure_domain != self._location.failure_domain:
            distance_penalty_s = CROSS_DOMAIN_PENALTY_S
        failure_penalty_s = option.target.history.failure_rate * FAILURE_PENALTY_S
        return option.expected_s + distance_penalty_s + failure_penalty_s


def _estimate_chance(
    object_key: str, target: Target, affinity_targets: AffinityTargets
) -> float:
    if not object_key:
        return 1
    if target.has_cached(object_key):
        return MIN_CACHED_CHANCE + (1 - MIN_CACHED_CHANCE) * target.history.hit_rate
    return affinity_targets.get_chance(target) * target.history.hit_rate
