"""A fleet of instances that steer for themselves, over targets of several regions.

The decisions are the product's; targets, delays, callers and heartbeats are simulated.
"""

import heapq
import math
import random
from collections import Counter, OrderedDict
from itertools import count

from currantmast.clocks import ManualClock
from currantmast.direct.crossings import measure_rooms
from currantmast.direct.model import InstanceRecord, Place, TargetRecord
from currantmast.direct.placement import Need, NoRoom, Placement
from currantmast.direct.targets import Load, Target
from currantmast.messages import Address

SERVICE = 'desk'
NOWHERE = Address('127.0.0.1', 9)

WARM_S = 0.19
COLD_S = 0.64
AIM_S = 0.5
LIMIT_S = 3.0
NEAR_S = 0.002
FAR_S = 0.11
KEPT = 17
QUEUE_PER_SLOT = 3

WINDOW_S = 2.0
STEP_S = 0.25

# A window with fewer requests says nothing of shares.
LEAST_REQUESTS = 100


class Machine:
    """A real target: slots, a queue, and the objects that it handled last."""

    def __init__(self, region, slots):
        self.region = region
        self.slots = slots
        self.running = 0
        self.queue = []
        self.kept = OrderedDict()

    def work_on(self, thing):
        work_s = WARM_S if thing in self.kept else COLD_S
        self.kept[thing] = None
        self.kept.move_to_end(thing)
        if len(self.kept) > KEPT:
            self.kept.popitem(last=False)
        return work_s


class Member:
    """One instance: its placement, and what it knows of each target."""

    def __init__(self, name, region, records, clock):
        self.name = name
        self.region = region
        self.placement = Placement(Place(region, f'{region}-a'), clock)
        self.targets = {record.id: Target(record, clock) for record in records}
        self.heard = {}
        self.crossings = {}

    def count_loads(self):
        return {
            name: target.in_flight
            for name, target in self.targets.items()
            if target.in_flight
        }

    def follow_crossings(self, places):
        rooms = measure_rooms(self.targets.values(), places, self.region)
        reports = [
            report for name, report in self.crossings.items() if name != self.name
        ]
        self.placement.crossings.follow(reports, rooms)

    def take_over_loads(self):
        loads = Counter()
        for told in self.heard.values():
            loads.update(told)
        for name, target in self.targets.items():
            target.note_peers(loads.get(name, 0))


