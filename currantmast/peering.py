"""Fleet state of one instance: its right to admit, its peers, its shares."""

from collections.abc import Iterable

import msgspec

from currantmast.budget_owner import BudgetOwner
from currantmast.clocks import Clock
from currantmast.decisions.budgets import ShareHolder, select_grants
from currantmast.decisions.handover import Handover
from currantmast.decisions.leases import Lease
from currantmast.decisions.membership import MembershipTracker, may_renew_lease
from currantmast.deployment import Policy, Timing
from currantmast.inventory import Budget
from currantmast.messages import (
    Capacity,
    FleetRecord,
    Heartbeat,
    HeartbeatAck,
    Member,
    Remaining,
    Suspect,
)

SILENCE_S = 2.0


class Report(msgspec.Struct, frozen=True):
    """What an instance tells its peers about its work."""

    capacity: tuple[Capacity, ...] = ()
    remaining: tuple[Remaining, ...] = ()
    suspects: tuple[Suspect, ...] = ()


class Peering:
    """Owns what this instance knows of the fleet, and acts on control messages.

    Parameters
    ----------
    clock : Clock
        Source of time.
    member : Member
        This run of this instance.
    timing : Timing
        Lease and removal times.
    """

    def __init__(self, clock: Clock, member: Member, timing: Timing) -> None:
        self.member = member
        self.record = FleetRecord(0)
        self.lease = Lease(clock, timing.lease_s)
        self.tracker = MembershipTracker(clock, timing, member.id, member.incarnation)
        self.handover = Handover(self.tracker)
        self.shares = ShareHolder(clock)
        self.version = 0
        self._clock = clock
        self.budgets = BudgetOwner(clock, member, self.tracker, self.handover)
        self._answered_at: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return epoch, version and lease."""
        return (
            f'<Peering epoch={self.record.epoch} version={self.version} '
            f'{self.budgets!r} {self.lease!r}>'
        )

    def adopt_record(self, record: FleetRecord) -> bool:
        """Follow a newer fleet record; return whether it was newer."""
        previous = self.record
        if record.epoch <= previous.epoch:
            return False
        self.record = record
        self.lease.adopt_record(record, self.member.id, self.member.incarnation)
        self.tracker.adopt_record(record)
        self.handover.adopt_record(record)
        self.budgets.adopt_record(previous, record)
        return True

    def adopt_budgets(
        self, version: int, budgets: Iterable[Budget], policy: Policy
    ) -> None:
        """Follow the budgets of configuration `version`."""
        self.version = version
        self.lease.set_version(version)
        self.budgets.adopt_budgets(budgets, policy)

    def make_heartbeat(self, report: Report) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(
            sender=self.member.id,
            incarnation=self.member.incarnation,
            epoch=self.record.epoch,
            version=self.version,
            sent_at=self._clock.now(),
            ready=self.is_ready,
            demands=self.shares.list_demands(),
            shares=self.shares.list_held(),
            capacity=report.capacity,
            remaining=report.remaining,
            suspects=report.suspects,
            silent=self.tracker.list_silent(),
        )

    def observe_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAck:
        """Learn from the heartbeat of a peer and return the acknowledgement."""
        self.tracker.observe_heartbeat(heartbeat)
        self.lease.observe_version(heartbeat.version)
        self.budgets.observe_heartbeat(heartbeat)
        renews = may_renew_lease(
            self.record, self.member.id, self.member.incarnation, heartbeat
        )
        return HeartbeatAck(
            sender=self.member.id,
            incarnation=self.member.incarnation,
            epoch=self.record.epoch,
            version=self.version,
            echoed_incarnation=heartbeat.incarnation,
            echoed_sent_at=heartbeat.sent_at,
            renews=renews,
            grants=self.budgets.list_grants(heartbeat.sender),
        )

    def observe_ack(self, ack: HeartbeatAck) -> bool:
        """Learn from an acknowledgement; return whether a share changed.

        The owner allots what a reduction frees only after a heartbeat reports it, so
        a change is worth an immediate heartbeat.
        """
        if ack.echoed_incarnation != self.member.incarnation:
            return False
        self._answered_at[ack.sender] = self._clock.now()
        self.tracker.observe_epoch(ack.sender, ack.incarnation, ack.epoch)
        self.lease.observe_version(ack.version)
        if ack.renews:
            self.lease.observe_ack(
                ack.sender, ack.epoch, ack.echoed_sent_at, ack.incarnation
            )
        grants = select_grants(ack, self.record, self.member.incarnation)
        changes = [self.shares.apply(grant) for grant in grants]
        return any(changes)

    def allocate(self) -> None:
        """Divide the budgets that this instance owns; to be called periodically."""
        if self.lease.is_valid():
            self.budgets.allocate(self.record, self.shares)
        else:
            self.budgets.withhold()

    def list_silent(self) -> tuple[str, ...]:
        """Return the peers whose connection carried no answer for `SILENCE_S`.

        Each is named once in that time, to be dialled anew.
        """
        now = self._clock.now()
        silent = []
        for member in self.list_peers():
            answered_at = self._answered_at.setdefault(member.id, now)
            if now - answered_at > SILENCE_S:
                self._answered_at[member.id] = now
                silent.append(member.id)
        return tuple(silent)

    def list_peers(self) -> tuple[Member, ...]:
        """Return the other members, and former members still to be told."""
        return tuple(
            member
            for member in self.tracker.list_unexpired()
            if member.id != self.member.id
        )

    @property
    def is_ready(self) -> bool:
        """Whether keyed requests can be served: a valid lease, and shares to use."""
        prefixes = self.budgets.list_prefixes(self.member.region)
        return self.lease.is_valid() and all(
            self.shares.holds_any(prefix) for prefix in prefixes
        )

    @property
    def is_member(self) -> bool:
        """Whether the adopted record lists this run."""
        runs = {member.incarnation for member in self.record.members}
        return self.member.incarnation in runs

    @property
    def is_witness(self) -> bool:
        """Whether this instance watches the store for the fleet."""
        return self.member.id in self.record.witnesses
