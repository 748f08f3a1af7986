"""Comparison of two ways to divide targets over instances, on the decision code alone.

The same synthetic arrivals meet one owner per target, with forwarding by the router, and
equal shares of the slots of every target, without forwarding. Time is simulated; network
delays inside the region are left out, reports to entries are late by up to `REPORT_S`.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import partial
from itertools import count

import msgspec

from currantmast.clocks import ManualClock
from currantmast.decisions.routing import OwnerView, Route, Router, RouteRequest
from currantmast.decisions.slots import SlotQueue, TargetSlots, Waiter
from currantmast.deployment import Policy, Target
from currantmast.messages import Address
from currantmast.outcomes import Done, NotRun

REGION = 'region'
SERVICE = 'service'
DONE = Done(200)

# Seconds between two reports of an owner to the entries.
REPORT_S = 0.5
QUEUE_LIMIT = 64
QUEUE_WAIT_S = 0.5
DEADLINE_S = 2

PERCENT = 100
MS_PER_S = 1000
TAIL = 0.99


class Division(StrEnum):
    """How the slots of targets are divided over instances."""

    owners = 'one owner per target'
    shares = 'equal shares of slots'


class Trial(msgspec.Struct, frozen=True):
    """Size and load of a comparison.

    Parameters
    ----------
    instances, targets, slots : int
        Instances, targets, and slots of each target.
    load : float
        Mean offered work as a fraction of all slots.
    skew : float
        Arrivals at each instance relative to those at the one before.
    service_s : float
        Mean duration in seconds of a request; exponentially distributed.
    duration_s : float
        Simulated seconds with arrivals.
    seed : int
        Seed of arrivals and routing.
    """

    instances: int = 3
    targets: int = 20
    slots: int = 3
    load: float = 0.8
    skew: float = 0.5
    service_s: float = 0.2
    duration_s: float = 120
    seed: int = 1


class Arrival(msgspec.Struct, frozen=True):
    """A request, the instance that it enters by and its duration in seconds."""

    at: float
    number: int
    entry: int
    service_s: float


class Tally(msgspec.Struct):
    """Counts and times in seconds of one run."""

    arrived: int = 0
    refused: int = 0
    busy_s: float = 0
    waits_s: list[float] = []


class Owner(msgspec.Struct, frozen=True, eq=False):
    """Targets and queue of one instance."""

    id: str
    targets: tuple[TargetSlots, ...]
    queue: SlotQueue


Event = tuple[float, int, Callable[[], None]]


class PoolRun:
    """One run of a trial under one division.

    Parameters
    ----------
    trial : Trial
        Size and load.
    division : Division
        How slots are divided.
    make_router : callable
        Returns the router of an entry for a clock and a seed.
    """

    def __init__(
        self,
        trial: Trial,
        division: Division,
        make_router: Callable[[ManualClock, int], Router],
    ) -> None:
        self.clock = ManualClock()
        self.tally = Tally()
        self.owners = _make_owners(trial, division, self.clock)
        self._division = division
        self._routers = tuple(
            make_router(self.clock, trial.seed + entry)
            for entry in range(trial.instances)
        )
        self._views: dict[str, OwnerView] = {}
        self._reported_at = 0
        # Requests sent less those ended since the last report, by entry and owner.
        self._sent: tuple[Counter[str], ...] = tuple(Counter() for _ in self.owners)
        self._events: list[Event] = []
        self._order = count()

    def __repr__(self) -> str:
        """Return the division and the time."""
        return f'<PoolRun {self._division} {self.clock!r}>'

    def run(self, arrivals: Sequence[Arrival]) -> Tally:
        """Return the counts after all `arrivals` have ended."""
        for arrival in arrivals:
            self._schedule(arrival.at, partial(self._enter, arrival))
        last_s = int(arrivals[-1].at)
        for step in range(int(last_s / REPORT_S)):
            self._schedule(step * REPORT_S, self._report)
        while self._events:
            at, _, act = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            act()
        return self.tally

    def _schedule(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _report(self) -> None:
        self._reported_at = self.clock.now()
        self._views = {owner.id: _make_view(owner) for owner in self.owners}
        for sent in self._sent:
            sent.clear()

    def _enter(self, arrival: Arrival) -> None:
        self.tally.arrived += 1
        owner = self._choose(arrival.entry)
        if owner is None:
            self.tally.refused += 1
            return
        now = self.clock.now()
        resolve = partial(self._resolve, owner, arrival)
        refusal = owner.queue.push(
            Waiter(str(arrival.number), None, now + DEADLINE_S, resolve)
        )
        if refusal:
            resolve(refusal)
        owner.queue.dispatch(owner.targets)
        self._schedule(now + QUEUE_WAIT_S, owner.queue.expire)

    def _choose(self, entry: int) -> Owner | None:
        if self._division is Division.shares:
            return self.owners[entry]
        age_s = self.clock.now() - self._reported_at
        sent = self._sent[entry]
        views = (
            msgspec.structs.replace(
                view, age_s=age_s, in_flight_delta=sent[view.member_id]
            )
            for view in self._views.values()
        )
        request = RouteRequest(SERVICE, None, REGION, REGION, DEADLINE_S)
        route = self._routers[entry].choose_owner(request, views)
        if not isinstance(route, Route):
            return None
        sent[route.owner_id] += 1
        return next(owner for owner in self.owners if owner.id == route.owner_id)

    def _resolve(
        self, owner: Owner, arrival: Arrival, answer: TargetSlots | NotRun
    ) -> None:
        match answer:
            case NotRun():
                self.tally.refused += 1
                self._sent[arrival.entry][owner.id] -= 1
            case TargetSlots() as target:
                now = self.clock.now()
                self.tally.waits_s.append(now - arrival.at)
                self.tally.busy_s += arrival.service_s
                end = partial(self._end, owner, arrival, target)
                self._schedule(now + arrival.service_s, end)

    def _end(self, owner: Owner, arrival: Arrival, target: TargetSlots) -> None:
        target.finish(str(arrival.number), DONE)
        self._sent[arrival.entry][owner.id] -= 1
        self._routers[arrival.entry].observe_duration(SERVICE, arrival.service_s)
        owner.queue.dispatch(owner.targets)


def make_arrivals(trial: Trial) -> tuple[Arrival, ...]:
    """Return Poisson arrivals with unequal numbers at the instances."""
    source = random.Random(trial.seed)
    rate = trial.load * trial.targets * trial.slots / trial.service_s
    weights = [trial.skew**number for number in range(trial.instances)]
    arrivals: list[Arrival] = []
    at = source.expovariate(rate)
    while at < trial.duration_s:
        entry = source.choices(range(trial.instances), weights)[0]
        service_s = source.expovariate(1 / trial.service_s)
        arrivals.append(Arrival(at, len(arrivals), entry, service_s))
        at += source.expovariate(rate)
    return tuple(arrivals)


def run_trial(
    trial: Trial,
    division: Division,
    make_router: Callable[[ManualClock, int], Router] | None = None,
) -> Tally:
    """Return the counts of one run."""
    router = make_router or _make_router
    return PoolRun(trial, division, router).run(make_arrivals(trial))


def compare_divisions(trial: Trial, loads: Sequence[float]) -> str:
    """Return a table in Markdown with a row for each load and division."""
    rows = [
        f'seed {trial.seed}, {trial.instances} instances, {trial.targets} targets x '
        f'{trial.slots} slots, skew {trial.skew}',
        '| load | division | requests | utilisation | refused | wait mean | wait p99 |',
        '|---|---|---|---|---|---|---|',
    ]
    for load in loads:
        loaded = msgspec.structs.replace(trial, load=load)
        rows += [
            _format_row(loaded, division, run_trial(loaded, division))
            for division in Division
        ]
    return '\n'.join(rows)


def _format_row(trial: Trial, division: Division, tally: Tally) -> str:
    waits = sorted(tally.waits_s)
    used = tally.busy_s / (trial.targets * trial.slots * trial.duration_s)
    refused = tally.refused / tally.arrived
    mean_ms = MS_PER_S * sum(waits) / len(waits)
    tail_ms = MS_PER_S * waits[int(TAIL * len(waits))]
    return (
        f'| {trial.load} | {division} | {tally.arrived} | {PERCENT * used:.1f}% '
        f'| {PERCENT * refused:.2f}% | {mean_ms:.1f} ms | {tail_ms:.1f} ms |'
    )


def _make_router(clock: ManualClock, seed: int) -> Router:
    return Router(Policy(), clock, (), seed)


def _make_view(owner: Owner) -> OwnerView:
    return OwnerView(
        member_id=owner.id,
        region=REGION,
        free=sum(target.count_free() for target in owner.targets),
        usable=sum(target.count_usable() for target in owner.targets),
        queued=len(owner.queue),
    )


def _make_owners(
    trial: Trial, division: Division, clock: ManualClock
) -> tuple[Owner, ...]:
    divided = _divide_by_owner if division is Division.owners else _divide_equally
    owners = []
    for number in range(trial.instances):
        targets = tuple(
            TargetSlots(clock, _make_target(name, slots), warm=True)
            for name, slots in divided(trial, number)
        )
        queue = SlotQueue(clock, QUEUE_LIMIT, QUEUE_WAIT_S)
        owners.append(Owner(f'instance-{number}', targets, queue))
    return tuple(owners)


def _divide_by_owner(trial: Trial, number: int) -> list[tuple[int, int]]:
    return [
        (name, trial.slots)
        for name in range(trial.targets)
        if name % trial.instances == number
    ]


def _divide_equally(trial: Trial, number: int) -> list[tuple[int, int]]:
    # Remainders go to the instances by turns, so that all slots are divided.
    shares = [
        (name, (trial.slots + (name + number) % trial.instances) // trial.instances)
        for name in range(trial.targets)
    ]
    return [(name, slots) for name, slots in shares if slots]


def _make_target(name: int, slots: int) -> Target:
    address = Address('127.0.0.1', 0)
    return Target(str(name), SERVICE, REGION, REGION, address, slots, slots)
