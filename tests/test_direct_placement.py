"""Placement at the worst load, replayed against the decision alone."""

import heapq
import random
from collections import OrderedDict

from currantmast.clocks import ManualClock
from currantmast.direct.crossings import measure_rooms
from currantmast.direct.homes import find_homes
from currantmast.direct.model import InstanceRecord, Place, TargetRecord
from currantmast.direct.placement import (
    Chosen,
    Need,
    NoRoom,
    Placement,
)
from currantmast.direct.targets import Target
from currantmast.messages import Address

REGIONS = ('fife', 'skye', 'uist')
WARM_S = 0.27
COLD_S = 0.9
KEPT = 20
THINGS = 27
AIM_S = 0.6
BEAT_S = 0.2
LIMIT_S = 1.5


def make_targets(clock, per_region=5, slots=5, few=None):
    counts = dict.fromkeys(REGIONS, per_region) | (few or {})
    return [
        Target(
            TargetRecord(
                f'{region}-{number}',
                'desk',
                Address('127.0.0.1', 9),
                Place(region, f'{region}-a'),
                slots,
            ),
            clock,
        )
        for region in REGIONS
        for number in range(counts[region])
    ]


def make_instance(region):
    here = Address('127.0.0.1', 9)
    return InstanceRecord(region, 'run', Place(region, f'{region}-a'), here, here)


class Plain:
    """The plain policy: the target with the fewest requests for each slot."""

    def choose(self, need, targets):
        best = min(targets, key=lambda target: target.load / target.record.slots)
        if best.load >= 4 * best.record.slots:
            return NoRoom(len(targets), 0.1)
        return Chosen(best, 0.002, 0, WARM_S, 0, False, len(targets))


class Replay:
    """Targets that run work in slots and keep the objects that they handled last."""

    def __init__(self, policies, targets, clock, kept=KEPT):
        self.policies = policies
        self.kept_objects = kept
        self.targets = targets
        self.clock = clock
        self.free = {target.record.id: target.record.slots for target in targets}
        self.queues = {target.record.id: [] for target in targets}
        self.kept = {target.record.id: OrderedDict() for target in targets}
        self.events = []
        self.order = 0
        self.outcomes = {'in aim': 0, 'late': 0, 'given up': 0, 'refused': 0}
        self.cold_runs = 0

    def run(self, rate, seconds):
        dice = random.Random(7)
        now = 0.0
        beat_at = 0.0
        while now < seconds:
            now += dice.expovariate(rate)
            while beat_at <= now:
                self.play_until(beat_at)
                self.follow_crossings()
                beat_at += BEAT_S
            self.play_until(now)
            region = dice.choice(REGIONS)
            self.offer(region, self.name_thing(region, dice.randrange(THINGS)), now)
        self.play_until(now + 10)
        return self.outcomes

    def follow_crossings(self):
        members = [make_instance(region) for region in REGIONS]
        for region, policy in self.policies.items():
            if isinstance(policy, Placement):
                rooms = measure_rooms(self.targets, members, region)
                policy.crossings.follow((), rooms)

    def name_thing(self, region, number):
        return str(number)

    def offer(self, region, thing, now):
        policy = self.policies[region]
        need = Need('desk', thing, LIMIT_S, AIM_S)
        chosen = policy.choose(need, self.targets)
        if isinstance(chosen, NoRoom):
            self.outcomes['refused'] += 1
            return
        target = chosen.target
        target.in_flight += 1
        target.note_handled(thing)
        job = (target, thing, now, chosen, policy)
        if self.free[target.record.id]:
            self.begin(job, now)
        else:
            self.queues[target.record.id].append(job)

    def begin(self, job, now):
        target, thing, *_ = job
        self.free[target.record.id] -= 1
        kept = self.kept[target.record.id]
        work_s = WARM_S if thing in kept else COLD_S
        self.cold_runs += thing not in kept
        kept[thing] = None
        kept.move_to_end(thing)
        if len(kept) > self.kept_objects:
            kept.popitem(last=False)
        # Work is cut when its caller's limit is reached.
        limit = max(now, job[2] + LIMIT_S)
        end = min(now + work_s, limit)
        self.order += 1
        heapq.heappush(self.events, (end, self.order, job, now + work_s <= limit))

    def play_until(self, until):
        while self.events and self.events[0][0] <= until:
            now, _, job, whole = heapq.heappop(self.events)
            self.clock.advance(max(0, now - self.clock.now()))
            self.end(job, now, whole)

    def end(self, job, now, whole):
        target, thing, began, chosen, policy = job
        target.in_flight -= 1
        self.free[target.record.id] += 1
        elapsed_s = now - began
        if not whole:
            self.outcomes['given up'] += 1
        else:
            self.outcomes['in aim' if elapsed_s <= AIM_S else 'late'] += 1
        if isinstance(policy, Placement):
            policy.note_served('desk', chosen, elapsed_s)
            work_s = max(0.001, elapsed_s - chosen.wait_s - chosen.transit_s)
            if whole:
                policy.times.note('desk', work_s)
                if chosen.chance > 0:
                    target.note_hit(policy.times.was_warm('desk', work_s))
        queue = self.queues[target.record.id]
        if queue:
            self.begin(queue.pop(0), now)


