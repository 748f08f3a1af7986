"""Simulation of a large fleet whose targets name limits: regions, objects and delays.

Steering, heartbeats and limits are the real ones; time, targets and the network are
simulated. Tasks sleep on a clock that jumps to the next moment at which one wakes.
"""

import heapq
from itertools import count

import gevent
from gevent.event import Event
from limitedfleet import LimitedInstance, LimitedTarget

from currantmast.clocks import ManualClock
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.model import (
    Configuration,
    InstanceRecord,
    Location,
    Route,
    Service,
    TargetRecord,
    WeightedService,
    WorkKind,
)
from currantmast.messages import Address

REGIONS = ('fukuoka', 'kumamoto', 'kagoshima')
REMOTE_DELAY_S = 0.055
LOCAL_DELAY_S = 0.001
CACHED_S = 0.2
UNCACHED_S = 0.65
OBJECTS_PER_TARGET = 4
TASK_SWITCHES = 3

# Requests of callers whose look-up named no entry instance, as a fraction of all.
STRAY_FRACTION = 0.03


class JumpingClock(ManualClock):
    """Clock on which tasks sleep until `run` has moved it to the moment they wake."""

    __slots__ = ('_order', '_sleepers')

    def __init__(self, start):
        super().__init__(start)
        self._order = count()
        self._sleepers = []

    def sleep(self, seconds):
        woken = Event()
        wakes_at = self.now() + max(0, seconds)
        heapq.heappush(self._sleepers, (wakes_at, next(self._order), woken))
        woken.wait()

    def run(self, seconds):
        until = self.now() + seconds
        self._let_tasks_run()
        while self._sleepers and self._sleepers[0][0] <= until:
            wakes_at, _, woken = heapq.heappop(self._sleepers)
            self.advance(wakes_at - self.now())
            woken.set()
            self._let_tasks_run()
        self.advance(until - self.now())

    def _let_tasks_run(self):
        for _ in range(TASK_SWITCHES):
            gevent.sleep(0)


class ReplayedTarget(LimitedTarget):
    """A target that takes its time, less for objects that it has handled before."""

    def __init__(self, clock, record):
        super().__init__(clock)
        self.record = record
        self.cached = set()

    def serve(self, sender, region, object_key):
        delay_s = measure_delay(region, self.record.location.region)
        self.clock.sleep(delay_s)
        self.arrivals.append((self.clock.now(), sender))
        self.clock.sleep(CACHED_S if object_key in self.cached else UNCACHED_S)
        self.cached.add(object_key)
        answer = self.make_answer(sender)
        self.clock.sleep(delay_s)
        return answer


class ReplayedConnections:
    """Connections of one instance to all targets."""

    def __init__(self, record, targets):
        self.record = record
        self.targets = targets

    def exchange(self, target_id, address, request, timeout_s, matches):
        cookie = dict(request.headers).get('cookie')
        target = self.targets[target_id]
        return target.serve(self.record.id, self.record.location.region, cookie)


class Datagrams:
    """Carries heartbeats between the instances, in place of a socket."""

    def __init__(self, fleet, sender):
        self.fleet = fleet
        self.sender = sender

    def sendto(self, payload, destination):
        self.fleet.tasks.append(gevent.spawn(self._deliver, payload, destination[0]))

    def close(self):
        """Close nothing."""

    def _deliver(self, payload, host):
        receiver = self.fleet.by_host[host]
        regions = self.sender.location.region, receiver.record.location.region
        self.fleet.clock.sleep(measure_delay(*regions))
        receiver.hear(payload)


class ReplayedFleet:
    """The fleet, its targets, and callers in all regions; a context manager."""

    def __init__(self, size, target_count, rng):
        self.clock = JumpingClock(1000)
        self.rng = rng
        self.tasks = []
        self.statuses = []
        self.targets = {}
        for number in range(target_count):
            record = make_target(number)
            self.targets[record.id] = ReplayedTarget(self.clock, record)
        self.records = [make_record(number, size) for number in range(size)]
        self.instances = [self._make_instance(record) for record in self.records]
        self.by_host = {found.record.peer.host: found for found in self.instances}

    def __enter__(self):
        for instance in self.instances:
            self.tasks.append(gevent.spawn(instance.heartbeats.send))
        return self

    def __exit__(self, *exc_info):
        gevent.killall(self.tasks)

    def limit(self, target_count, rate):
        """Let the first targets name a limit in their answers."""
        for target in list(self.targets.values())[:target_count]:
            target.rate = rate

    def run(self, requests_per_s, seconds):
        """Let callers ask `requests_per_s` times a second."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.run(self.rng.expovariate(requests_per_s))
            self.tasks.append(gevent.spawn(self._ask))
        self.tasks = [task for task in self.tasks if not task.dead]

    def measure_excess(self):
        """Return the worst excess of the targets that name a limit, in requests."""
        return max(
            target.measure_excess()
            for target in self.targets.values()
            if target.named_at is not None
        )

    def _make_instance(self, record):
        target = next(iter(self.targets.values()))
        instance = LimitedInstance(record, self.records, target, self.rng)
        instance.heartbeats.__exit__()
        instance.heartbeats._socket = Datagrams(self, record)
        instance.record = record
        state = instance.state
        for found in self.targets.values():
            instance.list_target(found.record)
        state.targets.remove('t1')
        instance.steering._connections = ReplayedConnections(record, self.targets)
        state.configuration.adopt(make_configuration())
        return instance

    def _ask(self):
        region = self.rng.choice(REGIONS)
        object_key = str(self.rng.randrange(len(self.targets) * OBJECTS_PER_TARGET))
        near = [
            found for found in self.instances if found.record.location.region == region
        ]
        entries = self.instances[0].state.members.entries
        if self.rng.random() >= STRAY_FRACTION:
            near = [found for found in near if found.record.id in entries] or near
        instance = self.rng.choice(near)
        headers = [
            ('host', 'h'),
            ('x-currantmast-request-id', 'q1'),
            ('cookie', f'X-Currantmast-Affinity-Key={object_key}'),
        ]
        inbound = InboundRequest('GET', '/a/x', headers, b'', True, self.clock.now())
        self.statuses.append(instance.steering.answer(inbound).status)


def measure_delay(region, other):
    return LOCAL_DELAY_S if region == other else REMOTE_DELAY_S


def make_record(number, size):
    region = REGIONS[number % len(REGIONS)]
    domain = f'{region}-{number // len(REGIONS) % 3}'
    peer = Address(f'10.0.{number // 250}.{number % 250 + 1}', 7460)
    capacity = 2 if number < max(9, size // 4) else 0.4
    location = Location(region, domain)
    return InstanceRecord(f'i{number:03}', 'run', location, peer, peer, capacity)


def make_target(number):
    region = REGIONS[number % len(REGIONS)]
    address = Address(f'10.1.0.{number + 1}', 8400)
    location = Location(region, f'{region}-{number // len(REGIONS) % 3}')
    return TargetRecord(f'target-{number}', 'desk', address, location, 3)


def make_configuration():
    service = (WeightedService('desk', 1),)
    route = Route(
        'r',
        'h',
        '/a/',
        WorkKind.idempotent,
        service,
        timeout_s=3,
        latency_objective_s=0.5,
        keyless=True,
        has_affinity=True,
    )
    return Configuration(2, (route,), {'desk': Service('desk')}, {}, {})
