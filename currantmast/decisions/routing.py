"""Routing: chooses the owner instance that an entry instance sends a request to.

The entry receives a request from a caller; an owner holds the slots of the targets that
can run it. Owners are chosen by the capacity that they report in heartbeats.
"""

import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.network import Network
from currantmast.deployment import Link, Policy, PolicyKind
from currantmast.outcomes import NotRun, Reason

# Age in seconds after which the free slots of a capacity report are ignored.
REPORT_MAX_AGE_S = 2

# Network delay in seconds at which the delay factor of an owner is one half.
HALF_WEIGHT_DELAY_S = 0.05

# Fraction of another region's usable slots that spillover leaves to its local callers.
SPILL_RESERVE = 0.1

# Mean time in seconds by which a report is older than its age since receipt: half a
# heartbeat interval, in which other entries have already sent requests based on it.
REPORT_STALENESS_S = 0.25

# Weight of the newest duration in the exponential moving average.
SMOOTHING_FACTOR = 0.1

# Turnover (requests finished per slot since the report) from which the weight of an owner
# depends on its capacity and queue and no longer on its reported free slots.
FULL_TURNOVER = 1

# Minimum weight of an owner whose queue is longer than its capacity.
MIN_WEIGHT = 0.001

# Timeout of one attempt under the plain policy, in seconds.
PLAIN_TIMEOUT_S = 2


class RouteRequest(msgspec.Struct, frozen=True):
    """The properties of a request that decide its route.

    Parameters
    ----------
    service : str
        Service that the request is for.
    team : str or None
        Team that the request runs for; None without an API key.
    home_region : str
        Preferred region, with planned shifts of traffic applied.
    entry_region : str
        Region of the entry instance.
    deadline_s : float
        Seconds until the deadline.
    body_bytes : int
        Size of the request body; 0 when unknown.
    idempotent : bool
        Whether the request may run more than once.
    tried : tuple of str
        Owners at which an attempt has already failed.
    """

    service: str
    team: str | None
    home_region: str
    entry_region: str
    deadline_s: float
    body_bytes: int = 0
    idempotent: bool = True
    tried: tuple[str, ...] = ()


class OwnerView(msgspec.Struct, frozen=True):
    """The capacity of one owner for one service, as an entry knows it.

    Parameters
    ----------
    member_id, region : str
        Identifier and region of the owner.
    free, usable, queued : int
        Free slots, usable slots and queued requests in the last report.
    age_s : float
        Seconds since the report was received.
    in_flight_delta : int
        Requests that this entry has sent to the owner since the report, minus those of
        its requests that have ended there since; may be negative. If ended requests
        were not subtracted, an owner of a fast service would look full long before its
        next report.
    """

    member_id: str
    region: str
    free: int
    usable: int
    queued: int = 0
    age_s: float = 0
    in_flight_delta: int = 0

    def count_free(self) -> int:
        """Return the estimated number of free slots; 0 if the report is too old."""
        if self.age_s > REPORT_MAX_AGE_S:
            return 0
        return min(self.usable, max(0, self.free - self.in_flight_delta))


class Score(msgspec.Struct, frozen=True):
    """Suitability of one candidate owner for a request.

    Parameters
    ----------
    view : OwnerView
        The candidate.
    delay_s : float
        Network time of the exchange in seconds, including the transfer of the body.
    weight : float
        Weight in the random choice among candidates, from load and network delay.
    obstacle : str
        Why the candidate can't be chosen; empty if it can.
    """

    view: OwnerView
    delay_s: float
    weight: float
    obstacle: str = ''


class Route(msgspec.Struct, frozen=True):
    """The owner to send a request to.

    Parameters
    ----------
    owner_id, region : str
        Identifier and region of the owner.
    reason : str
        ``home`` (home region), ``spill`` (free slot in another region), ``queue`` (no
        free slot known, waits in a queue) or ``plain`` (round robin).
    timeout_s : float
        Timeout of this attempt in seconds.
    """

    owner_id: str
    region: str
    reason: str
    timeout_s: float


