"""A fleet that follows a stand-in store, directly or through relays, without processes.

Time is manual: a watch answers at once, and each topic is read again every `POLL_S`.
"""

import math
import re

import msgspec

from currantmast.clocks import ManualClock
from currantmast.direct.answers import Answer
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.following import Follower
from currantmast.direct.heartbeats import HeartbeatSocket
from currantmast.direct.inbound import InboundRequest
from currantmast.direct.instance_state import (
    ConfigurationSubscriber,
    EvacuationSubscriber,
    InstanceState,
    InstanceSubscriber,
    TargetSubscriber,
)
from currantmast.direct.model import Bounds, InstanceRecord, Location
from currantmast.direct.relays import RecordingSource, RelayServer
from currantmast.direct.reports import decode_heartbeat, encode_heartbeat
from currantmast.direct.reserves import RelayedSource
from currantmast.direct.updates import Topic
from currantmast.errors import NothingSent
from currantmast.messages import Address
from currantmast.platform.documents import configure_regions, encode_instance
from currantmast.platform.store import ObjectStore
from currantmast.standins.platformstore import PlatformStore

REGIONS = ('fife', 'skye', 'uist')
DOMAINS_PER_REGION = 3
POLL_S = 0.2
HEARTBEAT_S = 0.8

# Instances, the first ones, with most capacity: they become the entry instances.
LARGE_INSTANCES = 27

WAITS = re.compile('wait_ms=[0-9]+|wait_s=[0-9.]+')


class Network:
    """Carries calls to the store and to relays; cut-off instances reach neither."""

    def __init__(self, clock):
        self.clock = clock
        self.store = PlatformStore()
        self.relays = {}
        self.cut_off = set()

    def call(self, sender, address, request):
        if sender in self.cut_off:
            raise NothingSent('cut off')
        url = WAITS.sub(lambda found: f'{found[0].partition("=")[0]}=0', request.url)
        headers = [(name.lower(), text) for name, text in request.headers]
        inbound = InboundRequest(
            request.method, url, headers, request.body, True, self.clock.now()
        )
        if address == self.store.address:
            outbound = self.store._answer(inbound)
        else:
            name, server = self.relays[address]
            if name in self.cut_off:
                raise NothingSent('cut off')
            outbound = server.answer(inbound)
        return Answer(outbound.status, '', outbound.headers, outbound.body)


class Connections:
    """Connections of one instance over the network."""

    def __init__(self, sender, network):
        self.sender = sender
        self.network = network

    def exchange(self, channel, address, request, timeout_s, matches):
        return self.network.call(self.sender, address, request)

    def close_all_idle(self):
        """Close nothing."""


class FollowingInstance:
    """One instance: its state, followers, relay and heartbeats."""

    def __init__(self, record, records, network):
        self.clock = network.clock
        self.record = record
        self.state = InstanceState(record, Bounds(), self.clock)
        for other in records:
            self.state.members.put(other)
        self.store = ObjectStore(network.store.address, self.clock)
        self.store._connections = Connections(record.id, network)
        recorded = RecordingSource(self.store, self.clock)
        network.relays[record.peer] = (record.id, RelayServer(recorded, self.clock))
        self.source = RelayedSource(
            recorded, self.state.members, self.clock, self.state.store_health
        )
        self.source._connections = Connections(record.id, network)
        connections = TargetConnections(self.clock)
        self.instances = InstanceSubscriber(self.state)
        subscribers = {
            Topic.configuration: ConfigurationSubscriber(self.state),
            Topic.targets: TargetSubscriber(self.state, connections),
            Topic.evacuations: EvacuationSubscriber(self.state),
            Topic.instances: self.instances,
        }
        self.followers = [
            Follower(
                topic,
                self.source,
                subscriber,
                self.clock,
                self.state.store_health,
                self.state.confirm_configuration
                if topic is Topic.configuration
                else self._note_members_listed,
            )
            for topic, subscriber in subscribers.items()
        ]
        self.due = dict.fromkeys(Topic, -math.inf)
        self.heartbeats = HeartbeatSocket(
            Address('127.0.0.1', 0), self.state, self.clock
        )
        # The fleet passes heartbeats on itself; addresses of members are made up.
        self.heartbeats._send_to = lambda peer, heartbeat: None

    def _note_members_listed(self, sent_at):
        self.state.members_listed_at = min(self.state.members_listed_at, sent_at)

    def follow(self):
        for follower in self.followers:
            if self.due[follower.topic] <= self.clock.now():
                pause_s = follower.step()
                self.due[follower.topic] = self.clock.now() + max(POLL_S, pause_s)

    def beat(self, receivers):
        for receiver in receivers:
            heartbeat = msgspec.structs.replace(
                self.heartbeats._make_brief(),
                confirmation=self.heartbeats._make_confirmation(receiver.record),
            )
            decoded = decode_heartbeat(encode_heartbeat(heartbeat))
            receiver.heartbeats._handle_heartbeat(decoded)

    def has_lease(self):
        return self.state.has_lease()


