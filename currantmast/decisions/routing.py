"""Routing: which region and owner an entry sends a request to."""

import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.network import Network
from currantmast.deployment import Link, Policy, PolicyKind
from currantmast.outcomes import NotRun, Reason

# Seconds after which a reported free slot is no longer believed.
TRUST_S = 2

# Network delay in seconds that halves the weight of an owner.
DELAY_SCALE_S = 0.05

# Part of another region's usable slots that a spill leaves to that region's own callers.
SPILL_RESERVE = 0.1

# Seconds by which reports are older than their age since receipt, on average: half a
# heartbeat, in which other entries have already used them.
REPORT_SPREAD_S = 0.25

# Weight of the newest duration in the mean.
SMOOTHING = 0.1

# Turnover at which an owner is weighed by its capacity and its queue alone.
FULL_TURNOVER = 1

# Least weight of an owner whose queue is longer than its capacity.
MIN_WEIGHT = 0.001

# Attempt timeout of the plain baseline, in seconds.
PLAIN_TIMEOUT_S = 2


class RouteRequest(msgspec.Struct, frozen=True):
    """What routing needs to know of a request.

    Parameters
    ----------
    service, team : str
        Service, and the team that the request runs for, None without a key.
    home_region : str
        Region that the request is to run in, after planned shifts.
    entry_region : str
        Region of the entry instance.
    deadline_s : float
        Seconds left.
    body_bytes : int
        Bytes to send with the request; 0 when unknown.
    idempotent : bool
        Whether it may run more than once.
    tried : tuple of str
        Owners that have already refused it.
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
    """What an entry knows of one owner of a service's targets.

    Parameters
    ----------
    member_id, region : str
        The owner.
    free, usable, queued : int
        Slots and waiting requests as it last reported.
    age_s : float
        Seconds since the report was received.
    sent_since : int
        Requests that this instance has sent to it since the report, less those of its
        requests that have ended there since; may be negative. Without the ended ones, a
        fast service would look full long before the next report.
    """

    member_id: str
    region: str
    free: int
    usable: int
    queued: int = 0
    age_s: float = 0
    sent_since: int = 0

    def count_free(self) -> int:
        """Return the slots that can be taken to be free."""
        if self.age_s > TRUST_S:
            return 0
        return min(self.usable, max(0, self.free - self.sent_since))


class Score(msgspec.Struct, frozen=True):
    """A candidate as routing rates it.

    Parameters
    ----------
    view : OwnerView
        The candidate.
    delay_s : float
        Network time of the exchange in seconds, the transfer of the body included.
    weight : float
        How often it is drawn, relative to the others of its region; from load and delay.
    obstacle : str
        Why it can't be chosen; empty if it can.
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
        The owner.
    reason : str
        ``home``, ``spill``, ``queue`` or ``plain``.
    timeout_s : float
        Longest time for this attempt, in seconds.
    """

    owner_id: str
    region: str
    reason: str
    timeout_s: float


class Headroom(msgspec.Struct, frozen=True):
    """Slots of one service in one region, over all its owners.

    Parameters
    ----------
    free : int
        Slots that recent reports show as free, less what was sent since.
    usable, queued : int
        Sums over all reports.
    """

    region: str
    free: int
    usable: int
    queued: int

    def is_full(self) -> bool:
        """Return whether no slot is known to be free."""
        return self.free == 0


class Router:
    """Chooses owners by network delay and headroom, or in turn for the baseline.

    Parameters
    ----------
    policy : Policy
        Kind and weights.
    clock : Clock
        Source of time.
    links : iterable of Link
        Links between regions, one direction each.
    seed : int or None
        Seed of the choice between candidates; None takes one from the system.
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
        # Spreads load only; nothing secret depends on it.
        self._random = random.Random(seed)
        self._turn = 0
        # Mean duration of requests by service, in seconds.
        self._durations: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return the kind of policy."""
        return f'<Router {self._policy.kind}>'

    def choose_owner(
        self, request: RouteRequest, candidates: Iterable[OwnerView]
    ) -> Route | NotRun:
        """Return the owner to send `request` to, or why there is none.

        The home region is preferred; another region is used only when no slot of the
        home region is known to be free, and keeps `SPILL_RESERVE` of its slots. When
        none has a free slot, a first attempt may wait in the home region's queues, and
        a further attempt is refused.
        """
        scores = self.explain(request, candidates)
        able = [score for score in scores if not score.obstacle]
        if not able:
            return _refuse(scores)
        if self._policy.kind is PolicyKind.plain:
            return self._take_turn(request, able)
        home = [score for score in able if score.view.region == request.home_region]
        spill = [score for score in able if score.view.region != request.home_region]
        return (
            self._choose(request, _list_worthwhile(request, home), 'home')
            or self._choose(request, _list_spill(spill), 'spill')
            or self._choose_queue(request, home or spill)
        )

    def explain(
        self, request: RouteRequest, candidates: Iterable[OwnerView]
    ) -> tuple[Score, ...]:
        """Return the score of every candidate, in the order given."""
        return tuple(self._rate(request, view) for view in candidates)

    def observe_duration(self, service: str, duration_s: float) -> None:
        """Learn how long a request of `service` held its slot, in seconds.

        It decides for how long reports of free slots are of use.
        """
        mean_s = self._durations.get(service, duration_s)
        self._durations[service] = mean_s + SMOOTHING * (duration_s - mean_s)

    def _rate(self, request: RouteRequest, view: OwnerView) -> Score:
        delay_s = self._network.estimate_round_trip_s(
            request.entry_region, view.region, request.body_bytes
        )
        turnover = self._estimate_turnover(request.service, view)
        load = _weigh_load(view, turnover)
        nearness = 1 / (1 + delay_s / DELAY_SCALE_S)
        weight = (
            load
            and load**self._policy.headroom_weight
            * nearness**self._policy.latency_weight
        )
        return Score(view, delay_s, weight, _find_obstacle(request, view, delay_s))

    def _estimate_turnover(self, service: str, view: OwnerView) -> float:
        """Return the requests that each slot of an owner has ended since its report.

        For a service of unknown duration the report is taken to be in force still.
        """
        duration_s = self._durations.get(service, math.inf)
        return (view.age_s + REPORT_SPREAD_S) / duration_s

    def _choose(
        self, request: RouteRequest, scores: Sequence[Score], reason: str
    ) -> Route | None:
        """Draw one candidate by weight.

        Entries see the same reports; taking the best of all, or the better of two, sends
        the work of all entries to the same few owners until their next reports.
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

    def _take_turn(self, request: RouteRequest, able: Sequence[Score]) -> Route:
        home = [score for score in able if score.view.region == request.home_region]
        self._turn += 1
        in_turn = home or able
        view = in_turn[self._turn % len(in_turn)].view
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
    """Return the weight of an owner, between its free slots and its whole capacity.

    A request that outlasts the reports needs a slot that is free now. Of a service that
    ends many requests between two reports an owner can take its part of the capacity,
    corrected by its present load; the faster the service, the less the load at the time
    of the report matters, and a full correction would make the load oscillate.
    """
    if turnover <= 0:
        return view.count_free()
    part = min(1, turnover**2)
    free = min(view.usable, view.free - view.sent_since)
    correction = (free - view.queued) / max(1, turnover)
    capacity = max(MIN_WEIGHT, view.usable + correction)
    return (1 - part) * view.count_free() + part * capacity


