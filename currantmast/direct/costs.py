"""Cost of a target for a request under overload control: expected latency and penalties.

The load that a target told, and its slowdown, count as long as they are new; lasting
slowness, failures, processing times and hit rates are learned from outcomes.
"""

from collections.abc import Iterable

import msgspec

from currantmast.direct.choices import Choice, Obstacle, Requirements
from currantmast.direct.copies import Copy, CopyKind
from currantmast.direct.estimates import ProcessingTimes, RoundTripTimes
from currantmast.direct.hitrates import HitRates
from currantmast.direct.loads import Load
from currantmast.direct.model import Location
from currantmast.direct.targets import Target

# Running and queued requests that a target may have for each of its slots.
MAX_LOAD_PER_SLOT = 2.0

# Fraction of the remaining time that the expected latency may use.
MAX_TIME_FRACTION = 0.9

# Seconds added to the cost of a target that fails all requests.
FAILURE_PENALTY_S = 1.5

# Seconds, beside the round trip, that a target in another failure domain or region must
# gain.
CROSS_DOMAIN_PENALTY_S = 0.1
CROSS_REGION_PENALTY_S = 0.06

# Requests by which the known load of a target may lag behind its actual load.
LOAD_LAG = 0.5

# Utilization of all slots above which the time of a slot has a price, and the price when
# all are taken: seconds of waiting of other requests for each second of processing.
FREE_UTILIZATION = 0.6
FULL_SLOT_PRICE = 1.0

# Lasting slowness that the chance of single requests explains: only what goes beyond it
# counts.
SLOWNESS_MARGIN = 0.5

# Limit of the ratio by which one request counts as slower than usual; rare long work says
# little about its target.
MAX_RECORDED_SLOWNESS = 3.0

# Weight of one request in the mean time for which slots are taken.
MEAN_WEIGHT = 0.05

# Copies whose outcomes tell whether a target keeps the objects that it is meant to.
PLANNED_COPIES = frozenset((CopyKind.first, CopyKind.second, CopyKind.remote))


class Work(msgspec.Struct, frozen=True):
    """What a request made a target do, for the averages: its service and route."""

    service: str
    route: str


class LoadLimits(msgspec.Struct, frozen=True):
    """Load up to which a target may get a request.

    Parameters
    ----------
    per_slot : float
        Running and queued requests for each of its slots.
    slot_price : float
        Price of slot time. With it, the load of targets that don't cache the object
        falls from all slots to none.
    """

    per_slot: float
    slot_price: float

    def get_limit(self, slots: int, kind: CopyKind) -> float:
        """Return the load from which a target gets no more requests; at least 1."""
        if kind is CopyKind.strange:
            return max(1, slots * (1 - self.slot_price))
        return max(1, round(slots * self.per_slot))


