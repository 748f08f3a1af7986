"""The central object of an instance: configuration, fleet state and decisions."""

from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec

from currantmast.blocks import BlockTable
from currantmast.clocks import Clock
from currantmast.decisions.admission import Admission
from currantmast.decisions.quarantine import Quarantine
from currantmast.decisions.retries import RetryBudget
from currantmast.decisions.routing import OwnerView, Route, Router, RouteRequest, Score
from currantmast.decisions.shifts import ShiftGate, choose_region
from currantmast.deployment import Configuration, PolicyKind, Timing
from currantmast.directory import Directory, LookupAnswer
from currantmast.inventory import Inventory
from currantmast.messages import FleetRecord, Heartbeat, Member
from currantmast.outcomes import NotRun, Outcome, OutcomeUnknown
from currantmast.peering import Peering, Report
from currantmast.placement import Placement
from currantmast.target_table import TargetTable
from currantmast.views import OwnerViews

MS_PER_S = 1000


class Origin(msgspec.Struct, frozen=True):
    """Where a request comes from and where it is to run.

    Parameters
    ----------
    site, home : str
        Site of the caller and its region; the entry's region for unknown callers.
    region : str
        Region that serves it after planned shifts.
    """

    site: str
    home: str
    region: str


class Steering:
    """Settings, configuration and decision state of one instance; no sockets.

    Parameters
    ----------
    clock : Clock
        Source of time.
    member : Member
        This run of this instance.
    timing : Timing
        Periods in force when the process starts.
    """

    def __init__(self, clock: Clock, member: Member, timing: Timing) -> None:
        self.clock = clock
        self.member = member
        self.timing = timing
        self.peering = Peering(clock, member, timing)
        self.lease = self.peering.lease
        self.shares = self.peering.shares
        self.targets = TargetTable(
            clock, member, self.peering.handover, self.peering.tracker
        )
        self.placement = Placement(clock, self.targets)
        self.views = OwnerViews(clock)
        self.quarantine = Quarantine(clock, timing.quarantine_s)
        self.admission = Admission(clock, self.lease, self.shares)
        self.retries = RetryBudget(clock)
        self.refused: Counter[str] = Counter()
        self.configuration: Configuration | None = None
        self.inventory: Inventory | None = None
        self._blocks: BlockTable | None = None
        self._router: Router | None = None
        self._directory: Directory | None = None
        self._readiness = 0
        self._shift_gate = ShiftGate(self.shares.take)
        # Called when peers should hear of a change before the next heartbeat is due.
        self.notify: Callable[[], None] = do_nothing

    def __repr__(self) -> str:
        """Return the state of the fleet as this instance sees it."""
        return f'<Steering {self.member.id} {self.peering!r}>'

    @property
    def rate_wait_s(self) -> float:
        """Longest wait in seconds of a request for its team's share."""
        if self.inventory is None:
            return 0
        policy = self.inventory.deployment.base.policy
        waits = policy.kind is PolicyKind.adaptive
        return policy.rate_wait_ms / MS_PER_S if waits else 0

    def adopt_configuration(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; return whether it was newer."""
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        sites = configuration.deployment.sites
        blocks = self._blocks
        if held is None or held.deployment.sites != sites:
            # Millions of blocks take seconds; the pauses let requests and heartbeats
            # go on, and another configuration come first.
            blocks = BlockTable.from_sites(sites, partial(self.clock.sleep, 0))
        if self.configuration is not held:
            return self.adopt_configuration(configuration)
        base = configuration.deployment.base
        inventory = Inventory(configuration.deployment)
        self._blocks = blocks
        self.configuration = configuration
        self.inventory = inventory
        self._directory = None
        self._router = Router(base.policy, self.clock, base.links)
        self.retries = RetryBudget(self.clock, base.policy.retry_ratio)
        self.admission.set_configuration(configuration)
        self.targets.adopt_inventory(inventory)
        self.placement.adopt_inventory(inventory)
        self.peering.adopt_budgets(
            configuration.version, inventory.budgets, base.policy
        )
        return True

    def adopt_record(self, record: FleetRecord) -> bool:
        """Follow a newer fleet record; return whether it was newer."""
        if not self.peering.adopt_record(record):
            return False
        self._directory = None
        self.targets.adopt_record(record)
        # New owners wait until their predecessors have confirmed the record.
        self.notify()
        return True

    def observe_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in what a peer reports about its work."""
        self.views.observe(heartbeat.sender, heartbeat.capacity)
        self.views.note_ready(heartbeat.sender, heartbeat.ready)
        self.targets.observe_remaining(heartbeat.sender, heartbeat.remaining)
        self.quarantine.merge(heartbeat.suspects)

    def make_report(self) -> Report:
        """Return what to tell peers about the work of this instance."""
        return Report(
            capacity=self.placement.list_capacity(),
            remaining=self.targets.list_remaining(),
            suspects=self.quarantine.list_suspects(),
        )

    def locate(self, caller: str, *, use_shift: bool = True) -> Origin:
        """Return where `caller` belongs and which region serves it now.

        Parameters
        ----------
        caller : str
            IP address of the caller.
        use_shift : bool
            Whether a planned shift may use a token for this request.
        """
        site = self._find_site(caller)
        home = site and self.inventory.find_region(site)
        if not home:
            return Origin('', self.member.region, self.member.region)
        if not use_shift:
            return Origin(site, home, home)
        shifts = self.inventory.list_shifts(site)
        return Origin(
            site, home, choose_region(home, site, shifts, self._shift_gate.may_move)
        )

    def find_instances(self, caller: str, origin: Origin) -> LookupAnswer:
        """Return the instances that `caller` should use, best first."""
        if self._directory is None or self.views.readiness != self._readiness:
            self._readiness = self.views.readiness
            unready = self.views.list_unready(self.peering.record, self.member.id)
            record = drop_members(self.peering.record, unready)
            self._directory = Directory(record, self.inventory)
        return self._directory.find(caller, origin.home)

    def route(self, request: RouteRequest) -> Route | NotRun:
        """Return the owner to send a request to, or why there is none."""
        return self._router.choose_owner(request, self.list_views(request.service))

    def explain_route(self, request: RouteRequest) -> tuple[Score, ...]:
        """Return the score of every owner."""
        return self._router.explain(request, self.list_views(request.service))

    def list_views(self, service: str) -> tuple[OwnerView, ...]:
        """Return what is known of the owners of `service`, this instance included."""
        self.views.observe(self.member.id, self.placement.list_capacity())
        views = self.views.list_views(self.peering.record, service)
        return tuple(
            view
            for view in views
            if not self.inventory.is_drained('region', view.region)
        )

    def note_duration(self, service: str, seconds: float) -> None:
        """Tell routing how long a request of `service` held its slot."""
        self._router.observe_duration(service, seconds)

    def note_refusal(self, outcome: Outcome) -> None:
        """Count an outcome that is not `Done`, by reason, for status and metrics."""
        if isinstance(outcome, NotRun | OutcomeUnknown):
            self.refused[outcome.reason.value] += 1

    def _find_site(self, caller: str) -> str:
        if self._blocks is None:
            return ''
        return self._blocks.find(caller) or ''


def do_nothing() -> None:
    """Stand for a listener where there is none."""


def drop_members(record: FleetRecord, ids: frozenset[str]) -> FleetRecord:
    """Return `record` without the members that can't serve yet, if any others can."""
    kept = tuple(member for member in record.members if member.id not in ids)
    return msgspec.structs.replace(record, members=kept or record.members)
