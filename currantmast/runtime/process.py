"""The instance process: what it owns, its tasks, its start and its end."""

import secrets
import signal
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from typing import Self

import gevent
from gevent.event import Event

from currantmast.clocks import Clock, LoopClock
from currantmast.decisions.membership import IncarnationReused
from currantmast.deployment import Configuration
from currantmast.errors import CurrantmastError, TaskFailed
from currantmast.messages import Address, Member
from currantmast.publication import HEAD
from currantmast.runtime.claimrouter import ClaimRouter
from currantmast.runtime.control import ControlLink
from currantmast.runtime.entry import Entry
from currantmast.runtime.fleet import FLEET, FleetStore
from currantmast.runtime.followers import Follower, obtain_configuration
from currantmast.runtime.forwarding import Connections
from currantmast.runtime.heartbeats import HeartbeatTask
from currantmast.runtime.hops import PeerSender
from currantmast.runtime.loadpolls import LoadPoller
from currantmast.runtime.logs import configure_logs, log_event
from currantmast.runtime.metrics import Metrics
from currantmast.runtime.owner import Owner
from currantmast.runtime.peerapp import PeerApp
from currantmast.runtime.publicapp import PublicApp
from currantmast.runtime.servers import HttpServer
from currantmast.runtime.store import ObjectClient
from currantmast.runtime.supervisor import Supervisor, check_backend, watch_loop
from currantmast.settings import InstanceSettings
from currantmast.steering import Steering

INCARNATION_BYTES = 8
HOUSEKEEPING_S = 0.25
JOIN_BACKOFF_S = 0.5
LEAVE_MARGIN_S = 1.0
LEAVE_ATTEMPTS = 3
DRAIN_LIMIT_S = 120.0
EXIT_FAILED = 70


class Removed(CurrantmastError):
    """The fleet record no longer lists this run, which must join as a new one."""


