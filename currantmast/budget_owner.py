"""The budgets that an instance owns: their ledgers and the grants to send."""

from collections.abc import Iterable, Mapping

from currantmast.clocks import Clock
from currantmast.decisions.budgets import ShareHolder
from currantmast.decisions.handover import Handover, must_reopen_ledger
from currantmast.decisions.leases import lists_incarnation
from currantmast.decisions.ledgers import Ledger
from currantmast.decisions.links import CHUNK_BYTES
from currantmast.decisions.membership import MembershipTracker
from currantmast.decisions.ownership import choose_owner
from currantmast.deployment import Policy
from currantmast.inventory import Budget
from currantmast.messages import FleetRecord, Heartbeat, Member, ShareGrant, ShareHeld

LINK_PREFIX = 'link:'
TEAM_PREFIX = 'team:'


class BudgetOwner:
    """Ledgers of the budgets that the fleet record gives to this instance.

    Parameters
    ----------
    clock : Clock
        Source of time.
    member : Member
        This run of this instance.
    tracker : MembershipTracker
        Tells which former members have expired.
    handover : Handover
        Tells which budgets no earlier owner can still divide.
    """

    __slots__ = (
        '_budgets',
        '_clock',
        '_grants',
        '_handover',
        '_ledgers',
        '_member',
        '_policy',
        '_record',
        '_tracker',
    )

    def __init__(
        self,
        clock: Clock,
        member: Member,
        tracker: MembershipTracker,
        handover: Handover,
    ) -> None:
        self._clock = clock
        self._member = member
        self._tracker = tracker
        self._handover = handover
        self._policy = Policy()
        self._record = FleetRecord(0)
        self._budgets: Mapping[str, Budget] = {}
        self._ledgers: dict[str, Ledger] = {}
        self._grants: dict[str, tuple[ShareGrant, ...]] = {}

    def __repr__(self) -> str:
        """Return the number of owned budgets."""
        return f'<BudgetOwner ledgers={len(self._ledgers)}>'

    def adopt_record(self, previous: FleetRecord, record: FleetRecord) -> None:
        """Own the budgets that `record` gives to this instance."""
        self._record = record
        self._drop_ledgers()
        known = previous if previous.epoch else None
        for name in self._list_owned():
            if must_reopen_ledger(known, record, name, self._member.id):
                self._open_ledger(self._budgets[name])

    def adopt_budgets(self, budgets: Iterable[Budget], policy: Policy) -> None:
        """Follow the budgets and the policy of a new configuration.

        A change of policy counts for ledgers opened later; the running ones end when
        their ownership or their budget does.
        """
        self._budgets = {budget.name: budget for budget in budgets}
        self._policy = policy
        self._drop_ledgers()
        for name in self._list_owned():
            ledger = self._ledgers.get(name)
            budget = self._budgets[name]
            if ledger is None:
                self._open_ledger(budget)
            else:
                ledger.resize(budget.rate, budget.burst)

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note the shares and demands that a listed holder reports."""
        sender = heartbeat.sender
        if not lists_incarnation(self._record, sender, heartbeat.incarnation):
            return
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

    def allocate(self, record: FleetRecord, shares: ShareHolder) -> None:
        """Divide the settled budgets; `shares` are those of this instance itself."""
        self._grants = {}
        held = {share.budget: share for share in shares.list_held()}
        demands = {demand.budget: demand.rate for demand in shares.list_demands()}
        for name, ledger in self._ledgers.items():
            self._expire_holders(ledger)
            if not self._handover.is_handed_over(name):
                continue
            self._observe_own(ledger, held.get(name), demands.get(name, 0))
            for holder_id, grant in ledger.allocate(_list_holders(record, name)):
                self._pass_on(holder_id, grant, shares)

    def withhold(self) -> None:
        """Grant nothing, while this instance has no right to."""
        self._grants = {}

    def list_prefixes(self, region: str) -> tuple[str, ...]:
        """Return the names of which an instance of `region` needs a share each.

        One team's share shows that rates are allotted; each link needs its own.
        """
        links = [name for name in self._budgets if name.startswith(f'link:{region}>')]
        teams = [TEAM_PREFIX for name in self._budgets if name.startswith(TEAM_PREFIX)]
        return (*links, *teams[:1])

    def list_grants(self, holder_id: str) -> tuple[ShareGrant, ...]:
        """Return the grants to send to `holder_id`."""
        return self._grants.get(holder_id, ())

    def _observe_own(
        self, ledger: Ledger, held: ShareHeld | None, demand: float
    ) -> None:
        member = self._member
        epoch = self._record.epoch
        ledger.observe(member.id, member.incarnation, held, demand, epoch)

    def _pass_on(self, holder_id: str, grant: ShareGrant, shares: ShareHolder) -> None:
        if holder_id == self._member.id:
            shares.apply(grant)
        else:
            self._grants[holder_id] = (*self.list_grants(holder_id), grant)

    def _expire_holders(self, ledger: Ledger) -> None:
        for key in ledger.list_holders():
            if self._tracker.has_expired(key.id, key.incarnation):
                ledger.expire(key.id, key.incarnation)

    def _open_ledger(self, budget: Budget) -> None:
        unit = CHUNK_BYTES if budget.name.startswith(LINK_PREFIX) else 1
        ledger = Ledger(
            budget.name, budget.rate, budget.burst, self._clock, self._policy, unit
        )
        ledger.open(self._tracker.list_unexpired(), self._record.epoch)
        self._ledgers[budget.name] = ledger

    def _drop_ledgers(self) -> None:
        owned = set(self._list_owned())
        for name in tuple(self._ledgers):
            if name not in owned:
                self._ledgers.pop(name)

    def _list_owned(self) -> list[str]:
        return [name for name in self._budgets if self._owns(name)]

    def _owns(self, name: str) -> bool:
        owner = choose_owner(self._record, name)
        return owner is not None and owner.incarnation == self._member.incarnation


def _list_holders(record: FleetRecord, name: str) -> list[Member]:
    """Return who should hold shares: for a link the members at its source.

    Leaving members are included, since they still serve callers that cached a look-up
    answer.
    """
    if not name.startswith(LINK_PREFIX):
        return list(record.members)
    source = name.removeprefix(LINK_PREFIX).partition('>')[0]
    return [member for member in record.members if member.region == source]
