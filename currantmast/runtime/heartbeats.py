"""The task that owns the fleet state: heartbeats, acknowledgements, allotment."""

import msgspec
from gevent.queue import Empty

from currantmast.messages import (
    Address,
    ControlMessage,
    Heartbeat,
    HeartbeatAck,
    Member,
)
from currantmast.runtime.control import ControlLink
from currantmast.runtime.followers import Follower
from currantmast.runtime.logs import log_event
from currantmast.settings import InstanceSettings
from currantmast.steering import Steering

# Least time between two divisions of the owned budgets, in seconds; a division costs
# processor time for each budget, and heartbeats arrive in bursts.
ALLOT_PERIOD_S = 0.1


class Wake(msgspec.Struct, frozen=True):
    """Asks for heartbeats at once, because peers wait for what they will say."""


class Schedule(msgspec.Struct):
    """Monotonic times in seconds at which periodic work is due."""

    beat_at: float = 0
    allot_at: float = 0


class HeartbeatTask:
    """Handles every control message and sends the heartbeats.

    Parameters
    ----------
    steering : Steering
        State that the messages change.
    link : ControlLink
        Sockets to the peers.
    follower : Follower
        Fetches what peers announce.
    settings : InstanceSettings
        Addresses to dial.
    """

    __slots__ = (
        '_follower',
        '_lease_was_valid',
        '_link',
        '_schedule',
        '_settings',
        '_steering',
    )

    def __init__(
        self,
        steering: Steering,
        link: ControlLink,
        follower: Follower,
        settings: InstanceSettings,
    ) -> None:
        self._steering = steering
        self._link = link
        self._follower = follower
        self._settings = settings
        self._schedule = Schedule()
        self._lease_was_valid = False

    def run(self) -> None:
        """Handle messages and send heartbeats, for ever."""
        clock = self._steering.clock
        self._steering.notify = self._wake
        while True:
            wait_s = max(0, self._schedule.beat_at - clock.now())
            try:
                message = self._link.inbox.get(timeout=wait_s)
            except Empty:
                self._beat()
                continue
            self._receive(message)
            if clock.now() >= self._schedule.beat_at:
                self._beat()

    def _beat(self) -> None:
        self._schedule.beat_at = (
            self._steering.clock.now() + self._steering.timing.heartbeat_s
        )
        peering = self._steering.peering
        self._steering.placement.dispatch_all()
        self._allot()
        peers = peering.list_peers()
        self._link.dial_peers({peer.id: self._resolve(peer) for peer in peers})
        for silent in peering.list_silent():
            log_event('peer_silent', level='WARNING', peer=silent)
            self._link.redial(silent)
        heartbeat = peering.make_heartbeat(self._steering.make_report())
        for peer in peers:
            self._link.send(peer.id, heartbeat)
        self._log_lease()

    def _wake(self) -> None:
        self._link.inbox.put(Wake())

    def _receive(self, message: ControlMessage | Wake) -> None:
        if isinstance(message, Wake):
            self._beat()
            return
        match message:
            case Heartbeat():
                self._answer(message)
            case HeartbeatAck():
                self._take_ack(message)
        self._follower.announce(message.sender, message.epoch, message.version)

    def _answer(self, heartbeat: Heartbeat) -> None:
        self._steering.observe_heartbeat(heartbeat)
        if self._steering.clock.now() >= self._schedule.allot_at:
            self._allot()
        ack = self._steering.peering.observe_heartbeat(heartbeat)
        self._link.send(heartbeat.sender, ack)

    def _take_ack(self, ack: HeartbeatAck) -> None:
        peering = self._steering.peering
        if peering.observe_ack(ack):
            report = self._steering.make_report()
            self._link.send(ack.sender, peering.make_heartbeat(report))

    def _allot(self) -> None:
        self._schedule.allot_at = self._steering.clock.now() + ALLOT_PERIOD_S
        self._steering.peering.allocate()

    def _resolve(self, peer: Member) -> Address:
        return self._settings.resolve(peer.id, 'control', peer.control)

    def _log_lease(self) -> None:
        valid = self._steering.lease.is_valid()
        if valid != self._lease_was_valid:
            self._lease_was_valid = valid
            log_event(
                'lease',
                valid=valid,
                detail=self._steering.lease.explain(),
                epoch=self._steering.peering.record.epoch,
            )