class FleetReplay:
    """Plays callers' requests through many instances.

    Parameters
    ----------
    targets, members : dict of int
        Number by region.
    things : int
        Objects that the callers of each region ask for.
    slots : int
        Slots of each target.
    beat_s : float
        Seconds between heartbeats.
    """

    def __init__(self, targets, members, things=97, slots=3, beat_s=0.6, seed=1):
        self.clock = ManualClock(0)
        self.dice = random.Random(seed)
        self.things = things
        self.beat_s = beat_s
        self.order = count()
        self.events = []
        records = [
            TargetRecord(
                f'{region}-{number}', SERVICE, NOWHERE, Place(region, region), slots
            )
            for region, amount in targets.items()
            for number in range(amount)
        ]
        self.machines = {
            record.id: Machine(record.place.region, slots) for record in records
        }
        self.members = [
            Member(f'{region}-{number}', region, records, self.clock)
            for region, amount in members.items()
            for number in range(amount)
        ]
        self.at_region = {
            region: [known for known in self.members if known.region == region]
            for region in members
        }
        self.places = [
            InstanceRecord(
                known.name, 'run', Place(known.region, known.region), NOWHERE, NOWHERE
            )
            for known in self.members
        ]
        self.ran = {region: [] for region in members}
        self.outcomes = Counter()
        for member in self.members:
            self.at(self.dice.random() * beat_s, self.beat, member, 0)

    def at(self, when, job, *words):
        heapq.heappush(self.events, (when, next(self.order), job, words))

    def play_until(self, until):
        while self.events and self.events[0][0] <= until:
            when, _, job, words = heapq.heappop(self.events)
            self.clock.advance(max(0, when - self.clock.now()))
            job(*words)

    def run(self, find_rates, seconds):
        """Offer requests, at `find_rates(now)` a second by region, for `seconds`."""
        for member in self.members:
            member.follow_crossings(self.places)
        for region in self.at_region:
            self.at(0, self.arrive, region, find_rates, seconds)
        self.play_until(seconds + 5)

    def arrive(self, region, find_rates, seconds):
        now = self.clock.now()
        if now >= seconds:
            return
        rate = find_rates(now)[region]
        self.at(
            now + self.dice.expovariate(rate), self.arrive, region, find_rates, seconds
        )
        thing = f'{region}-{self.dice.randrange(self.things)}'
        member = self.dice.choice(self.at_region[region])
        self.offer(member, thing, now, 2, ())

    def offer(self, member, thing, began, tries, tried):
        now = self.clock.now()
        left_s = began + LIMIT_S - now
        need = Need(SERVICE, thing, left_s, began + AIM_S - now)
        usable = [
            target for name, target in member.targets.items() if name not in tried
        ]
        chosen = member.placement.choose(need, usable)
        if isinstance(chosen, NoRoom):
            self.outcomes['refused'] += 1
            return
        target = chosen.target
        target.in_flight += 1
        target.note_handled(thing)
        near = target.record.place.region == member.region
        transit_s = NEAR_S if near else FAR_S
        job = (member, chosen, thing, began, now, tries, transit_s, tried)
        self.at(now + transit_s / 2, self.reach, job)

    def reach(self, job):
        member, chosen, thing, *_ = job
        machine = self.machines[chosen.target.record.id]
        if machine.running < machine.slots:
            self.ran[member.region].append((self.clock.now(), machine.region))
            self.begin(machine, job)
        elif len(machine.queue) < QUEUE_PER_SLOT * machine.slots:
            self.ran[member.region].append((self.clock.now(), machine.region))
            machine.queue.append(job)
        else:
            self.at(self.clock.now() + job[6] / 2, self.shed, job)

    def begin(self, machine, job):
        machine.running += 1
        work_s = machine.work_on(job[2]) * self.dice.lognormvariate(0, 0.15)
        self.at(self.clock.now() + work_s, self.end, machine, job)

    def end(self, machine, job):
        machine.running -= 1
        report = Load(machine.running, len(machine.queue), machine.slots)
        if machine.queue:
            self.begin(machine, machine.queue.pop(0))
        self.at(self.clock.now() + job[6] / 2, self.answer, job, report)

    def shed(self, job):
        member, chosen, thing, began, _, tries, _, tried = job
        chosen.target.in_flight -= 1
        chosen.target.note_shed()
        if tries > 1:
            self.offer(
                member, thing, began, tries - 1, (*tried, chosen.target.record.id)
            )
        else:
            self.outcomes['refused'] += 1

    def answer(self, job, report):
        member, chosen, _, began, sent, *_ = job
        target = chosen.target
        now = self.clock.now()
        target.in_flight -= 1
        target.note_report(report)
        placement = member.placement
        elapsed_s = now - sent
        placement.note_served(SERVICE, chosen, elapsed_s)
        placement.delays.note(target.record.place.region, job[6] if sent else job[6])
        work_s = max(0.001, elapsed_s - chosen.transit_s - chosen.wait_s)
        warm = placement.times.was_warm(SERVICE, work_s)
        usual_s = placement.times.get(SERVICE, 1 if chosen.known or warm else 0)
        target.history.note_success(work_s / usual_s)
        placement.times.note(SERVICE, work_s)
        if chosen.chance > 0:
            target.note_hit(placement.times.was_warm(SERVICE, work_s))
        self.outcomes['in aim' if now - began <= AIM_S else 'late'] += 1

    def beat(self, member, period):
        loads = member.count_loads()
        for other in self.members:
            if other is not member and (
                period % 2 == 0 or other.region == member.region
            ):
                other.heard[member.name] = loads
        member.crossings[member.name] = member.placement.crossings.announce()
        for other in self.at_region[member.region]:
            other.crossings[member.name] = member.crossings[member.name]
        member.take_over_loads()
        member.follow_crossings(self.places)
        self.at(self.clock.now() + self.beat_s, self.beat, member, period + 1)


def find_largest_change(ran, regions):
    """Return the largest change of shares from one window to the next, and its time."""
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
        if min(totals) < LEAST_REQUESTS:
            continue
        change = sum(
            abs(counts[0][region] / totals[0] - counts[1][region] / totals[1])
            for region in regions
        )
        if change / 2 > largest:
            largest, when = change / 2, start + WINDOW_S
    return largest, when