class Headroom(msgspec.Struct, frozen=True):
    """Slots of one service in one region, over all its owners.

    Parameters
    ----------
    region : str
        Region of the owners.
    free : int
        Estimated free slots, from reports that are recent enough.
    usable, queued : int
        Usable slots and queued requests, from all reports.
    """

    region: str
    free: int
    usable: int
    queued: int

    def is_full(self) -> bool:
        """Return whether the region has no slot known to be free."""
        return self.free == 0


class Router:
    """Chooses the owners of requests.

    The adaptive policy chooses by network delay and headroom. The plain policy chooses by
    round robin; it is the baseline that the adaptive policy is compared with.

    Parameters
    ----------
    policy : Policy
        Kind of routing and the exponents of its weights.
    clock : Clock
        Clock of this instance.
    links : iterable of Link
        Network links between regions, one for each direction.
    seed : int or None
        Seed of the random choice between candidates; None seeds it from the system.
    """

    __slots__ = ('_clock', '_durations', '_network', '_policy', '_random', '_turn')

    def __init__(
        self,
        policy: Policy,
        clock: Clock,
        links: Iterable[Link],
        seed: int | None = None,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._network = Network(links)
        # Not for cryptography: it only spreads load.
        self._random = random.Random(seed)
        self._turn = 0
        # Moving average of the duration in seconds of requests, by service.
        self._durations: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<Router {self._policy.kind}>'

    def choose_owner(
        self, request: RouteRequest, candidates: Iterable[OwnerView]
    ) -> Route | NotRun:
        """Return the owner to send `request` to, or why there is none.

        The home region is preferred. Requests spill over to another region only when no
        slot of the home region is known to be free, and only to regions with more than
        `SPILL_RESERVE` of their slots free. When no region has a free slot, a first
        attempt is sent to a queue, in the home region if that has an eligible owner,
        and a retry is refused.
        """
        scores = self.explain(request, candidates)
        eligible = [score for score in scores if not score.obstacle]
        if not eligible:
            return _refuse(scores)
        if self._policy.kind is PolicyKind.plain:
            return self._choose_round_robin(request, eligible)
        home = [score for score in eligible if score.view.region == request.home_region]
        spill = [
            score for score in eligible if score.view.region != request.home_region
        ]
        return (
            self._choose(request, _filter_home(request, home), 'home')
            or self._choose(request, _filter_spillover(spill), 'spill')
            or self._choose_queue(request, home or spill)
        )

    def explain(
        self, request: RouteRequest, candidates: Iterable[OwnerView]
    ) -> tuple[Score, ...]:
        """Return the score of every candidate, in the order given."""
        return tuple(self._score(request, view) for view in candidates)

    def observe_duration(self, service: str, duration_s: float) -> None:
        """Record how long a request of `service` held its slot, in seconds.

        The faster a service, the sooner its reported free slots are out of date.
        """
        mean_s = self._durations.get(service, duration_s)
        self._durations[service] = mean_s + SMOOTHING_FACTOR * (duration_s - mean_s)

    def _score(self, request: RouteRequest, view: OwnerView) -> Score:
        delay_s = self._network.estimate_round_trip_s(
            request.entry_region, view.region, request.body_bytes
        )
        turnover = self._estimate_turnover(request.service, view)
        load_weight = _weigh_load(view, turnover)
        delay_factor = 1 / (1 + delay_s / HALF_WEIGHT_DELAY_S)
        weight = (
            load_weight
            and load_weight**self._policy.headroom_weight
            * delay_factor**self._policy.latency_weight
        )
        return Score(view, delay_s, weight, _find_obstacle(request, view, delay_s))

    def _estimate_turnover(self, service: str, view: OwnerView) -> float:
        """Estimate the number of requests that each slot has finished since the report.

        The estimate is 0 while the duration of the service's requests is unknown, so that
        the reported free slots are used as they are.
        """
        duration_s = self._durations.get(service, math.inf)
        return (view.age_s + REPORT_STALENESS_S) / duration_s

    def _choose(
        self, request: RouteRequest, scores: Sequence[Score], reason: str
    ) -> Route | None:
        """Choose a candidate at random by weight, or return None without a free slot.

        All entries see the same reports. Choosing the best candidate, or the better of
        two random ones, would make all of them send to the same few owners until the
        next reports.
        """
        if not any(score.view.count_free() for score in scores):
            return None
        weights = [score.weight for score in scores]
        view = self._random.choices(scores, weights)[0].view
        return Route(view.member_id, view.region, reason, request.deadline_s)

    def _choose_queue(
        self, request: RouteRequest, scores: Sequence[Score]
    ) -> Route | NotRun:
        if request.tried:
            return NotRun(Reason.no_capacity, 'no free slot in any region')
        weights = [_weigh_load(score.view, FULL_TURNOVER) for score in scores]
        view = self._random.choices(scores, weights)[0].view
        return Route(view.member_id, view.region, 'queue', request.deadline_s)

    def _choose_round_robin(
        self, request: RouteRequest, eligible: Sequence[Score]
    ) -> Route:
        home = [score for score in eligible if score.view.region == request.home_region]
        self._turn += 1
        candidates = home or eligible
        view = candidates[self._turn % len(candidates)].view
        timeout_s = min(PLAIN_TIMEOUT_S, request.deadline_s)
        return Route(view.member_id, view.region, 'plain', timeout_s)


def count_headroom(candidates: Iterable[OwnerView]) -> tuple[Headroom, ...]:
    """Return the headroom of each region that has an owner, ordered by region."""
    by_region: dict[str, list[OwnerView]] = {}
    for candidate in candidates:
        by_region.setdefault(candidate.region, []).append(candidate)
    return tuple(
        Headroom(
            region=region,
            free=sum(view.count_free() for view in views),
            usable=sum(view.usable for view in views),
            queued=sum(view.queued for view in views),
        )
        for region, views in sorted(by_region.items())
    )


def _weigh_load(view: OwnerView, turnover: float) -> float:
    """Return the weight of an owner, from its free slots and its capacity.

    At low turnover the weight is the number of free slots, since slots in use stay in use
    until the next report. At high turnover slots become free many times between two
    reports, so the weight is the capacity, corrected by the reported load. The correction
    is divided by the turnover: the faster the service, the less the load at the time of
    the report matters, and a full correction would make the load oscillate.
    """
    if turnover <= 0:
        return view.count_free()
    capacity_share = min(1, turnover**2)
    free = min(view.usable, view.free - view.in_flight_delta)
    correction = (free - view.queued) / max(1, turnover)
    capacity = max(MIN_WEIGHT, view.usable + correction)
    return (1 - capacity_share) * view.count_free() + capacity_share * capacity


def _find_obstacle(request: RouteRequest, view: OwnerView, delay_s: float) -> str:
    obstacles = (
        (view.member_id in request.tried, 'tried'),
        (view.usable <= 0, 'no usable slot'),
        (delay_s >= request.deadline_s, 'too far for the deadline'),
    )
    return next((obstacle for applies, obstacle in obstacles if applies), '')


def _refuse(scores: Sequence[Score]) -> NotRun:
    obstacles = sorted({score.obstacle for score in scores})
    if obstacles == ['too far for the deadline']:
        return NotRun(Reason.deadline, 'every owner is too far')
    return NotRun(Reason.no_capacity, ', '.join(obstacles) or 'no owner')


def _filter_free(scores: Iterable[Score]) -> list[Score]:
    return [score for score in scores if score.view.count_free() > 0]


def _filter_home(request: RouteRequest, home: list[Score]) -> list[Score]:
    """Return all candidates of the home region, or for a retry those with free slots."""
    return _filter_free(home) if request.tried else home


def _filter_spillover(scores: Sequence[Score]) -> list[Score]:
    """Return candidates with free slots, in regions above their `SPILL_RESERVE`."""
    headrooms = count_headroom(score.view for score in scores)
    open_regions = {
        headroom.region
        for headroom in headrooms
        if headroom.free > SPILL_RESERVE * headroom.usable
    }
    return [
        score for score in _filter_free(scores) if score.view.region in open_regions
    ]
