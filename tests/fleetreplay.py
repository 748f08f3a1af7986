"""Simulation of a fleet of instances that place requests on targets of several regions.

The placement code is the real one; targets, delays, callers and heartbeats are simulated.
"""

import heapq
import math
import random
from collections import Counter, OrderedDict
from itertools import count

from currantmast.clocks import ManualClock
from currantmast.direct.choices import NoCapacity, Requirements
from currantmast.direct.costs import Work
from currantmast.direct.loads import Load
from currantmast.direct.model import InstanceRecord, Location, TargetRecord
from currantmast.direct.placement import Placement
from currantmast.direct.slowdowns import collect_reports
from currantmast.direct.spillover import measure_capacity
from currantmast.direct.targets import Target
from currantmast.messages import Address

SERVICE = 'desk'
UNUSED_ADDRESS = Address('127.0.0.1', 9)

CACHED_S = 0.19
UNCACHED_S = 0.64
OBJECTIVE_S = 0.5
TIMEOUT_S = 3.0
LOCAL_ROUND_TRIP_S = 0.002
REMOTE_ROUND_TRIP_S = 0.11
CACHE_SIZE = 17
QUEUE_PER_SLOT = 3

WINDOW_S = 2.0
STEP_S = 0.25

# Pace of targets that share their machines: how many work slower, how much, for how long.
SLOW_FRACTION = 0.15
SLOWDOWN = 2.5
PACE_S = 0.6

# Windows with fewer requests are skipped, since their shares are too uncertain.
MIN_REQUESTS = 100


class SimulatedTarget:
    """Simulated target with slots, a queue and a cache of the last objects."""

    def __init__(self, region, slots):
        self.region = region
        self.slots = slots
        self.running = 0
        self.queue = []
        self.cache = OrderedDict()
        self.slowdown = 1
        self.uncached_runs = 0
        self.max_queue = 0

    def process(self, object_key):
        processing_s = CACHED_S if object_key in self.cache else UNCACHED_S
        processing_s *= self.slowdown
        self.uncached_runs += object_key not in self.cache
        self.cache[object_key] = None
        self.cache.move_to_end(object_key)
        if len(self.cache) > CACHE_SIZE:
            self.cache.popitem(last=False)
        return processing_s


class SimulatedInstance:
    """Simulated instance: its placement, its targets and the last heartbeats."""

    def __init__(self, name, region, records, clock):
        self.name = name
        self.region = region
        parity = int(name.rpartition('-')[2]) % 2
        self.placement = Placement(Location(region, f'{region}-{parity}'), clock)
        self.targets = {record.id: Target(record, clock) for record in records}
        self.by_cost = False
        self.peer_loads = {}
        self.spillover_reports = {}

    def count_loads(self):
        return {
            name: target.in_flight
            for name, target in self.targets.items()
            if target.in_flight
        }

    def update_spillover(self, instance_records):
        capacities = measure_capacity(
            self.targets.values(), instance_records, self.region
        )
        if self.by_cost:
            capacities = self.placement.by_cost.complete_capacities(capacities)
        reports = [
            report
            for name, report in self.spillover_reports.items()
            if name != self.name
        ]
        self.placement.spillover.update(reports, capacities)

    def update_loads(self):
        loads = Counter()
        for reported in self.peer_loads.values():
            loads.update(reported)
        for name, target in self.targets.items():
            target.record_peer_load(loads.get(name, 0))