class CostModel:
    """Estimates the cost of targets, and learns from the outcomes of requests.

    Parameters
    ----------
    location : Location
        Where this instance runs.
    round_trips : RoundTripTimes
        Round trip times to the regions.
    """

    __slots__ = (
        '_hit_rates',
        '_location',
        '_mean_times',
        '_processing_times',
        '_round_trips',
    )

    def __init__(self, location: Location, round_trips: RoundTripTimes) -> None:
        self._location = location
        self._round_trips = round_trips
        self._hit_rates = HitRates()
        self._processing_times = ProcessingTimes()
        self._mean_times: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<CostModel {self._location.failure_domain}>'

    def estimate(self, requirements: Requirements, copy: Copy) -> Choice:
        """Return a target as a choice, with the expected times."""
        target = copy.target
        slots = target.record.slots
        knowledge = target.describe_load()
        slowdown = knowledge.slowdown * _dampen(target.history.slowness)
        recent = target.has_cached(requirements.object_key)
        chance = self._estimate_chance(requirements.service, copy, recent=recent)
        work_s = self._processing_times.get(requirements.work, chance)
        ahead = max(0, target.load + 1 - slots + LOAD_LAG)
        mean_s = self._mean_times.get(requirements.service, work_s)
        return Choice(
            target=target,
            round_trip_s=self._round_trips.get(target.record.location.region),
            wait_s=ahead * mean_s * slowdown / slots,
            processing_s=work_s * slowdown,
            chance=chance,
            cached=recent,
            candidates=0,
            load=target.load,
            copy=copy.kind,
            knowledge=knowledge,
        )

    def find_obstacle(
        self, requirements: Requirements, option: Choice, limits: LoadLimits
    ) -> Obstacle | None:
        """Return why a request can't go to a target, or None.

        Parameters
        ----------
        requirements : Requirements
            What the request requires.
        option : Choice
            The target with the expected times.
        limits : LoadLimits
            Load up to which it may get the request.
        """
        target = option.target
        slots = target.record.slots
        if target.record.id in requirements.limited.exhausted:
            return Obstacle.limited
        if target.load >= target.limit_load(limits.get_limit(slots, CopyKind.first)):
            return Obstacle.full
        is_scarce = target.record.id in requirements.limited.scarce
        is_busy = target.load >= limits.get_limit(slots, CopyKind.strange)
        if option.copy is CopyKind.strange and (is_busy or is_scarce):
            # An object that isn't cached takes longer and evicts cached ones.
            return Obstacle.strange
        in_time = option.expected_s <= requirements.time_left_s * MAX_TIME_FRACTION
        return None if in_time else Obstacle.late

    def compute_cost(self, option: Choice, slot_price: float) -> float:
        """Return the cost of a target in seconds."""
        location = option.target.record.location
        distance_penalty_s: float = 0
        if location.region != self._location.region:
            distance_penalty_s = CROSS_REGION_PENALTY_S
        elif location.failure_domain != self._location.failure_domain:
            distance_penalty_s = CROSS_DOMAIN_PENALTY_S
        failure_penalty_s = option.target.history.failure_rate * FAILURE_PENALTY_S
        slot_cost_s = slot_price * option.processing_s
        return option.expected_s + slot_cost_s + distance_penalty_s + failure_penalty_s

    def get_slot_time(self, service: str) -> float:
        """Return the mean seconds for which a request takes a slot; 0 when unknown."""
        return self._mean_times.get(service, 0)

    def note_answer(
        self, work: Work, choice: Choice, seconds: float, load: Load | None
    ) -> None:
        """Learn from a successful request that took `seconds`.

        Whether the object was cached shows only in the time of a request that didn't
        queue, without the slowdown that the target reports with its answer.
        """
        processing_s = max(0.001, seconds - choice.round_trip_s - choice.wait_s)
        mean_s = self._mean_times.get(work.service, processing_s)
        self._mean_times[work.service] = mean_s + MEAN_WEIGHT * (processing_s - mean_s)
        slowdown = load.slowdown if load is not None and load.slowdown else 1
        times = self._processing_times
        work_s = processing_s / slowdown
        hit = times.was_cached(work.route, work_s)
        usual_s = times.get(work.route, 1 if hit or choice.cached else 0)
        history = choice.target.history
        slowness = work_s / usual_s
        history.note_success(min(MAX_RECORDED_SLOWNESS, slowness))
        choice.target.ramp_up.note_answer(slowness)
        if choice.wait_s:
            return
        times.note(work.route, work_s)
        self._note_hit(work.service, choice, hit=hit)

    def note_timeout(self, work: Work, choice: Choice, seconds: float) -> None:
        """Learn from a request that got no answer within `seconds`.

        A target that answers nothing in time reports no slowdown either.
        """
        usual_s = self._processing_times.get(work.route, choice.chance)
        processing_s = max(0, seconds - choice.round_trip_s - choice.wait_s)
        slowness = min(MAX_RECORDED_SLOWNESS, max(1, processing_s / usual_s))
        choice.target.history.note_slowness(slowness)

    def _note_hit(self, service: str, choice: Choice, *, hit: bool) -> None:
        if choice.copy is not None:
            self._hit_rates.note(service, choice.copy, recent=choice.cached, hit=hit)
        if choice.copy in PLANNED_COPIES:
            choice.target.note_hit(hit)

    def _estimate_chance(self, service: str, copy: Copy, *, recent: bool) -> float:
        rate = self._hit_rates.get(service, copy.kind, recent=recent)
        if copy.kind not in PLANNED_COPIES:
            return rate
        # A target with more objects than it can cache has a lower rate than the others.
        return min(rate, (rate + copy.target.history.hit_rate) / 2)


def _dampen(slowness: float) -> float:
    if slowness > 1:
        return max(1, slowness - SLOWNESS_MARGIN)
    return min(1, slowness + SLOWNESS_MARGIN)


def compute_slot_price(targets: Iterable[Target]) -> float:
    """Return the price of slot time: seconds of cost for each second of processing."""
    load = 0
    slots = 0
    for target in targets:
        load += target.load
        slots += target.record.slots
    taken = min(1, load / max(1, slots))
    return FULL_SLOT_PRICE * max(0, taken - FREE_UTILIZATION) / (1 - FREE_UTILIZATION)