def replay(make_policy, rate, seconds=40):
    clock = ManualClock(0)
    targets = make_targets(clock)
    policies = {region: make_policy(region, clock) for region in REGIONS}
    return Replay(policies, targets, clock).run(rate, seconds)


def make_own(region, clock):
    return Placement(Place(region, f'{region}-a'), clock)


def test_load_beyond_what_cold_targets_carry_is_served_in_aim():
    """Replays look-ups that fit only where their objects are kept.

    75 slots carry 83 requests a second of 0.9 s each, and 278 of 0.27 s.
    """
    plain = replay(lambda region, clock: Plain(), rate=250)
    own = replay(make_own, rate=250)
    offered = sum(own.values())
    assert own['in aim'] >= 0.85 * offered
    assert own['in aim'] >= 2 * plain['in aim']


def test_load_beyond_all_targets_is_refused_at_once_and_not_given_up():
    """Replays a burst: what can't be served must not wait until its limit."""
    own = replay(make_own, rate=500)
    offered = sum(own.values())
    assert own['given up'] <= 0.03 * offered
    assert own['in aim'] + own['late'] >= 200 * 40


def test_all_instances_send_an_object_to_the_same_targets():
    clock = ManualClock(0)
    targets = make_targets(clock)
    for region in REGIONS:
        homes = find_homes('x', targets, THINGS, region)
        assert homes == find_homes('x', reversed(targets), THINGS, region)
        (first,) = homes.first
        assert first.startswith(region)
        (overflow,) = homes.second
        assert not overflow.startswith(region)


def test_only_the_objects_of_a_lost_target_move():
    targets = make_targets(ManualClock(0))
    lost = targets[0]
    for thing in map(str, range(200)):
        for region in REGIONS:
            before = find_homes(thing, targets, THINGS, region).first
            after = find_homes(thing, targets[1:], THINGS, region).first
            if lost.record.id not in before:
                assert before == after


def test_region_that_cannot_keep_all_objects_keeps_a_part():
    """Replays a region of two targets, which forgot everything all the time."""
    clock = ManualClock(0)
    targets = make_targets(clock)
    small = [target for target in targets if target.record.place.region != 'uist']
    small += [target for target in targets if target.record.place.region == 'uist'][:1]
    kept = [
        thing
        for thing in map(str, range(64))
        if any(
            home.startswith('uist')
            for home in find_homes(thing, small, 64, 'uist').first
        )
    ]
    assert 8 <= len(kept) <= 24


