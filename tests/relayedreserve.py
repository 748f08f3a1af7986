"""A reserve that follows real relays over loopback, and troubles of those relays."""

import math
from contextlib import ExitStack
from random import Random

import gevent
from followingfleet import configure_domains, make_configuration, make_server

from currantmast.clocks import BootClock
from currantmast.direct.following import Follower
from currantmast.direct.front import FrontServer
from currantmast.direct.members import Members
from currantmast.direct.model import CallerLimits, InstanceRecord
from currantmast.direct.relays import RecordingSource, RelayServer
from currantmast.direct.reports import Heartbeat
from currantmast.direct.reserves import RelayedSource, list_relays
from currantmast.direct.storehealth import StoreHealth
from currantmast.direct.updates import Topic
from currantmast.messages import Address
from currantmast.platform.store import ObjectStore
from currantmast.standins.platformstore import PlatformStore
from currantmast.standins.proxy import Link
from currantmast.standins.shaping import Channel, LinkFaults, LinkSettings

ANY_PORT = Address('127.0.0.1', 0)
HEARTBEAT_S = 0.3
SLOW_ANSWER_S = 1.0
FOREVER_S = 60


class LongestWaits(Random):
    """Lets each follower wait as long as it may."""

    def uniform(self, a, b):
        return b


class Subscriber:
    """Notes when each entry was seen to change last."""

    def __init__(self, clock):
        self.clock = clock
        self.changed_at = {}

    def put(self, name, value):
        self.changed_at[name] = self.clock.now()

    def remove(self, name):
        self.changed_at[name] = self.clock.now()


class Reader:
    """An instance that follows all topics of the store as tasks."""

    def __init__(self, members, store, bounds, clock):
        self.members = members
        self.health = StoreHealth(clock)
        self.health.apply_bounds(bounds)
        self.recorded = RecordingSource(store, clock)
        self.source = RelayedSource(self.recorded, members, clock, self.health)
        self.subscribers = {topic: Subscriber(clock) for topic in Topic}
        self.tasks = []
        for topic, subscriber in self.subscribers.items():
            follower = Follower(topic, self.source, subscriber, clock, self.health)
            follower._rng = LongestWaits()
            self.tasks.append(gevent.spawn(follower.run))

    def end(self):
        gevent.killall(self.tasks)


class Relay:
    """An entry instance: it follows the store, and answers reserves."""

    def __init__(self, record, members, store_address, bounds, clock):
        channels = (Channel(clock), Channel(clock))
        settings = LinkSettings(record.id, upstream=store_address)
        self.link = Link(settings, channels, clock, Random(1))
        self.beats = True
        self.delay_s = 0
        self.reader = Reader(
            members, ObjectStore(self.link.address, clock), bounds, clock
        )
        self._relay_server = RelayServer(self.reader.recorded, clock)
        self.server = FrontServer(ANY_PORT, self._answer, CallerLimits, clock)

    def __enter__(self):
        self.server.__enter__()
        return self

    def __exit__(self, *exc_info):
        self.reader.end()
        self.server.__exit__(*exc_info)
        self.link.close()

    def freeze(self):
        """Stand still; connections are accepted all the same."""
        self.beats = False
        self.reader.end()
        self.delay_s = FOREVER_S

    def fall_silent(self):
        """Lose all answers to reserves, but no heartbeat."""
        self.delay_s = FOREVER_S

    def slow_down(self):
        self.delay_s = SLOW_ANSWER_S

    def lose_store(self):
        """Get no byte from the store any more, on old and new connections."""
        self.link.apply(LinkFaults(lose_forward=True, lose_backward=True))

    def refuse(self):
        """Have noticed that the store is lost."""
        self.reader.end()
        for log in self.reader.recorded.logs.values():
            log.lose()

    def _answer(self, inbound):
        answer = self._relay_server.answer(inbound)
        gevent.sleep(self.delay_s)
        return answer