class FollowingFleet:
    """All instances and the store that they follow; a context manager."""

    def __init__(self, size, rng):
        self.clock = ManualClock(1000)
        self.rng = rng
        self.network = Network(self.clock)
        self.store = self.network.store
        domains = configure_domains()
        self.records = [
            make_record(number, domains[number % len(domains)])
            for number in range(size)
        ]
        for record in self.records:
            self.store.put('instances', record.id, encode_spec(record))
        self.instances = {
            record.id: FollowingInstance(record, self.records, self.network)
            for record in self.records
        }
        self._beat_at = -math.inf

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for instance in self.instances.values():
            instance.heartbeats.__exit__()

    def run(self, seconds):
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            if self._beat_at + HEARTBEAT_S <= self.clock.now():
                self._beat_at = self.clock.now()
                self._beat()
            order = list(self.instances.values())
            self.rng.shuffle(order)
            for instance in order:
                if instance.record.id not in self.paused:
                    instance.follow()
            self.clock.advance(POLL_S / 2)

    @property
    def paused(self):
        return self.network.cut_off

    def restart(self, name):
        """Replace an instance by a new run, which knows nothing, and return it."""
        old = self.instances[name]
        old.heartbeats.__exit__()
        record = msgspec.structs.replace(old.record, incarnation='next run')
        self.instances[name] = FollowingInstance(record, self.records, self.network)
        return self.instances[name]

    def versions(self):
        return {
            name: instance.state.configuration.version
            for name, instance in self.instances.items()
        }

    def list_without_lease(self):
        return [name for name, found in self.instances.items() if not found.has_lease()]

    def _beat(self):
        connected = [
            instance
            for name, instance in self.instances.items()
            if name not in self.network.cut_off
        ]
        for sender in connected:
            entries = sender.state.members.entries
            sender.beat(
                receiver
                for receiver in connected
                if receiver is not sender and hears(receiver, sender, entries)
            )
        for instance in connected:
            instance.state.members.update_liveness()
            instance.state.update_entries()


def configure_domains():
    """Return the failure domains, after the adapter was told their regions."""
    domains = [
        Location(region, f'{region}-{number}')
        for number in range(DOMAINS_PER_REGION)
        for region in REGIONS
    ]
    configure_regions({place.failure_domain: place.region for place in domains})
    return domains


def hears(receiver, sender, entries):
    """Return whether `receiver` gets the heartbeats of `sender`."""
    are_entries = sender.record.id in entries, receiver.record.id in entries
    is_local = sender.state.members.is_local(receiver.record)
    return all(are_entries) or (is_local and any(are_entries))


def make_record(number, location):
    peer = Address(f'10.0.{number // 250}.{number % 250 + 1}', 7460)
    public = Address(peer.host, 8389)
    capacity = 2 if number < LARGE_INSTANCES else 0.2
    return InstanceRecord(f'i{number:03}', 'run', location, public, peer, capacity)


def encode_spec(record):
    return msgspec.json.decode(encode_instance(record))['spec']


def make_configuration(version, *route_names):
    routes = [
        {
            'res_kind': 'routes',
            'meta': {'name': name},
            'spec': {
                'host': 'h',
                'path_prefix': f'/{name}/',
                'type': 'idempotent',
                'timeout_s': 2,
                'service': 'desk',
            },
        }
        for name in route_names
    ]
    return {'version': f'{version:08x}', 'resources': routes}


def make_server(number, **changes):
    spec = {
        'service': 'desk',
        'addr': f'10.1.0.{number}:8400',
        'zone': 'fife-0',
        'slots': 3,
        'state': 'ready',
        'born': 1000,
        'seq': 1,
    }
    return {**spec, **changes}
