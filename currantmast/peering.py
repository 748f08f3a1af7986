"""Fleet state of one instance: its right to admit, its peers, its shares."""

from collections.abc import Iterable, Mapping

import msgspec

from currantmast.clocks import Clock
from currantmast.decisions.budgets import ShareHolder, select_grants
from currantmast.decisions.handover import Handover, must_reopen
from currantmast.decisions.leases import Lease
from currantmast.decisions.ledgers import Ledger
from currantmast.decisions.links import CHUNK_BYTES
from currantmast.decisions.membership import Observer, supports_lease
from currantmast.decisions.ownership import choose_owner
from currantmast.deployment import Policy, Timing
from currantmast.inventory import Budget
from currantmast.messages import (
    Capacity,
    FleetRecord,
    Heartbeat,
    HeartbeatAck,
    Member,
    Remaining,
    ShareGrant,
    Suspect,
)

LINK_PREFIX = 'link:'
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
        self.observer = Observer(clock, timing, member.id, member.incarnation)
        self.handover = Handover(self.observer)
        self.shares = ShareHolder(clock)
        self.version = 0
        self._clock = clock
        self._budgets: Mapping[str, Budget] = {}
        self._policy = Policy()
        self._ledgers: dict[str, Ledger] = {}
        self._grants: dict[str, tuple[ShareGrant, ...]] = {}
        self._answered_at: dict[str, float] = {}

    def __repr__(self) -> str:
        """Return epoch, version and lease."""
        return (
            f'<Peering epoch={self.record.epoch} version={self.version} '
            f'ledgers={len(self._ledgers)} {self.lease!r}>'
        )

    def adopt_record(self, record: FleetRecord) -> bool:
        """Follow a newer fleet record; return whether it was newer."""
        previous = self.record
        if record.epoch <= previous.epoch:
            return False
        self.record = record
        self.lease.adopt_record(record, self.member.id, self.member.incarnation)
        self.observer.adopt_record(record)
        self.handover.adopt_record(record)
        self._follow_ownership(previous if previous.epoch else None)
        return True

    def adopt_budgets(
        self, version: int, budgets: Iterable[Budget], policy: Policy
    ) -> None:
        """Follow the budgets of configuration `version`."""
        self.version = version
        self.lease.set_version(version)
        self._budgets = {budget.name: budget for budget in budgets}
        self._policy = policy
        for name, ledger in self._ledgers.items():
            budget = self._budgets.get(name)
            if budget is not None:
                ledger.resize(budget.rate, budget.burst)
        self._follow_ownership(self.record)

    def make_heartbeat(self, report: Report) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(
            sender=self.member.id,
            incarnation=self.member.incarnation,
            epoch=self.record.epoch,
            version=self.version,
            sent_at=self._clock.now(),
            leased=self.lease.is_valid(),
            demands=self.shares.list_demands(),
            shares=self.shares.list_held(),
            capacity=report.capacity,
            remaining=report.remaining,
            suspects=report.suspects,
        )

    def observe_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAck:
        """Learn from the heartbeat of a peer and return the acknowledgement."""
        self.observer.observe_heartbeat(heartbeat)
        self.lease.observe_version(heartbeat.version)
        self._observe_shares(heartbeat)
        renews = supports_lease(
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
            grants=self._grants.get(heartbeat.sender, ()),
        )

    def observe_ack(self, ack: HeartbeatAck) -> bool:
        """Learn from an acknowledgement; return whether a share changed.

        The owner allots what a reduction frees only after a heartbeat reports it, so
        a change is worth an immediate heartbeat.
        """
        if ack.echoed_incarnation != self.member.incarnation:
            return False
        self._answered_at[ack.sender] = self._clock.now()
        self.observer.observe_epoch(ack.sender, ack.incarnation, ack.epoch)
        self.lease.observe_version(ack.version)
        if ack.renews:
            self.lease.observe_ack(
                ack.sender, ack.epoch, ack.echoed_sent_at, ack.incarnation
            )
        grants = select_grants(ack, self.record, self.member.incarnation)
        changes = [self.shares.apply(grant) for grant in grants]
        return any(changes)

    def allot(self) -> None:
        """Divide the budgets that this instance owns; to be called periodically."""
        self._grants = {}
        if not self.lease.is_valid():
            return
        for name, ledger in self._ledgers.items():
            self._expire_holders(ledger)
            if self.handover.is_settled(name):
                self._observe_own(name, ledger)
                self._collect_grants(name, ledger)

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
            for member in self.observer.list_unexpired()
            if member.id != self.member.id
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

    def _observe_shares(self, heartbeat: Heartbeat) -> None:
        held = {share.budget: share for share in heartbeat.shares}
        demands = {demand.budget: demand.rate for demand in heartbeat.demands}
        for name, ledger in self._ledgers.items():
            ledger.observe(
                heartbeat.sender,
                heartbeat.incarnation,
                held.get(name),
                demands.get(name, 0),
                heartbeat.epoch,
            )

    def _observe_own(self, name: str, ledger: Ledger) -> None:
        held = {share.budget: share for share in self.shares.list_held()}
        demands = {demand.budget: demand.rate for demand in self.shares.list_demands()}
        ledger.observe(
            self.member.id,
            self.member.incarnation,
            held.get(name),
            demands.get(name, 0),
            self.record.epoch,
        )

    def _collect_grants(self, name: str, ledger: Ledger) -> None:
        for holder_id, grant in ledger.allot(self._list_holders(name)):
            if holder_id == self.member.id:
                self.shares.apply(grant)
            else:
                earlier = self._grants.get(holder_id, ())
                self._grants[holder_id] = (*earlier, grant)

    def _list_holders(self, name: str) -> list[Member]:
        """Return who should hold shares: for a link the members at its source.

        Leaving members are included, since they still serve callers that cached a
        look-up answer.
        """
        if not name.startswith(LINK_PREFIX):
            return list(self.record.members)
        source = name.removeprefix(LINK_PREFIX).partition('>')[0]
        return [member for member in self.record.members if member.region == source]

    def _expire_holders(self, ledger: Ledger) -> None:
        for key in ledger.list_holders():
            if self.observer.has_expired(key.id, key.incarnation):
                ledger.expire(key.id, key.incarnation)

    def _follow_ownership(self, previous: FleetRecord | None) -> None:
        for name in tuple(self._ledgers):
            if name not in self._budgets or not self._owns(name):
                self._ledgers.pop(name)
        for name, budget in self._budgets.items():
            if self._owns(name):
                self._follow_ledger(budget, previous)

    def _follow_ledger(self, budget: Budget, previous: FleetRecord | None) -> None:
        ledger = self._ledgers.get(budget.name)
        unchanged = previous is self.record or not must_reopen(
            previous, self.record, budget.name, self.member.id
        )
        if ledger is not None and unchanged:
            return
        unit = CHUNK_BYTES if budget.name.startswith(LINK_PREFIX) else 1
        ledger = Ledger(
            budget.name, budget.rate, budget.burst, self._clock, self._policy, unit
        )
        ledger.open(self.observer.list_unexpired(), self.record.epoch)
        self._ledgers[budget.name] = ledger

    def _owns(self, name: str) -> bool:
        owner = choose_owner(self.record, name)
        return owner is not None and owner.incarnation == self.member.incarnation
