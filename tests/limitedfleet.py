"""A fleet of instances with one target that names a limit, without processes or time."""

import msgspec

from currantmast.clocks import ManualClock
from currantmast.direct.answers import Answer
from currantmast.direct.heartbeats import HeartbeatSocket
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.meters import Meter
from currantmast.direct.model import (
    Bounds,
    Configuration,
    InstanceRecord,
    Location,
    Route,
    Service,
    TargetRecord,
    WeightedService,
    WorkKind,
)
from currantmast.direct.reports import decode_heartbeat, encode_heartbeat
from currantmast.direct.steering import Steering
from currantmast.direct.targetlimits import TargetLimits
from currantmast.messages import Address
from currantmast.platform import wire

REGIONS = ('fife', 'skye', 'uist')
ADDRESS = Address('127.0.0.1', 0)
STEP_S = 0.2

# The promise: from `RECOVERY_S` after a target first named its limit, what it gets in any
# `WINDOW_S` from instances that passed the limit on at least `TOLD_S` before.
RECOVERY_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
FACTOR = 1.5
EXTRA = 5


class LimitedTarget:
    """A target that answers at once, and records when who sent it a request."""

    def __init__(self, clock):
        self.clock = clock
        self.rate = None
        self.header = 'Server-Limit'
        self.named_at = None
        self.told_at = {}
        self.arrivals = []

    def answer(self, sender):
        self.arrivals.append((self.clock.now(), sender))
        return self.make_answer(sender)

    def make_answer(self, sender):
        now = self.clock.now()
        headers = [('X-Currantmast-Server-Stamp', 's')]
        if self.rate is not None:
            headers.append((self.header, str(self.rate)))
            self.named_at = now if self.named_at is None else self.named_at
            self.told_at.setdefault(sender, now)
        return Answer(200, 'OK', tuple(headers), b'')

    def count_since(self, time):
        return sum(at >= time for at, _ in self.arrivals)

    def measure_excess(self):
        """Return by how many requests the worst window exceeds what is allowed."""
        counted = [
            at
            for at, sender in self.arrivals
            if at >= self.named_at + RECOVERY_S - WINDOW_S
            and self.told_at.get(sender, at) <= at - TOLD_S
        ]
        most = max(
            (sum(end - WINDOW_S < at <= end for at in counted) for end in counted),
            default=0,
        )
        return most - (FACTOR * WINDOW_S * self.rate + EXTRA)


class Connections:
    """Connections of one instance, which all lead to the one target."""

    def __init__(self, name, target):
        self.name = name
        self.target = target

    def exchange(self, target_id, address, request, timeout_s, matches):
        return self.target.answer(self.name)


class NoDatagrams:
    """Stands for a socket: the fleet passes heartbeats on, to members without addresses."""

    def sendto(self, payload, destination):
        """Send nothing."""

    def close(self):
        """Close nothing."""


class LimitedInstance:
    """One instance with its heartbeats."""

    def __init__(self, record, records, target, rng, incarnation='run'):
        self.clock = target.clock
        own = msgspec.structs.replace(record, incarnation=incarnation)
        self.state = InstanceState(own, Bounds(), self.clock)
        self.state.target_limits = TargetLimits(self.clock, rng)
        self.state.configuration.adopt(
            Configuration(1, (make_route(),), {'desk': Service('desk')}, {}, {})
        )
        for other in records:
            self.state.members.put(other)
        self.state.update_entries()
        self.state.members_listed_at = self.clock.now()
        self.state.targets_listed = True
        self.list_target(
            TargetRecord('t1', 'desk', ADDRESS, Location('fife', 'fife-a'), 50)
        )
        self.heartbeats = HeartbeatSocket(ADDRESS, self.state, self.clock)
        self.heartbeats.__exit__()
        self.heartbeats._socket = NoDatagrams()
        self.steering = Steering(
            self.state, wire, Connections(record.id, target), self.clock, Meter()
        )

    def list_target(self, record):
        self.state.targets.put(record)
        self.state.targets.runs.put(record.id, record.started_at_ms)

    def beat(self):
        self.heartbeats._update_from_members()
        demands = self.state.rate_limiter.announce()
        return encode_heartbeat(self.heartbeats._make_full(demands))

    def hear(self, payload):
        self.heartbeats._handle_heartbeat(decode_heartbeat(payload))

    def ask(self):
        headers = [('host', 'h'), ('x-currantmast-request-id', 'q1')]
        inbound = InboundRequest('GET', '/a/x', headers, b'', True, self.clock.now())
        return self.steering.answer(inbound)


class LimitedFleet:
    """All instances, and callers that ask a random one; a context manager."""

    def __init__(self, size, rng):
        self.clock = ManualClock(1000)
        self.rng = rng
        self.target = LimitedTarget(self.clock)
        self.records = [make_record(number) for number in range(size)]
        self.instances = {
            record.id: LimitedInstance(record, self.records, self.target, rng)
            for record in self.records
        }
        self.cut_off = set()
        self.statuses = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for instance in self.instances.values():
            instance.heartbeats.__exit__()

    def run(self, rate, seconds):
        """Let callers ask `rate` requests a second; return when it began."""
        began_at = self.clock.now()
        for _ in range(round(seconds / STEP_S)):
            self.beat()
            for _ in range(round(rate * STEP_S)):
                name = self.rng.choice(sorted(self.instances))
                self.statuses.append(self.instances[name].ask().status)
                self.clock.advance(STEP_S / round(rate * STEP_S))
        return began_at

    def beat(self):
        heard = {
            name: instance
            for name, instance in self.instances.items()
            if name not in self.cut_off
        }
        payloads = {name: instance.beat() for name, instance in self.instances.items()}
        for sender in heard:
            for name, instance in heard.items():
                if name != sender:
                    instance.hear(payloads[sender])

    def restart(self, name):
        """Replace an instance by a new run, which knows nothing."""
        self.instances[name].heartbeats.__exit__()
        record = self.instances[name].state.members.own
        self.instances[name] = LimitedInstance(
            record,
            self.records,
            self.target,
            self.rng,
            incarnation=f'run-{self.clock.now()}',
        )
        self.target.told_at.pop(name, None)


def make_record(number):
    region = REGIONS[number % len(REGIONS)]
    location = Location(region, f'{region}-a')
    return InstanceRecord(f'i{number:03}', 'run', location, ADDRESS, ADDRESS)


def make_route():
    service = (WeightedService('desk', 1),)
    return Route('r', 'h', '/a/', WorkKind.idempotent, service, 2, 0.5, keyless=True)