class Instance:
    """One run of an instance: its sockets, its state and its tasks.

    A context manager that opens the listeners and closes everything at the end.

    Parameters
    ----------
    settings : InstanceSettings
        What this instance was told.
    clock : Clock
        Source of time.
    configuration : Configuration
        Configuration in force; its timing holds for the whole run.
    """

    def __init__(
        self, settings: InstanceSettings, clock: Clock, configuration: Configuration
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = ExitStack()
        open_context = self._stack.enter_context
        self._link = open_context(ControlLink(settings.control))
        self._public = open_context(HttpServer(settings.public))
        self._peer = open_context(HttpServer(settings.peer))
        self._metrics = open_context(Metrics(settings.statsd, settings.id))
        self._connections = open_context(Connections(clock))
        self._client = open_context(
            ObjectClient(
                settings.store, clock, settings.store_calls_per_s, caller=settings.id
            )
        )
        # Claims have calls of their own, so that a handover starves no watch or lease.
        self._claim_client = open_context(
            ObjectClient(
                settings.store, clock, settings.claim_calls_per_s, caller=settings.id
            )
        )
        timing = configuration.deployment.base.timing
        self._steering = Steering(clock, self._make_member(), timing)
        self._steering.adopt_configuration(configuration)
        self._fleet = FleetStore(self._client, self._steering)
        self._follower = Follower(
            self._steering, self._client, self._fleet, self._connections
        )
        self._claims = ClaimRouter(
            self._steering, self._claim_client, self._connections, self._find_peer
        )
        owner = Owner(self._steering, self._connections, self._claims)
        peers = PeerSender(self._steering, self._connections, self._find_peer)
        entry = Entry(self._steering, owner, peers, self._metrics)
        self._public_app = PublicApp(self._steering, entry, self._count_calls)
        self._peer_app = PeerApp(self._steering, owner, self._claims)

    def __enter__(self) -> Self:
        """Return the instance with open listeners."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close all sockets."""
        self._stack.close()

    def __repr__(self) -> str:
        """Return the state."""
        return f'<Instance {self._steering!r}>'

    def run(self, stop: Event) -> None:
        """Serve until `stop` is set, then leave the fleet gracefully.

        Raises
        ------
        Removed
            If the fleet removed this run, for example after a pause.
        TaskFailed
            If a task failed for good.
        """
        self._public.start(self._public_app.respond)
        self._peer.start(self._peer_app.respond)
        with Supervisor('instance', self._clock) as supervisor:
            self._start_tasks(supervisor)
            self._follower.read_record(self._settings.seeds)
            self._join(stop)
            log_event('ready', public=self._public.address, peer=self._peer.address)
            supervisor.add('stop', partial(self._await_stop, stop, supervisor))
            supervisor.wait()
            if not stop.is_set():
                self._finish_requests()
                raise Removed(self._settings.id)
            self._leave()

    def _start_tasks(self, supervisor: Supervisor) -> None:
        heartbeats = HeartbeatTask(
            self._steering, self._link, self._follower, self._settings
        )
        tasks = {
            'receive': self._link.receive,
            'heartbeats': heartbeats.run,
            'watch_config': partial(self._follower.follow_store, HEAD),
            'watch_fleet': partial(self._follower.follow_store, FLEET),
            'fetch': partial(self._follower.follow_peers, self._find_peer),
            'renew': self._follower.renew_from_store,
            'loads': LoadPoller(self._steering, self._connections).run,
            'removals': self._fleet.remove_silent,
            'claims': self._claims.run,
            'loop': partial(watch_loop, self._clock),
        }
        for name, task in tasks.items():
            supervisor.add(name, task)

    def _make_member(self) -> Member:
        settings = self._settings
        return Member(
            id=settings.id,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            region=settings.region,
            failure_domain=settings.failure_domain,
            public=self._public.address,
            peer=self._peer.address,
            control=self._link.address,
        )

    def _count_calls(self) -> int:
        clients = (self._client, self._claim_client)
        return sum(client.budget.counts.total() for client in clients)

    def _find_peer(self, member_id: str) -> Address | None:
        for member in self._steering.peering.tracker.list_unexpired():
            if member.id == member_id:
                return self._settings.resolve(member_id, 'peer', member.peer)
        return None

    def _join(self, stop: Event) -> None:
        while not stop.is_set():
            try:
                self._fleet.join()
            except IncarnationReused as error:
                # Others removed this run before it learned that it had joined.
                raise Removed(self._settings.id) from error
            except CurrantmastError as error:
                log_event('join_failed', level='WARNING', error=error)
                self._clock.sleep(JOIN_BACKOFF_S)
            else:
                return

    def _await_stop(self, stop: Event, supervisor: Supervisor) -> None:
        """End the run when it is told to stop or when the fleet removed it."""
        while not stop.wait(HOUSEKEEPING_S):
            if (
                self._steering.peering.record.epoch
                and not self._steering.peering.is_member
            ):
                break
        supervisor.stop()

    def _leave(self) -> None:
        """Hand over, serve callers that cached this instance, finish, leave."""
        log_event('leaving')
        self._public_app.is_leaving = True
        lifetime_s = self._steering.timing.lookup_lifetime_s
        self._try_fleet_change(self._fleet.mark_leaving)
        self._clock.sleep(lifetime_s)
        for server in (self._public, self._peer):
            server.announce_end()
        self._clock.sleep(LEAVE_MARGIN_S)
        self._finish_requests()
        self._try_fleet_change(partial(self._fleet.remove, self._settings.id))
        log_event('left')

    def _finish_requests(self) -> None:
        self._public.stop_accepting()
        self._public.wait_idle(DRAIN_LIMIT_S)
        self._peer.wait_idle(DRAIN_LIMIT_S)

    def _try_fleet_change(self, change: Callable[[], None]) -> None:
        for _ in range(LEAVE_ATTEMPTS):
            try:
                change()
            except CurrantmastError as error:
                log_event('leave_change_failed', level='WARNING', error=error)
                self._clock.sleep(JOIN_BACKOFF_S)
            else:
                return


def run_instance(settings: InstanceSettings) -> int:
    """Run an instance until it is told to stop; return the exit code.

    SIGTERM and SIGINT stop it gracefully; further signals change nothing.
    """
    check_backend()
    configure_logs(settings.id, level=settings.log_level.value.upper())
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    clock = LoopClock()
    while not stop.is_set():
        try:
            _run_once(settings, clock, stop)
        except Removed as removed:
            log_event('rejoining', level='WARNING', error=removed)
        except TaskFailed as failure:
            log_event('process_failed', level='ERROR', error=failure)
            return EXIT_FAILED
    return 0


def _run_once(settings: InstanceSettings, clock: Clock, stop: Event) -> None:
    with (
        ObjectClient(settings.store, clock, caller=settings.id) as client,
        Connections(clock) as connections,
    ):
        configuration = obtain_configuration(client, connections, settings.seeds, clock)
    with Instance(settings, clock, configuration) as instance:
        instance.run(stop)