def test_full_homes_send_no_object_to_strange_targets_that_are_busy():
    """Replays a wave over the targets that keep an object, with free slots elsewhere.

    A run on a new object took four times as long there, and drove out a known one.
    """
    targets = make_targets(ManualClock(0), per_region=3, slots=5)
    policy = make_own('fife', ManualClock(0))
    need = Need('desk', 'x', LIMIT_S, AIM_S)
    homes = find_homes('x', targets, THINGS, 'fife')
    for target in targets:
        kept = target.record.id in homes.first | homes.second
        target.in_flight = 10 if kept else 1
    assert isinstance(policy.choose(need, targets), NoRoom)
    idle = next(target for target in targets if target.in_flight == 1)
    idle.in_flight = 0
    assert policy.choose(need, targets).target is idle


def test_slow_and_failing_targets_are_passed_over():
    clock = ManualClock(0)
    targets = make_targets(clock, per_region=2)
    policy = make_own('fife', clock)
    need = Need('desk', '', LIMIT_S, AIM_S)
    for target in targets:
        if target.record.id != 'fife-1':
            for _ in range(5):
                target.history.note_success(8)
    assert policy.choose(need, targets).target.record.id == 'fife-1'
    for _ in range(2):
        targets[1].note_failure()
    clock.advance(20)
    assert policy.choose(need, targets).target.record.place.region == 'fife'


def test_request_that_cannot_end_in_time_finds_no_room():
    clock = ManualClock(0)
    targets = make_targets(clock)
    policy = make_own('fife', clock)
    found = policy.choose(Need('desk', '', 0.2, 0.1), targets)
    assert isinstance(found, NoRoom)


def test_start_on_cold_targets_moves_no_region_abruptly():
    """Replays the first seconds of a calm day, when all objects are new everywhere.

    Found by a hunted day (mix of glenbrae-mast, seed 1081241274547): 44 in 100 of a
    region's requests ran elsewhere 2 s after all had run at home. The bound is 15.
    """
    clock = ManualClock(0)
    targets = make_targets(clock, per_region=4, slots=4)
    policies = {region: make_own(region, clock) for region in REGIONS}
    world = Replay(policies, targets, clock)
    away = {region: [] for region in REGIONS}
    original = world.offer

    def offer(region, thing, now):
        before = {target.record.id: target.in_flight for target in targets}
        original(region, thing, now)
        for target in targets:
            if target.in_flight > before[target.record.id]:
                away[region].append((now, target.record.place.region != region))

    world.offer = offer
    world.run(rate=90, seconds=8)
    for sent in away.values():
        shares = [
            sum(left for at, left in sent if start <= at < start + 2)
            / max(1, sum(start <= at < start + 2 for at, _ in sent))
            for start in range(7)
        ]
        changes = [
            abs(later - earlier)
            for earlier, later in zip(shares, shares[2:], strict=False)
        ]
        assert max(changes) <= 0.15, shares


class LocalReplay(Replay):
    """Callers of each region that ask for objects of their own."""

    def name_thing(self, region, number):
        return f'{region}-{number}'


def test_region_with_few_targets_drives_no_known_objects_out():
    """Replays waves of callers whose region has 2 of 18 targets and 27 of 81 objects.

    The overflow of that region filled all others with second copies, and theirs filled
    it, so that most work was on objects that the target had just forgotten.
    """
    clock = ManualClock(0)
    targets = make_targets(clock, per_region=8, slots=3, few={'uist': 2})
    policies = {region: make_own(region, clock) for region in REGIONS}
    world = LocalReplay(policies, targets, clock, kept=12)
    outcomes = world.run(rate=180, seconds=40)
    offered = sum(outcomes.values())
    # Each object is new once near its callers and once where the overflow goes.
    assert world.cold_runs <= 2 * THINGS * len(REGIONS) + 0.05 * offered
    assert outcomes['in aim'] >= 0.85 * offered