class RelayedReserve:
    """A member of a fleet, the two relays that it tries first, and one for all others.

    If the fleet is so small that it has no reserves, the member reads the store itself.
    """

    def __init__(self, size, bounds, before_start=lambda relays: None):
        self.clock = BootClock()
        self._before_start = before_start
        self._stack = ExitStack()
        self._bounds = bounds
        self.store = PlatformStore()
        domains = configure_domains()
        self.records = [
            InstanceRecord(
                f'i{number:03}',
                'run',
                domains[number % len(domains)],
                ANY_PORT,
                ANY_PORT,
            )
            for number in range(size)
        ]
        # Of equal members the first ones by id are entry instances.
        self.members = self._make_members(self.records[-1])
        self.relays = []
        self._relay_of = {}

    def __enter__(self):
        self._stack.enter_context(self.store)
        self.store.put('config', 'main', make_configuration(1, 'look'))
        self.store.put('servers', 't1', make_server(1))
        self._hear_all()
        own = self.members.own
        if own.id not in self.members.entries:
            self._start_relays()
        self._before_start(self.relays)
        self.started_at = self.clock.now()
        store = ObjectStore(self.store.address, self.clock)
        self.reserve = Reader(self.members, store, self._bounds, self.clock)
        self._stack.callback(self.reserve.end)
        beating = gevent.spawn(self._beat)
        self._stack.callback(beating.kill)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def begin_next_watches(self):
        """Let all readers hear of changes, and begin their next watches together.

        After a change a follower pauses, for a time that differs by topic.
        """
        self.store.put('servers', 't2', make_server(2))
        gevent.sleep(0.35)
        self.store.put('evacuations', 'skye-0', {})
        gevent.sleep(0.25)
        self.store.put('config', 'main', make_configuration(2, 'look'))
        gevent.sleep(0.15)

    def change_all(self):
        """Change all that instances act on; return when."""
        self.store.put('servers', 't1', make_server(1, state='draining', seq=2))
        self.store.put('config', 'main', make_configuration(3, 'look'))
        self.store.put('evacuations', 'fife-0', {})
        return self.clock.now()

    def measure_delays(self, changed_at, longest_s):
        """Return the seconds until each change was known, by topic; inf beyond a limit."""
        names = {
            Topic.targets: 't1',
            Topic.configuration: 'main',
            Topic.evacuations: 'fife-0',
        }
        until = changed_at + longest_s
        delays = dict.fromkeys(names, math.inf)
        while math.inf in delays.values() and self.clock.now() < until:
            gevent.sleep(0.02)
            for topic, name in names.items():
                seen_at = self.reserve.subscribers[topic].changed_at.get(name, 0)
                if seen_at >= changed_at:
                    delays[topic] = seen_at - changed_at
        return delays

    def _start_relays(self):
        relays = list_relays(self.members)
        for number in range(3):
            record = relays[number]
            relay = Relay(
                record,
                self._make_members(record),
                self.store.address,
                self._bounds,
                self.clock,
            )
            self.relays.append(self._stack.enter_context(relay))
        for number, record in enumerate(relays):
            relay = self.relays[min(number, len(self.relays) - 1)]
            self._relay_of[record.id] = relay
            self.members.put(
                InstanceRecord(
                    record.id, 'run', record.location, ANY_PORT, relay.server.address
                )
            )

    def _make_members(self, own):
        members = Members(own, self.clock)
        for record in self.records:
            members.put(record)
        members.update_entries()
        return members

    def _beat(self):
        while True:
            self._hear_all()
            gevent.sleep(HEARTBEAT_S)

    def _hear_all(self):
        for record in self.records:
            relay = self._relay_of.get(record.id)
            if record.id != self.members.own.id and (relay is None or relay.beats):
                now = self.clock.now()
                self.members.observe(Heartbeat(record.id, 'run', now, True, False))
        self.members.update_entries()
