"""Process of one instance: its servers and tasks, its start and its planned stop."""

import os
import signal
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from typing import Protocol

import gevent
from gevent.event import Event

from currantmast.clocks import BootClock, Clock
from currantmast.direct.connectionslots import ConnectionSlots
from currantmast.direct.exchanges import TargetConnections
from currantmast.direct.following import Follower
from currantmast.direct.front import FrontServer
from currantmast.direct.heap import Heap
from currantmast.direct.heartbeats import HeartbeatSocket
from currantmast.direct.inbound import InboundRequest, OutboundAnswer
from currantmast.direct.instance_state import (
    ConfigurationSubscriber,
    EvacuationSubscriber,
    InstanceState,
    InstanceSubscriber,
    TargetSubscriber,
)
from currantmast.direct.memory import MemoryBudget
from currantmast.direct.meters import Meter
from currantmast.direct.model import CallerLimits, DirectSettings, InstanceRecord
from currantmast.direct.parserturns import ParserTurns
from currantmast.direct.pressure import PressureReport
from currantmast.direct.probes import Prober
from currantmast.direct.queries import Queries
from currantmast.direct.relays import RecordingSource, RelayServer
from currantmast.direct.removals import list_removable
from currantmast.direct.requests import Registry, WireFormat
from currantmast.direct.reserves import RelayedSource, wait_for_relay
from currantmast.direct.rooms import CallerResources
from currantmast.direct.steering import Steering
from currantmast.direct.updates import Source, Topic
from currantmast.errors import SettingsError, StoreError, TaskFailed
from currantmast.runtime.logs import log_event
from currantmast.runtime.supervisor import Supervisor, check_backend

INCARNATION_BYTES = 6
HOUSEKEEPING_INTERVAL_S = 0.5
RELOAD_INTERVAL_S = 1.0

STOP_POLL_INTERVAL_S = 0.05

# Pause before the first read when the whole fleet starts, so that all members have
# registered and one list shows them all.
BOOTSTRAP_PAUSE_S = 1.5

# Longest wait of a starting reserve for the first heartbeat of a relay.
RELAY_WAIT_S = 1.0

EXIT_FAILED = 70


class Store(Source, Registry, Protocol):
    """The platform's store: read access, and writes of instance records."""


class Adapter(Protocol):
    """Everything that direct steering needs of a platform."""

    wire: WireFormat

    def load_settings(self) -> DirectSettings:
        """Read the settings and return them."""

    def open_store(self, settings: DirectSettings) -> Store:
        """Return a client of the platform's store."""


