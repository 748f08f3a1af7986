"""Heartbeats between instances: UDP datagrams with the sender's newest state.

Who sends which heartbeats to whom is told in `members`.
"""

from itertools import count
from typing import Self

import msgspec
from gevent import socket

from currantmast.clocks import Clock
from currantmast.direct.freshness import Confirmation
from currantmast.direct.instance_state import InstanceState
from currantmast.direct.members import Members
from currantmast.direct.model import InstanceRecord
from currantmast.direct.reports import (
    MAX_DEMANDS,
    MAX_LOADS,
    RESERVE_TIMEOUT_S,
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
    keep_largest,
)
from currantmast.direct.slowdowns import SlowdownReports, collect_reports
from currantmast.direct.spillover import measure_capacity
from currantmast.direct.targets import TargetTable
from currantmast.messages import Address
from currantmast.runtime.logs import log_event
from currantmast.runtime.origins import find_origin

# Time between heartbeats to instances in the local region. Instances in other regions get
# one every `REMOTE_PERIODS` periods: placement depends mostly on the load in the local
# region, and traffic between regions costs most.
PERIOD_S = 0.2
REMOTE_PERIODS = 2

# Above this number of entry instances the period grows with them, which limits the rate
# of heartbeats that each receives.
MAX_ENTRIES_AT_BASE_PERIOD = 12
MAX_PERIOD_S = 0.6

# Time between brief heartbeats, from an entry instance to a reserve and back. The first is
# shorter, since callers must learn soon that an entry instance has failed.
BRIEF_TO_RESERVE_S = 0.5
BRIEF_TO_ENTRY_S = 1.0

