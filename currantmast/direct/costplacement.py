"""Placement by cost, under overload control.

It handles targets whose pace changes within a second, queues at targets while others have
slots free, requests that cross failure domains or regions for little gain, and surges in
which uncached objects take the slots of several cached ones.
"""

import math
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from currantmast.direct.choices import (
    Choice,
    NoCapacity,
    Obstacle,
    Requirements,
    SpilloverReason,
)
from currantmast.direct.copies import Copy, CopyKind, ObjectDemand, list_copies
from currantmast.direct.costs import (
    MAX_LOAD_PER_SLOT,
    CostModel,
    LoadLimits,
    compute_slot_price,
)
from currantmast.direct.crossing import CrossingPrice
from currantmast.direct.estimates import ObjectCounts, RoundTripTimes
from currantmast.direct.model import Location
from currantmast.direct.spillover import (
    OVERLOAD_UTILIZATION,
    RegionCapacity,
    SpilloverControl,
)
from currantmast.direct.targets import Target

# Running and queued requests that a target may have for each of its slots when a request
# must stay on its side although only the other side has capacity.
MAX_LOAD_PER_SLOT_ON_SIDE = 3.0

# Targets compared in the own failure domain, in the rest of the region and in other
# regions each, when none that caches the object has capacity. Few, and random, so that
# many instances with the same old reports don't send to the same target.
SAMPLE_SIZE = 3


class Options(msgspec.Struct, frozen=True):
    """Targets compared for a request.

    Parameters
    ----------
    candidates : int
        Number of targets that may get the request.
    checked : list of (Choice, Obstacle or None)
        Each target, with the obstacle that was found.
    slot_price : float
        Price of slot time at that moment.
    """

    candidates: int
    checked: list[tuple[Choice, Obstacle | None]]
    slot_price: float

    def list_feasible(self) -> list[Choice]:
        """Return the targets without an obstacle."""
        return [option for option, obstacle in self.checked if obstacle is None]

    def count(self, obstacle: Obstacle) -> int:
        """Return the number of targets with an obstacle."""
        return sum(found is obstacle for _, found in self.checked)

    def is_unkept(self) -> bool:
        """Return whether no target of the local region is to cache the object."""
        kinds = {option.copy for option, _ in self.checked}
        return kinds.isdisjoint((CopyKind.first, CopyKind.second, CopyKind.no_object))