class DirectInstance:
    """One run of an instance, from its start to its planned stop.

    Parameters
    ----------
    adapter : Adapter
        Adapter of the platform.
    settings : DirectSettings
        Settings at the start.
    clock : Clock
        Source of time; it also advances while the machine is suspended.
    """

    def __init__(
        self, adapter: Adapter, settings: DirectSettings, clock: Clock
    ) -> None:
        self._adapter = adapter
        self._settings = settings
        self._clock = clock
        self._store = adapter.open_store(settings)
        self._recorded = RecordingSource(self._store, clock)
        own = InstanceRecord(
            settings.id,
            os.urandom(INCARNATION_BYTES).hex(),
            settings.location,
            settings.public,
            settings.peer,
            settings.capacity,
        )
        self.state = InstanceState(own, settings.bounds, clock)
        self._meter = Meter()
        self._resources = CallerResources(
            MemoryBudget(settings.memory_bytes, clock),
            ConnectionSlots(settings.max_connections),
            ParserTurns(clock),
        )
        self._pressure = PressureReport(self._resources.budget)
        self._heap = Heap(self._resources.budget)
        self._stopping = Event()
        self._members_listed = Event()
        self._registered = False
        # Restores of the store that were known when the record was written.
        self._registered_restore = 0
        self._instances = InstanceSubscriber(self.state)

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<DirectInstance {self._settings.id}>'

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stopping.set()

    def run(self) -> int:
        """Serve until the planned stop and return the exit code."""
        log_event(
            'started',
            domain=self._settings.location.failure_domain,
            incarnation=self.state.members.own.incarnation,
        )
        self._heap.configure()
        with ExitStack() as stack:
            connections = stack.enter_context(
                TargetConnections(
                    self._clock, self._resources.budget, self._resources.turns
                )
            )
            front = stack.enter_context(self._open_front(connections))
            for server in self._open_query_servers():
                stack.enter_context(server)
            heartbeat_socket = stack.enter_context(
                HeartbeatSocket(self._settings.peer, self.state, self._clock)
            )
            supervisor = stack.enter_context(Supervisor('direct', self._clock))
            self._add_tasks(supervisor, connections, heartbeat_socket)
            supervisor.add(
                'stop', partial(self._shut_down, supervisor, front, heartbeat_socket)
            )
            return self._wait(supervisor)

    def _wait(self, supervisor: Supervisor) -> int:
        try:
            supervisor.wait()
        except TaskFailed as failure:
            log_event('instance_failed', level='ERROR', error=failure)
            return EXIT_FAILED
        log_event('stopped')
        return 0

    def _open_front(self, connections: TargetConnections) -> FrontServer:
        steering = Steering(
            self.state, self._adapter.wire, connections, self._clock, self._meter
        )
        front = self._make_server(self._settings.public, steering.answer)
        front.admit = steering.admit_head
        return front

    def _open_query_servers(self) -> tuple[FrontServer, ...]:
        settings = self._settings
        queries = Queries(self.state, self._adapter.wire, self._meter, self._resources)
        handlers = (
            (settings.readiness, queries.answer_readiness),
            (settings.lookup, queries.answer_lookup),
            (settings.metrics, queries.answer_metrics),
            (settings.peer, RelayServer(self._recorded, self._clock).answer),
        )
        return tuple(self._make_server(*pair) for pair in handlers)

    def _make_server(
        self, address, handler: Callable[[InboundRequest], OutboundAnswer]
    ) -> FrontServer:
        return FrontServer(
            address, handler, self._get_limits, self._clock, self._resources
        )

    def _get_limits(self) -> CallerLimits:
        config = self.state.configuration.value
        return config.limits if config else CallerLimits()

    def _add_tasks(
        self,
        supervisor: Supervisor,
        connections: TargetConnections,
        heartbeat_socket: HeartbeatSocket,
    ) -> None:
        state = self.state
        prober = Prober(state, self._adapter.wire, connections, self._clock)
        followers = (
            (
                Topic.configuration,
                ConfigurationSubscriber(state),
                state.confirm_configuration,
            ),
            (
                Topic.targets,
                TargetSubscriber(state, connections),
                self._set_targets_listed,
            ),
            (Topic.evacuations, EvacuationSubscriber(state), None),
            (Topic.instances, self._instances, self._set_members_listed),
        )
        health = state.store_health
        source = RelayedSource(self._recorded, state.members, self._clock, health)
        for topic, subscriber, on_read in followers:
            follower = Follower(topic, source, subscriber, self._clock, health, on_read)
            supervisor.add(f'follow-{topic.value}', partial(self._follow, follower))
        supervisor.add('receive-heartbeats', heartbeat_socket.receive)
        supervisor.add('send-heartbeats', heartbeat_socket.send)
        supervisor.add('probe', prober.run)
        supervisor.add('housekeeping', partial(self._run_housekeeping, connections))
        supervisor.add('reload', self._reload)

    def _follow(self, follower: Follower) -> None:
        """Follow a topic once it is known whether the store or a relay is to be read."""
        if self._settings.bootstrap:
            self._clock.sleep(BOOTSTRAP_PAUSE_S)
        if follower.topic is not Topic.instances:
            self._members_listed.wait()
            wait_s = BOOTSTRAP_PAUSE_S if self._settings.bootstrap else RELAY_WAIT_S
            wait_for_relay(self.state.members, self._clock, wait_s)
        follower.run()

    def _set_targets_listed(self, sent_at: float) -> None:
        self.state.targets_listed = True

    def _set_members_listed(self, sent_at: float) -> None:
        if not self.state.members_listed:
            self.state.update_entries()
            self.state.members_listed_at = self._clock.now()
            self._members_listed.set()
            # Divides the rates of teams now, so that the first requests needn't wait for
            # the next heartbeat.
            self.state.rate_limiter.update_peers(self.state.list_demands())
            self.state.target_limits.update_peers(self.state.list_limited_demands())

    def _run_housekeeping(self, connections: TargetConnections) -> None:
        while True:
            self._register()
            connections.close_expired()
            self._pressure.update()
            self._heap.update()
            for record in list_removable(self.state.members):
                self._remove_member(record)
            self._clock.sleep(HOUSEKEEPING_INTERVAL_S)

    def _register(self) -> None:
        restore = self.state.store_health.restore_count
        is_lost = self._instances.own_record_lost or restore > self._registered_restore
        if self.state.leaving or (self._registered and not is_lost):
            return
        try:
            self._store.put_instance(self.state.members.own)
        except StoreError as error:
            log_event('not_registered', level='WARNING', error=error)
            return
        self._registered = True
        self._registered_restore = restore
        self._instances.own_record_lost = False

    def _remove_member(self, record: InstanceRecord) -> None:
        try:
            self._store.delete_instance(record)
        except StoreError as error:
            log_event('member_not_removed', member=record.id, error=error)
            return
        log_event('member_removed', member=record.id)

    def _reload(self) -> None:
        while True:
            self._clock.sleep(RELOAD_INTERVAL_S)
            try:
                settings = self._adapter.load_settings()
            except SettingsError as error:
                log_event('settings_rejected', level='WARNING', error=error)
                continue
            if settings.bounds != self.state.bounds:
                self.state.apply_bounds(settings.bounds)
                log_event('settings_reloaded', revoke_s=settings.bounds.revoke_s)

    def _shut_down(
        self,
        supervisor: Supervisor,
        front: FrontServer,
        heartbeat_socket: HeartbeatSocket,
    ) -> None:
        self._stopping.wait()
        grace_s = self.state.bounds.grace_s
        log_event('stopping', active=front.active_requests, grace_s=grace_s)
        stop = self.state.stop
        stop.begin(grace_s)
        front.disable_keep_alive()
        heartbeat_socket.send_brief()
        self._clock.sleep(stop.accept_until - self._clock.now())
        front.stop_accepting()
        self._remove_member(self.state.members.own)
        while front.has_pending_requests() and self._clock.now() < stop.exit_at:
            self._clock.sleep(STOP_POLL_INTERVAL_S)
        log_event('drained', active=front.active_requests)
        supervisor.stop()


def run_direct(adapter: Adapter) -> int:
    """Run an instance on a platform until its planned stop; return the exit code.

    Raises
    ------
    SettingsError
        If the settings are rejected.
    """
    check_backend()
    instance = DirectInstance(adapter, adapter.load_settings(), BootClock())
    gevent.signal_handler(signal.SIGTERM, instance.stop)
    # The settings are reloaded periodically anyway; the handler only keeps SIGHUP from
    # ending the process.
    gevent.signal_handler(signal.SIGHUP, log_event, 'settings_signal')
    return instance.run()