def _find_obstacle(request: RouteRequest, view: OwnerView, delay_s: float) -> str:
    obstacles = (
        (view.member_id in request.tried, 'tried'),
        (view.usable <= 0, 'no usable slot'),
        (delay_s >= request.deadline_s, 'too far for the deadline'),
    )
    return next((cause for applies, cause in obstacles if applies), '')


def _refuse(scores: Sequence[Score]) -> NotRun:
    obstacles = sorted({score.obstacle for score in scores})
    if obstacles == ['too far for the deadline']:
        return NotRun(Reason.deadline, 'every owner is too far')
    return NotRun(Reason.no_capacity, ', '.join(obstacles) or 'no owner')


def _list_free(scores: Iterable[Score]) -> list[Score]:
    return [score for score in scores if score.view.count_free() > 0]


def _list_worthwhile(request: RouteRequest, home: list[Score]) -> list[Score]:
    """Return the candidates of the home region; for a retry those with free slots."""
    return _list_free(home) if request.tried else home


def _list_spill(scores: Sequence[Score]) -> list[Score]:
    """Return the candidates with free slots in regions with more than their reserve."""
    headrooms = count_headroom(score.view for score in scores)
    open_regions = {
        headroom.region
        for headroom in headrooms
        if headroom.free > SPILL_RESERVE * headroom.usable
    }
    return [score for score in _list_free(scores) if score.view.region in open_regions]