class FleetReplay:
    """Simulates callers' requests to many instances.

    Parameters
    ----------
    targets, members : dict of int
        Number of targets and of instances, by region.
    objects : int
        Number of objects in the requests of each region.
    slots : int
        Slots of each target.
    heartbeat_s : float
        Seconds between heartbeats.
    seed : int
        Seed of the random numbers.
    by_cost : bool
        Whether overload control places requests.
    paced : bool
        Whether each region has two failure domains, and the pace of targets changes.
    shed_fraction : float
        Part of the requests that targets shed whatever their load.

    Attributes
    ----------
    ran : dict of list
        Time and region of each request that a target accepted, by region of the caller.
    outcomes : Counter
        Numbers of requests by outcome.
    """

    def __init__(
        self,
        targets,
        members,
        objects=97,
        slots=3,
        heartbeat_s=0.6,
        seed=1,
        by_cost=False,
        paced=False,
        shed_fraction=0,
    ):
        self.by_cost = by_cost
        self.shed_fraction = shed_fraction
        self.clock = ManualClock(0)
        self.rng = random.Random(seed)
        self.objects = objects
        self.heartbeat_s = heartbeat_s
        self.order = count()
        self.events = []
        records = [
            TargetRecord(
                f'{region}-{number}',
                SERVICE,
                UNUSED_ADDRESS,
                Location(region, f'{region}-{number % 2}' if paced else region),
                slots,
            )
            for region, amount in targets.items()
            for number in range(amount)
        ]
        self.simulated_targets = {
            record.id: SimulatedTarget(record.location.region, slots)
            for record in records
        }
        self.members = [
            SimulatedInstance(f'{region}-{number}', region, records, self.clock)
            for region, amount in members.items()
            for number in range(amount)
        ]
        self.members_by_region = {
            region: [instance for instance in self.members if instance.region == region]
            for region in members
        }
        self.instance_records = [
            InstanceRecord(
                instance.name,
                'run',
                Location(instance.region, instance.region),
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
            )
            for instance in self.members
        ]
        for member in self.members:
            member.by_cost = by_cost
        self.ran = {region: [] for region in members}
        self.outcomes = Counter()
        if paced:
            self.schedule(0, self.change_paces)
        for member in self.members:
            self.schedule(
                self.rng.random() * heartbeat_s, self.send_heartbeat, member, 0
            )

    def change_paces(self):
        for simulated in self.simulated_targets.values():
            is_slow = self.rng.random() < SLOW_FRACTION
            simulated.slowdown = SLOWDOWN if is_slow else 1
        self.schedule(self.clock.now() + PACE_S, self.change_paces)

    def schedule(self, when, job, *args):
        heapq.heappush(self.events, (when, next(self.order), job, args))

    def play_until(self, until):
        while self.events and self.events[0][0] <= until:
            when, _, job, args = heapq.heappop(self.events)
            self.clock.advance(max(0, when - self.clock.now()))
            job(*args)

    def run(self, get_rates, seconds):
        """Send requests for `seconds`, at `get_rates(now)` per second by region."""
        for member in self.members:
            member.update_spillover(self.instance_records)
        for region in self.members_by_region:
            self.schedule(0, self.arrive, region, get_rates, seconds)
        self.play_until(seconds + 5)

    def arrive(self, region, get_rates, seconds):
        now = self.clock.now()
        if now >= seconds:
            return
        rate = get_rates(now)[region]
        self.schedule(
            now + self.rng.expovariate(rate), self.arrive, region, get_rates, seconds
        )
        object_key = f'{region}-{self.rng.randrange(self.objects)}'
        member = self.rng.choice(self.members_by_region[region])
        self.offer(member, object_key, now, 2, ())

    def offer(self, member, object_key, started, tries, tried_ids):
        now = self.clock.now()
        left_s = started + TIMEOUT_S - now
        requirements = Requirements(
            SERVICE,
            object_key,
            left_s,
            started + OBJECTIVE_S - now,
            work=SERVICE,
            by_cost=self.by_cost,
        )
        usable = [
            target for name, target in member.targets.items() if name not in tried_ids
        ]
        choice = member.placement.choose(requirements, usable)
        if isinstance(choice, NoCapacity):
            self.outcomes['refused'] += 1
            return
        target = choice.target
        target.in_flight += 1
        target.note_handled(object_key)
        local = target.record.location.region == member.region
        round_trip_s = LOCAL_ROUND_TRIP_S if local else REMOTE_ROUND_TRIP_S
        job = (member, choice, object_key, started, now, tries, round_trip_s, tried_ids)
        self.schedule(now + round_trip_s / 2, self.reach, job)

    def reach(self, job):
        member, choice, object_key, *_ = job
        simulated = self.simulated_targets[choice.target.record.id]
        if self.shed_fraction and self.rng.random() < self.shed_fraction:
            self.schedule(self.clock.now() + job[6] / 2, self.shed, job)
        elif simulated.running < simulated.slots:
            self.ran[member.region].append((self.clock.now(), simulated.region))
            self.begin(simulated, job)
        elif len(simulated.queue) < QUEUE_PER_SLOT * simulated.slots:
            self.ran[member.region].append((self.clock.now(), simulated.region))
            simulated.queue.append(job)
            simulated.max_queue = max(simulated.max_queue, len(simulated.queue))
        else:
            self.schedule(self.clock.now() + job[6] / 2, self.shed, job)

    def begin(self, simulated, job):
        simulated.running += 1
        processing_s = simulated.process(job[2]) * self.rng.lognormvariate(0, 0.15)
        self.schedule(self.clock.now() + processing_s, self.end, simulated, job)

    def end(self, simulated, job):
        simulated.running -= 1
        report = Load(
            simulated.running,
            len(simulated.queue),
            simulated.slots,
            simulated.slowdown,
        )
        if simulated.queue:
            self.begin(simulated, simulated.queue.pop(0))
        self.schedule(self.clock.now() + job[6] / 2, self.answer, job, report)

    def shed(self, job):
        member, choice, object_key, started, _, tries, _, tried_ids = job
        choice.target.in_flight -= 1
        choice.target.note_shed(needs_load=self.by_cost)
        if tries > 1:
            self.offer(
                member,
                object_key,
                started,
                tries - 1,
                (*tried_ids, choice.target.record.id),
            )
        else:
            self.outcomes['refused'] += 1

    def answer(self, job, report):
        member, choice, _, started, sent, *_ = job
        target = choice.target
        now = self.clock.now()
        target.in_flight -= 1
        target.note_report(report)
        placement = member.placement
        elapsed_s = now - sent
        placement.note_served(SERVICE, choice, elapsed_s)
        placement.round_trips.note(
            target.record.location.region, job[6] if sent else job[6]
        )
        self.outcomes['in time' if now - started <= OBJECTIVE_S else 'late'] += 1
        if self.by_cost:
            work = Work(SERVICE, SERVICE)
            placement.by_cost.costs.note_answer(work, choice, elapsed_s, report)
            return
        processing_s = max(0.001, elapsed_s - choice.round_trip_s - choice.wait_s)
        cached = placement.processing_times.was_cached(SERVICE, processing_s)
        usual_s = placement.processing_times.get(
            SERVICE, 1 if choice.cached or cached else 0
        )
        target.history.note_success(processing_s / usual_s)
        placement.processing_times.note(SERVICE, processing_s)
        if choice.chance > 0:
            target.note_hit(
                placement.processing_times.was_cached(SERVICE, processing_s)
            )

    def send_heartbeat(self, member, period):
        loads = member.count_loads()
        slowdowns = collect_reports(
            (name, target.slowdown) for name, target in member.targets.items()
        )
        for other in self.members:
            if other is not member and (
                period % 2 == 0 or other.region == member.region
            ):
                other.peer_loads[member.name] = loads
                for name, report in slowdowns.items():
                    other.targets[name].slowdown.note_peer(report)
        member.spillover_reports[member.name] = member.placement.spillover.make_report()
        for other in self.members_by_region[member.region]:
            other.spillover_reports[member.name] = member.spillover_reports[member.name]
        member.update_loads()
        member.update_spillover(self.instance_records)
        self.schedule(
            self.clock.now() + self.heartbeat_s, self.send_heartbeat, member, period + 1
        )


def find_largest_change(ran, regions):
    """Return the largest change of regions' shares between windows, and its time.

    The change is half the sum of the absolute differences of the shares.
    """
    if not ran:
        return 0, 0
    end = max(at for at, _ in ran)
    largest, when = 0.0, 0.0
    for step in range(math.floor((end - 2 * WINDOW_S) / STEP_S) + 1):
        start = step * STEP_S
        counts = [Counter(), Counter()]
        for at, region in ran:
            window = math.floor((at - start) / WINDOW_S)
            if 0 <= window <= 1:
                counts[window][region] += 1
        totals = [found.total() for found in counts]
        if min(totals) < MIN_REQUESTS:
            continue
        change = sum(
            abs(counts[0][region] / totals[0] - counts[1][region] / totals[1])
            for region in regions
        )
        if change / 2 > largest:
            largest, when = change / 2, start + WINDOW_S
    return largest, when
