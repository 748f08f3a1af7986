"""Heartbeats between instances: UDP datagrams with the sender's newest state."""

from itertools import count
from typing import Self

from gevent import socket

from currantmast.clocks import Clock
from currantmast.direct.freshness import Confirmation
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.members import (
    MAX_DEMANDS,
    MAX_LOADS,
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
    keep_largest,
)
from currantmast.direct.model import InstanceRecord
from currantmast.direct.spillover import measure_capacity
from currantmast.messages import Address
from currantmast.runtime.logs import log_event

# Time between heartbeats to instances in the local region. Instances in other regions get
# one every `REMOTE_PERIODS` periods: placement depends mostly on the load in the local
# region, and traffic between regions costs most.
PERIOD_S = 0.2
REMOTE_PERIODS = 2

# Above this number of members the period grows with the fleet, which limits the rate of
# heartbeats that each member receives.
MAX_MEMBERS_AT_BASE_PERIOD = 12
MAX_PERIOD_S = 0.6

MAX_DATAGRAM_BYTES = 65_536

# Datagrams received after which the loop yields to other tasks.
YIELD_DATAGRAMS = 64


class HeartbeatSocket:
    """UDP socket that sends and receives heartbeats; a context manager.

    Parameters
    ----------
    address : Address
        Address to listen on.
    state : InstanceState
        State to send, and to update from received heartbeats.
    clock : Clock
        Source of time.
    """

    def __init__(self, address: Address, state: InstanceState, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        host, port = self._socket.getsockname()
        self.address = Address(host, port)
        self.rejected = 0

    def __enter__(self) -> Self:
        """Return the open socket."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the socket."""
        self._socket.close()

    def __repr__(self) -> str:
        """Return a short description for debugging."""
        return f'<HeartbeatSocket {self.address}>'

    def receive(self) -> None:
        """Receive and process heartbeats forever."""
        for received in count(1):
            payload, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            if received % YIELD_DATAGRAMS == 0:
                self._clock.sleep(0)
            heartbeat = decode_heartbeat(payload)
            if heartbeat is None:
                self.rejected += 1
                continue
            self._handle_heartbeat(heartbeat)

    def send(self) -> None:
        """Send heartbeats forever, one round per period."""
        for period in count():
            self._update_from_members()
            self.send_heartbeats(all_regions=period % REMOTE_PERIODS == 0)
            self._clock.sleep(self._choose_period())

    def send_heartbeats(self, *, all_regions: bool) -> None:
        """Send one heartbeat to each other member in the local region, or in all.

        Parameters
        ----------
        all_regions : bool
            Whether members in other regions get one too.
        """
        state = self._state
        demands = keep_largest(state.rate_limiter.announce(), MAX_DEMANDS)
        loads = keep_largest(state.targets.count_loads(), MAX_LOADS)
        region = state.members.own.location.region
        for peer in state.members.list_peers():
            if all_regions or peer.location.region == region:
                self._send_to(peer, demands, loads)

    def _send_to(
        self, peer: InstanceRecord, demands: dict[str, float], loads: dict[str, int]
    ) -> None:
        state = self._state
        own = state.members.own
        heartbeat = Heartbeat(
            sender=own.id,
            incarnation=own.incarnation,
            sent_at=self._clock.now(),
            ready=state.is_ready(),
            leaving=state.leaving,
            demands=demands,
            admitted=keep_largest(state.rate_limiter.count_admitted(), MAX_DEMANDS),
            loads=loads,
            confirmation=self._make_confirmation(peer),
            spillover=state.placement.spillover.make_report(),
        )
        destination = (peer.peer.host, peer.peer.port)
        try:
            self._socket.sendto(encode_heartbeat(heartbeat), destination)
        except OSError as error:
            log_event('heartbeat_not_sent', peer=peer.id, error=error)

    def _make_confirmation(self, peer: InstanceRecord) -> Confirmation | None:
        state = self._state
        received = state.members.get_last_heartbeat(peer.id)
        if received is None or not state.configuration.version:
            return None
        return Confirmation(
            version=state.configuration.version,
            echoed_incarnation=received.heartbeat.incarnation,
            echoed_sent_at=received.heartbeat.sent_at,
            offset_s=state.freshness.confirmed_at - received.arrived_at,
        )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self._state
        if not state.members.observe(heartbeat):
            return
        confirmation = heartbeat.confirmation
        local_incarnation = state.members.own.incarnation
        if (
            confirmation is not None
            and confirmation.echoed_incarnation == local_incarnation
        ):
            version = state.configuration.version
            state.freshness.confirm_by_peer(confirmation, version)

    def _update_from_members(self) -> None:
        state = self._state
        alive, silent = state.members.update_liveness()
        for member_id in sorted(alive):
            log_event('member_heard', member=member_id)
        for member_id in sorted(silent):
            log_event('member_silent', level='WARNING', member=member_id)
        if state.members_listed:
            state.rate_limiter.update_peers(state.members.list_demands())
        state.targets.update_peer_loads(state.members.sum_loads())
        self._update_spillover()

    def _update_spillover(self) -> None:
        members = self._state.members
        capacities = measure_capacity(
            self._state.targets.list_all_usable(),
            members.list_all(),
            members.own.location.region,
        )
        self._state.placement.spillover.update(
            members.list_spillover_reports(), capacities
        )

    def _choose_period(self) -> float:
        members = len(self._state.members)
        period_s = PERIOD_S * max(1, members / MAX_MEMBERS_AT_BASE_PERIOD)
        return min(MAX_PERIOD_S, period_s)