class CostPlacement:
    """Chooses targets by expected latency, the price of slots and that of crossing.

    Parameters
    ----------
    location : Location
        Where this instance runs.
    spillover : SpilloverControl
        Share of the region's requests that runs in other regions.
    round_trips : RoundTripTimes
        Round trip times to the regions.
    object_counts : ObjectCounts
        Numbers of objects in the requests of this instance.
    """

    __slots__ = (
        '_location',
        '_object_counts',
        '_prices',
        '_random',
        '_spillover',
        'costs',
    )

    def __init__(
        self,
        location: Location,
        spillover: SpilloverControl,
        round_trips: RoundTripTimes,
        object_counts: ObjectCounts,
    ) -> None:
        self._location = location
        self._spillover = spillover
        self._prices: dict[str, CrossingPrice] = {}
        self._random = Random()
        self.costs = CostModel(location, round_trips)
        self._object_counts = object_counts

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CostPlacement {self._location.failure_domain}>'

    @property
    def highest_price_s(self) -> float:
        """Highest price of crossing of all services, in seconds."""
        return max((price.price_s for price in self._prices.values()), default=0)

    def get_price(self, service: str) -> float:
        """Return the price of crossing for a service, in seconds."""
        price = self._prices.get(service)
        return price.price_s if price else 0

    def complete_capacities(
        self, capacities: Mapping[str, RegionCapacity]
    ) -> dict[str, RegionCapacity]:
        """Return capacities by service with what requests need of them."""
        return {
            service: msgspec.structs.replace(
                capacity,
                utilization=OVERLOAD_UTILIZATION,
                slot_s=self.costs.get_slot_time(service),
            )
            for service, capacity in capacities.items()
        }

    def choose(
        self, requirements: Requirements, targets: Iterable[Target]
    ) -> Choice | NoCapacity:
        """Return the target of lowest cost that has capacity and would answer in time."""
        candidates = list(targets)
        options = self._list_options(requirements, candidates)
        sides = {self._is_remote(each) for each in candidates}
        best = {remote: self._pick_best(options, remote=remote) for remote in sides}
        feasible = [option for option in best.values() if option is not None]
        chosen: Choice | None = None
        if len(sides) == 1:
            chosen = feasible[0] if feasible else None
        elif feasible:
            chosen = self._choose_side(requirements, options, best)
        if chosen is not None:
            reason = self._explain_spillover(options, chosen, best)
            price_s = self.get_price(requirements.service)
            return msgspec.structs.replace(
                chosen,
                candidates=options.candidates,
                spillover_reason=reason,
                price_s=price_s,
            )
        waits = (option.wait_s for option, _ in options.checked)
        return NoCapacity(
            len(candidates),
            min((requirements.time_left_s, *waits)),
            full=options.count(Obstacle.full),
            strange=options.count(Obstacle.strange),
            late=options.count(Obstacle.late),
            held=len(feasible),
        )

    def _list_options(
        self, requirements: Requirements, candidates: list[Target]
    ) -> Options:
        """Return the targets that cache the object, and some others where those can't."""
        limits = LoadLimits(MAX_LOAD_PER_SLOT, compute_slot_price(candidates))
        copies = self._list_copies(requirements, candidates)
        checked = self._check(requirements, copies, limits)
        open_sides = {
            self._is_remote(option.target)
            for option, obstacle in checked
            if obstacle is None
        }
        known = {option.target.record.id for option, _ in checked}
        others = [
            target
            for target in candidates
            if target.record.id not in known
            and self._is_remote(target) not in open_sides
        ]
        sampled = self._sample_others(requirements, others, limits)
        checked.extend(self._check(requirements, sampled, limits))
        return Options(len(candidates), checked, limits.slot_price)

    def _sample_others(
        self, requirements: Requirements, others: list[Target], limits: LoadLimits
    ) -> list[Copy]:
        """Return some targets with room that don't cache the object."""
        kind = CopyKind.strange if requirements.object_key else CopyKind.no_object
        excluded = requirements.limited.exhausted
        if requirements.object_key:
            excluded = excluded | requirements.limited.scarce
        allowed = [each for each in others if each.record.id not in excluded]
        free = [
            each
            for each in allowed
            if each.load < each.limit_load(limits.get_limit(each.record.slots, kind))
        ]
        if not free and not requirements.object_key:
            # Their queues tell when there will be room.
            free = allowed
        return [Copy(target, kind) for target in self._sample(free)]

    def _list_copies(
        self, requirements: Requirements, candidates: list[Target]
    ) -> list[Copy]:
        service = requirements.service
        if not requirements.object_key:
            return []
        self._object_counts.note(service, requirements.object_key)
        demand = ObjectDemand(
            requirements.object_key,
            self._object_counts.count(service),
            self._location,
            self._spillover.get_share(service),
        )
        absent = {target.record.id for target in requirements.absent}
        copies = [
            copy
            for copy in list_copies(demand, (*candidates, *requirements.absent))
            if copy.target.record.id not in absent
        ]
        used = {copy.target.record.id for copy in copies}
        if copies and not used & requirements.limited.exhausted:
            return copies
        scarce = requirements.limited.scarce
        others = [target for target in candidates if target.record.id not in scarce]
        return copies + [
            Copy(copy.target, CopyKind.spare)
            for copy in list_copies(demand, others)
            if copy.target.record.id not in used
        ]

    def _check(
        self, requirements: Requirements, copies: list[Copy], limits: LoadLimits
    ) -> list[tuple[Choice, Obstacle | None]]:
        options = [self.costs.estimate(requirements, copy) for copy in copies]
        return [
            (option, self.costs.find_obstacle(requirements, option, limits))
            for option in options
        ]

    def _sample(self, targets: list[Target]) -> list[Target]:
        """Return a few random targets of the own domain, the region and other regions."""
        rings: tuple[list[Target], ...] = ([], [], [])
        for target in targets:
            rings[self._measure_distance(target)].append(target)
        return [
            each
            for ring in rings
            for each in self._random.sample(ring, min(SAMPLE_SIZE, len(ring)))
        ]

    def _measure_distance(self, target: Target) -> int:
        location = target.record.location
        if location.region != self._location.region:
            return 2
        return int(location.failure_domain != self._location.failure_domain)

    def _is_remote(self, target: Target) -> bool:
        return target.record.location.region != self._location.region

    def _pick_best(self, options: Options, *, remote: bool) -> Choice | None:
        return min(
            (
                option
                for option in options.list_feasible()
                if self._is_remote(option.target) is remote
            ),
            key=lambda option: self.costs.compute_cost(option, options.slot_price),
            default=None,
        )

    def _choose_side(
        self,
        requirements: Requirements,
        options: Options,
        best: dict[bool, Choice | None],
    ) -> Choice | None:
        """Return the option on the side that the crossing price selects.

        When the other side already got as many requests as it may, the request stays on
        its side, where targets may then queue more.
        """
        service = requirements.service
        gain_s = self._compute_gain(options, best)
        self._spillover.record_preference(service, remote=gain_s > 0)
        share = self._spillover.get_share(service)
        price = self._prices.setdefault(service, CrossingPrice())
        price.allow(self._spillover.count_recent(service))
        remote = gain_s > price.price_s
        if best[True] is not None and options.is_unkept():
            # The set of objects that the region doesn't keep changes little.
            remote = True
        elif not price.may_send(share, remote=remote):
            remote = not remote
        chosen = best[remote] or self._find_queue(requirements, options, remote=remote)
        if chosen is not None:
            price.note_sent(share, remote=remote)
        return chosen

    def _compute_gain(self, options: Options, best: dict[bool, Choice | None]) -> float:
        """Return how many seconds a request gains in another region."""
        local, remote = best[False], best[True]
        if local is None or remote is None:
            return math.inf if local is None else -math.inf
        return self.costs.compute_cost(
            local, options.slot_price
        ) - self.costs.compute_cost(remote, options.slot_price)

    def _find_queue(
        self, requirements: Requirements, options: Options, *, remote: bool
    ) -> Choice | None:
        """Return a target on a side that may queue the request beyond the usual limit."""
        limits = LoadLimits(MAX_LOAD_PER_SLOT_ON_SIDE, options.slot_price)
        return min(
            (
                option
                for option, _ in options.checked
                if self._is_remote(option.target) is remote
                and self.costs.find_obstacle(requirements, option, limits) is None
            ),
            key=lambda option: option.expected_s,
            default=None,
        )

    def _explain_spillover(
        self, options: Options, chosen: Choice, best: dict[bool, Choice | None]
    ) -> SpilloverReason:
        if not self._is_remote(chosen.target):
            return SpilloverReason.none
        obstacles = {
            obstacle
            for option, obstacle in options.checked
            if option.copy in {CopyKind.first, CopyKind.second}
        }
        if options.is_unkept():
            return SpilloverReason.unkept
        if None not in obstacles:
            has_room = obstacles and Obstacle.full not in obstacles
            return SpilloverReason.late if has_room else SpilloverReason.full
        gains = self._compute_gain(options, best) > 0
        return SpilloverReason.faster if gains else SpilloverReason.shared