# Pause in seconds between looks for the first list of members. A new run admits nothing
# before a member has answered it.
START_POLL_S = 0.05

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
        # Until when a reserve sends full heartbeats, since it serves callers.
        self._active_until: float = 0

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
            try:
                self._handle_heartbeat(heartbeat)
            except Exception as failure:
                # It must not keep the others from being processed.
                self.rejected += 1
                _log_failure(heartbeat, failure)

    def send(self) -> None:
        """Send heartbeats forever, one round per period, once there are members."""
        while not self._state.members_listed:
            self._clock.sleep(START_POLL_S)
        for period in count():
            self._update_from_members()
            self.send_heartbeats(period)
            self._clock.sleep(self._choose_period())

    def send_heartbeats(self, period: int) -> None:
        """Send the heartbeats of one period.

        Parameters
        ----------
        period : int
            Number of the period; some members get a heartbeat only in each second or
            third one.
        """
        members = self._state.members
        demands = keep_largest(self._state.rate_limiter.announce(), MAX_DEMANDS)
        if demands or self._state.target_limits.has_demand():
            # Afterwards the others must still be told that there is none.
            self._active_until = self._clock.now() + RESERVE_TIMEOUT_S
        is_entry = members.own.id in members.entries
        own_active = is_entry or self._clock.now() < self._active_until
        brief = self._make_brief()
        full = self._make_full(demands) if own_active else brief
        for peer in members.list_peers():
            peer_active = _is_active(members, peer.id)
            interval = self._choose_interval(peer, own_active, peer_active)
            if interval and period % interval == 0:
                self._send_to(peer, full if peer_active else brief)

    def send_brief(self, member_id: str | None = None) -> None:
        """Send a brief heartbeat at once, to one member or to all."""
        brief = self._make_brief()
        for peer in self._state.members.list_peers():
            if member_id in {None, peer.id}:
                self._send_to(peer, brief)

    def _choose_interval(
        self, peer: InstanceRecord, own_active: bool, peer_active: bool
    ) -> int:
        """Return in each how many periods a member gets a heartbeat; 0 for none."""
        is_local = self._state.members.is_local(peer)
        if own_active and peer_active:
            return 1 if is_local else REMOTE_PERIODS
        if not is_local or not (own_active or peer_active):
            return 0
        wanted_s = BRIEF_TO_RESERVE_S if own_active else BRIEF_TO_ENTRY_S
        return max(1, round(wanted_s / self._choose_period()))

    def _make_brief(self) -> Heartbeat:
        state = self._state
        own = state.members.own
        return Heartbeat(
            sender=own.id,
            incarnation=own.incarnation,
            sent_at=self._clock.now(),
            ready=state.is_ready(),
            leaving=state.leaving,
            brief=True,
            store=state.store_health.make_contact(),
        )

    def _make_full(self, demands: dict[str, float]) -> Heartbeat:
        state = self._state
        return msgspec.structs.replace(
            self._make_brief(),
            brief=False,
            demands=demands,
            admitted=state.rate_limiter.count_recently_admitted(),
            loads=keep_largest(state.targets.count_loads(), MAX_LOADS),
            target_limits=state.target_limits.make_report(),
            spillover=state.placement.spillover.make_report(),
            crashes=state.targets.crashing_requests.make_report(),
            ramp_levels=state.ramping.list_told(),
            slowdowns=collect_reports(
                (target.record.id, target.slowdown)
                for target in state.targets.list_all()
            ),
        )

    def _send_to(self, peer: InstanceRecord, heartbeat: Heartbeat) -> None:
        confirmed = msgspec.structs.replace(
            heartbeat, confirmation=self._make_confirmation(peer)
        )
        destination = (peer.peer.host, peer.peer.port)
        try:
            self._socket.sendto(encode_heartbeat(confirmed), destination)
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
        known = state.members.get_last_heartbeat(heartbeat.sender)
        if not state.members.observe(heartbeat):
            return
        if known is None or known.heartbeat.incarnation != heartbeat.incarnation:
            # It admits nothing before it is answered.
            self.send_brief(heartbeat.sender)
        if heartbeat.store is not None:
            state.store_health.note_peer(heartbeat.sender, heartbeat.store)
        self._note_limits(heartbeat)
        state.targets.crashing_requests.note_peer(heartbeat.crashes)
        _note_slowdowns(state.targets, heartbeat.slowdowns)
        confirmation = heartbeat.confirmation
        local_incarnation = state.members.own.incarnation
        if (
            confirmation is not None
            and confirmation.echoed_incarnation == local_incarnation
        ):
            version = state.configuration.version
            state.freshness.confirm_by_peer(confirmation, version)

    def _note_limits(self, heartbeat: Heartbeat) -> None:
        known = {
            target_id: named
            for target_id, named in heartbeat.limited.named.items()
            if target_id in self._state.targets.runs
        }
        self._state.target_limits.note_peer(known)

    def _update_from_members(self) -> None:
        state = self._state
        alive, silent = state.members.update_liveness()
        for member_id in sorted(alive):
            log_event('member_heard', member=member_id)
        for member_id in sorted(silent):
            log_event('member_silent', level='WARNING', member=member_id)
        if state.update_entries():
            log_event('entries_selected', count=len(state.members.entries))
        if state.members_listed:
            state.rate_limiter.update_peers(state.list_demands())
            state.target_limits.update_peers(state.list_limited_demands())
        state.targets.update_peer_loads(state.members.reports.sum_loads())
        state.ramping.note_peers(state.members.reports.list_ramp_levels())
        self._update_spillover()

    def _update_spillover(self) -> None:
        members = self._state.members
        local = [peer.id for peer in members.list_peers() if members.is_local(peer)]
        capacities = measure_capacity(
            self._state.targets.list_staying(),
            members.list_all(),
            members.own.location.region,
        )
        if self._state.configuration.has_overload_control:
            capacities = self._state.placement.by_cost.complete_capacities(capacities)
        self._state.placement.spillover.update(
            members.reports.list_spillover(local), capacities
        )

    def _choose_period(self) -> float:
        entries = len(self._state.members.entries)
        period_s = PERIOD_S * max(1, entries / MAX_ENTRIES_AT_BASE_PERIOD)
        return min(MAX_PERIOD_S, period_s)


def _is_active(members: Members, member_id: str) -> bool:
    """Return whether a member is an entry instance or serves callers all the same."""
    return member_id in members.entries or members.reports.has_demand(member_id)


def _log_failure(heartbeat: Heartbeat, failure: Exception) -> None:
    log_event(
        'heartbeat_failed',
        level='ERROR',
        peer=heartbeat.sender,
        error=failure,
        at=find_origin(failure),
    )


def _note_slowdowns(targets: TargetTable, reports: SlowdownReports) -> None:
    for target_id, report in reports.items():
        target = targets.get(target_id)
        if target is not None:
            target.slowdown.note_peer(report)
